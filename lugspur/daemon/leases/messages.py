"""The messages between candidates for a role and the lease voters, without I/O.

They travel in bodies of the gossip protocol's datagrams, encoded as MessagePack arrays: a field may be renamed, but its
position, its type and the tag of its message may not change.
"""

from __future__ import annotations

from math import isnan
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MAX_ROLE_CHARACTERS = 96
EPOCH_LIMIT = 1 << 52  # exclusive: an epoch stays exact where a reader takes numbers as 64-bit floats
RoleName = Annotated[str, Meta(min_length=1, max_length=MAX_ROLE_CHARACTERS)]
Epoch = Annotated[int, Meta(ge=0, lt=EPOCH_LIMIT)]
RoundNumber = Annotated[int, Meta(ge=0, lt=1 << 52)]
DurationSeconds = Annotated[float, Meta(ge=0.0, le=86400.0)]


class RequestLease(Struct, frozen=True, array_like=True, tag=1):
    """Candidate to voter: promise this role to me under this epoch, or renew that promise."""

    role: RoleName
    epoch: Epoch
    round_number: RoundNumber  # Rises with each round of the candidate; a reply counts for its own round only.
    lease_seconds: DurationSeconds  # The time to live that the candidate relies on.


class GrantLease(Struct, frozen=True, array_like=True, tag=2):
    """Voter to candidate: from now on, the role is promised to nobody else for the time of the lease."""

    role: RoleName
    epoch: Epoch
    round_number: RoundNumber


class DenyLease(Struct, frozen=True, array_like=True, tag=3):
    """Voter to candidate: the role is not promised to you now, or not under that epoch."""

    role: RoleName
    epoch: Epoch  # The highest epoch that this voter has promised.
    round_number: RoundNumber
    holder: Annotated[str, Meta(max_length=64)]  # The member to which it is promised; empty if there is none.
    available_in_seconds: DurationSeconds  # Time until this voter can promise the role again.


class ReleaseLease(Struct, frozen=True, array_like=True, tag=4):
    """Candidate to voter: I do not hold the role, or no longer do, so promise it to others."""

    role: RoleName
    epoch: Epoch
    round_number: RoundNumber


class RoleAvailable(Struct, frozen=True, array_like=True, tag=5):
    """To a candidate, from a voter or the former lease holder: the role was released, so request it now."""

    role: RoleName
    epoch: Epoch


Message = RequestLease | GrantLease | DenyLease | ReleaseLease | RoleAvailable
_decoder = msgspec.msgpack.Decoder(list[Message])
_encoder = msgspec.msgpack.Encoder()


class MalformedMessageError(Exception):
    """A datagram's body holds none of the messages that were expected."""


def encode_messages(messages: list[Message]) -> bytes:
    """Encode several messages as one body."""
    return _encoder.encode(messages)


def decode_messages(body: bytes) -> list[Message]:
    """Decode all messages of a body.

    Raises MalformedMessageError if the body is not a list of messages whose fields are within their bounds.
    """
    try:
        found = _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedMessageError(str(error)) from error
    # The bounds of a field do not exclude NaN, with which every comparison would be false.
    if any(isinstance(message, DenyLease) and isnan(message.available_in_seconds) for message in found):
        raise MalformedMessageError("no number")
    return found
