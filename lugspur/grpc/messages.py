"""Length-prefixed messages (PROTOCOL-HTTP2.md): a flag for compression, four bytes of length, and the message."""

from __future__ import annotations

PREFIX_BYTES = 5  # flag and length


class InvalidMessageError(ValueError):
    """Bytes are not a sequence of messages; the text says why."""


def pack(message: bytes, compressed: bool = False) -> bytes:
    """Return a message with its prefix."""
    return b"%c%b%b" % (compressed, len(message).to_bytes(4, "big"), message)


def unpack(data: bytes) -> list[tuple[bool, bytes]]:
    """Return all messages, each with whether it is compressed; raises InvalidMessageError."""
    messages: list[tuple[bool, bytes]] = []
    at = 0
    while at < len(data):
        if len(data) - at < PREFIX_BYTES:
            raise InvalidMessageError("a message is cut within its prefix")
        if data[at] > 1:
            raise InvalidMessageError(f"a message begins with the flag {data[at]}, which is neither 0 nor 1")
        size = int.from_bytes(data[at + 1 : at + PREFIX_BYTES], "big")
        at += PREFIX_BYTES
        if len(data) - at < size:
            raise InvalidMessageError(f"a message of {size} bytes is cut after {len(data) - at}")
        messages.append((data[at - PREFIX_BYTES] == 1, data[at : at + size]))
        at += size
    return messages


class MessageCounter:
    """Tracks the boundaries of messages in a stream of bytes, without keeping the bytes."""

    def __init__(self) -> None:
        self.complete_count = 0  # messages that are complete
        self._missing_bytes = 0  # that the body of the open message still lacks; 0 while its prefix is read
        self.has_open_message = False  # whether a message has begun and is not complete
        self._prefix = b""

    def feed(self, data: bytes) -> None:
        """Track the next bytes of the stream; raises InvalidMessageError at a flag that is neither 0 nor 1."""
        at, end = 0, len(data)
        while at < end:
            if self._missing_bytes:
                step = min(self._missing_bytes, end - at)
                at += step
                self._missing_bytes -= step
            else:
                part = data[at : at + PREFIX_BYTES - len(self._prefix)]
                at += len(part)
                self._prefix += part
                self.has_open_message = True
                if self._prefix[0] > 1:
                    raise InvalidMessageError(
                        f"a message begins with the flag {self._prefix[0]}, which is neither 0 nor 1"
                    )
                if len(self._prefix) < PREFIX_BYTES:
                    return
                self._missing_bytes = int.from_bytes(self._prefix[1:], "big")
                self._prefix = b""
            if not self._missing_bytes:
                self.complete_count += 1
                self.has_open_message = False

    def min_missing_bytes(self) -> int:
        """Return how many more bytes the open message needs at least; its length may not be known yet."""
        return self._missing_bytes or (PREFIX_BYTES - len(self._prefix) if self.has_open_message else 0)
