"""Counts messages and bytes by kind, at the hollow ends of the connections."""

from __future__ import annotations

import msgspec

from lugspur.control.messages import Message, decode, encode
from lugspur.mesh import link


class Traffic(msgspec.Struct):
    """What went one way: messages and bytes of their frames, headers of TCP and IP not among them."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """One more message."""
        self.messages += 1
        self.bytes += size


class Counter:
    """All messages of this process, by the name of their kind."""

    def __init__(self) -> None:
        self.received: dict[str, Traffic] = {}
        self.sent: dict[str, Traffic] = {}

    def install(self) -> None:
        """Count from now on: the connections of this process call these in place of the plain codecs."""
        link.decode = self._decode  # type: ignore[attr-defined,assignment]
        link.encode = self._encode  # type: ignore[attr-defined]

    def _decode(self, data: bytes) -> Message:
        message = decode(data)
        self.received.setdefault(type(message).__name__, Traffic()).add(len(data) + 4)
        return message

    def _encode(self, message: Message) -> bytes:
        frame = encode(message)
        self.sent.setdefault(type(message).__name__, Traffic()).add(len(frame))
        return frame
