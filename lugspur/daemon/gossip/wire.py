"""The fleet's datagrams: one versioned form, checked whole before anything in it counts. No I/O.

2 bytes "LG", 1 byte version, 8 bytes of the fleet's name (BLAKE2b), with a key 16 bytes of tag (keyed BLAKE2b over
all the rest), then msgpack.
"""

from __future__ import annotations

import hmac
import math
from enum import IntEnum
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MAGIC, VERSION = b"LG", 1
MAX_DATAGRAM_BYTES = 1200  # bytes: what every path carries without fragments (as QUIC's RFC 9000 section 14)
FLEET_ID_BYTES, TAG_BYTES = 8, 16
HEADER_BYTES = len(MAGIC) + 1 + FLEET_ID_BYTES
MAX_NAME_CHARACTERS, MAX_ZONE_CHARACTERS, MAX_VERSION_CHARACTERS, MAX_HOST_CHARACTERS = (
    48,
    32,
    24,
    45,
)  # characters; the host is a numeric address
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # bytes of a key; BLAKE2b takes no more than 64
MAX_RECORDS_PER_DATAGRAM = 24  # in one datagram: more don't fit
INCARNATION_LIMIT = 1 << 52
MAX_REQUESTS_PER_SECOND = 1e9  # requests a second

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS, pattern=r"\A[!-~]+\Z")]
OptionalName = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]
SequenceNumber = Annotated[int, Meta(ge=0, lt=1 << 32)]
InstanceId = Annotated[int, Meta(ge=0, lt=1 << 52)]
Incarnation = Annotated[int, Meta(ge=0, lt=INCARNATION_LIMIT)]
Host = Annotated[str, Meta(min_length=2, max_length=MAX_HOST_CHARACTERS, pattern=r"\A[0-9a-fA-F:.]+\Z")]
Port = Annotated[int, Meta(ge=1, lt=1 << 16)]
Digest = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class Status(IntEnum):
    """What is thought of a member; of two words of one incarnation the greater counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # it said so itself


class MemberMetadata(Struct, frozen=True, array_like=True):
    """What a member tells of itself. Changes are told like a change of its state, so they are to be few."""

    zone: Annotated[str, Meta(max_length=MAX_ZONE_CHARACTERS)] = ""
    version: Annotated[str, Meta(max_length=MAX_VERSION_CHARACTERS)] = ""
    started_at: Annotated[float, Meta(ge=0.0, le=1e11)] = 0.0  # seconds since 1970, by its own clock
    is_draining: bool = False
    requests_per_second: Annotated[float, Meta(ge=0.0, le=MAX_REQUESTS_PER_SECOND)] = 0.0  # requests a second


class MemberRecord(Struct, frozen=True, array_like=True):
    """What one member says of another, or of itself."""

    name: Name
    instance_id: InstanceId  # drawn at each start: another process under the same name has another one
    incarnation: Incarnation  # only the member itself raises it
    host: Host
    port: Port
    status: Status = Status.ALIVE
    reported_by: OptionalName = ""  # who suspected it, or found it dead
    metadata: MemberMetadata = MemberMetadata()

    @property
    def address(self) -> tuple[str, int]:
        """Where it takes datagrams."""
        return self.host, self.port

    @property
    def is_present(self) -> bool:
        """Whether it counts as a member that is there."""
        return self.status <= Status.SUSPECT


Records = Annotated[list[MemberRecord], Meta(max_length=MAX_RECORDS_PER_DATAGRAM)]


class Ping(Struct, frozen=True, array_like=True, tag=1):
    """Are you there?"""

    sequence_number: SequenceNumber
    digest: Digest  # of the sender's view
    updates: Records


class Ack(Struct, frozen=True, array_like=True, tag=2):
    """I am; or, of a ping for somebody else: it is."""

    sequence_number: SequenceNumber
    digest: Digest
    updates: Records


class PingRequest(Struct, frozen=True, array_like=True, tag=3):
    """Ping that one for me: I hear nothing of it."""

    sequence_number: SequenceNumber
    target_name: Name
    target_host: Host
    target_port: Port


class Nack(Struct, frozen=True, array_like=True, tag=4):
    """I hear nothing of it either, but I do hear you."""

    sequence_number: SequenceNumber


class Updates(Struct, frozen=True, array_like=True, tag=5):
    """What has changed."""

    updates: Records


class FetchPage(Struct, frozen=True, array_like=True, tag=6):
    """Tell me of all members whose names come after this one."""

    after_name: OptionalName


class Page(Struct, frozen=True, array_like=True, tag=7):
    """Some of them; `is_last`: there are no more."""

    after_name: OptionalName
    is_last: bool
    records: Records


class UserMessage(Struct, frozen=True, array_like=True, tag=8):
    """Something for another part of the program."""

    topic: Annotated[int, Meta(ge=0, lt=256)]
    body: Annotated[bytes, Meta(max_length=MAX_DATAGRAM_BYTES)]


Message = Ping | Ack | PingRequest | Nack | Updates | FetchPage | Page | UserMessage


class Packet(Struct, frozen=True, array_like=True):
    """A datagram's content."""

    sender: Name  # who sends it...
    sender_instance_id: InstanceId  # ...and which process of that name
    recipient: OptionalName  # the member that it is meant for; empty: whoever listens there
    message: Message


class DatagramRejectedError(Exception):
    """A datagram that counts for nothing; its text is the kind that is counted."""


_decoder = msgspec.msgpack.Decoder(Packet)
_encoder = msgspec.msgpack.Encoder()


class DatagramCodec:
    """The form of one fleet's datagrams."""

    def __init__(self, fleet: str, key: bytes = b"") -> None:
        self._key = key
        self._head = MAGIC + bytes([VERSION]) + blake2b(fleet.encode(), digest_size=FLEET_ID_BYTES).digest()
        self._from = HEADER_BYTES + (TAG_BYTES if key else 0)
        self.room = MAX_DATAGRAM_BYTES - self._from  # bytes for a packet

    def _tag(self, body: bytes) -> bytes:
        return blake2b(self._head + body, key=self._key, digest_size=TAG_BYTES).digest()

    def encode(self, packet: Packet) -> bytes:
        """The datagram."""
        body = _encoder.encode(packet)
        return self._head + (self._tag(body) if self._key else b"") + body

    def decode(self, data: bytes) -> Packet:
        """Its content; raises Foreign with what is wrong with it."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError("too large")
        if data[:2] != MAGIC or len(data) < self._from:
            raise DatagramRejectedError("garbage")
        if data[2] != VERSION:
            raise DatagramRejectedError("another version")
        if data[:HEADER_BYTES] != self._head:
            raise DatagramRejectedError("another fleet")
        body = data[self._from :]
        if self._key and not hmac.compare_digest(data[HEADER_BYTES : self._from], self._tag(body)):
            raise DatagramRejectedError("another key")
        try:
            packet = _decoder.decode(body)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
            raise DatagramRejectedError("garbage") from fault
        for record in records_in(packet.message):
            if not (math.isfinite(record.metadata.requests_per_second) and math.isfinite(record.metadata.started_at)):
                raise DatagramRejectedError("garbage")
        return packet


def records_in(message: Message) -> list[MemberRecord]:
    """What a message says of members."""
    if isinstance(message, Ping | Ack | Updates):
        return message.updates
    return message.records if isinstance(message, Page) else []


def encoded_size(what: object) -> int:
    """Bytes that something takes in a packet."""
    return len(_encoder.encode(what))
