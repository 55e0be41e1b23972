"""The packets that two processes of one proxy exchange: JSON objects, checked and bounded. No I/O.

The keys and kinds never change, since the two processes may be of different builds.
"""

from __future__ import annotations

import enum
from typing import Any

import orjson

PROTOCOL_VERSION = 1
#: The limit is well below the buffer size of a socket.
MAX_PACKET_BYTES = 48 << 10
#: Request ids in one packet, each of up to 64 bytes.
MAX_IDS_PER_PACKET = 64

Packet = dict[str, Any]


class PacketKind(enum.StrEnum):
    """The kind of a packet, which is its key `t`."""

    HELLO = "hello"  # from the successor: asks for the listening socket and the state
    REFUSAL = "no"  # from the predecessor: rejects a hello, with the reason
    STATE_PART = "estate"  # from the predecessor: a part of the state; the last one comes with the listening socket
    READY = "ready"  # from the successor: it accepts clients from now on
    BAN = "ban"  # from either: an operator has begun or ended the ban of a backend
    DRAIN = "drain"  # from either: an operator has begun or ended a drain
    REQUEST_IDS = "ids"  # from either: ids of requests that were opened and finished
    CALLER = "caller"  # from the predecessor: comes with the descriptor of a caller's connection


class PacketError(ValueError):
    """A received packet is not valid in this version of the protocol."""


def pack(packet: Packet) -> bytes:
    """Return the bytes of a packet."""
    return orjson.dumps(packet)


def unpack(data: bytes) -> Packet:
    """Return the packet of these bytes, checked to have a kind; raises PacketError."""
    try:
        packet = orjson.loads(data)
    except ValueError as error:
        raise PacketError(f"the packet is not valid JSON: {error}") from error
    if not isinstance(packet, dict) or not isinstance(packet.get("t"), str):
        raise PacketError("the packet is not an object with a kind")
    return packet


def hello() -> Packet:
    """Return a request for the listening socket and the state of a process with the same protocol version."""
    return {"t": PacketKind.HELLO, "version": PROTOCOL_VERSION}


def refusal() -> Packet:
    """Return the rejection of a hello of another version."""
    return {"t": PacketKind.REFUSAL, "why": f"this process speaks version {PROTOCOL_VERSION}"}


def state_part(number: int, count: int, text: str) -> Packet:
    """Return one of `count` parts of a state's text; `number` counts from 0."""
    return {"t": PacketKind.STATE_PART, "n": number, "of": count, "part": text}


def ready() -> Packet:
    """Return the announcement that the sender accepts clients."""
    return {"t": PacketKind.READY}


def ban(server: str, on: bool, at: float) -> Packet:
    """Return the message that a backend's ban has begun or ended, `at` seconds since 1970 by the pool's clock."""
    return {"t": PacketKind.BAN, "id": server, "on": on, "at": at}


def drain(on: bool) -> Packet:
    """Return the message that a drain has begun or ended."""
    return {"t": PacketKind.DRAIN, "on": on}


def request_ids(begun: list[bytes], done: list[bytes]) -> Packet:
    """Return the message that these requests were opened and finished."""
    return {
        "t": PacketKind.REQUEST_IDS,
        "begun": [request_id.decode() for request_id in begun],
        "done": [request_id.decode() for request_id in done],
    }


def caller() -> Packet:
    """Return the packet with which the descriptor of a caller's connection is sent."""
    return {"t": PacketKind.CALLER}
