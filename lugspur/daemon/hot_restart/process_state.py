"""The state that a process hands to its successor, as text in bounded parts. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from lugspur.daemon.hot_restart import packets
from lugspur.daemon.hot_restart.packets import PROTOCOL_VERSION, Packet, PacketError
from lugspur.discovery import state_codec
from lugspur.discovery.endpoint_overrides import SavedBans
from lugspur.discovery.endpoints import Endpoint, server_id, server_name
from lugspur.load_balancing.model import Learned

# Of the state's text in one packet: quoted in JSON and as UTF-8 they take four times as many bytes at most.
STATE_PART_CHARACTERS = 12 << 10
MAX_STATE_PARTS = 512  # of one state, 6 MiB: 16,384 names and some thousand backends are a third of it


@dataclass(slots=True, frozen=True)
class ProcessState:
    """All that a successor needs to go on in its predecessor's place."""

    index: int  # of the list of backends
    endpoints: list[Endpoint]  # as discovery listed them
    bans: SavedBans
    drained: bool
    open: list[bytes]  # ids of requests that are not answered yet
    learned: Learned


def encode_state(state: ProcessState) -> list[bytes]:
    """Return the packets of a state, in the order in which they are to be sent."""
    text = orjson.dumps(
        {
            "version": PROTOCOL_VERSION,
            "index": state.index,
            "endpoints": [state_codec.encode_endpoint(endpoint) for endpoint in state.endpoints],
            "listed": [server_name(server) for server in state.bans.listed],
            "banned": [server_name(server) for server in state.bans.banned],
            "floors": {server_name(server): at for server, at in state.bans.earliest_start.items()},
            "drained": state.drained,
            "open": [request_id.decode() for request_id in state.open],
            "learned": state_codec.encode_learned_pools(state.learned)
            | {"servers": [state_codec.encode_learned_server(row) for row in state.learned.servers]},
        }
    ).decode()
    parts = [text[at : at + STATE_PART_CHARACTERS] for at in range(0, len(text), STATE_PART_CHARACTERS)]
    return [packets.pack(packets.state_part(number, len(parts), part)) for number, part in enumerate(parts)]


def decode_state(text: str) -> ProcessState:
    """Return the state of a text; raises PacketError."""
    try:
        raw = orjson.loads(text)
        if raw["version"] != PROTOCOL_VERSION:
            raise PacketError(f"an estate of version {raw['version']}")
        learned = raw["learned"]
        return ProcessState(
            int(raw["index"]),
            [state_codec.decode_endpoint(row) for row in raw["endpoints"]],
            SavedBans(
                [server_id(name) for name in raw["listed"]],
                [server_id(name) for name in raw["banned"]],
                {server_id(name): float(at) for name, at in raw["floors"].items()},
            ),
            bool(raw["drained"]),
            [request_id.encode() for request_id in raw["open"]],
            state_codec.decode_learned(learned, learned["servers"]),
        )
    except state_codec.DECODE_ERRORS as error:
        raise PacketError(f"no estate: {error!r}") from error


class StateAssembler:
    """Puts the parts of one state together."""

    def __init__(self) -> None:
        """Begin without any part."""
        self._parts: list[str] = []

    def add(self, packet: Packet) -> ProcessState | None:
        """Add the next part and return the state with the last one; raises PacketError for one that does not fit."""
        number, count, part = packet.get("n"), packet.get("of"), packet.get("part")
        if not isinstance(part, str) or len(part) > STATE_PART_CHARACTERS:
            raise PacketError("a part of another estate")
        # Guards memory: the count is the sender's word.
        if not isinstance(count, int) or not 0 < count <= MAX_STATE_PARTS:
            raise PacketError("a part of another estate")
        if number != len(self._parts) or number >= count:
            raise PacketError("a part of another estate")
        self._parts.append(part)
        return decode_state("".join(self._parts)) if len(self._parts) == count else None
