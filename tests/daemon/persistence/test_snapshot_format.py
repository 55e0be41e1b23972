"""A reader accepts a snapshot file as a whole or rejects it, however it was damaged."""

from __future__ import annotations

import hashlib
from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from snapshots import endpoints, taught, text

from lugspur.daemon.persistence.snapshot_format import (
    UnreadableSnapshotError,
    decode_snapshot,
    encode_record,
    encode_snapshot,
)


def signed(lines: bytes) -> bytes:
    return lines + b"end %b %d\n" % (hashlib.sha256(lines).hexdigest().encode(), lines.count(b"\n"))


def test_a_snapshot_is_decoded_as_it_was_encoded() -> None:
    rows = endpoints(5)
    learned = taught(rows, slow=2, bad=1).export_learned()
    found = decode_snapshot(text(1234.5, rows, learned))
    assert found.written_at == 1234.5
    pool = found.pools["channel"]
    assert (pool.captured_at, pool.endpoints, pool.learned) == (1234.5, rows, learned)


def test_a_snapshot_without_pools_is_complete() -> None:
    assert decode_snapshot(encode_snapshot(1.0, [])).pools == {}


def test_every_flipped_bit_is_detected() -> None:
    data = text(rows=endpoints(1))
    for at in range(len(data)):
        for bit in range(8):
            changed = bytearray(data)
            changed[at] ^= 1 << bit
            with pytest.raises(UnreadableSnapshotError):
                decode_snapshot(bytes(changed))


def test_truncation_at_any_length_is_detected() -> None:
    data = text()
    for end in range(len(data)):
        with pytest.raises(UnreadableSnapshotError):
            decode_snapshot(data[:end])


@pytest.mark.parametrize(
    "line",
    [
        b"lugspur state 2 1000.000\n",
        b"lugspur state 99999999999999999999 1.0\n",
        b"lugspur state 0 1.0\n",
    ],
)
def test_the_error_names_another_version(line: bytes) -> None:
    with pytest.raises(UnreadableSnapshotError, match="it is of version"):
        decode_snapshot(signed(line))


POOL = encode_record("pool", "a", {"at": 1.0})
ROW = ["s", "up", "0", 0, 1.0, 0.0, "0", "h", 1, False]


@pytest.mark.parametrize(
    "records",
    [
        encode_record("backend", "a", ROW),  # of a pool without a record
        POOL + encode_record("backend", "a", ROW[:-1]),
        POOL + encode_record("backend", "a", [*ROW[:1], "maybe", *ROW[2:]]),
        POOL + encode_record("rumour", "a", {}),
        POOL + encode_record("tier", "a", {"pools": []}),
        POOL + b"[1,2]\n",
        POOL + b"{}\n",
        POOL + b"nonsense\n",
        encode_record("pool", "a", {"at": "soon"}),
        encode_record("pool", "a", {"at": "nan"}),
        encode_record("pool", "a", {"at": "inf"}),
        encode_record("pool", "a", {}),
        POOL + encode_record("tier", "a", {"pools": [], "pooled": "nan", "pace": 0.0, "paced": 0}),
        POOL + encode_record("backend", "a", [*ROW[:4], float("1e400"), *ROW[5:]]),
    ],
)
def test_a_complete_file_with_invalid_values_is_rejected(records: bytes) -> None:
    with pytest.raises(UnreadableSnapshotError, match="makes no sense"):
        decode_snapshot(signed(b"lugspur state 1 5.000\n" + records))


@given(st.binary(max_size=400))
@settings(deadline=None)  # A loaded machine is not a failure.
def test_random_bytes_are_rejected(noise: bytes) -> None:
    for data in (noise, b"lugspur state 1 1.0\n" + noise, signed(b"lugspur state 1 1.0\n" + noise + b"\n")):
        with suppress(UnreadableSnapshotError):
            assert decode_snapshot(data).pools == {}
