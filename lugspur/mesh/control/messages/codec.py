"""The union of all messages, and their encoding as frames."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from lugspur.mesh.control.messages.agreement import (
    Accept,
    Accepted,
    ChangeResult,
    FetchDecided,
    ForwardChange,
    Learn,
    Prepare,
    Promise,
    ReadIndexQuery,
    ReadIndexReply,
)
from lugspur.mesh.control.messages.coordination import CoordinationMessage
from lugspur.mesh.control.messages.forwarding import (
    BodyChunk,
    CancelRequest,
    FetchOutcomes,
    ForwardRequest,
    ForwardResponse,
    GrantBody,
    WithdrawRequest,
)
from lugspur.mesh.control.messages.reservations import (
    CompleteKey,
    FetchReservations,
    ReleaseKey,
    ReservationsPage,
    ReserveKey,
    ReserveKeyReply,
)
from lugspur.mesh.control.messages.updates import (
    Delta,
    Hello,
    Pong,
    Report,
    Subscribe,
    Unsubscribe,
)

Message: TypeAlias = (
    Hello
    | Subscribe
    | Unsubscribe
    | Delta
    | Pong
    | Report
    | Prepare
    | Promise
    | Accept
    | Accepted
    | ReadIndexQuery
    | ReadIndexReply
    | FetchDecided
    | ForwardChange
    | ChangeResult
    | Learn
    | ReserveKey
    | ReserveKeyReply
    | CompleteKey
    | ReleaseKey
    | FetchReservations
    | ReservationsPage
    | ForwardRequest
    | ForwardResponse
    | CancelRequest
    | WithdrawRequest
    | FetchOutcomes
    | GrantBody
    | BodyChunk
    | CoordinationMessage
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the frame of a message: its length in four bytes (big-endian), then the message in MessagePack."""
    data = _encoder.encode(message)
    return len(data).to_bytes(4, "big") + data


def decode(data: memoryview | bytes) -> Message:
    """Decode the message of a frame without its length; raises msgspec.DecodeError or msgspec.ValidationError."""
    return _decoder.decode(data)
