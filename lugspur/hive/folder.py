"""A comb's folder as it lies on disk, looked at without its process: what is in it, and whether it can be used.

Nothing is written. Of a comb that runs, what is read may be of two moments.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from lugspur.hive import items
from lugspur.hive.comb import BALLOT, FULL, ROSTER, UID, item_key
from lugspur.hive.disk import NAME
from lugspur.hive.errors import HiveError, Kind
from lugspur.hive.ledger import Ledger
from lugspur.hive.wire import Entry, Kept, Roster

_entry = msgspec.msgpack.Decoder(Entry)
_kept = msgspec.msgpack.Decoder(Kept)
_roster = msgspec.msgpack.Decoder(Roster)
_full = msgspec.msgpack.Decoder(tuple[int, bool])
_ballot = msgspec.msgpack.Decoder(tuple[int, tuple[int, str], tuple[int, str] | None, Roster | None])


@dataclass(slots=True)
class Found:
    """What a folder holds; `faults`: what a comb would not start with, one line each."""

    uid: str = ""
    roster: Roster | None = None
    full: bool = False
    promised: int = 0  # the number of the highest ballot that it has promised in this epoch
    ledger: Ledger = field(default_factory=Ledger)
    claims: int = 0
    answers: int = 0
    size: int = 0  # bytes of all rows
    faults: list[str] = field(default_factory=list)


def look(folder: Path) -> Found:
    """Read a `data_dir`; raises HiveError (STATE) where there is nothing that can be read as a comb's."""
    path = folder / NAME
    if not (path / "data.mdb").is_file():
        raise HiveError(Kind.STATE, f"{folder}: no comb has kept anything here")
    found = Found()
    try:
        with lmdb.open(str(path), readonly=True, lock=False, create=False, max_readers=1) as env:
            with env.begin() as txn:
                for key, value in txn.cursor():
                    _take(found, bytes(key), bytes(value))
    except lmdb.Error as fault:
        if found.size == 0:
            raise HiveError(Kind.STATE, f"{folder}: {fault}") from None
        found.faults.append(f"the rest can't be read: {fault}")
    found.faults += _apart(found)
    return found


def _take(found: Found, key: bytes, value: bytes) -> None:
    found.size += len(key) + len(value)
    try:
        if key.startswith(b"i"):
            entry = _entry.decode(value)
            if item_key(entry) != key:
                found.faults.append(f"{key!r} holds {entry.kind} {entry.name!r}")
            found.ledger.merge([entry])
        elif key.startswith(b"c"):
            kept = _kept.decode(value)
            found.claims += 1
            found.answers += kept.answer is not None
        elif key == UID:
            found.uid = value.decode()
        elif key == ROSTER:
            found.roster = _roster.decode(value)
        elif key == FULL:
            found.full = _full.decode(value)[1]
        elif key == BALLOT:
            found.promised = _ballot.decode(value)[1][0]
        else:
            found.faults.append(f"{key!r} is no row of a comb's")
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        found.faults.append(f"{key!r} can't be read: {fault}")


def _apart(found: Found) -> Iterator[str]:
    """What does not fit together."""
    if not found.uid:
        yield "the disk has no name"
    if found.full and found.roster is not None and found.uid not in {seat.uid for seat in found.roster.seats}:
        yield "it says that it has all that a seat must have, and has no seat"
    routes = found.ledger.standing(items.ROUTES)
    services = found.ledger.standing(items.SERVICES)
    for name, value in routes.items():
        try:
            route = items.read_route(value)
        except msgspec.MsgspecError as fault:
            yield f"route {name!r} can't be read: {fault}"
            continue
        for service in route.services():
            if service not in services:
                yield f"route {name!r} names the unknown service {service!r}"


def told(found: Found) -> dict[str, Any]:
    """What operators are shown of it."""
    roster = found.roster
    kinds: dict[str, int] = {}
    dropped = 0
    for entry in found.ledger.all():
        dropped += entry.value is None
        kinds[entry.kind] = kinds.get(entry.kind, 0) + (entry.value is not None)
    return {
        "uid": found.uid,
        "epoch": 0 if roster is None else roster.epoch,
        "full": found.full,
        "seats": {} if roster is None else {s.ip: {"uid": s.uid, "zone": s.zone} for s in roster.seats},
        "promised": found.promised,
        "items": kinds,
        "dropped": dropped,
        "claims": found.claims,
        "answers": found.answers,
        "bytes": found.size,
        "faults": found.faults,
    }


def export(found: Found) -> bytes:
    """All items that stand, as a call of the operator that brings them to another mesh."""
    return msgspec.json.encode({"upsert": msgspec.Raw(items.read_back(found.ledger)), "withdraw": {}})
