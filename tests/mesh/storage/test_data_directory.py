"""A control node's data directory: the commands that inspect it, and its use by a process after damage."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import lmdb
import msgspec
import pytest
from meshcalls import call, route, service

from lugspur.mesh.cli import replica_check, replica_export, replica_show
from lugspur.mesh.control.errors import MeshError
from lugspur.mesh.control.items import read_changes
from lugspur.mesh.control.messages import BackendResponse, Change, CompleteKey, Item, ProposalNumber, ReserveKey, Voter
from lugspur.mesh.control.messages.coordination import CoordinationAccept
from lugspur.mesh.control.messages.coordination_records import CellRecord, CoordinationChange, LockRecord
from lugspur.mesh.control.replica import GENESIS, Replica
from lugspur.mesh.coordination.acceptor import CoordinationAcceptor
from lugspur.mesh.storage.data_directory import export_items, read_directory, summarize
from lugspur.mesh.storage.disk import COORDINATION_DIRECTORY_NAME, DAMAGED_DIRECTORY_NAME, DIRECTORY_NAME, Disk

CALL = call(route("r"), services=[service()])
SEEDS = [Voter(f"10.0.0.{n}", GENESIS, "") for n in (1, 2, 3)]


def write_replica(folder: Path) -> None:
    """Write the rows of a voter after a configuration, a reservation and a response."""
    voter = Replica("10.0.0.1", GENESIS, "z", 60.0, 64 << 20, lambda entries, forgotten: None)
    effects = [
        voter.bootstrap(0.0, SEEDS),
        voter.decide(0.0, Change("first", read_changes(CALL))),
        voter.handle(0.0, None, ReserveKey(b"k", b"a", 1, 2.0)),
        voter.handle(0.0, None, ReserveKey(b"l", b"b", 1, 2.0)),
        voter.handle(1.0, None, CompleteKey(b"k", b"a", BackendResponse(200, b"", b"hi"))),
    ]
    put_rows(folder, [row for effect in effects for row in effect.write])


def put_rows(folder: Path, rows: list[tuple[bytes, bytes | None]], name: str = DIRECTORY_NAME) -> None:
    (folder / name).mkdir(exist_ok=True, parents=True)
    with lmdb.open(str(folder / name), map_size=16 << 20, lock=False) as env, env.begin(write=True) as txn:
        for key, value in rows:
            assert value is not None
            txn.put(key, value)


def test_a_data_directory_is_shown_and_its_items_can_be_exported_to_another_mesh(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    write_replica(tmp_path)
    found = summarize(read_directory(tmp_path))
    assert (found["uid"], found["epoch"], found["complete_epoch"], found["claims"], found["answers"]) == (
        GENESIS,
        1,
        1,
        2,
        1,
    )
    assert set(found["voters"]) == {s.ip for s in SEEDS} and found["faults"] == []
    before = sorted(path.read_bytes() for path in (tmp_path / DIRECTORY_NAME).iterdir())
    replica_check(tmp_path)
    replica_show(tmp_path, as_json=True)
    replica_export(tmp_path)
    checked, shown, exported = capsys.readouterr().out.splitlines()
    assert "no fault" in checked and json.loads(shown) == found
    assert {e.name for e in read_changes(exported.encode())} == {e.name for e in read_changes(CALL)}
    assert export_items(read_directory(tmp_path)).decode() == exported
    assert sorted(path.read_bytes() for path in (tmp_path / DIRECTORY_NAME).iterdir()) == before  # nothing is written


def test_each_fault_is_reported(tmp_path: Path) -> None:
    write_replica(tmp_path)
    put_rows(tmp_path, [(b"ck", b"\xc1junk"), (b"zz", b"1"), (b"iroutes\0other", read_row(tmp_path, b"iroutes\0r"))])
    faults = read_directory(tmp_path).faults
    assert len(faults) == 3
    assert "can't be read" in faults[0] and "holds routes 'r'" in faults[1] and "no row" in faults[2]
    with pytest.raises(MeshError, match="no row"):
        replica_check(tmp_path)
    with pytest.raises(MeshError, match="no replica"):
        read_directory(tmp_path / "elsewhere")
    (tmp_path / DIRECTORY_NAME / "data.mdb").write_bytes(bytes(20_000))
    with pytest.raises(MeshError, match="state"):
        read_directory(tmp_path)


def read_row(folder: Path, key: bytes) -> bytes:
    with lmdb.open(str(folder / DIRECTORY_NAME), readonly=True, lock=False) as env, env.begin() as txn:
        found = txn.get(key)
        assert found is not None
        return bytes(found)


def test_rows_that_contradict_each_other_are_a_fault(tmp_path: Path) -> None:
    voter = Replica("10.0.0.1", GENESIS, "z", 60.0, 64 << 20, lambda entries, forgotten: None)
    rows = dict(voter.bootstrap(0.0, SEEDS).write)
    rows[b"muid"] = b"another"
    entry = next(e for e in read_changes(call(route("r"))) if e.kind == "routes")
    rows[b"iroutes\0r"] = msgspec.msgpack.encode(Item(entry, 2))
    put_rows(tmp_path, list(rows.items()))
    faults = read_directory(tmp_path).faults
    assert len(faults) == 2 and "no voter" in faults[0] and "unknown service" in faults[1]


@pytest.mark.parametrize("damage", ["head", "pages"])
def test_a_damaged_file_is_set_aside_and_the_disk_is_an_empty_one(tmp_path: Path, damage: str) -> None:
    write_replica(tmp_path)
    put_rows(tmp_path, [(b"c%d" % n, bytes(500)) for n in range(100)])
    file = tmp_path / DIRECTORY_NAME / "data.mdb"
    data = bytearray(file.read_bytes())
    begin, end = (0, 8192) if damage == "head" else (8192, len(data))
    data[begin:end] = b"\xa5" * (end - begin)
    file.write_bytes(data)

    async def run() -> None:
        disk = Disk(str(tmp_path), 16)
        assert disk.read_rows() == [] and disk.damage
        damaged = tmp_path / DAMAGED_DIRECTORY_NAME / "data.mdb"
        assert damaged.read_bytes() == bytes(data)  # kept for inspection
        disk.start()
        done = asyncio.Event()
        disk.write([(b"muid", b"new")], done.set)
        async with asyncio.timeout(20.0):
            await done.wait()
        disk.close(5.0)
        again = Disk(str(tmp_path), 16)
        assert again.read_rows() == [(b"muid", b"new")] and not again.damage
        again.start()
        again.close(5.0)

    asyncio.run(run())


def write_coordination(folder: Path) -> None:
    """Write the rows of coordination after one decided change, and one that was accepted."""
    voter = Replica("10.0.0.1", GENESIS, "z", 60.0, 64 << 20, lambda entries, forgotten: None)
    voter.bootstrap(0.0, SEEDS)
    acceptor = CoordinationAcceptor(voter, 20.0)
    change = CoordinationChange("c", [LockRecord("l", "h", 1, 1000), CellRecord("g.a", "v", 1)])
    accept = CoordinationAccept(1, ProposalNumber(4, "p"), 2, change)
    effects = [acceptor.begin(), acceptor.decide(0.0, 1, change), acceptor.accept(0.0, None, accept)]
    put_rows(folder, [row for effect in effects for row in effect.write], COORDINATION_DIRECTORY_NAME)


def test_the_coordination_state_is_shown(tmp_path: Path) -> None:
    write_replica(tmp_path)
    write_coordination(tmp_path)
    found = summarize(read_directory(tmp_path))
    assert found["faults"] == []
    assert {name: value for name, value in found["coordination"].items() if name != "bytes"} == {
        **{"index": 1, "locks": 1, "numbers": 0, "keys": 1, "puts": 1, "promised": 4, "pending": True},
        **{"complete_epoch": 1, "genesis_epoch": 1},
    }


@pytest.mark.parametrize(("key", "value"), [(b"kll", b"\xc1"), (b"x", b""), (b"kvote", b"\x90")])
def test_an_unreadable_row_of_coordination_is_a_fault(tmp_path: Path, key: bytes, value: bytes) -> None:
    write_replica(tmp_path)
    write_coordination(tmp_path)
    put_rows(tmp_path, [(key, value)], COORDINATION_DIRECTORY_NAME)
    assert len(read_directory(tmp_path).faults) == 1
