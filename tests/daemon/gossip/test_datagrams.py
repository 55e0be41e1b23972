"""Datagrams that are malformed or of another fleet are rejected, whatever they contain."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugspur.daemon.gossip.datagrams import HEADER_BYTES, MAGIC, DatagramCodec, DatagramRejectedError
from lugspur.daemon.gossip.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_NAME_CHARACTERS,
    Ack,
    MemberMetadata,
    MemberRecord,
    Message,
    Packet,
    Page,
    Ping,
    Status,
    Updates,
    UserMessage,
)

RECORD = MemberRecord(
    "edge-1", 7, 1000, "127.0.0.1", 7946, Status.SUSPECT, "edge-2", MemberMetadata("north", "1", 2.5, True, 3.5)
)
MESSAGES: list[Message] = [
    Ping(1, 2, [RECORD]),
    Ack(1, 2, []),
    Updates([RECORD]),
    Page("", True, [RECORD]),
    UserMessage(1, b"x"),
]


@pytest.mark.parametrize("message", MESSAGES)
@pytest.mark.parametrize("key", [b"", b"0123456789abcdef"])
def test_encoded_packets_decode_to_the_same_packet(message: Message, key: bytes) -> None:
    packet = Packet("edge-3", 9, "edge-1", message)
    data = DatagramCodec("edge", key).encode(packet)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert DatagramCodec("edge", key).decode(data) == packet


def test_rejected_datagrams_have_their_reason() -> None:
    data = DatagramCodec("edge", b"k" * 16).encode(Packet("a", 1, "", MESSAGES[0]))
    cases = {
        "another fleet": (DatagramCodec("core", b"k" * 16), data),
        "another key": (DatagramCodec("edge", b"l" * 16), data),
        "another version": (DatagramCodec("edge", b"k" * 16), MAGIC + b"\x02" + data[3:]),
        "too large": (DatagramCodec("edge", b"k" * 16), data + bytes(MAX_DATAGRAM_BYTES)),
        "garbage": (DatagramCodec("edge", b"k" * 16), b"XX" + data[2:]),
    }
    for reason, (codec, datagram) in cases.items():
        with pytest.raises(DatagramRejectedError, match=reason):
            codec.decode(datagram)


def test_every_flipped_bit_of_a_keyed_datagram_is_rejected() -> None:
    codec = DatagramCodec("edge", b"k" * 32)
    data = codec.encode(Packet("a", 1, "", MESSAGES[0]))
    for bit in range(8 * len(data)):
        damaged = bytearray(data)
        damaged[bit // 8] ^= 1 << bit % 8
        with pytest.raises(DatagramRejectedError):
            codec.decode(bytes(damaged))


@given(st.binary(max_size=2 * MAX_DATAGRAM_BYTES))
def test_random_bytes_raise_no_other_error(body: bytes) -> None:
    codec = DatagramCodec("edge")
    header = codec.encode(Packet("a", 1, "", MESSAGES[0]))[:HEADER_BYTES]
    for data in (body, header + body):
        try:
            packet = codec.decode(data)
        except DatagramRejectedError:
            continue
        assert codec.encode(packet)  # the random bytes happened to be a valid packet


def encoded_packet(**changed: object) -> bytes:
    fields = {
        "name": "a",
        "instance_id": 1,
        "incarnation": 1,
        "host": "127.0.0.1",
        "port": 1,
        "status": 0,
        "reported_by": "",
        "metadata": ["", "", 0.0, False, 0.0],
    } | changed
    return msgspec.msgpack.encode(["sender", 1, "", [5, [list(fields.values())]]])


@pytest.mark.parametrize(
    "changed",
    [
        {"name": ""},
        {"name": "a" * (MAX_NAME_CHARACTERS + 1)},
        {"name": "a b"},
        {"name": "a\n"},
        {"instance_id": -1},
        {"instance_id": 1 << 60},
        {"incarnation": 1 << 53},
        {"incarnation": 1.5},
        {"host": "example.org"},
        {"port": 0},
        {"port": 1 << 16},
        {"status": 4},
        {"status": -1},
        {"metadata": ["", "", float("nan"), False, 0.0]},
        {"metadata": ["", "", 0.0, False, float("inf")]},
        {"metadata": ["", "", 0.0, False, float("nan")]},
        {"metadata": ["", "", 0.0, False, -1.0]},
        {"metadata": ["z" * 33, "", 0.0, False, 0.0]},
        {"metadata": []},
        {"metadata": None},
    ],
)
def test_values_out_of_bounds_are_malformed(changed: dict[str, object]) -> None:
    codec = DatagramCodec("edge")
    header = codec.encode(Packet("a", 1, "", MESSAGES[0]))[:HEADER_BYTES]
    if changed != {"metadata": []}:  # omitted fields take their default values
        with pytest.raises(DatagramRejectedError):
            codec.decode(header + encoded_packet(**changed))
    assert codec.decode(header + encoded_packet()).sender == "sender"
