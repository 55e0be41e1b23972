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
DATAGRAM_MOST = 1200  # bytes: what every path carries without fragments (as QUIC's RFC 9000 section 14)
ID_BYTES, TAG_BYTES = 8, 16
HEAD = len(MAGIC) + 1 + ID_BYTES
NAME_MOST, ZONE_MOST, VERSION_MOST, HOST_MOST = 48, 32, 24, 45  # characters; the host is a numeric address
KEY_LEAST, KEY_MOST = 16, 64  # bytes of a key; BLAKE2b takes no more than 64
RECORDS_MOST = 24  # in one datagram: more don't fit
INCARNATION_MOST = 1 << 52
RATE_MOST = 1e9  # requests a second

Name = Annotated[str, Meta(min_length=1, max_length=NAME_MOST, pattern=r"\A[!-~]+\Z")]
To = Annotated[str, Meta(max_length=NAME_MOST)]
Number = Annotated[int, Meta(ge=0, lt=1 << 32)]
Life = Annotated[int, Meta(ge=0, lt=1 << 52)]
Incarnation = Annotated[int, Meta(ge=0, lt=INCARNATION_MOST)]
Host = Annotated[str, Meta(min_length=2, max_length=HOST_MOST, pattern=r"\A[0-9a-fA-F:.]+\Z")]
Port = Annotated[int, Meta(ge=1, lt=1 << 16)]
Digest = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class Status(IntEnum):
    """What is thought of a member; of two words of one incarnation the greater counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # it said so itself


class Facts(Struct, frozen=True, array_like=True):
    """What a member tells of itself. Changes are told like a change of its state, so they are to be few."""

    zone: Annotated[str, Meta(max_length=ZONE_MOST)] = ""
    version: Annotated[str, Meta(max_length=VERSION_MOST)] = ""
    started: Annotated[float, Meta(ge=0.0, le=1e11)] = 0.0  # seconds since 1970, by its own clock
    draining: bool = False
    rate: Annotated[float, Meta(ge=0.0, le=RATE_MOST)] = 0.0  # requests a second


class Record(Struct, frozen=True, array_like=True):
    """What one member says of another, or of itself."""

    name: Name
    life: Life  # drawn at each start: another process under the same name has another one
    incarnation: Incarnation  # only the member itself raises it
    host: Host
    port: Port
    status: Status = Status.ALIVE
    by: To = ""  # who suspected it, or found it dead
    facts: Facts = Facts()

    @property
    def address(self) -> tuple[str, int]:
        """Where it takes datagrams."""
        return self.host, self.port

    @property
    def there(self) -> bool:
        """Whether it counts as a member that is there."""
        return self.status <= Status.SUSPECT


Records = Annotated[list[Record], Meta(max_length=RECORDS_MOST)]


class Ping(Struct, frozen=True, array_like=True, tag=1):
    """Are you there?"""

    number: Number
    digest: Digest  # of the sender's view
    news: Records


class Ack(Struct, frozen=True, array_like=True, tag=2):
    """I am; or, of a ping for somebody else: it is."""

    number: Number
    digest: Digest
    news: Records


class Help(Struct, frozen=True, array_like=True, tag=3):
    """Ping that one for me: I hear nothing of it."""

    number: Number
    name: Name
    host: Host
    port: Port


class Nack(Struct, frozen=True, array_like=True, tag=4):
    """I hear nothing of it either, but I do hear you."""

    number: Number


class News(Struct, frozen=True, array_like=True, tag=5):
    """What has changed."""

    news: Records


class Ask(Struct, frozen=True, array_like=True, tag=6):
    """Tell me of all members whose names come after this one."""

    after: To


class Page(Struct, frozen=True, array_like=True, tag=7):
    """Some of them; `last`: there are no more."""

    after: To
    last: bool
    records: Records


class Post(Struct, frozen=True, array_like=True, tag=8):
    """Something for another part of the program."""

    topic: Annotated[int, Meta(ge=0, lt=256)]
    body: Annotated[bytes, Meta(max_length=DATAGRAM_MOST)]


Message = Ping | Ack | Help | Nack | News | Ask | Page | Post


class Packet(Struct, frozen=True, array_like=True):
    """A datagram's content."""

    me: Name  # who sends it...
    life: Life  # ...and which process of that name
    to: To  # the member that it is meant for; empty: whoever listens there
    message: Message


class Foreign(Exception):
    """A datagram that counts for nothing; its text is the kind that is counted."""


_decoder = msgspec.msgpack.Decoder(Packet)
_encoder = msgspec.msgpack.Encoder()


class Wire:
    """The form of one fleet's datagrams."""

    def __init__(self, fleet: str, key: bytes = b"") -> None:
        self._key = key
        self._head = MAGIC + bytes([VERSION]) + blake2b(fleet.encode(), digest_size=ID_BYTES).digest()
        self._from = HEAD + (TAG_BYTES if key else 0)
        self.room = DATAGRAM_MOST - self._from  # bytes for a packet

    def _tag(self, body: bytes) -> bytes:
        return blake2b(self._head + body, key=self._key, digest_size=TAG_BYTES).digest()

    def encode(self, packet: Packet) -> bytes:
        """The datagram."""
        body = _encoder.encode(packet)
        return self._head + (self._tag(body) if self._key else b"") + body

    def decode(self, data: bytes) -> Packet:
        """Its content; raises Foreign with what is wrong with it."""
        if len(data) > DATAGRAM_MOST:
            raise Foreign("too large")
        if data[:2] != MAGIC or len(data) < self._from:
            raise Foreign("garbage")
        if data[2] != VERSION:
            raise Foreign("another version")
        if data[:HEAD] != self._head:
            raise Foreign("another fleet")
        body = data[self._from :]
        if self._key and not hmac.compare_digest(data[HEAD : self._from], self._tag(body)):
            raise Foreign("another key")
        try:
            packet = _decoder.decode(body)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
            raise Foreign("garbage") from fault
        for record in records_of(packet.message):
            if not (math.isfinite(record.facts.rate) and math.isfinite(record.facts.started)):
                raise Foreign("garbage")
        return packet


def records_of(message: Message) -> list[Record]:
    """What a message says of members."""
    if isinstance(message, Ping | Ack | News):
        return message.news
    return message.records if isinstance(message, Page) else []


def size_of(what: object) -> int:
    """Bytes that something takes in a packet."""
    return len(_encoder.encode(what))
