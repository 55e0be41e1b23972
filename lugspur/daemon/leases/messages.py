"""The messages between candidates for a role and the lease voters, without I/O.

They are sent in user messages of the gossip protocol, encoded as MessagePack arrays: a field may be renamed, but its
position, its type and the tag of its message may not change.
"""

from __future__ import annotations

from math import isnan
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MAX_ROLE_CHARACTERS = 96
EPOCH_LIMIT = 1 << 52  # exclusive; below it, an epoch is exact for a reader that parses numbers as 64-bit floats
RoleName = Annotated[str, Meta(min_length=1, max_length=MAX_ROLE_CHARACTERS)]
Epoch = Annotated[int, Meta(ge=0, lt=EPOCH_LIMIT)]
RoundNumber = Annotated[int, Meta(ge=0, lt=1 << 52)]
DurationSeconds = Annotated[float, Meta(ge=0.0, le=86400.0)]


class RequestLease(Struct, frozen=True, array_like=True, tag=1):
    """Sent by a candidate to a voter, to request its promise of the role under this epoch or to renew it."""

    role: RoleName
    epoch: Epoch
    round_number: RoundNumber  # Increases with each round of the candidate; a reply is valid only for its own round.
    lease_seconds: DurationSeconds  # The duration of the promise on which the candidate relies.


class GrantLease(Struct, frozen=True, array_like=True, tag=2):
    """Sent by a voter to a candidate: it promises the role to no other candidate for the time of the lease."""

    role: RoleName
    epoch: Epoch
    round_number: RoundNumber


class DenyLease(Struct, frozen=True, array_like=True, tag=3):
    """Sent by a voter to a candidate: it does not promise the role now, or not under the requested epoch."""

    role: RoleName
    epoch: Epoch  # The highest epoch that this voter has promised.
    round_number: RoundNumber
    holder: Annotated[str, Meta(max_length=64)]  # The member to which the role is promised; empty if there is none.
    available_in_seconds: DurationSeconds  # Time until this voter can promise the role again.


class ReleaseLease(Struct, frozen=True, array_like=True, tag=4):
    """Sent by a candidate to a voter, to release its promise, so that it can promise the role to other candidates."""

    role: RoleName
    epoch: Epoch
    round_number: RoundNumber


class RoleAvailable(Struct, frozen=True, array_like=True, tag=5):
    """Sent to a candidate by a voter or the former lease holder: the role was released and can be requested now."""

    role: RoleName
    epoch: Epoch


Message = RequestLease | GrantLease | DenyLease | ReleaseLease | RoleAvailable
_decoder = msgspec.msgpack.Decoder(list[Message])
_encoder = msgspec.msgpack.Encoder()


class MalformedMessageError(Exception):
    """The body of a datagram does not contain the expected messages."""


def encode_messages(messages: list[Message]) -> bytes:
    """Encode several messages as one body."""
    return _encoder.encode(messages)


def decode_messages(body: bytes) -> list[Message]:
    """Decode all messages of a body.

    Raises MalformedMessageError if the body is not a list of messages with all fields within their bounds.
    """
    try:
        messages = _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedMessageError(str(error)) from error
    # The bounds of a field do not exclude NaN, for which every comparison would be false.
    if any(isinstance(message, DenyLease) and isnan(message.available_in_seconds) for message in messages):
        raise MalformedMessageError("available_in_seconds is NaN")
    return messages
