"""The commands and their output, and the imports of the platform's proxy."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner
from daemonic import HEAD, pool, route
from loopback import WIDE

from lugspur.bench import main as bench
from lugspur.cli.main import cli
from lugspur.demo.world import World
from lugspur.standins.callers import Outcome

ROOT = Path(__file__).parent.parent.parent
EXAMPLE = str(ROOT / "deploy" / "example.toml")


def command(*words: str) -> tuple[int, str]:
    """Return the exit status and the output of a command."""
    got = CliRunner().invoke(cli, words)
    return got.exit_code, got.output


def test_check_prints_the_contents_of_a_valid_file() -> None:
    assert command("check", EXAMPLE) == (0, f"{EXAMPLE}: no fault; 1 listener, 3 classes, 4 pools, 6 routes\n")


def test_check_reports_every_fault_and_exits_with_2(tmp_path: Path) -> None:
    file = tmp_path / "f.toml"
    file.write_text(HEAD + "[limits]\n[pools.a]\n")
    status, output = command("check", str(file))
    assert status == 2 and "already defined above" in output and f"{file}:" in output
    file.write_text(HEAD + pool("a", "h:1") + route("r", "s", 'pool = "a"') + route("t", "/t", 'pool = "b"'))
    status, output = command("check", str(file))
    assert status == 2 and len(output.splitlines()) == 2


def test_explain_names_the_route_and_why_the_others_do_not_match() -> None:
    status, output = command("explain", EXAMPLE, "put", "/hotels/7/./rates/x?y=1", "-H", "X-Tenant-Id: a")
    assert status == 0 and "route rates: pool channel 90%, channel-canary 10%; then channel-standby" in output
    assert "path hotel = 7, * = /x" in output and "class rate-push: safe, fails after 1s" in output
    assert "not book: path /hotels/7/rates/x does not match /bookings" in output
    status, output = command("explain", EXAMPLE, "GET", "http://a.inventory.example/v1/rooms/9")
    assert status == 0 and "route rooms" in output and "backends see /rooms/9" in output
    status, output = command("explain", EXAMPLE, "GET", "/rooms/9")
    assert status == 0 and "redirect 308" in output
    assert command("explain", EXAMPLE, "GET", "/none")[0] == 1
    assert command("explain", EXAMPLE, "GET", "/a%2fb") == (2, "/a%2fb: answered 400: the path has an encoded slash\n")
    assert command("explain", EXAMPLE, "GET", "/", "-H", "nocolon")[0] == 2


def test_explain_shows_request_coalescing() -> None:
    status, output = command("explain", str(ROOT / "deploy" / "joining.toml"), "GET", "/v1/availability/h1")
    assert status == 0 and "identical requests of all tenants share a call at most 0.1s old" in output


def test_explain_shows_the_deciding_rule(tmp_path: Path) -> None:
    file = tmp_path / "f.toml"
    file.write_text(
        HEAD
        + pool("a", "h:1")
        + "".join(
            route(f"r{n}", path, 'pool = "a"')
            for n, path in enumerate(["/a", "/{x}", "/*", *(f"/n{n}" for n in range(20))])
        )
    )
    status, output = command("explain", str(file), "GET", "/a")
    assert status == 0 and "beats r1: by path" in output and "and 10 more that don't match" in output
    assert "not r22" in command("explain", str(file), "GET", "/a", "--all")[1]


def test_run_serves_reloads_and_stops(tmp_path: Path) -> None:
    file = tmp_path / "f.toml"
    reply = route("r", "/", 'reply = { status = 200, body = "one" }')
    file.write_text(HEAD + reply)
    process = subprocess.Popen(
        [sys.executable, "-m", "lugspur", "run", str(file)], cwd=ROOT, text=True, stderr=subprocess.PIPE
    )
    assert process.stderr is not None
    try:
        line = process.stderr.readline()
        port = int(line.rpartition(":")[2])
        assert line == f"lugspur: listener main at 127.0.0.1:{port}\n"

        def body() -> bytes:
            with socket.create_connection(("127.0.0.1", port), WIDE) as sock:
                sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                return b"".join(iter(lambda: sock.recv(1 << 16), b"")).partition(b"\r\n\r\n")[2]

        assert body() == b"one"
        file.write_text(HEAD + reply.replace("one", "two"))
        process.send_signal(signal.SIGHUP)
        assert process.stderr.readline() == "lugspur: reload: done\n" and body() == b"two"
        file.write_text("[")
        process.send_signal(signal.SIGHUP)
        assert "reload: nothing is changed: " in process.stderr.readline() and body() == b"two"
        process.send_signal(signal.SIGTERM)
        assert process.wait(WIDE) == 0
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def test_run_reports_in_one_line_why_it_can_not_start(tmp_path: Path) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        file = tmp_path / "f.toml"
        file.write_text(f'[listeners.main]\naddress = "127.0.0.1:{taken.getsockname()[1]}"\n')
        status, output = command("run", str(file))
        assert status == 1 and len(output.splitlines()) == 1 and "listener main can't bind 127.0.0.1:" in output
    status, output = command("run", str(tmp_path / "none"))
    assert status == 2 and output == f"{tmp_path}/none: No such file or directory\n"


def imported(module: str) -> set[str]:
    """Return the modules that a new interpreter has loaded after an import."""
    output = subprocess.run(
        [sys.executable, "-c", f"import sys, {module}; print(*sys.modules)"],
        cwd=ROOT,
        text=True,
        check=True,
        capture_output=True,
    )
    return set(output.stdout.split())


def test_the_platforms_proxy_imports_nothing_of_the_rest() -> None:
    modules = imported("lugspur.__main__, lugspur.daemon.service")
    assert not {"click", "rich", "tomllib", "lugspur.config.load", "lugspur.daemon.daemon"} & modules
    optional = ("lugspur.zookeeper", "lugspur.discovery.registry", "lugspur.http2", "lugspur.grpc")
    assert not [name for name in modules if name.startswith(optional)]
    assert not {"h2", "hpack", "hyperframe"} & modules


@pytest.mark.parametrize("module", ["lugspur.daemon.service", "lugspur.daemon.run", "lugspur.cli.main"])
def test_the_runtime_never_imports_stand_ins(module: str) -> None:
    parts = ("lugspur.standins", "lugspur.bench", "lugspur.demo")
    assert not [name for name in imported(module) if name.startswith(parts)]


def test_without_click_the_commands_name_the_package_to_install() -> None:
    code = (
        "import sys; sys.modules['click'] = None; sys.argv = ['lugspur', 'check']; import lugspur.__main__ as m; "
        "sys.exit(m.main())"
    )
    got = subprocess.run([sys.executable, "-c", code], cwd=ROOT, text=True, capture_output=True, check=False)
    assert got.returncode == 2 and "install lugspur[cli]" in got.stderr


def test_the_demo_ends_by_itself_with_a_table() -> None:
    got = subprocess.run(
        [sys.executable, "-m", "lugspur", "demo", "--seconds", "3"],
        cwd=ROOT,
        text=True,
        capture_output=True,
        check=False,
        env=os.environ | {"COLUMNS": "120"},
    )
    assert got.returncode == 0, got.stdout + got.stderr
    assert "0 lost, 0 doubled, 0 sent to a draining backend after the grace" in got.stdout
    assert "channel-core-2    │ killed" in got.stdout and "inventory-store-1 │ draining" in got.stdout


def test_the_demo_detects_a_request_that_is_doubled_lost_or_late(tmp_path: Path) -> None:
    import asyncio

    from lugspur.demo.world import TierBackend
    from lugspur.standins.backend import Backend

    async def work(_: object) -> tuple[int, bytes]:
        return 200, b""

    async def play() -> None:
        world = World(tmp_path, 1)
        for name in ("edge-api-1", "edge-api-2"):
            world.backends[name] = TierBackend("edge-api", Backend(name, work))
            world.backends[name].backend.ran.update(["rate-push-1", "booking-new-2"])
        assert world.doubled() == 1
        world.backends["edge-api-1"].late = 2
        assert world.late() == 2
        world.tally["rate-push"].add(Outcome(0, 1.0))
        assert world.tally["rate-push"].statuses == {0: 1}

    asyncio.run(play())


def test_the_bench_measures_every_contestant(monkeypatch: pytest.MonkeyPatch) -> None:
    """Run a short form; only figures of an idle machine are of use."""
    monkeypatch.setattr(bench, "ROUNDS", 1)
    monkeypatch.setattr(bench, "COUNTS", (10, 100))
    monkeypatch.setattr(bench, "LOOKUPS", 100)
    output: list[str] = []
    bench.report(200, output.append)
    text = "\n".join(output)
    assert all(f"| {kind} | {name} |" in text for kind in ("read", "book") for name in ("relay", "platform", "run"))
    assert "| 100 | " in text


@pytest.mark.parametrize(
    ("words", "expected"),
    [
        (("zoo", "/a", "--name", "n", "--address", "h:1"), 'registry "zoo" is not in the file; known are zk'),
        (("zk", "a", "--name", "n", "--address", "h:1"), '"a" is not a path of a registry node'),
        (("zk", "/a", "--name", "n/m", "--address", "h:1"), '"n/m" is not the name of a registry node'),
        (("zk", "/a", "--name", "n", "--address", "h"), "is not an address of the form host:port"),
        (("zk", "/a", "--name", "n", "--address", "h:1", "--every", "5"), '"5": it has no unit'),
        (
            ("zk", "/a", "--name", "n", "--address", "h:1", "--check", "ftp://x"),
            "write http://HOST:PORT/PATH or tcp://",
        ),
        (("zk", "/a", "--name", "n", "--address", "h:1", "--weight", "0"), "--weight a number from 0.001"),
    ],
)
def test_register_reports_what_to_write_instead(tmp_path: Path, words: tuple[str, ...], expected: str) -> None:
    file = tmp_path / "f.toml"
    file.write_text(HEAD + '[registries.zk]\nensemble = ["127.0.0.1:1"]\n')
    status, output = command("register", str(file), *words)
    assert status == 2 and expected in output


def test_the_stand_in_registry_serves_and_obeys_a_script_and_its_input(tmp_path: Path) -> None:
    script = tmp_path / "script"
    script.write_text("set /a/b hello  # a comment\nwait 1ms\nfrobnicate\n")
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "lugspur.standins.zookeeper",
            "--listen",
            "127.0.0.1:0,127.0.0.1:0",
            "--script",
            str(script),
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert process.stdin and process.stdout and process.stderr
    try:
        ready = process.stdout.readline()
        assert ready.startswith("ready 127.0.0.1:") and ready.count(",") == 1
        assert "'frobnicate' is no command" in process.stderr.readline()
        answers = []
        for line in ("stall 1", "late 0 200ms", "mend 1", "stall 7", "late 0", "expire /a", "delete /a", "help", ""):
            process.stdin.write(line + "\n")
            process.stdin.flush()
            answers.append(process.stdout.readline().strip())
        assert answers[:3] == ["ok"] * 3 and answers[3] == "error: there is no server 7; they are 0 to 1"
        assert answers[4] == "error: late takes other words; it was given 1" and answers[6] == "error: NOT_EMPTY"
        assert "garbage" in answers[7] and answers[8] == "ok"
    finally:
        process.kill()
        process.communicate()
