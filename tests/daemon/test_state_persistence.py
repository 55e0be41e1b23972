"""A daemon that persists what it learned: restarts, silent sources, bad directories, slow and failing disks."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner
from daemonic import HEAD, Served, ask, backend, pool, route, served
from loopback import HOST, OK, Backend, soon, status, until, watches

from lugspur.cli.main import cli
from lugspur.daemon import state_persistence
from lugspur.daemon.persistence.snapshot_format import decode_snapshot
from lugspur.daemon.persistence.snapshot_store import CURRENT_FILE, SnapshotStore, open_store

ROOT = Path(__file__).parent.parent.parent
ALL = route("all", "/*", 'pool = "a"\nclass = "read"')


@asynccontextmanager
async def persisting_daemon(folder: Path, text: str, every: str = "500ms") -> AsyncIterator[Served]:
    """Run a daemon that persists its state in this directory."""
    async with served(f'[state]\nfolder = "{folder}"\nevery = "{every}"\n' + text) as up:
        yield up


async def send_requests(up: Served, count: int = 30) -> None:
    client = await up.client()
    for _ in range(count):
        assert status(await client.ask(ask())) == 200


def latencies(up: Served) -> dict[int, float]:
    servers = up.daemon.clusters["a"].pool.balancer.table.servers
    return {key: server.latency for key, server in servers.items()}


def persisted_backends(folder: Path) -> list[str]:
    """Return the backends whose learned state is in the file."""
    learned = decode_snapshot((folder / CURRENT_FILE).read_bytes()).pools["a"].learned
    assert learned is not None
    return sorted(str(row.server) for row in learned.servers)


def test_learned_state_is_there_after_a_restart(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two:
            text = pool("a", one.address, two.address) + ALL
            async with persisting_daemon(tmp_path, text) as up:
                await send_requests(up)
                known = latencies(up)
                assert any(known.values())  # few requests may all go to one backend
            async with persisting_daemon(tmp_path, text) as up:
                again = latencies(up)
                assert again.keys() == known.keys()
                # About a second of aging moves the values towards the mean.
                assert all(again[key] == pytest.approx(known[key], rel=0.05) for key in known)
                await send_requests(up, 1)
            # Both backends are replaced by a new one.
            async with persisting_daemon(tmp_path, pool("a", f"{HOST}:1") + ALL) as up:
                assert list(latencies(up).values()) == [0.0]

    asyncio.run(play())
    assert "lugspur: state: 2 backends of 1 pools, " in capsys.readouterr().err


def test_snapshot_serves_until_the_source_delivers_its_first_list(tmp_path: Path) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two, watches() as registry:
            text = f'[pools.a]\nwatch = "{HOST}:{registry.port}"\n' + ALL
            row = {
                "name": "x",
                "address": one.address,
                "zone": "kingston-main-a",
                "type": "large-one",
                "group": 0,
                "status": "in_service",
                "weight": 1.0,
                "since_ms": 0,
            }
            async with persisting_daemon(tmp_path, text) as up:
                await soon(registry.asked.get())
                registry.say(5, [row], snapshot=True)
                await until(lambda: bool(latencies(up)))
                await send_requests(up, 3)
            async with persisting_daemon(tmp_path, text) as up:
                await send_requests(up, 3)  # the source has not delivered a list yet
                assert one.got.qsize() == 6
                await soon(registry.asked.get())
                registry.say(6, [row | {"name": "y", "address": two.address}], snapshot=True)
                await until(
                    lambda: (
                        len(up.daemon.clusters["a"].pool.backends) == 1
                        and up.daemon.clusters["a"].pool.backends.popitem()[1].address[1]
                        == int(two.address.split(":")[1])
                    )
                )

    asyncio.run(play())


def test_backends_beyond_the_maximum_are_left_out_and_the_rest_is_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(state_persistence, "MAX_BACKENDS", 3)

    async def play() -> None:
        async with backend(lambda _: OK) as one:
            both = ALL
            for name in "ab":
                members = ", ".join(f'{{ name = "{name}{n}", address = "{one.address}" }}' for n in range(2))
                both += f"[pools.{name}]\nmembers = [{members}]\n"
            async with persisting_daemon(tmp_path, both) as up:
                await send_requests(up, 5)
            pools = decode_snapshot((tmp_path / CURRENT_FILE).read_bytes()).pools
            assert [len(pools[name].endpoints) for name in "ab"] == [2, 1]
            async with persisting_daemon(tmp_path, both) as up:
                await send_requests(up, 5)

    asyncio.run(play())


def test_backend_with_a_new_address_keeps_its_learned_state_and_is_called_there(tmp_path: Path) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two:
            for current in (one, two):
                text = f'[pools.a]\nmembers = [{{ name = "x", address = "{current.address}" }}]\n' + ALL
                async with persisting_daemon(tmp_path, text) as up:
                    assert any(latencies(up).values()) == (current is two)
                    await send_requests(up, 4)
            assert (one.got.qsize(), two.got.qsize()) == (4, 4)

    asyncio.run(play())


def test_nothing_is_written_while_nothing_changes(tmp_path: Path) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            async with persisting_daemon(tmp_path, pool("a", one.address) + ALL) as up:
                await send_requests(up, 2)
                await until(lambda: (tmp_path / CURRENT_FILE).exists())
                persistence = up.daemon.state_persistence
                assert persistence is not None
                await until(lambda: persistence._last_written_counts is not None)
                # Each write creates a file, whose inode tells it apart; the clock of file times is too coarse.
                before = (tmp_path / CURRENT_FILE).stat().st_ino
                await persistence._write()
                assert (tmp_path / CURRENT_FILE).stat().st_ino == before
                await send_requests(up, 1)
                await persistence._write()
                assert (tmp_path / CURRENT_FILE).stat().st_ino != before

    asyncio.run(play())


@pytest.mark.parametrize("bad", ["no folder", "a file in its place", "broken", "newer", "taken"])
def test_unusable_directory_or_file_is_one_log_line_and_the_daemon_serves(
    bad: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = tmp_path / "kept"
    if bad != "no folder":
        folder.mkdir()
    if bad == "a file in its place":
        folder.rmdir()
        folder.write_text("")
    if bad == "broken":
        (folder / CURRENT_FILE).write_bytes(b"lugspur state 1 5.0\nhalf")
    if bad == "newer":
        (folder / CURRENT_FILE).write_bytes(b"lugspur state 2 5.0\nend x 1\n")
    other = open_store(str(folder)) if bad == "taken" else None

    async def play() -> None:
        async with backend(lambda _: OK) as one, persisting_daemon(folder, pool("a", one.address) + ALL) as up:
            await send_requests(up, 2)
            if bad in ("broken", "newer"):
                await until(lambda: (folder / CURRENT_FILE).exists())  # the daemon writes a new file

    asyncio.run(play())
    if other is not None:
        other.close()
        assert not (folder / CURRENT_FILE).exists()
    output = [line for line in capsys.readouterr().err.splitlines() if line.startswith("lugspur: state: ")]
    assert len(output) == 1


def test_failing_disk_is_one_log_line_and_another_when_it_works_again(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    save, full, write_attempts = SnapshotStore.save, True, 0

    def failing(store: SnapshotStore, data: bytes) -> None:
        nonlocal write_attempts
        write_attempts += 1
        if full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        save(store, data)

    monkeypatch.setattr(SnapshotStore, "save", failing)

    async def play() -> None:
        nonlocal full
        async with backend(lambda _: OK) as one, persisting_daemon(tmp_path, pool("a", one.address) + ALL) as up:
            persistence = up.daemon.state_persistence
            assert persistence is not None
            await send_requests(up, 2)
            for _ in range(3):
                await persistence._write()
            assert persistence._delay_seconds == 4.0  # 500 ms doubled three times by the backoff
            full = False
            await persistence._write()
            assert persistence._delay_seconds == 0.5
            await send_requests(up, 2)

    asyncio.run(play())
    output = [line for line in capsys.readouterr().err.splitlines() if "state: can" in line]
    assert len(output) == 2 and "No space left" in output[0] and "again" in output[1]
    assert write_attempts >= 4


def test_slow_disk_delays_no_request_and_the_end_for_a_moment_only(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    release, started = threading.Event(), threading.Event()

    def slow(store: SnapshotStore, data: bytes) -> None:
        started.set()
        release.wait(20.0)

    monkeypatch.setattr(SnapshotStore, "save", slow)
    monkeypatch.setattr(state_persistence, "LAST_WRITE_TIMEOUT_SECONDS", 0.2)

    async def play() -> None:
        async with backend(lambda _: OK) as one, persisting_daemon(tmp_path, pool("a", one.address) + ALL) as up:
            await send_requests(up, 2)
            await until(started.is_set)
            await send_requests(up, 20)  # the write is in progress all the while
            assert not release.is_set()

    asyncio.run(play())
    release.set()
    assert "too slow" in capsys.readouterr().err


def test_disk_that_hangs_at_the_start_is_not_waited_for(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    release = threading.Event()
    monkeypatch.setattr(SnapshotStore, "load", lambda store: release.wait(20.0))
    monkeypatch.setattr(state_persistence, "READ_TIMEOUT_SECONDS", 0.1)

    async def play() -> None:
        async with backend(lambda _: OK) as one, persisting_daemon(tmp_path, pool("a", one.address) + ALL) as up:
            await send_requests(up, 2)

    asyncio.run(play())
    release.set()
    assert "too slow: nothing is loaded or persisted" in capsys.readouterr().err


def test_state_that_can_not_be_encoded_is_one_log_line_and_stops_neither_service_nor_its_end(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one:
            listed = tmp_path / "list.json"
            listed.write_text(
                json.dumps(
                    {
                        "endpoints": [
                            {
                                "name": "x",
                                "address": one.address,
                                "zone": "",
                                "group": 0,
                                "status": "in_service",
                                "weight": 1.0,
                                "since_ms": 0,
                            }
                        ]
                    }
                )
            )
            text = f'[pools.a]\nfile = "{listed}"\n' + ALL
            folder = tmp_path / "kept"
            folder.mkdir()
            async with persisting_daemon(folder, text) as up:
                await send_requests(up, 2)
                latest = up.daemon.clusters["a"].overrides.latest
                [(server, endpoint)] = latest.items()
                latest[server] = replace(endpoint, address=(object(), 1))  # type: ignore[arg-type]  # on purpose
                persistence = up.daemon.state_persistence
                assert persistence is not None
                for _ in range(2):
                    await persistence._write()
                await send_requests(up, 2)

    asyncio.run(play())
    assert capsys.readouterr().err.count("can't write to") == 1


def test_backends_of_one_name_in_two_pools_are_distinguished(tmp_path: Path) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, backend(lambda _: OK) as two:
            text = (
                "".join(
                    f'[pools.{name}]\nmembers = [{{ name = "x", address = "{box.address}" }}]\n'
                    for name, box in (("a", one), ("b", two))
                )
                + ALL
            )
            async with persisting_daemon(tmp_path, text) as up:
                await send_requests(up, 5)
            async with persisting_daemon(tmp_path, text) as up:
                both = [next(iter(up.daemon.clusters[name].pool.balancer.table.servers.values())) for name in "ab"]
                assert both[0].latency > 0.0 and both[1].latency == 0.0

    asyncio.run(play())


def test_process_keeps_its_state_over_sigkill_and_sigterm(tmp_path: Path) -> None:
    folder = tmp_path / "kept"
    folder.mkdir()

    def start(one: Backend) -> tuple[subprocess.Popen[str], int]:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = int(probe.getsockname()[1])
        file = tmp_path / "f.toml"
        file.write_text(
            HEAD.replace("127.0.0.1:0", f"{HOST}:{port}")
            + '[state]\nfolder = "kept"\nevery = "500ms"\n'
            + pool("a", one.address)
            + ALL
        )
        return subprocess.Popen(
            [sys.executable, "-m", "lugspur", "run", str(file)], cwd=ROOT, text=True, stderr=subprocess.PIPE
        ), port

    async def send_request(port: int) -> None:
        async with asyncio.timeout(20.0):
            while True:
                try:
                    reader, writer = await asyncio.open_connection(HOST, port)
                    break
                except ConnectionError:
                    await asyncio.sleep(0.02)
        writer.write(ask())
        assert (await soon(reader.readuntil(b"\r\n\r\n"))).startswith(b"HTTP/1.1 200 ")
        writer.close()

    async def play() -> None:
        async with backend(lambda _: OK) as one:
            for number in (signal.SIGKILL, signal.SIGTERM, signal.SIGTERM):
                process, port = start(one)
                await send_request(port)
                before = (folder / CURRENT_FILE).stat().st_mtime_ns if (folder / CURRENT_FILE).exists() else 0
                if number == signal.SIGKILL:
                    await until(lambda: (folder / CURRENT_FILE).exists())
                process.send_signal(number)
                _, output = await asyncio.to_thread(process.communicate)
                assert (folder / CURRENT_FILE).stat().st_mtime_ns > before
                assert len(persisted_backends(folder)) == 1
                assert ("backends of 1 pools" in output) == (before > 0)

    asyncio.run(play())


def test_process_that_dies_with_a_file_uses_it_no_third_time(tmp_path: Path) -> None:
    folder = tmp_path / "kept"
    folder.mkdir()
    program = (
        "import asyncio, sys, os\n"
        "from lugspur.daemon.state_persistence import StatePersistence\n"
        "async def play():\n"
        "    persistence = StatePersistence('kept', 5.0, sys.argv[1])\n"
        "    await persistence.open()\n"
        "    print(persistence.snapshot_of('a')[0] is not None, flush=True)\n"
        "    os._exit(1)\n"
        "asyncio.run(play())\n"
    )

    async def play() -> None:
        async with backend(lambda _: OK) as one, persisting_daemon(folder, pool("a", one.address) + ALL) as up:
            await send_requests(up, 2)

    asyncio.run(play())
    found = [
        subprocess.run(
            [sys.executable, "-c", program, str(tmp_path / "f.toml")], cwd=ROOT, text=True, capture_output=True
        ).stdout.strip()
        for _ in range(4)
    ]
    assert found == ["True", "True", "False", "False"]


def test_nothing_of_it_is_imported_without_a_state_table(tmp_path: Path) -> None:
    file = tmp_path / "f.toml"
    file.write_text(HEAD + pool("a", f"{HOST}:1") + ALL)
    program = (
        "import asyncio, sys\nfrom lugspur.config.load import load\nfrom lugspur.daemon.run import RunningDaemon\n"
        "async def play():\n    running = RunningDaemon(sys.argv[1])\n    await running.start(load(sys.argv[1]))\n"
        "    await running.stop()\nasyncio.run(play())\n"
        "optional = ('lugspur.daemon.persistence', 'lugspur.daemon.state_persistence')\n"
        "print([name for name in sys.modules if name.startswith(optional)])\n"
    )
    done = subprocess.run([sys.executable, "-c", program, str(file)], cwd=ROOT, text=True, capture_output=True)
    assert done.stdout.strip() == "[]"


def test_commands_show_verify_and_prune(tmp_path: Path) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, persisting_daemon(tmp_path, pool("a", one.address) + ALL) as up:
            await send_requests(up, 5)
            await until(lambda: (tmp_path / CURRENT_FILE).exists())
            assert run("prune", str(tmp_path / CURRENT_FILE))[0] == 1  # a daemon uses the file

    def run(*words: str) -> tuple[int, str]:
        got = CliRunner().invoke(cli, ("state", *words))
        return got.exit_code, got.output

    asyncio.run(play())
    file = str(tmp_path / CURRENT_FILE)
    status_, output = run("show", file)
    assert status_ == 0 and "pool a" in output and "127.0.0.1:" in output
    status_, output = run("show", "--json", file)
    [row] = json.loads(output)["pools"]["a"]
    assert row["calls"] == 5 and row["failed"] == 0 and row["latency_ms"] > 0.0
    assert run("verify", file) == (0, f"{file}: whole; 1 pools, 1 backends\n")
    time.sleep(0.01)
    assert run("prune", file, "--unseen", "1h") == (0, f"{file}: forgot 0 backends\n")
    assert run("prune", file, "--unseen", "0s") == (0, f"{file}: forgot 1 backends\n")
    assert run("verify", file)[0] == 0
    assert run("prune", file, "--unseen", "soon")[0] == 2
    (tmp_path / CURRENT_FILE).write_bytes((tmp_path / CURRENT_FILE).read_bytes()[:-3])
    for words in (("show", file), ("verify", file), ("prune", file), ("verify", str(tmp_path / "none"))):
        status_, output = run(*words)
        assert status_ == 2 and len(output.splitlines()) == 1, words
