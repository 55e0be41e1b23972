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

from lugspur.mesh.control import items
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import Item, Membership, StoredReservation
from lugspur.mesh.control.register import INDEX_ROW, ITEM_PREFIX, VOTE_ROW, AcceptorState, item_row
from lugspur.mesh.control.replica import COMPLETE_ROW, UID_ROW, read_membership
from lugspur.mesh.control.reservation_table import RESERVATION_PREFIX
from lugspur.mesh.control.store import Store
from lugspur.mesh.storage.disk import DIRECTORY_NAME

_item = msgspec.msgpack.Decoder(Item)
_kept = msgspec.msgpack.Decoder(StoredReservation)
_index = msgspec.msgpack.Decoder(tuple[int, int])
_vote = msgspec.msgpack.Decoder(AcceptorState)
_epoch = msgspec.msgpack.Decoder(int)


@dataclass(slots=True)
class Found:
    """What a folder holds; `faults`: what a replica would not start with, one line each."""

    uid: str = ""
    membership: Membership | None = None
    index: int = 0  # the latest change that it knows as decided
    complete_epoch: int = 0  # the epoch for which it holds all claims that a voter must hold
    promised: int = 0  # the number of the highest ballot that it has promised
    pending: bool = False  # whether it has accepted a change that it does not know as decided
    store: Store = field(default_factory=Store)
    claims: int = 0
    answers: int = 0
    size: int = 0  # bytes of all rows
    faults: list[str] = field(default_factory=list)


def look(folder: Path) -> Found:
    """Read a `data_dir`; raises MeshError (STATE) where there is nothing that can be read as a replica's."""
    path = folder / DIRECTORY_NAME
    if not (path / "data.mdb").is_file():
        raise MeshError(ErrorKind.STATE, f"{folder}: no replica has kept anything here")
    found = Found()
    try:
        with lmdb.open(str(path), readonly=True, lock=False, create=False, max_readers=1) as env:
            with env.begin() as txn:
                for key, value in txn.cursor():
                    _take(found, bytes(key), bytes(value))
    except lmdb.Error as fault:
        if found.size == 0:
            raise MeshError(ErrorKind.STATE, f"{folder}: {fault}") from None
        found.faults.append(f"the rest can't be read: {fault}")
    found.faults += _apart(found)
    return found


def _take(found: Found, key: bytes, value: bytes) -> None:
    found.size += len(key) + len(value)
    try:
        if key.startswith(ITEM_PREFIX):
            _take_item(found, key, _item.decode(value))
        elif key.startswith(RESERVATION_PREFIX):
            kept = _kept.decode(value)
            found.claims += 1
            found.answers += kept.response is not None
        elif key == UID_ROW:
            found.uid = value.decode()
        elif key == INDEX_ROW:
            found.index = _index.decode(value)[0]
        elif key == COMPLETE_ROW:
            found.complete_epoch = _epoch.decode(value)
        elif key == VOTE_ROW:
            vote = _vote.decode(value)
            found.promised = vote.promised.number
            found.pending = vote.change is not None
        else:
            found.faults.append(f"{key!r} is no row of a replica's")
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        found.faults.append(f"{key!r} can't be read: {fault}")


def _take_item(found: Found, key: bytes, item: Item) -> None:
    entry = item.entry
    if item_row(entry) != key:
        found.faults.append(f"{key!r} holds {entry.kind} {entry.name!r}")
    if entry.kind == items.MEMBERSHIP and entry.value is not None:
        found.membership = read_membership(entry.value)
    found.store.merge([entry])


def _apart(found: Found) -> Iterator[str]:
    """What does not fit together."""
    if not found.uid:
        yield "the disk has no name"
    if found.membership is not None:
        yield from _complete_apart(found.membership, found)
    routes = found.store.values_of(items.ROUTES)
    services = found.store.values_of(items.SERVICES)
    for name, value in routes.items():
        try:
            route = items.read_route(value)
        except msgspec.MsgspecError as fault:
            yield f"route {name!r} can't be read: {fault}"
            continue
        for service in route.service_names():
            if service not in services:
                yield f"route {name!r} names the unknown service {service!r}"


def _complete_apart(membership: Membership, found: Found) -> Iterator[str]:
    """What it says of claims, against the voters that it knows."""
    if found.complete_epoch > membership.epoch:
        yield "it says that it holds all claims of an epoch that it does not know"
    elif found.complete_epoch == membership.epoch and found.uid not in {voter.uid for voter in membership.voters}:
        yield "it says that it holds all claims of an epoch in which it is no voter"


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
        "index": found.index,
        "complete_epoch": found.complete_epoch,
        "voters": {} if membership is None else {s.ip: {"uid": s.uid, "zone": s.zone} for s in membership.voters},
        "promised": found.promised,
        "pending": found.pending,
        "items": kinds,
        "dropped": dropped,
        "claims": found.claims,
        "answers": found.answers,
        "bytes": found.size,
        "faults": found.faults,
    }


def export(found: Found) -> bytes:
    """All items that stand, as a call of the operator that brings them to another mesh."""
    return msgspec.json.encode({"upsert": msgspec.Raw(items.encode_items(found.store.all())), "withdraw": {}})
