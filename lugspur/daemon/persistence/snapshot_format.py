"""The format of a snapshot file, of which a reader accepts all or nothing. No I/O.

The first line names the format, its version and the time of writing. Each further line is a record, a JSON array of its
kind, the name of its pool and a value. The last line holds the SHA-256 of all lines before it and their number, so that
a file that was cut, mixed with another or changed in any bit is rejected.
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
MAX_FILE_BYTES = 64 << 20  # 10,000 backends with full windows need about 8 MB.
MAX_BACKENDS = 50_000  # of all pools together, so that a file that was written can be read again


class UnreadableSnapshotError(Exception):
    """The file can't be used by this program; the text says why."""


@dataclass(slots=True)
class PoolSnapshot:
    """One pool in a snapshot: its list of endpoints and its learned state."""

    captured_at: float  # by the clock that the times in the learned state are of
    endpoints: list[Endpoint] = field(default_factory=list)
    learned: Learned | None = None


@dataclass(slots=True)
class Snapshot:
    """All that a file holds."""

    written_at: float  # by the wall clock, in seconds since the epoch
    pools: dict[str, PoolSnapshot]


def encode_record(kind: str, pool: str, value: object) -> bytes:
    """Encode one record as a line."""
    return orjson.dumps([kind, pool, value]) + b"\n"


def encode_snapshot(written_at: float, facts: Iterable[bytes]) -> bytes:
    """Join records to a complete file."""
    lines = [b"%b %d %.3f\n" % (MAGIC, FORMAT_VERSION, written_at), *facts]
    text = b"".join(lines)
    count = text.count(b"\n")
    return text + b"end %b %d\n" % (hashlib.sha256(text).hexdigest().encode(), count)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a complete file. Raises UnreadableSnapshotError."""
    first, _, _ = data.partition(b"\n")
    form, _, rest = first.rpartition(b" ")
    form, _, version = form.rpartition(b" ")
    if form != MAGIC:
        raise UnreadableSnapshotError("it is no state file")
    if version != b"%d" % FORMAT_VERSION:  # checked before the checksum, which may differ in another version
        raise UnreadableSnapshotError(
            f"it is of version {version[:9].decode('latin-1')}, and this program reads {FORMAT_VERSION}"
        )
    at = data.rfind(b"\nend ", 0, -1) + 1
    text, end = data[:at], data[at:]
    if end != b"end %b %d\n" % (hashlib.sha256(text).hexdigest().encode(), text.count(b"\n")):
        raise UnreadableSnapshotError("its checksum does not fit: it is cut or changed")
    try:
        return Snapshot(state_codec.finite_number(rest), _pools(text.splitlines()[1:]))
    except state_codec.DECODE_ERRORS as fault:  # The checksum fits, but the values do not.
        raise UnreadableSnapshotError(f"it makes no sense: {fault!r:.200}") from fault


def _pools(lines: Sequence[bytes]) -> dict[str, PoolSnapshot]:
    found: dict[str, PoolSnapshot] = {}
    tiers: dict[str, dict[str, Any]] = {}
    servers: dict[str, list[dict[str, Any]]] = {}
    for line in lines:
        kind, name, value = orjson.loads(line)
        if kind == "pool":
            found[name] = PoolSnapshot(state_codec.finite_number(value["at"]))
        elif kind == "backend":
            found[name].endpoints.append(state_codec.decode_endpoint(value))
        elif kind == "learned":
            servers.setdefault(name, []).append(value)
        elif kind == "tier":
            tiers[name] = value
        else:
            raise ValueError(f"an unknown fact {kind!r}")
    for name, tier in tiers.items():
        found[name].learned = state_codec.decode_learned(tier, servers.get(name, []))
    return found
