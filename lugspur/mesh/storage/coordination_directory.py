"""Reads the coordination state in a control node's data directory, without its process. Nothing is written."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from lugspur.mesh.coordination.acceptor import EPOCH_ROW, VOTE_ROW, StoredEpoch, StoredVote
from lugspur.mesh.coordination.state import ROW_PREFIX, CoordinationState
from lugspur.mesh.storage.disk import COORDINATION_DIRECTORY_NAME

_epoch_decoder = msgspec.msgpack.Decoder(StoredEpoch)
_vote_decoder = msgspec.msgpack.Decoder(StoredVote)


@dataclass(slots=True)
class CoordinationContents:
    """The contents of the lmdb environment; `faults`: reasons why a node can't start with it, one line each."""

    index: int = 0
    locks: int = 0
    numbers: int = 0
    keys: int = 0
    puts: int = 0  # kept for watches
    promised: int = 0  # the highest promised proposal number
    has_pending_change: bool = False  # whether a change was accepted that is not known to be decided
    complete_epoch: int = 0
    genesis_epoch: int = 0
    size: int = 0  # bytes of all rows
    faults: list[str] = field(default_factory=list)

    def summary(self) -> dict[str, Any]:
        """Return the field `coordination` of `replica show`."""
        return {
            "index": self.index,
            "locks": self.locks,
            "numbers": self.numbers,
            "keys": self.keys,
            "puts": self.puts,
            "promised": self.promised,
            "pending": self.has_pending_change,
            "complete_epoch": self.complete_epoch,
            "genesis_epoch": self.genesis_epoch,
            "bytes": self.size,
        }


def read_coordination(data_dir: Path) -> CoordinationContents | None:
    """Read the coordination state; None if there is none, as in a directory of a build without coordination."""
    path = data_dir / COORDINATION_DIRECTORY_NAME
    if not (path / "data.mdb").is_file():
        return None
    contents = CoordinationContents()
    rows: list[tuple[bytes, bytes]] = []
    try:
        with lmdb.open(str(path), readonly=True, lock=False, create=False, max_readers=1) as env:
            with env.begin() as txn:
                rows += [(bytes(key), bytes(value)) for key, value in txn.cursor()]
    except lmdb.Error as fault:
        contents.faults.append(f"coordination can't be read: {fault}")
        return contents
    contents.size = sum(len(key) + len(value) for key, value in rows)
    try:
        _read_rows(contents, rows)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as fault:
        contents.faults.append(f"a row of coordination can't be read: {fault}")
    return contents


def _read_rows(contents: CoordinationContents, rows: list[tuple[bytes, bytes]]) -> None:
    contents.faults += [f"{key!r} is no row of coordination's" for key, _ in rows if not key.startswith(ROW_PREFIX)]
    state = CoordinationState(0.0)
    state.restore(rows, 0.0)
    contents.index, contents.locks, contents.numbers = state.index, len(state.locks), len(state.numbers)
    contents.keys, contents.puts = len(state.cells), state.put_count
    for key, value in rows:
        if key == EPOCH_ROW:
            epoch = _epoch_decoder.decode(value)
            contents.complete_epoch, contents.genesis_epoch = epoch.complete_epoch, epoch.genesis_epoch
        elif key == VOTE_ROW:
            vote = _vote_decoder.decode(value)
            contents.promised = vote.promised.number
            contents.has_pending_change = vote.change is not None and vote.index == state.index + 1
