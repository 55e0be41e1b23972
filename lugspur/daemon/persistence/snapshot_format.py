"""The format of a snapshot file, which a reader accepts as a whole or rejects. No I/O.

The first line names the format, its version and the time of writing. Each further line is a record, a JSON array of its
kind, the name of its pool and a value. The last line holds the SHA-256 of all lines before it and their number, so that
a file that was truncated, mixed with another or changed in any bit is rejected.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import orjson

from lugspur.discovery import state_codec
from lugspur.discovery.endpoints import Endpoint
from lugspur.load_balancing.model import Learned

MAGIC = b"lugspur state"
FORMAT_VERSION = 1
#: The limit of a snapshot file; 10,000 backends with full windows need about 8 MB.
MAX_FILE_BYTES = 64 << 20
#: The limit of backends of all pools together, so that every file that is written can be read again.
MAX_BACKENDS = 50_000


class UnreadableSnapshotError(Exception):
    """The file can't be used by this program; the text gives the reason."""


@dataclass(slots=True)
class PoolSnapshot:
    """One pool in a snapshot: its list of endpoints and its learned state."""

    captured_at: float  # by the clock of the times in the learned state
    endpoints: list[Endpoint] = field(default_factory=list)
    learned: Learned | None = None


@dataclass(slots=True)
class Snapshot:
    """The content of a file."""

    written_at: float  # by the wall clock, in seconds since the epoch
    pools: dict[str, PoolSnapshot]


def encode_record(kind: str, pool: str, value: object) -> bytes:
    """Encode one record as a line."""
    return orjson.dumps([kind, pool, value]) + b"\n"


def encode_snapshot(written_at: float, records: Iterable[bytes]) -> bytes:
    """Join records to a complete file."""
    lines = [b"%b %d %.3f\n" % (MAGIC, FORMAT_VERSION, written_at), *records]
    text = b"".join(lines)
    count = text.count(b"\n")
    return text + b"end %b %d\n" % (hashlib.sha256(text).hexdigest().encode(), count)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a complete file. Raises UnreadableSnapshotError."""
    first_line, _, _ = data.partition(b"\n")
    magic, _, written_at = first_line.rpartition(b" ")
    magic, _, version = magic.rpartition(b" ")
    if magic != MAGIC:
        raise UnreadableSnapshotError("it is no state file")
    if version != b"%d" % FORMAT_VERSION:  # checked before the checksum, which may differ in another version
        raise UnreadableSnapshotError(
            f"it is of version {version[:9].decode('latin-1')}, and this program reads {FORMAT_VERSION}"
        )
    last_line_start = data.rfind(b"\nend ", 0, -1) + 1
    text, last_line = data[:last_line_start], data[last_line_start:]
    if last_line != b"end %b %d\n" % (hashlib.sha256(text).hexdigest().encode(), text.count(b"\n")):
        raise UnreadableSnapshotError("its checksum does not fit: it is cut or changed")
    try:
        return Snapshot(state_codec.finite_number(written_at), _decode_records(text.splitlines()[1:]))
    except state_codec.DECODE_ERRORS as error:  # The checksum matches, but the values are invalid.
        raise UnreadableSnapshotError(f"it makes no sense: {error!r:.200}") from error


def _decode_records(lines: Sequence[bytes]) -> dict[str, PoolSnapshot]:
    pools: dict[str, PoolSnapshot] = {}
    learned_pools: dict[str, dict[str, Any]] = {}
    learned_servers: dict[str, list[dict[str, Any]]] = {}
    for line in lines:
        kind, name, value = orjson.loads(line)
        if kind == "pool":
            pools[name] = PoolSnapshot(state_codec.finite_number(value["at"]))
        elif kind == "backend":
            pools[name].endpoints.append(state_codec.decode_endpoint(value))
        elif kind == "learned":
            learned_servers.setdefault(name, []).append(value)
        elif kind == "tier":
            learned_pools[name] = value
        else:
            raise ValueError(f"an unknown fact {kind!r}")
    for name, learned in learned_pools.items():
        pools[name].learned = state_codec.decode_learned(learned, learned_servers.get(name, []))
    return pools
