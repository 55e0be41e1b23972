"""Reads the data directory of a control node without its process, and checks whether it can be used.

Nothing is written. While the process runs, the rows that are read may stem from different moments.
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
from lugspur.mesh.control.membership_entry import read_membership
from lugspur.mesh.control.messages import Item, Membership, StoredReservation
from lugspur.mesh.control.register import INDEX_ROW, ITEM_PREFIX, VOTE_ROW, AcceptorState, item_row
from lugspur.mesh.control.replica import COMPLETE_ROW, UID_ROW
from lugspur.mesh.control.reservation_table import RESERVATION_PREFIX
from lugspur.mesh.control.store import Store
from lugspur.mesh.storage.coordination_directory import CoordinationContents, read_coordination
from lugspur.mesh.storage.disk import DIRECTORY_NAME

_item_decoder = msgspec.msgpack.Decoder(Item)
_reservation_decoder = msgspec.msgpack.Decoder(StoredReservation)
_index_decoder = msgspec.msgpack.Decoder(tuple[int, int])
_vote_decoder = msgspec.msgpack.Decoder(AcceptorState)
_epoch_decoder = msgspec.msgpack.Decoder(int)


@dataclass(slots=True)
class DirectoryContents:
    """The contents of a directory; `faults`: reasons why a replica can't start with it, one line each."""

    uid: str = ""  # the name of the disk
    membership: Membership | None = None
    index: int = 0  # of the latest change that is known to be decided
    complete_epoch: int = 0  # the epoch for which the directory has all reservations that a voter must have
    promised: int = 0  # the highest promised proposal number
    has_pending_change: bool = False  # whether a change was accepted that is not known to be decided
    store: Store = field(default_factory=Store)
    reservations: int = 0
    answers: int = 0  # stored responses of operations with reserved keys
    size: int = 0  # bytes of all rows
    coordination: CoordinationContents | None = None  # None: written by a build without coordination
    faults: list[str] = field(default_factory=list)


def read_directory(data_dir: Path) -> DirectoryContents:
    """Read a `data_dir`; raises MeshError (STATE) if it has no readable state of a control node."""
    path = data_dir / DIRECTORY_NAME
    if not (path / "data.mdb").is_file():
        raise MeshError(ErrorKind.STATE, f"{data_dir}: no replica has kept anything here")
    contents = DirectoryContents()
    try:
        with lmdb.open(str(path), readonly=True, lock=False, create=False, max_readers=1) as env:
            with env.begin() as txn:
                for key, value in txn.cursor():
                    _read_row(contents, bytes(key), bytes(value))
    except lmdb.Error as fault:
        if contents.size == 0:
            raise MeshError(ErrorKind.STATE, f"{data_dir}: {fault}") from None
        contents.faults.append(f"the rest can't be read: {fault}")
    contents.faults += _inconsistencies(contents)
    contents.coordination = read_coordination(data_dir)
    if contents.coordination is not None:
        contents.faults += contents.coordination.faults
    return contents


def _read_row(contents: DirectoryContents, key: bytes, value: bytes) -> None:
    contents.size += len(key) + len(value)
    try:
        if key.startswith(ITEM_PREFIX):
            _read_item(contents, key, _item_decoder.decode(value))
        elif key.startswith(RESERVATION_PREFIX):
            reservation = _reservation_decoder.decode(value)
            contents.reservations += 1
            contents.answers += reservation.response is not None
        elif key == UID_ROW:
            contents.uid = value.decode()
        elif key == INDEX_ROW:
            contents.index = _index_decoder.decode(value)[0]
        elif key == COMPLETE_ROW:
            contents.complete_epoch = _epoch_decoder.decode(value)
        elif key == VOTE_ROW:
            vote = _vote_decoder.decode(value)
            contents.promised = vote.promised.number
            contents.has_pending_change = vote.change is not None
        else:
            contents.faults.append(f"{key!r} is no row of a replica's")
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        contents.faults.append(f"{key!r} can't be read: {fault}")


def _read_item(contents: DirectoryContents, key: bytes, item: Item) -> None:
    entry = item.entry
    if item_row(entry) != key:
        contents.faults.append(f"{key!r} holds {entry.kind} {entry.name!r}")
    if entry.kind == items.MEMBERSHIP and entry.value is not None:
        contents.membership = read_membership(entry.value)
    contents.store.merge([entry])


def _inconsistencies(contents: DirectoryContents) -> Iterator[str]:
    """Yield inconsistencies between rows, one line each."""
    if not contents.uid:
        yield "the disk has no name"
    if contents.membership is not None:
        yield from _completeness_faults(contents.membership, contents)
    routes = contents.store.values_of(items.ROUTES)
    services = contents.store.values_of(items.SERVICES)
    for name, value in routes.items():
        try:
            route = items.read_route(value)
        except msgspec.MsgspecError as fault:
            yield f"route {name!r} can't be read: {fault}"
            continue
        for service in route.service_names():
            if service not in services:
                yield f"route {name!r} names the unknown service {service!r}"


def _completeness_faults(membership: Membership, contents: DirectoryContents) -> Iterator[str]:
    """Yield contradictions between the epoch with complete reservations and the known voters."""
    is_voter = contents.uid in {voter.uid for voter in membership.voters}
    if contents.complete_epoch > membership.epoch:
        yield "it says that it holds all claims of an epoch that it does not know"
    elif contents.complete_epoch == membership.epoch and not is_voter:
        yield "it says that it holds all claims of an epoch in which it is no voter"


def summarize(contents: DirectoryContents) -> dict[str, Any]:
    """Return the fields of `replica show`."""
    membership = contents.membership
    items_by_kind: dict[str, int] = {}
    withdrawn = 0
    for entry in contents.store.all():
        withdrawn += entry.value is None
        items_by_kind[entry.kind] = items_by_kind.get(entry.kind, 0) + (entry.value is not None)
    voters = () if membership is None else membership.voters
    coordination = {} if contents.coordination is None else {"coordination": contents.coordination.summary()}
    return {
        "uid": contents.uid,
        "epoch": 0 if membership is None else membership.epoch,
        "index": contents.index,
        "complete_epoch": contents.complete_epoch,
        "voters": {voter.ip: {"uid": voter.uid, "zone": voter.zone} for voter in voters},
        "promised": contents.promised,
        "pending": contents.has_pending_change,
        "items": items_by_kind,
        "dropped": withdrawn,
        "claims": contents.reservations,
        "answers": contents.answers,
        "bytes": contents.size,
        "faults": contents.faults,
    } | coordination


def export_items(contents: DirectoryContents) -> bytes:
    """Return all items that are not withdrawn, as the body of a call that adds them to another mesh."""
    return msgspec.json.encode({"upsert": msgspec.Raw(items.encode_items(contents.store.all())), "withdraw": {}})
