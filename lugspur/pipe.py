"""One direction of a stream between two connections, bounded by the sender's flow control window."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable


def ignore_credit(_: int) -> None:
    """Credit callback for bytes whose sender needs no flow control credit."""


class Pipe:
    """Bytes that have been received and not yet forwarded.

    `credit` is called with the number of bytes that have been sent on the other side, so that the sender may send as
    many more.
    """

    def __init__(self, credit: Callable[[int], None]) -> None:
        self._credit = credit
        self._chunks: deque[bytes] = deque()
        self._credited = 0  # bytes at the beginning that their sender has been credited for already
        self._on_data: Callable[[], None] | None = None
        self.ended = False
        self.was_read = False  # whether any byte was taken: the request is bound to this attempt

    def put(self, data: bytes, credited: bool = False) -> None:
        """Append received bytes; `credited` if their sender needs no credit for them."""
        self._credited += len(data) * credited
        self._chunks.append(data)
        self._notify()

    def end(self) -> None:
        """Mark the stream as complete."""
        self.ended = True
        self._notify()

    def attach(self, on_data: Callable[[], None] | None) -> None:
        """Set the callback of the reader, which is called at once and whenever there is more."""
        self._on_data = on_data
        self._notify()

    def _notify(self) -> None:
        if self._on_data is not None:
            self._on_data()

    def take(self) -> bytes:
        """Take all available bytes."""
        data = b"".join(self._chunks)
        self._chunks.clear()
        self.was_read = self.was_read or bool(data)
        return data

    def take_chunk(self) -> bytes:
        """Take the first chunk as it was received; empty if there is none."""
        data = self._chunks.popleft() if self._chunks else b""
        self.was_read = self.was_read or bool(data)
        return data

    def discard(self) -> None:
        """Drop the available bytes."""
        self.mark_sent(len(self.take()))

    def mark_sent(self, size: int) -> None:
        """Record that bytes taken before have been sent, or never will be, and credit their sender."""
        credited = min(size, self._credited)
        self._credited -= credited
        if size > credited:
            self._credit(size - credited)
