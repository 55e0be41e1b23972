"""The bytes that a daemon leaves on its disk, as a later build has to read them and to write them again.

These are the state files of its data directory, the promises of a lease voter and the lines of `fleet.history`. Fencing
tokens are kept in memory alone, so they have no form on disk.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from hashlib import sha256
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from daemonic import HEAD, Served, pool, route, served
from loopback import HOST, soon, until

from lugspur.cli.main import cli
from lugspur.config.load import load
from lugspur.daemon.leases.promise_store import CorruptPromiseStoreError, PromiseStore
from lugspur.daemon.leases.voter import Promise
from lugspur.daemon.persistence.snapshot_format import UnreadableSnapshotError, decode_snapshot, encode_snapshot
from lugspur.daemon.persistence.snapshot_store import open_store
from lugspur.daemon.run import RunningDaemon

# Every kind of line, and of each field the values that differ in form: the states of a backend, a zone by its place and
# by its name, a backend without a breaker, a pool without a start, and a pool of which nothing was learned.
COMPLETE = b"""\
lugspur state 1 1700000000.123
["pool","channel",{"at":1001.5}]
["backend","channel",["oak-1","up","2",1,1.5,1699999000.25,"3","10.0.0.1",8080,false]]
["backend","channel",["oak-2","draining","557714163986018881618364336066932065",0,1.0,0.0,"1999270148413907234405","10.0.0.2",8081,true]]
["backend","channel",["elm","gone","-1",0,1.0,0.0,"-1","::1",9000,false]]
["learned","channel",{"server":"oak-1","started":1699999000.25,"latency":0.0125,"seen":1000.5,"downs":2,"down_until":1003.5,"cold_credit":0.75,"cold_seen":1000.25,"breaker":{"baseline":0.0125,"current":0.02,"window":[[1250,3,2,1],[1251,4,4,0]]}}]
["learned","channel",{"server":"oak-2","started":0.0,"latency":0.0,"seen":999.5,"downs":0,"down_until":0.0,"cold_credit":0.0,"cold_seen":0.0,"breaker":null}]
["tier","channel",{"pools":[{"rates":[[1.5,1000.0],[1.25,1000.5],[1.0,1000.75]],"born":900.5,"breaker":{"baseline":0.0125,"current":0.02,"window":[[1250,3,2,1],[1251,4,4,0]]}},{"rates":[[0.0,0.0],[0.0,0.0],[0.0,0.0]],"born":null,"breaker":{"baseline":0.0,"current":0.0,"window":[]}}],"pooled":0.015,"pace":0.5,"paced":7}]
["pool","empty",{"at":0.0}]
end 81ebb9692076b6a89b2f1c9c2d94e58887b941fcd6f98e92d2b28708b7d877fd 9
"""
EMPTY = b"""\
lugspur state 1 1.000
end cf8077add9fd972f5aa5456d563c9639ecd25fea9f9450df9a5f58c8b23ca7d7 1
"""

# What a daemon of two backends left in its data directory when it was killed soon after its second start.
CURRENT = b"""\
lugspur state 1 1796229734.699
["pool","a",{"at":1796229734.6954427}]
["backend","a",["oak-1","up","0",0,1.0,0.0,"0","127.0.0.1",37799,false]]
["backend","a",["oak-2","up","0",0,1.0,0.0,"0","127.0.0.1",44011,false]]
["learned","a",{"server":"oak-1","started":0.0,"latency":0.0010114882776092035,"seen":1796229733.7074323,"downs":0,"down_until":0.0,"cold_credit":0.0,"cold_seen":0.0,"breaker":{"baseline":0.0009542167531044062,"current":0.0009681007590449631,"window":[[7184918934,1,1,0]]}}]
["learned","a",{"server":"oak-2","started":0.0,"latency":0.0003835192900732123,"seen":1796229734.2085912,"downs":0,"down_until":0.0,"cold_credit":0.0,"cold_seen":0.0,"breaker":{"baseline":0.00037177119289988196,"current":0.0003835192900732123,"window":[[7184918934,3,3,0],[7184918936,4,4,0]]}}]
["tier","a",{"pools":[{"rates":[[1.9987445752316193,1796229734.2081878],[1.9987445752316193,1796229734.2081878],[1.998867195740205,1796229734.2085912]],"born":1796229734.2053328,"breaker":{"baseline":0.0,"current":0.0,"window":[[7184918934,4,4,0],[7184918936,4,4,0]]}}],"pooled":0.0008386658449523812,"pace":0.00037190510446359344,"paced":8}]
end 0125167d2bb5b9d9f9a4fd42fe0baa478404eb78837a62c7cb683f88e598e1b5 7
"""
PREVIOUS = b"""\
lugspur state 1 1796229734.195
["pool","a",{"at":1796229734.1947238}]
["backend","a",["oak-1","up","0",0,1.0,0.0,"0","127.0.0.1",37799,false]]
["backend","a",["oak-2","up","0",0,1.0,0.0,"0","127.0.0.1",44011,false]]
["learned","a",{"server":"oak-1","started":0.0,"latency":0.0010114900000530724,"seen":1796229733.7057345,"downs":0,"down_until":0.0,"cold_credit":0.0,"cold_seen":0.0,"breaker":{"baseline":0.0009542175099886662,"current":0.0009681017500042799,"window":[[7184918934,1,1,0]]}}]
["learned","a",{"server":"oak-2","started":0.0,"latency":0.0006254626249919681,"seen":1796229733.707419,"downs":0,"down_until":0.0,"cold_credit":0.0,"cold_seen":0.0,"breaker":{"baseline":0.0006254626249919681,"current":0.0006254626249919681,"window":[[7184918934,3,3,0]]}}]
["tier","a",{"pools":[{"rates":[[1.9980628287141018,1796229733.7070608],[1.9980628287141018,1796229733.7070608],[1.9985308699089142,1796229733.707419]],"born":1796229733.7027168,"breaker":{"baseline":0.0,"current":0.0,"window":[[7184918934,4,4,0]]}}],"pooled":0.0009093226678064462,"pace":0.0006257880368673341,"paced":4}]
end fdb4bd9d591b64c3b6c5c0e473fa7f39f13713aba87e7b404a4bc508624aca51 7
"""
ATTEMPTS = b"1 0125167d2bb5b9d9f9a4fd42fe0baa478404eb78837a62c7cb683f88e598e1b5 7"
DIRECTORY = {"lock": b"", "state": CURRENT, "state.1": PREVIOUS, "tried": ATTEMPTS}

PROMISES = (
    b'{"form":"lugspur promises 1","elector":"edge-1","lease":2.0,"promises":['
    b'{"duty":"nightly-report","epoch":7,"name":"edge-2","life":1099511627775},'
    b'{"duty":"probe:main","epoch":1700000000123,"name":"","life":0}]}\n'
    b"74950ba7028d6f44d4f8e2e62e0e076248a2c0cf67fdb512803420b76a1462ed"
)
NO_PROMISES = (
    b'{"form":"lugspur promises 1","elector":"edge-1","lease":10.0,"promises":[]}\n'
    b"0c235dda21b47a665098c9526ebbcb625850c773c56618d6bcfd03c11d62230f"
)


def left(folder: Path, files: dict[str, bytes]) -> None:
    for name, data in files.items():
        (folder / name).write_bytes(data)
        (folder / name).chmod(0o600)


def found(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def state_command(*words: str) -> tuple[int, str]:
    got = CliRunner().invoke(cli, ("state", *words))
    return got.exit_code, got.output


# ---- the state file ----------------------------------------------------------------------------------


@pytest.mark.parametrize("data", [COMPLETE, CURRENT, PREVIOUS, EMPTY], ids=["complete", "current", "previous", "empty"])
def test_a_state_file_is_read_and_written_again_to_the_same_bytes(tmp_path: Path, data: bytes) -> None:
    left(tmp_path, {"state": data})
    assert state_command("prune", str(tmp_path / "state"), "--unseen", "1h") == (
        0,
        f"{tmp_path / 'state'}: forgot 0 backends\n",
    )
    assert found(tmp_path) == {"state": data, "lock": b""}


def test_the_frame_of_a_state_file_stays() -> None:
    lines = COMPLETE.splitlines(keepends=True)
    assert encode_snapshot(1700000000.1234, lines[1:-1]) == COMPLETE
    assert encode_snapshot(1.0, []) == EMPTY


def test_the_values_of_a_state_file_are_read_as_they_were_written(tmp_path: Path) -> None:
    left(tmp_path, {"state": COMPLETE})
    assert state_command("verify", str(tmp_path / "state")) == (
        0,
        f"{tmp_path / 'state'}: whole; 2 pools, 3 backends\n",
    )
    status, text = state_command("show", "--json", str(tmp_path / "state"))
    shown = json.loads(text)
    assert (status, shown.pop("age_s") > 0.0) == (0, True)
    assert shown == {
        "written": 1700000000.123,
        "pools": {
            "channel": [
                {
                    "backend": "oak-1",
                    "address": "10.0.0.1:8080",
                    "state": "up",
                    "latency_ms": 12.5,
                    "seen_s": 1.0,
                    "calls": 7,
                    "failed": 1,
                    "turned_away": 2,
                },
                {
                    "backend": "oak-2",
                    "address": "10.0.0.2:8081",
                    "state": "draining",
                    "latency_ms": None,
                    "seen_s": 2.0,
                    "calls": 0,
                    "failed": 0,
                    "turned_away": 0,
                },
                {
                    "backend": "elm",
                    "address": "::1:9000",
                    "state": "gone",
                    "latency_ms": None,
                    "seen_s": None,
                    "calls": 0,
                    "failed": 0,
                    "turned_away": 0,
                },
            ],
            "empty": [],
        },
    }


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (COMPLETE.replace(b"lugspur state 1", b"lugspur state 2"), "it is of version 2, and this program reads 1"),
        (COMPLETE[:-1], "its checksum does not fit: it is cut or changed"),
        (b"anything else\n", "it is no state file"),
    ],
)
def test_the_reasons_for_which_a_state_file_is_rejected_stay(data: bytes, reason: str) -> None:
    with pytest.raises(UnreadableSnapshotError) as raised:
        decode_snapshot(data)
    assert str(raised.value) == reason


# ---- the data directory ------------------------------------------------------------------------------


def test_a_data_directory_is_opened_and_its_start_counted(tmp_path: Path) -> None:
    left(tmp_path, DIRECTORY)
    store = open_store(str(tmp_path))
    assert store.load().snapshot == decode_snapshot(CURRENT)
    assert found(tmp_path) == DIRECTORY | {"tried": b"2" + ATTEMPTS[1:]}
    store.save(COMPLETE)
    assert found(tmp_path) == DIRECTORY | {"state": COMPLETE, "state.1": CURRENT, "tried": b"2" + ATTEMPTS[1:]}
    assert {path.stat().st_mode & 0o777 for path in tmp_path.iterdir()} == {0o600}
    store.confirm_start()
    assert found(tmp_path) == {"lock": b"", "state": COMPLETE, "state.1": CURRENT}
    store.close()


def test_a_generation_that_failed_two_starts_is_set_aside(tmp_path: Path) -> None:
    left(tmp_path, DIRECTORY | {"tried": b"2" + ATTEMPTS[1:], "state.aside-7": b"former"})
    store = open_store(str(tmp_path))
    assert store.load().snapshot == decode_snapshot(PREVIOUS)
    store.close()
    assert found(tmp_path) == {
        "lock": b"",
        "state.1": PREVIOUS,
        "state.aside-7": b"former",
        "state.aside-8": CURRENT,
        "tried": b"1 fdb4bd9d591b64c3b6c5c0e473fa7f39f13713aba87e7b404a4bc508624aca51 7",
    }


def test_a_daemon_goes_on_with_a_data_directory(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    members = "".join(f'{{ name = "oak-{n}", address = "{HOST}:{port}" }},' for n, port in ((1, 37799), (2, 44011)))
    text = f'[state]\nfolder = "{tmp_path}"\nevery = "500ms"\n[pools.a]\nmembers = [{members}]\n'

    async def play() -> None:
        async with served(text + route("all", "/*", 'pool = "a"\nclass = "read"')):
            pass

    left(tmp_path, DIRECTORY)
    asyncio.run(play())
    assert "lugspur: state: 2 backends of 1 pools, " in capsys.readouterr().err
    assert found(tmp_path).keys() == {"lock", "state", "state.1"}
    assert found(tmp_path)["state.1"] == CURRENT
    lines = [json.loads(line) for line in found(tmp_path)["state"].splitlines()[1:-1]]
    assert [(kind, name) for kind, name, _ in lines if kind != "learned"] == [
        ("pool", "a"),
        ("backend", "a"),
        ("backend", "a"),
        ("tier", "a"),
    ]
    assert lines[1][2] == ["oak-1", "up", "0", 0, 1.0, 0.0, "0", "127.0.0.1", 37799, False]


# ---- the promises of a lease voter -------------------------------------------------------------------


def test_the_promises_of_a_voter_are_read_and_written_again_to_the_same_bytes(tmp_path: Path) -> None:
    left(tmp_path, {"promises": PROMISES})
    kept = PromiseStore(str(tmp_path), "edge-1", 0.5)
    assert kept.lease_seconds == 2.0
    assert kept.promises == [
        Promise("nightly-report", 7, "edge-2", (1 << 40) - 1),
        Promise("probe:main", 1700000000123, "", 0),
    ]
    (tmp_path / "promises").unlink()
    kept.write(kept.promises)
    assert found(tmp_path) == {"promises": PROMISES, "promises.lock": b""}
    assert {path.stat().st_mode & 0o777 for path in tmp_path.iterdir()} == {0o600}
    kept.close()


def test_a_voter_without_promises_writes_an_empty_list(tmp_path: Path) -> None:
    kept = PromiseStore(str(tmp_path), "edge-1", 10.0)
    kept.write([])
    kept.close()
    assert found(tmp_path) == {"promises": NO_PROMISES, "promises.lock": b""}


@pytest.mark.parametrize(
    ("name", "data", "reason"),
    [
        ("edge-2", PROMISES, "it is that of elector 'edge-1'"),
        ("edge-1", PROMISES[:-1], "its checksum is wrong"),
    ],
)
def test_the_reasons_for_which_promises_are_rejected_stay(tmp_path: Path, name: str, data: bytes, reason: str) -> None:
    left(tmp_path, {"promises": data})
    with pytest.raises(CorruptPromiseStoreError) as raised:
        PromiseStore(str(tmp_path), name, 1.0)
    assert str(raised.value) == reason


VOTER = """[management]
address = "127.0.0.1:0"
[fleet]
name = "f"
member = "edge-{number}"
address = "{network}.{number}:7946"
seeds = ["{network}.1:7946"]
electors = ["edge-1", "edge-2", "edge-3"]
lease = "2s"
duties = [{roles}]
folder = "."
history = "history"
"""


def of_another_voter(name: str) -> bytes:
    """The same promises in the file of another voter."""
    body = PROMISES.partition(b"\n")[0].replace(b'"elector":"edge-1"', f'"elector":"{name}"'.encode())
    return body + b"\n" + sha256(body).hexdigest().encode()


@asynccontextmanager
async def voter(folder: Path, number: int, roles: str = "") -> AsyncIterator[Served]:
    """A daemon whose data directory and settings file are in this directory."""
    file = folder / "lugspur.toml"
    pid = os.getpid()  # A part of the loopback range that no other test process uses.
    text = VOTER.format(network=f"127.{64 + (pid >> 8) % 128}.{pid % 256}", number=number, roles=roles)
    file.write_text(HEAD + pool("p", f"{HOST}:9") + route("r", "/*", 'pool = "p"\nclass = "read"') + text)
    running = RunningDaemon(str(file))
    await running.start(load(str(file)))
    try:
        yield Served(running, file)
    finally:
        await soon(running.stop())


async def called(up: Served, method: str, path: str, body: str = "") -> tuple[int, dict[str, Any]]:
    """One call of the management address, as the commands make it."""
    assert up.running.admin is not None
    reader, writer = await asyncio.open_connection(HOST, up.running.admin.port())
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    head, _, text = (await soon(reader.read())).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), json.loads(text)


def test_a_voter_goes_on_from_its_promises_and_writes_its_history(tmp_path: Path) -> None:
    one, two = tmp_path / "1", tmp_path / "2"
    for folder, data in ((one, PROMISES), (two, of_another_voter("edge-2"))):
        folder.mkdir()
        left(folder, {"promises": data})
    seen: dict[str, tuple[int, dict[str, Any]]] = {}

    async def play() -> None:
        async with voter(one, 1, '"nightly-report"') as up, voter(two, 2):
            await until(lambda: (one / "history").read_bytes() != b"")
            seen["may"] = await called(up, "POST", "/fleet/may", "nightly-report")
            for path in ("members", "view", "duties"):
                seen[path] = await called(up, "GET", f"/fleet/{path}")

    asyncio.run(play())
    assert {path.name for path in one.iterdir()} == {"lugspur.toml", "history", "promises", "promises.lock"}
    written = json.loads((one / "promises").read_bytes().partition(b"\n")[0])
    first, second = written.pop("promises")
    assert written == {"form": "lugspur promises 1", "elector": "edge-1", "lease": 2.0}
    assert list(first) == ["duty", "epoch", "name", "life"]
    assert (first["duty"], first["name"]) == ("nightly-report", "edge-1")
    assert second == {"duty": "probe:main", "epoch": 1700000000123, "name": "", "life": 0}
    rows = [json.loads(line) for line in (one / "history").read_text().splitlines()]
    assert all(list(row) == ["at", "member", "life", "duty", "epoch", "left"] for row in rows)
    assert {(row["member"], row["duty"], row["life"]) for row in rows} == {("edge-1", "nightly-report", first["life"])}
    # The epoch after the highest that was promised: a lower one would let acts of the former leader pass.
    assert rows[0]["epoch"] == 8
    assert 0.0 < rows[0]["left"] < 2.0
    status, may = seen["may"]
    assert (status, list(may), may["duty"]) == (200, ["duty", "epoch", "left"], "nightly-report")
    assert list(seen["members"][1]) == ["fleet", "member", "digest", "members", "counts"]
    assert [list(member) for member in seen["members"][1]["members"]] == [
        ["name", "address", "state", "zone", "version", "started", "draining", "elector"]
    ] * 2
    assert list(seen["view"][1]) == ["member", "there", "digest", "bytes"]
    assert list(seen["duties"][1]) == ["member", "duties", "down", "vain"]
    [duty] = seen["duties"][1]["duties"]
    assert list(duty) == ["duty", "ours", "epoch", "holder", "left"]
    assert (duty["duty"], duty["ours"], duty["holder"]) == ("nightly-report", True, "edge-1")
