"""A replica's folder as it lies on disk, looked at without its process: what is in it, and whether it can be used.

Nothing is written. Of a replica that runs, what is read may be of two moments.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from lugspur.control import items
from lugspur.control.errors import Kind, MeshError
from lugspur.control.messages import Entry, Kept, Membership
from lugspur.control.replica import BALLOT, FULL, ROSTER, UID, item_key
from lugspur.control.store import Store
from lugspur.mesh.disk import NAME

_entry = msgspec.msgpack.Decoder(Entry)
_kept = msgspec.msgpack.Decoder(Kept)
_membership = msgspec.msgpack.Decoder(Membership)
_full = msgspec.msgpack.Decoder(tuple[int, bool])
_ballot = msgspec.msgpack.Decoder(tuple[int, tuple[int, str], tuple[int, str] | None, Membership | None])


@dataclass(slots=True)
class Found:
    """What a folder holds; `faults`: what a replica would not start with, one line each."""

    uid: str = ""
    membership: Membership | None = None
    full: bool = False
    promised: int = 0  # the number of the highest ballot that it has promised in this epoch
    store: Store = field(default_factory=Store)
    claims: int = 0
    answers: int = 0
    size: int = 0  # bytes of all rows
    faults: list[str] = field(default_factory=list)


def look(folder: Path) -> Found:
    """Read a `data_dir`; raises MeshError (STATE) where there is nothing that can be read as a replica's."""
    path = folder / NAME
    if not (path / "data.mdb").is_file():
        raise MeshError(Kind.STATE, f"{folder}: no replica has kept anything here")
    found = Found()
    try:
        with lmdb.open(str(path), readonly=True, lock=False, create=False, max_readers=1) as env:
            with env.begin() as txn:
                for key, value in txn.cursor():
                    _take(found, bytes(key), bytes(value))
    except lmdb.Error as fault:
        if found.size == 0:
            raise MeshError(Kind.STATE, f"{folder}: {fault}") from None
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
            found.store.merge([entry])
        elif key.startswith(b"c"):
            kept = _kept.decode(value)
            found.claims += 1
            found.answers += kept.answer is not None
        elif key == UID:
            found.uid = value.decode()
        elif key == ROSTER:
            found.membership = _membership.decode(value)
        elif key == FULL:
            found.full = _full.decode(value)[1]
        elif key == BALLOT:
            found.promised = _ballot.decode(value)[1][0]
        else:
            found.faults.append(f"{key!r} is no row of a replica's")
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        found.faults.append(f"{key!r} can't be read: {fault}")


def _apart(found: Found) -> Iterator[str]:
    """What does not fit together."""
    if not found.uid:
        yield "the disk has no name"
    if (
        found.full
        and found.membership is not None
        and found.uid not in {voter.uid for voter in found.membership.voters}
    ):
        yield "it says that it has all that a voter must have, and has no voter"
    routes = found.store.standing(items.ROUTES)
    services = found.store.standing(items.SERVICES)
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
    membership = found.membership
    kinds: dict[str, int] = {}
    dropped = 0
    for entry in found.store.all():
        dropped += entry.value is None
        kinds[entry.kind] = kinds.get(entry.kind, 0) + (entry.value is not None)
    return {
        "uid": found.uid,
        "epoch": 0 if membership is None else membership.epoch,
        "full": found.full,
        "voters": {} if membership is None else {s.ip: {"uid": s.uid, "zone": s.zone} for s in membership.voters},
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
    return msgspec.json.encode({"upsert": msgspec.Raw(items.read_back(found.store)), "withdraw": {}})
