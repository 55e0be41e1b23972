"""What two processes of one proxy say to each other: packets of JSON, checked and bounded. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from lugspur.discovery import state_codec
from lugspur.discovery.endpoints import Endpoint, server_id, server_name
from lugspur.discovery.maintenance import Bans
from lugspur.load_balancing.model import Learned

VERSION = 1
PACKET_MOST = 48 << 10  # bytes of one packet: well under what a socket's buffer takes
PART = 12 << 10  # characters of the estate in one packet: quoted in JSON and as UTF-8 they take four times that at most
PARTS_MOST = 512  # of one estate, 6 MiB: 16,384 names and some thousand backends are a third of it
IDS_MOST = 64  # ids of requests in one packet, of 64 bytes each


class Foreign(ValueError):
    """What came is nothing that this version understands."""


@dataclass(slots=True, frozen=True)
class Estate:
    """All that a process goes on with in another's place."""

    index: int  # of the list
    endpoints: list[Endpoint]  # as discovery told them
    bans: Bans
    drained: bool
    open: list[bytes]  # ids of requests that an answer is owed for
    learned: Learned


def pack(message: dict[str, Any]) -> bytes:
    """One packet."""
    return orjson.dumps(message)


def unpack(data: bytes) -> dict[str, Any]:
    """One packet's message; raises Foreign."""
    try:
        message = orjson.loads(data)
    except ValueError as fault:
        raise Foreign(f"no message: {fault}") from fault
    if not isinstance(message, dict) or not isinstance(message.get("t"), str):
        raise Foreign("no message of this form")
    return message


def estate_parts(estate: Estate) -> list[bytes]:
    """An estate as packets."""
    whole = orjson.dumps(
        {
            "version": VERSION,
            "index": estate.index,
            "endpoints": [state_codec.encode_endpoint(endpoint) for endpoint in estate.endpoints],
            "listed": [server_name(server) for server in estate.bans.listed],
            "banned": [server_name(server) for server in estate.bans.banned],
            "floors": {server_name(server): at for server, at in estate.bans.floors.items()},
            "drained": estate.drained,
            "open": [name.decode() for name in estate.open],
            "learned": state_codec.encode_learned_pools(estate.learned)
            | {"servers": [state_codec.encode_learned_server(row) for row in estate.learned.servers]},
        }
    ).decode()
    parts = [whole[at : at + PART] for at in range(0, len(whole), PART)]
    return [pack({"t": "estate", "n": n, "of": len(parts), "part": part}) for n, part in enumerate(parts)]


class Parts:
    """Puts an estate together; raises Foreign at the first packet that does not fit."""

    def __init__(self) -> None:
        self._parts: list[str] = []

    def add(self, message: dict[str, Any]) -> Estate | None:
        """One more; the estate, if it was the last."""
        number, count, part = message.get("n"), message.get("of"), message.get("part")
        fits = isinstance(count, int) and 0 < count <= PARTS_MOST and isinstance(part, str) and len(part) <= PART
        if not fits or number != len(self._parts) or number >= count:
            raise Foreign("a part of another estate")
        assert isinstance(part, str)
        self._parts.append(part)
        return read_estate("".join(self._parts)) if len(self._parts) == count else None


def read_estate(text: str) -> Estate:
    """An estate from its text; raises Foreign."""
    try:
        raw = orjson.loads(text)
        if raw["version"] != VERSION:
            raise Foreign(f"an estate of version {raw['version']}")
        learned = raw["learned"]
        return Estate(
            int(raw["index"]),
            [state_codec.decode_endpoint(row) for row in raw["endpoints"]],
            Bans(
                [server_id(name) for name in raw["listed"]],
                [server_id(name) for name in raw["banned"]],
                {server_id(name): float(at) for name, at in raw["floors"].items()},
            ),
            bool(raw["drained"]),
            [name.encode() for name in raw["open"]],
            state_codec.decode_learned(learned, learned["servers"]),
        )
    except state_codec.DECODE_ERRORS as fault:
        raise Foreign(f"no estate: {fault!r}") from fault
