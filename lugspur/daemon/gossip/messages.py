"""The messages of the gossip protocol, as msgpack arrays whose bounds are checked during decoding.

The types are those of SWIM (Das, Gupta, Motivala, 2002), with Lifeguard's nack (2018) and three additions: a page of
the sender's view, the request for a page, and a message for another component of the program. The order of fields is
the wire format: a field may be renamed, and a field with a default may be appended, but no field may be moved.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MAX_DATAGRAM_BYTES = 1200  # what every path carries without fragmentation (as in QUIC, RFC 9000, section 14)
MAX_NAME_CHARACTERS = 48
MAX_ZONE_CHARACTERS = 32
MAX_VERSION_CHARACTERS = 24
MAX_HOST_CHARACTERS = 45  # the longest numeric address, which is one of IPv6
MAX_RECORDS_PER_DATAGRAM = 24  # more records don't fit, even if all are of the shortest size
INSTANCE_ID_LIMIT = 1 << 52  # exclusive
INCARNATION_LIMIT = 1 << 52  # exclusive
MAX_REQUESTS_PER_SECOND = 1e9
MAX_EPOCH_SECONDS = 1e11

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS, pattern=r"\A[!-~]+\Z")]
OptionalName = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]
SequenceNumber = Annotated[int, Meta(ge=0, lt=1 << 32)]
InstanceId = Annotated[int, Meta(ge=0, lt=INSTANCE_ID_LIMIT)]
Incarnation = Annotated[int, Meta(ge=0, lt=INCARNATION_LIMIT)]
Host = Annotated[str, Meta(min_length=2, max_length=MAX_HOST_CHARACTERS, pattern=r"\A[0-9a-fA-F:.]+\Z")]
Port = Annotated[int, Meta(ge=1, lt=1 << 16)]
Digest = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class Status(IntEnum):
    """The state of a member. Of two updates with the same incarnation, the greater status takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # announced by the member itself


class MemberMetadata(Struct, frozen=True, array_like=True):
    """What a member announces about itself.

    Changes have to be rare, since each is disseminated like a change of the member's status.
    """

    zone: Annotated[str, Meta(max_length=MAX_ZONE_CHARACTERS)] = ""
    version: Annotated[str, Meta(max_length=MAX_VERSION_CHARACTERS)] = ""
    started_at: Annotated[float, Meta(ge=0.0, le=MAX_EPOCH_SECONDS)] = 0.0  # seconds since 1970, on the member's clock
    is_draining: bool = False
    requests_per_second: Annotated[float, Meta(ge=0.0, le=MAX_REQUESTS_PER_SECOND)] = 0.0


class MemberRecord(Struct, frozen=True, array_like=True):
    """The state of a member, as reported by another member or by itself."""

    name: Name
    instance_id: InstanceId  # drawn at random at each start, to distinguish processes under one name
    incarnation: Incarnation  # raised only by the member itself, to refute a suspicion or announce a change
    host: Host
    port: Port
    status: Status = Status.ALIVE
    reported_by: OptionalName = ""  # the member that suspected the member or declared it dead
    metadata: MemberMetadata = MemberMetadata()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port at which the member receives datagrams."""
        return self.host, self.port

    @property
    def is_present(self) -> bool:
        """Whether the member counts as present in the fleet, which alive and suspected ones do."""
        return self.status <= Status.SUSPECT


Records = Annotated[list[MemberRecord], Meta(max_length=MAX_RECORDS_PER_DATAGRAM)]


class Ping(Struct, frozen=True, array_like=True, tag=1):
    """Asks a member for an ack."""

    sequence_number: SequenceNumber
    digest: Digest  # of the sender's view
    updates: Records


class Ack(Struct, frozen=True, array_like=True, tag=2):
    """Replies to a ping, or to a ping request whose target has sent an ack."""

    sequence_number: SequenceNumber
    digest: Digest  # of the sender's view
    updates: Records


class PingRequest(Struct, frozen=True, array_like=True, tag=3):
    """Asks a member to ping another one that does not respond to the sender (SWIM's ping-req)."""

    sequence_number: SequenceNumber
    target_name: Name
    target_host: Host
    target_port: Port


class Nack(Struct, frozen=True, array_like=True, tag=4):
    """Replies to a ping request whose target does not respond, which shows that the nack's sender is reachable."""

    sequence_number: SequenceNumber


class Updates(Struct, frozen=True, array_like=True, tag=5):
    """Disseminates updates about members without a ping or ack that could carry them."""

    updates: Records


class FetchPage(Struct, frozen=True, array_like=True, tag=6):
    """Requests a page of the receiver's view that begins with the first name after `after_name`."""

    after_name: OptionalName


class Page(Struct, frozen=True, array_like=True, tag=7):
    """A part of the sender's view, in the order of names, that begins with the first name after `after_name`."""

    after_name: OptionalName
    is_last: bool
    records: Records


class UserMessage(Struct, frozen=True, array_like=True, tag=8):
    """Carries a message for another component of the program, which the topic identifies."""

    topic: Annotated[int, Meta(ge=0, lt=256)]
    body: Annotated[bytes, Meta(max_length=MAX_DATAGRAM_BYTES)]


Message = Ping | Ack | PingRequest | Nack | Updates | FetchPage | Page | UserMessage


class Packet(Struct, frozen=True, array_like=True):
    """The content of a datagram."""

    sender: Name
    sender_instance_id: InstanceId
    recipient: OptionalName  # empty if any process that receives the datagram may handle it
    message: Message


_encoder = msgspec.msgpack.Encoder()


def updates_in(message: Message) -> list[MemberRecord]:
    """Return the updates that a ping, an ack or a round of updates carries; other messages carry none."""
    return message.updates if isinstance(message, Ping | Ack | Updates) else []


def encoded_size(value: object) -> int:
    """Return the encoded size of a part of a message, in bytes."""
    return len(_encoder.encode(value))
