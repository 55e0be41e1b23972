"""A request's body on its way through: what has come and may be needed again. No I/O."""

from __future__ import annotations

from collections.abc import Callable

HOLD = 64 << 10  # bytes up to which a body is held whole; a larger one goes through in pieces...
KEEP = 2  # ...and is kept up to so many times that, so that another attempt can begin anew
WINDOW = 64 << 10  # bytes that may have come and not gone on; its sender is not read beyond them
PIECE = 64 << 10  # bytes sent on in one go


class Body:
    """Bytes that come on one side and go on on the other, at the pace of the slower.

    An attempt reads from its own place on. Until more than `keep` bytes have been passed on, all is kept, and another
    attempt can begin; from then on what has gone is dropped, and the request belongs to that attempt.
    """

    def __init__(self, length: int | None, room: Callable[[], None], keep: int = KEEP * HOLD) -> None:
        self._keep = keep
        self._gathers = False
        self.length = length  # as announced; None: it comes in chunks
        self._room = room  # told when more may come
        self._data = bytearray()
        self._base = 0  # bytes dropped at the beginning
        self._gone = 0  # bytes passed on by the attempt that is out
        self.ended = False  # it is whole
        self.over = False  # nothing more is wanted: its request has been answered, or was cut off
        self.told: Callable[[], None] | None = None  # the attempt that is out, told of more
        self.whole: Callable[[], None] | None = None  # told when its last byte has come
        self.dropped: Callable[[], None] | None = None  # told when it is bound

    @property
    def bound(self) -> bool:
        """Whether a part is not there any more: no other attempt can begin."""
        return self._base > 0

    @property
    def came(self) -> int:
        """Bytes that have come."""
        return self._base + len(self._data)

    @property
    def held(self) -> int:
        """Bytes that are kept."""
        return len(self._data)

    @property
    def full(self) -> bool:
        """Whether its sender should wait."""
        return not self.over and not self._gathers and self.came - self._gone > WINDOW

    def gather(self, whole: Callable[[bytes], None]) -> None:
        """Nothing of it goes on before it is whole: who takes it can't take it in pieces."""
        self._gathers = True
        self.whole = lambda: whole(bytes(self._data))
        self._room()

    def put(self, data: bytes) -> None:
        """Some more has come."""
        if not self.over:
            self._data += data
            if self.told is not None:
                self.told()

    def end(self) -> None:
        """It is whole."""
        self.ended = True
        if self.whole is not None:
            self.whole()
        if self.told is not None:
            self.told()

    def drop(self) -> None:
        """Nothing of it is wanted any more."""
        told, self.told = self.told, None
        self.over = True
        self.whole = self.dropped = None
        self._base = self.came
        self._data = bytearray()
        if told is not None:
            told()  # an attempt that is out can't be ended with what is wanted no more
        self._room()

    def begin(self, told: Callable[[], None]) -> None:
        """An attempt begins with the first byte; the one before it has ended."""
        self.told, self._gone = told, 0

    def read(self, at: int) -> bytes:
        """What there is from this place on, in one piece."""
        start = at - self._base
        return bytes(self._data[start : start + PIECE])

    def passed(self, at: int) -> None:
        """The attempt that is out has passed on everything before this place."""
        full = self.full
        self._gone = at
        if at > self._keep and not self.over:
            first = not self._base
            del self._data[: at - self._base]
            self._base = at
            if first and self.dropped is not None:
                self.dropped()
        if full and not self.full:
            self._room()
