"""The data directory of a control node as version 0.1.0 wrote it: it is read in full, and written on in the same form.

`data/control_node` holds a copy of a directory that a control node of that version has written (a compact copy of the
lmdb environment: 12 KiB). All row names and values stand here as literals. They may not change: a control node that is
updated in place opens what the version before it has left, and an update may be taken back.
"""

from __future__ import annotations

import asyncio
import json
import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest

from lugspur.mesh.cli import replica_check, replica_export, replica_show
from lugspur.mesh.control.messages import Entry, Learn, Voter, decode
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.storage.disk import Disk

DATA = Path(__file__).parent / "data" / "control_node"

UID = b"9c0d1e2f3a4b5c6d"
LOOK = (
    b'{"name":"look","office":"mesh.example","path_prefix":"/look/","mail_class":"safe","deadline_ms":5000,'
    b'"target_ms":500,"priority":1,"service":"rooms","tries":2,"edition":"00000001"}'
)
BOOK = (
    b'{"name":"book","office":"mesh.example","path_prefix":"/book/","mail_class":"tracked","deadline_ms":2500.5,'
    b'"split":[{"service":"rooms","share":3},{"service":"desk","share":1}],"edition":"0000000a"}'
)
ROOMS = b'{"name":"rooms","checkup_path":"/checkup","max_connections":110,"edition":"00000001"}'
DESK = b'{"name":"desk","edition":"00000002","dedupes":true}'
LIMITS = b'{"edition":"00000003","label_bytes":8192}'
NOTE = b'{"name":"caf\xc3\xa9","edition":"0000000f","hue":"amber"}'
MEMBERSHIP = (
    b"\x93\x02"
    b"\x93\x93\xa810.0.0.1\xa7genesis\xa0\x93\xa810.0.0.2\xa7genesis\xa0\x93\xa810.0.0.4\xb09c0d1e2f3a4b5c6d\xa5north"
    b"\x93\x93\xa810.0.0.1\xa7genesis\xa0\x93\xa810.0.0.2\xa7genesis\xa0\x93\xa810.0.0.3\xa7genesis\xa0"
)
PROPOSED = (  # the change with its id: an item, and the withdrawal of another one
    b"\x92\xbb10.0.0.1/a1b2c3d4e5f60718/3"
    b'\x92\x94\xa5notes\xa4next\x10\xc4${"name":"next","edition":"00000010"}'
    b"\x94\xa8services\xa4desk\x11\xc0"
)

#: Every row of the directory, by name, in the order in which lmdb has them.
ROWS = {
    # Keys of operations: who has it, seconds that its request may still be at work, and the answer if there is one.
    b"c\x00\xff": b"\x93\xc4\x0ctry-5.33cc.1\xcb\x00\x00\x00\x00\x00\x00\x00\x00\x93\xcc\xcc\xc4\x00\xc4\x00",
    b"cat-work": b"\x93\xc4\x0ctry-4.22dd.7\xcb@\x00\x00\x00\x00\x00\x00\x00\xc0",
    b"cbooked": (
        b"\x93\xc4\x0ctry-1.00ff.1\xcb\x00\x00\x00\x00\x00\x00\x00\x00"
        b"\x93\xcc\xc8\xc4\x1aContent-Type: text/plain\r\n\xc4\x07booked\n"
    ),
    b"cunclear": b"\x93\xc4\x00\xcb?\xf8\x00\x00\x00\x00\x00\x00\xc0",  # two had it: nobody gets it
    # Items of the configuration: kind, name, edition, value, and the index of the change that brought it.
    b"ilimits\x00": b"\x92\x94\xa6limits\xa0\x03\xc4)" + LIMITS + b"\x06",
    b"imembership\x00": b"\x92\x94\xaamembership\xa0\x02\xc4\x84" + MEMBERSHIP + b"\n",
    b"inotes\x00caf\xc3\xa9": b"\x92\x94\xa5notes\xa5caf\xc3\xa9\x0f\xc43" + NOTE + b"\x07",
    b"iroutes\x00book": b"\x92\x94\xa6routes\xa4book\n\xc4\xc4" + BOOK + b"\x03",
    b"iroutes\x00late": b"\x92\x94\xa6routes\xa4late\x04\xc0\x08",  # withdrawn
    b"iroutes\x00look": b"\x92\x94\xa6routes\xa4look\x01\xc4\xb3" + LOOK + b"\x02",
    b"iservices\x00desk": b"\x92\x94\xa8services\xa4desk\x02\xc43" + DESK + b"\x05",
    b"iservices\x00rooms": b"\x92\x94\xa8services\xa5rooms\x01\xc4U" + ROOMS + b"\x04",
    b"mcomplete": b"\x02",  # the epoch for which all keys are known here
    b"mindex": b"\x92\n\x01",  # the latest change, and the one up to which withdrawals are forgotten
    b"muid": UID,
    # Index, the highest proposal promised, the one accepted, and its change.
    b"mvote": b"\x94\x0b\x92\t\xb910.0.0.2/0011223344556677\x92\x07\xb910.0.0.1/a1b2c3d4e5f60718" + PROPOSED,
}


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A copy of the directory, to be written to."""
    return Path(shutil.copytree(DATA, tmp_path / "data"))


def rows_of(folder: Path) -> dict[bytes, bytes]:
    """All rows of a directory, as a process reads them when it starts."""

    async def run() -> dict[bytes, bytes]:
        disk = Disk(str(folder), 16)
        rows = disk.read_rows()
        disk.start()
        disk.close(5.0)
        assert not disk.damage and [key for key, _ in rows] == sorted(key for key, _ in rows)
        return dict(rows)

    return asyncio.run(run())


def write(folder: Path, rows: list[tuple[bytes, bytes | None]]) -> None:
    """Write rows as a process does."""

    async def run() -> None:
        disk = Disk(str(folder), 16)
        disk.start()
        done = asyncio.Event()
        disk.write(rows, done.set)
        async with asyncio.timeout(20.0):
            await done.wait()
        disk.close(5.0)

    asyncio.run(run())


class Restored:
    """What the decisions of a control node make of rows."""

    def __init__(self, rows: dict[bytes, bytes]) -> None:
        self.published: list[Entry] = []
        self.replica = Replica(
            "10.0.0.4", "drawn", "north", 60.0, 64 << 20, lambda found, _: self.published.extend(found)
        )
        self.replica.restore(list(rows.items()), 100.0)

    def asked(self, *message: Any) -> list[tuple[bytes, bytes | None]]:
        """The rows to write for a message, given by its tag and its fields as they go over a connection."""
        return self.replica.handle(100.0, None, decode(msgspec.msgpack.encode(message))).write

    def told(self, *message: Any) -> list[Any]:
        """The one message that is sent for a message, as its tag and its fields."""
        effects = self.replica.handle(100.0, None, decode(msgspec.msgpack.encode(message)))
        [(_, reply)] = effects.send + effects.after_sync
        found: list[Any] = msgspec.msgpack.decode(msgspec.msgpack.encode(reply))
        return found


def test_all_rows_are_read_as_they_were_written(folder: Path) -> None:
    assert rows_of(folder) == ROWS


def test_what_the_rows_say_is_taken_up(folder: Path) -> None:
    restored = Restored(rows_of(folder))
    assert {(e.kind, e.name, e.edition, e.value) for e in restored.published} == {
        ("limits", "", 3, LIMITS),
        ("membership", "", 2, MEMBERSHIP),
        ("notes", "café", 15, NOTE),
        ("routes", "book", 10, BOOK),
        ("routes", "late", 4, None),
        ("routes", "look", 1, LOOK),
        ("services", "desk", 2, DESK),
        ("services", "rooms", 1, ROOMS),
    }
    # Who promised proposal 9 grants no lower one, and tells what it has accepted under 7.
    proposed = msgspec.msgpack.decode(PROPOSED)
    assert restored.told(6, 11, [8, "p"]) == [7, 11, [8, "p"], False, 10, [9, "10.0.0.2/0011223344556677"], None, None]
    assert restored.told(6, 11, [12, "p"]) == [
        *(7, 11, [12, "p"], True, 10, [12, "p"]),
        *([7, "10.0.0.1/a1b2c3d4e5f60718"], proposed),
    ]
    assert restored.told(14, 1) == [15, 1, True, 10, True]  # a voter, at change 10, with another one accepted
    # It grants keys in epoch 2, since it is complete there; those that are on disk have their owners and answers.
    assert restored.told(9, b"new", b"c", 2, 1.0) == [10, b"new", b"c", 2, True, False, False, None, False, True]
    assert restored.told(9, b"at-work", b"c", 2, 1.0) == [10, b"at-work", b"c", 2, False, True, True, None, False, True]
    assert restored.told(9, b"unclear", b"c", 2, 1.0) == [10, b"unclear", b"c", 2, False, True, True, None, False, True]
    answer = [200, b"Content-Type: text/plain\r\n", b"booked\n"]
    assert restored.told(9, b"booked", b"c", 2, 1.0) == [
        10,
        b"booked",
        b"c",
        2,
        False,
        True,
        False,
        answer,
        False,
        True,
    ]
    assert restored.told(9, b"\x00\xff", b"c", 2, 1.0)[7] == [204, b"", b""]


def test_the_directory_is_written_on_in_the_same_form(folder: Path) -> None:
    restored = Restored(rows_of(folder))
    rows = restored.asked(9, b"new", b"try-6.44.1", 2, 2.5)
    rows += restored.asked(11, b"at-work", b"try-4.22dd.7", [200, b"A: b\r\n", b"yes"])
    rows += restored.asked(9, b"given-back", b"try-7.44.2", 2, 2.5)
    rows += restored.asked(12, b"given-back", b"try-7.44.2")
    rows += restored.asked(6, 11, [12, "10.0.0.1/ffff"])
    write(folder, rows)
    promised = ROWS | {
        b"cat-work": (
            b"\x93\xc4\x0ctry-4.22dd.7\xcb\x00\x00\x00\x00\x00\x00\x00\x00\x93\xcc\xc8\xc4\x06A: b\r\n\xc4\x03yes"
        ),
        b"cnew": b"\x93\xc4\ntry-6.44.1\xcb@\x04\x00\x00\x00\x00\x00\x00\xc0",
        b"mvote": b"\x94\x0b\x92\x0c\xad10.0.0.1/ffff\x92\x07\xb910.0.0.1/a1b2c3d4e5f60718" + PROPOSED,
    }
    assert rows_of(folder) == promised
    change = ["10.0.0.1/ffff/1", [["notes", "x", 1, b"{}"]]]
    write(folder, restored.asked(8, 11, [12, "10.0.0.1/ffff"], change))
    accepted = promised | {
        b"mvote": (
            b"\x94\x0b\x92\x0c\xad10.0.0.1/ffff\x92\x0c\xad10.0.0.1/ffff"
            b"\x92\xaf10.0.0.1/ffff/1\x91\x94\xa5notes\xa1x\x01\xc4\x02{}"
        ),
    }
    assert rows_of(folder) == accepted
    later = [[["notes", "x", 1, b"{}"], 11], [["notes", "café", 16, None], 12]]
    page = decode(msgspec.msgpack.encode([24, 10, 12, 3, 0, later, True]))
    assert isinstance(page, Learn)
    write(folder, restored.replica.learn(100.0, [page]).write)
    assert rows_of(folder) == accepted | {
        b"inotes\x00x": b"\x92\x94\xa5notes\xa1x\x01\xc4\x02{}\x0b",
        b"inotes\x00caf\xc3\xa9": b"\x92\x94\xa5notes\xa5caf\xc3\xa9\x10\xc0\x0c",
        b"mindex": b"\x92\x0c\x03",
    }


def test_a_first_start_writes_the_first_membership_and_its_identity(tmp_path: Path) -> None:
    replica = Replica("10.0.0.1", "genesis", "", 60.0, 64 << 20, lambda *_: None)
    seeds = [Voter(f"10.0.0.{n}", "genesis", "") for n in (3, 1, 2)]
    write(tmp_path, replica.bootstrap(0.0, seeds).write)
    assert rows_of(tmp_path) == {
        b"imembership\x00": (
            b"\x92\x94\xaamembership\xa0\x01\xc4=\x93\x01"
            b"\x93\x93\xa810.0.0.1\xa7genesis\xa0\x93\xa810.0.0.2\xa7genesis\xa0\x93\xa810.0.0.3\xa7genesis\xa0"
            b"\x90\x01"
        ),
        b"mcomplete": b"\x01",
        b"mindex": b"\x92\x01\x00",
        b"muid": b"genesis",
    }


def test_the_names_on_disk_are_the_same(tmp_path: Path) -> None:
    write(tmp_path, [(b"muid", b"x")])
    assert [path.name for path in tmp_path.iterdir()] == ["control"]
    file = tmp_path / "control" / "data.mdb"
    file.write_bytes(b"\xa5" * file.stat().st_size)
    rows = asyncio.run(read_damaged(tmp_path))
    assert rows == [] and {path.name for path in tmp_path.iterdir()} == {"control", "control-damaged"}


async def read_damaged(folder: Path) -> list[tuple[bytes, bytes]]:
    disk = Disk(str(folder), 16)
    rows = disk.read_rows()
    disk.start()
    disk.close(5.0)
    assert disk.damage
    return rows


def test_the_commands_that_look_at_a_directory_say_the_same(folder: Path, capsys: pytest.CaptureFixture[str]) -> None:
    replica_check(folder)
    assert capsys.readouterr().out == f"{folder}: 1335 bytes, no fault\n"
    replica_show(folder, as_json=True)
    assert json.loads(capsys.readouterr().out) == {
        "uid": "9c0d1e2f3a4b5c6d",
        "epoch": 2,
        "index": 10,
        "complete_epoch": 2,
        "voters": {
            "10.0.0.1": {"uid": "genesis", "zone": ""},
            "10.0.0.2": {"uid": "genesis", "zone": ""},
            "10.0.0.4": {"uid": "9c0d1e2f3a4b5c6d", "zone": "north"},
        },
        "promised": 9,
        "pending": True,
        "items": {"limits": 1, "membership": 1, "notes": 1, "routes": 2, "services": 2},
        "dropped": 1,
        "claims": 4,
        "answers": 2,
        "bytes": 1335,
        "faults": [],
    }
    replica_export(folder)
    listed = b",".join
    assert capsys.readouterr().out.encode() == (
        b'{"upsert":{"routes":[%b],"services":[%b],"limits":%b,"notes":[%b]},"withdraw":{}}\n'
        % (listed([BOOK, LOOK]), listed([DESK, ROOMS]), LIMITS, NOTE)
    )
