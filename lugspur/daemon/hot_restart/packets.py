"""The packets that two processes of one proxy exchange: JSON objects, checked and bounded. No I/O.

The keys and kinds are the same in every build, since the two processes may be of different builds.
"""

from __future__ import annotations

import enum
from typing import Any

import orjson

PROTOCOL_VERSION = 1
MAX_PACKET_BYTES = 48 << 10  # well under what a socket's buffer takes
MAX_IDS_PER_PACKET = 64  # ids of requests, of up to 64 bytes each

Packet = dict[str, Any]


class PacketKind(enum.StrEnum):
    """What a packet says, by its key `t`."""

    HELLO = "hello"  # successor: asks for the listening socket and the state
    REFUSAL = "no"  # predecessor: gives neither, and says why
    STATE_PART = "estate"  # predecessor: a part of the state; the listening socket goes with the last one
    READY = "ready"  # successor: it takes clients from now on
    BAN = "ban"  # both: an operator has begun or ended the ban of a backend
    DRAIN = "drain"  # both: an operator has begun or ended a drain
    REQUEST_IDS = "ids"  # both: ids of requests that were opened and finished
    CALLER = "caller"  # predecessor: the descriptor of a caller's connection goes with it


class PacketError(ValueError):
    """What came is not a packet that this version understands."""


def pack(packet: Packet) -> bytes:
    """Return the bytes of a packet."""
    return orjson.dumps(packet)


def unpack(data: bytes) -> Packet:
    """Return the packet of these bytes, which has a kind; raises PacketError."""
    try:
        packet = orjson.loads(data)
    except ValueError as error:
        raise PacketError(f"no message: {error}") from error
    if not isinstance(packet, dict) or not isinstance(packet.get("t"), str):
        raise PacketError("no message of this form")
    return packet


def hello() -> Packet:
    """Ask for the listening socket and the state of a process that speaks the same version."""
    return {"t": PacketKind.HELLO, "version": PROTOCOL_VERSION}


def refusal() -> Packet:
    """Answer a hello of another version."""
    return {"t": PacketKind.REFUSAL, "why": f"this process speaks version {PROTOCOL_VERSION}"}


def state_part(number: int, count: int, text: str) -> Packet:
    """Return one of `count` parts of a state's text; `number` counts from 0."""
    return {"t": PacketKind.STATE_PART, "n": number, "of": count, "part": text}


def ready() -> Packet:
    """Say that the sender takes clients."""
    return {"t": PacketKind.READY}


def ban(server: str, on: bool, at: float) -> Packet:
    """Say that a backend's ban has begun or ended; `at` is in seconds since 1970 by the pool's clock."""
    return {"t": PacketKind.BAN, "id": server, "on": on, "at": at}


def drain(on: bool) -> Packet:
    """Say that a drain has begun or ended."""
    return {"t": PacketKind.DRAIN, "on": on}


def request_ids(begun: list[bytes], done: list[bytes]) -> Packet:
    """Say which requests were opened and finished."""
    return {
        "t": PacketKind.REQUEST_IDS,
        "begun": [request_id.decode() for request_id in begun],
        "done": [request_id.decode() for request_id in done],
    }


def caller() -> Packet:
    """Announce the connection of a caller, whose descriptor goes with the packet."""
    return {"t": PacketKind.CALLER}
