"""Heartbeats of a backend, as its sidecar receives them."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from lugspur.discovery.endpoints import read_address
from lugspur.mesh.control.errors import ErrorKind, MeshError

MAX_HEARTBEAT_BYTES = 4096


class Heartbeat(msgspec.Struct):
    """The JSON body of a backend's heartbeat."""

    service: str
    address: str
    state: str
    sequence: int  # increases with each heartbeat of one incarnation
    berths: int = 1  # requests that the backend can run at once
    warmup_left_ms: float = 0.0  # time of slow start that is left

    @property
    def is_accepting(self) -> bool:
        """Whether the backend accepts new requests; otherwise it is closing."""
        return self.state == "accepting"


class ReceivedHeartbeat(NamedTuple):
    """A heartbeat of the incarnation with this id, and the event loop's time at which it was received."""

    ident: str
    heartbeat: Heartbeat
    received_at: float


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat)


def read_heartbeat(body: bytes) -> Heartbeat:
    """Decode a heartbeat from the body of a call; raises MeshError (BAD_REQUEST) if it is invalid."""
    try:
        heartbeat = _heartbeat_decoder.decode(body[:MAX_HEARTBEAT_BYTES])
        read_address(heartbeat.address)
    except (msgspec.MsgspecError, ValueError) as fault:
        raise MeshError(ErrorKind.BAD_REQUEST, str(fault)) from None
    return heartbeat
