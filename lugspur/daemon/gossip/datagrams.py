"""The datagram format of the gossip protocol: a versioned header, an optional authentication tag, and a packet. No I/O.

    2 bytes   "LG"
    1 byte    version
    8 bytes   BLAKE2b digest of the fleet's name
    16 bytes  only with a key: keyed BLAKE2b tag over the header and the packet
    the rest  the packet, in msgpack

A datagram is validated as a whole before any part of it is used.
"""

from __future__ import annotations

import hmac
import math
from enum import StrEnum
from hashlib import blake2b

import msgspec

from lugspur.daemon.gossip.messages import MAX_DATAGRAM_BYTES, Message, Packet, Page, updates_in

MAGIC, VERSION = b"LG", 1
FLEET_ID_BYTES, TAG_BYTES = 8, 16
HEADER_BYTES = len(MAGIC) + 1 + FLEET_ID_BYTES
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # bounds of a key's length; BLAKE2b accepts keys of up to 64 bytes

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Packet)


class RejectionReason(StrEnum):
    """Why a datagram was rejected. Each value is the name of a counter that operators read."""

    TOO_LARGE = "too large"
    MALFORMED = "garbage"
    OTHER_VERSION = "another version"
    OTHER_FLEET = "another fleet"
    WRONG_KEY = "another key"


class DatagramRejectedError(Exception):
    """A received datagram is not a valid datagram of this fleet."""

    def __init__(self, reason: RejectionReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class DatagramCodec:
    """Encodes and decodes the datagrams of one fleet.

    Args:
        fleet_name: The fleet's name. Members of fleets with different names reject each other's datagrams.
        key: The fleet's secret of `MIN_KEY_BYTES` to `MAX_KEY_BYTES` bytes; if it is empty, datagrams carry no tag.
    """

    def __init__(self, fleet_name: str, key: bytes = b"") -> None:
        self._key = key
        self._header = MAGIC + bytes([VERSION]) + blake2b(fleet_name.encode(), digest_size=FLEET_ID_BYTES).digest()
        self._packet_offset = HEADER_BYTES + (TAG_BYTES if key else 0)
        self.max_packet_bytes = MAX_DATAGRAM_BYTES - self._packet_offset

    def _tag(self, body: bytes) -> bytes:
        return blake2b(self._header + body, key=self._key, digest_size=TAG_BYTES).digest()

    def encode(self, packet: Packet) -> bytes:
        """Return the datagram that carries a packet."""
        body = _encoder.encode(packet)
        return self._header + (self._tag(body) if self._key else b"") + body

    def decode(self, datagram: bytes) -> Packet:
        """Return the packet of a datagram.

        Raises:
            DatagramRejectedError: The datagram is too large, malformed, or of another version, fleet or key.
        """
        self._check_header(datagram)
        body = datagram[self._packet_offset :]
        if self._key and not hmac.compare_digest(datagram[HEADER_BYTES : self._packet_offset], self._tag(body)):
            raise DatagramRejectedError(RejectionReason.WRONG_KEY)
        try:
            packet = _decoder.decode(body)
        except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
            raise DatagramRejectedError(RejectionReason.MALFORMED) from error
        _check_numbers(packet.message)
        return packet

    def _check_header(self, datagram: bytes) -> None:
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError(RejectionReason.TOO_LARGE)
        if datagram[: len(MAGIC)] != MAGIC or len(datagram) < self._packet_offset:
            raise DatagramRejectedError(RejectionReason.MALFORMED)
        if datagram[len(MAGIC)] != VERSION:
            raise DatagramRejectedError(RejectionReason.OTHER_VERSION)
        if datagram[:HEADER_BYTES] != self._header:
            raise DatagramRejectedError(RejectionReason.OTHER_FLEET)


def _check_numbers(message: Message) -> None:
    """Reject numbers that are not finite, since msgspec's bounds accept NaN."""
    records = message.records if isinstance(message, Page) else updates_in(message)
    for record in records:
        metadata = record.metadata
        if not (math.isfinite(metadata.requests_per_second) and math.isfinite(metadata.started_at)):
            raise DatagramRejectedError(RejectionReason.MALFORMED)
