"""What two processes of one proxy say to each other: packets of JSON, checked and bounded. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from lugspur.discovery import learned as forms
from lugspur.discovery.maintenance import Bans
from lugspur.discovery.rows import Endpoint, server_id, server_name
from lugspur.load_balancing.model import Learned

PROTOCOL_VERSION = 1
MAX_PACKET_BYTES = 48 << 10  # bytes of one packet: well under what a socket's buffer takes
# Of the state's text in one packet: quoted in JSON and as UTF-8 they take four times as many bytes at most.
STATE_PART_CHARACTERS = 12 << 10
MAX_STATE_PARTS = 512  # of one estate, 6 MiB: 16,384 names and some thousand backends are a third of it
MAX_IDS_PER_PACKET = 64  # ids of requests in one packet, of 64 bytes each


class PacketError(ValueError):
    """What came is nothing that this version understands."""


@dataclass(slots=True, frozen=True)
class ProcessState:
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
    """One packet's message; raises PacketError."""
    try:
        message = orjson.loads(data)
    except ValueError as fault:
        raise PacketError(f"no message: {fault}") from fault
    if not isinstance(message, dict) or not isinstance(message.get("t"), str):
        raise PacketError("no message of this form")
    return message


def encode_state(estate: ProcessState) -> list[bytes]:
    """An estate as packets."""
    whole = orjson.dumps(
        {
            "version": PROTOCOL_VERSION,
            "index": estate.index,
            "endpoints": [forms.entry(endpoint) for endpoint in estate.endpoints],
            "listed": [server_name(server) for server in estate.bans.listed],
            "banned": [server_name(server) for server in estate.bans.banned],
            "floors": {server_name(server): at for server, at in estate.bans.floors.items()},
            "drained": estate.drained,
            "open": [name.decode() for name in estate.open],
            "learned": forms.tier(estate.learned) | {"servers": [forms.server(row) for row in estate.learned.servers]},
        }
    ).decode()
    parts = [whole[at : at + STATE_PART_CHARACTERS] for at in range(0, len(whole), STATE_PART_CHARACTERS)]
    return [pack({"t": "estate", "n": n, "of": len(parts), "part": part}) for n, part in enumerate(parts)]


class StateAssembler:
    """Puts an estate together; raises PacketError at the first packet that does not fit."""

    def __init__(self) -> None:
        self._parts: list[str] = []

    def add(self, message: dict[str, Any]) -> ProcessState | None:
        """One more; the estate, if it was the last."""
        number, count, part = message.get("n"), message.get("of"), message.get("part")
        fits = (
            isinstance(count, int)
            and 0 < count <= MAX_STATE_PARTS
            and isinstance(part, str)
            and len(part) <= STATE_PART_CHARACTERS
        )
        if not fits or number != len(self._parts) or number >= count:
            raise PacketError("a part of another estate")
        assert isinstance(part, str)
        self._parts.append(part)
        return decode_state("".join(self._parts)) if len(self._parts) == count else None


def decode_state(text: str) -> ProcessState:
    """An estate from its text; raises PacketError."""
    try:
        raw = orjson.loads(text)
        if raw["version"] != PROTOCOL_VERSION:
            raise PacketError(f"an estate of version {raw['version']}")
        learned = raw["learned"]
        return ProcessState(
            int(raw["index"]),
            [forms.read_entry(row) for row in raw["endpoints"]],
            Bans(
                [server_id(name) for name in raw["listed"]],
                [server_id(name) for name in raw["banned"]],
                {server_id(name): float(at) for name, at in raw["floors"].items()},
            ),
            bool(raw["drained"]),
            [name.encode() for name in raw["open"]],
            forms.read_learned(learned, learned["servers"]),
        )
    except forms.SENSELESS as fault:
        raise PacketError(f"no estate: {fault!r}") from fault
