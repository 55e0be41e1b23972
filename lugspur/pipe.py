"""One direction of a stream on its way from one connection to another: never more than the sender's window."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable


def nothing(_: int) -> None:
    """For bytes that nobody waits to be told of."""


class Pipe:
    """Bytes that have come and have not gone on; who sends them is told when they have.

    `credit` is told of bytes that have gone out on the other side, so that as many more may come.
    """

    def __init__(self, credit: Callable[[int], None]) -> None:
        self._credit = credit
        self._chunks: deque[bytes] = deque()
        self._free = 0  # bytes at the beginning that their sender has been told of already
        self._told: Callable[[], None] | None = None
        self.ended = False
        self.passed = False  # whether any byte was taken: what it belongs to is settled

    def put(self, data: bytes, free: bool = False) -> None:
        """Some more; `free`: its sender need not be told when it has gone."""
        self._free += len(data) * free
        self._chunks.append(data)
        self._tell()

    def end(self) -> None:
        """Nothing more comes."""
        self.ended = True
        self._tell()

    def attach(self, told: Callable[[], None] | None) -> None:
        """Who takes them from now on, told at once and whenever there is more."""
        self._told = told
        self._tell()

    def _tell(self) -> None:
        if self._told is not None:
            self._told()

    def take(self) -> bytes:
        """All there is now."""
        data = b"".join(self._chunks)
        self._chunks.clear()
        self.passed = self.passed or bool(data)
        return data

    def take_piece(self) -> bytes:
        """What came first, as it came; empty where there is nothing."""
        data = self._chunks.popleft() if self._chunks else b""
        self.passed = self.passed or bool(data)
        return data

    def discard(self) -> None:
        """What is there goes nowhere any more."""
        self.gone(len(self.take()))

    def gone(self, size: int) -> None:
        """So many bytes that were taken have gone out, or will never."""
        free = min(size, self._free)
        self._free -= free
        if size > free:
            self._credit(size - free)
