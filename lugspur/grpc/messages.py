"""Length-prefixed messages (PROTOCOL-HTTP2.md): a flag, four bytes of length, and the message."""

from __future__ import annotations

PREFIX = 5  # bytes ahead of each message


class Spoilt(ValueError):
    """Bytes that are no messages; its text says why."""


def pack(message: bytes, compressed: bool = False) -> bytes:
    """One message with its prefix."""
    return b"%c%b%b" % (compressed, len(message).to_bytes(4, "big"), message)


def unpack(data: bytes) -> list[tuple[bool, bytes]]:
    """All messages, each with whether it is compressed; raises Spoilt."""
    found: list[tuple[bool, bytes]] = []
    at = 0
    while at < len(data):
        if len(data) - at < PREFIX:
            raise Spoilt("a message is cut within its prefix")
        if data[at] > 1:
            raise Spoilt(f"a message begins with the flag {data[at]}, which is neither 0 nor 1")
        size = int.from_bytes(data[at + 1 : at + PREFIX], "big")
        at += PREFIX
        if len(data) - at < size:
            raise Spoilt(f"a message of {size} bytes is cut after {len(data) - at}")
        found.append((data[at - PREFIX] == 1, data[at : at + size]))
        at += size
    return found


class Counter:
    """How far messages have come, by the bytes that pass; it holds none of them."""

    def __init__(self) -> None:
        self.whole = 0  # messages that have passed
        self.wanted = 0  # bytes that the open message still lacks...
        self.open = False  # ...if one has begun
        self._prefix = b""

    def feed(self, data: bytes) -> None:
        """Count these; raises Spoilt at a flag that is neither 0 nor 1."""
        at, end = 0, len(data)
        while at < end:
            if self.wanted:
                step = min(self.wanted, end - at)
                at += step
                self.wanted -= step
            else:
                part = data[at : at + PREFIX - len(self._prefix)]
                at += len(part)
                self._prefix += part
                self.open = True
                if self._prefix[0] > 1:
                    raise Spoilt(f"a message begins with the flag {self._prefix[0]}, which is neither 0 nor 1")
                if len(self._prefix) < PREFIX:
                    return
                self.wanted = int.from_bytes(self._prefix[1:], "big")
                self._prefix = b""
            if not self.wanted:
                self.whole += 1
                self.open = False

    def least(self) -> int:
        """Bytes that the open message still needs, as far as is known."""
        return self.wanted or (PREFIX - len(self._prefix) if self.open else 0)
