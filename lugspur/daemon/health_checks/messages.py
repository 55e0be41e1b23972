"""What a pool's prober and the others say to each other, in bodies of the fleet's datagrams. No I/O."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from lugspur.daemon.leases.messages import EPOCH_LIMIT, MalformedMessageError

POOL_MOST, BOX_MOST = 64, 128  # characters
NAMES_BYTES = 800  # of boxes in one verdict: what does not fit is found out by each proxy itself, as without a prober
DOWN_MOST = 64  # boxes in one verdict
Pool = Annotated[str, Meta(min_length=1, max_length=POOL_MOST)]
Box = Annotated[str, Meta(min_length=1, max_length=BOX_MOST)]


class Doubt(Struct, frozen=True, array_like=True, tag=1):
    """I could not connect to this box."""

    pool: Pool
    box: Box
    passed_on: bool = False  # by one that does not hold the duty: it goes no further


class Verdict(Struct, frozen=True, array_like=True, tag=2):
    """These boxes are down, and no other one that I have looked at."""

    pool: Pool
    epoch: Annotated[int, Meta(ge=0, lt=EPOCH_LIMIT)]
    serial: Annotated[int, Meta(ge=0, lt=1 << 52)]  # counted up: what comes late counts for nothing
    down: Annotated[list[Box], Meta(max_length=DOWN_MOST)]


Message = Doubt | Verdict
_decoder = msgspec.msgpack.Decoder(Message)


def pack(message: Message) -> bytes:
    """One of them as a body."""
    return msgspec.msgpack.encode(message)


def unpack(body: bytes) -> Message:
    """What a body holds; raises Malformed."""
    try:
        found: Message = _decoder.decode(body)
        return found
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise MalformedMessageError(str(fault)) from fault


def fitting(names: list[str]) -> list[str]:
    """Those of the names, from the first on, that one verdict holds."""
    room, found = NAMES_BYTES, list[str]()
    for name in names:
        room -= len(name.encode()) + 3
        if room < 0 or len(found) >= DOWN_MOST:
            break
        found.append(name)
    return found
