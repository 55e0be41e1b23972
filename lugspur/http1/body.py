"""The buffer of a request body on its way to a backend, without I/O."""

from __future__ import annotations

from collections.abc import Callable

# Size in bytes up to which a body is buffered whole; a larger one is streamed.
MAX_BUFFERED_BODY = 64 << 10
# Factor of that size up to which a streamed body is kept, so that another attempt can start from its beginning.
REPLAY_FACTOR = 2
# Bytes that may have been received and not forwarded; the sender is not read beyond them.
WINDOW = 64 << 10
# Bytes forwarded at once.
PIECE_SIZE = 64 << 10


class Body:
    """A request body that is forwarded at the pace of the slower side.

    An attempt reads at its own offset. Until more than `replay_limit` bytes have been forwarded, all of them are kept
    and another attempt can start; from then on forwarded bytes are dropped and the request is bound to that attempt.
    """

    def __init__(
        self,
        length: int | None,
        resume_sender: Callable[[], None],
        replay_limit: int = REPLAY_FACTOR * MAX_BUFFERED_BODY,
    ) -> None:
        self._replay_limit = replay_limit
        self._buffers_whole = False
        self.length = length  # Content-Length; None: the body is chunked
        self._resume_sender = resume_sender  # called when the sender may send more
        self._data = bytearray()
        self._start = 0  # bytes dropped from the beginning
        self._forwarded = 0  # bytes forwarded by the current attempt
        self.ended = False  # whether the last byte has been received
        self.is_discarded = False  # whether the rest is not needed: the request was answered or cancelled
        self.on_data: Callable[[], None] | None = None  # called when the current attempt can read more
        self.on_complete: Callable[[], None] | None = None  # called when the last byte has been received
        self.on_dropped: Callable[[], None] | None = None  # called when the first bytes are dropped

    @property
    def is_partly_dropped(self) -> bool:
        """Whether some bytes have been dropped, so that no other attempt can start."""
        return self._start > 0

    @property
    def received(self) -> int:
        """Number of bytes received."""
        return self._start + len(self._data)

    @property
    def buffered(self) -> int:
        """Number of bytes buffered."""
        return len(self._data)

    @property
    def full(self) -> bool:
        """Whether the sender should pause."""
        return not self.is_discarded and not self._buffers_whole and self.received - self._forwarded > WINDOW

    def buffer_whole(self, on_complete: Callable[[bytes], None]) -> None:
        """Buffer the whole body and pass it to `on_complete` at its end, for a receiver that can't take pieces."""
        self._buffers_whole = True
        self.on_complete = lambda: on_complete(bytes(self._data))
        self._resume_sender()

    def put(self, data: bytes) -> None:
        """Append received bytes."""
        if not self.is_discarded:
            self._data += data
            if self.on_data is not None:
                self.on_data()

    def end(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        if self.on_complete is not None:
            self.on_complete()
        if self.on_data is not None:
            self.on_data()

    def drop(self) -> None:
        """Drop the body because it is not needed any more."""
        on_data, self.on_data = self.on_data, None
        self.is_discarded = True
        self.on_complete = self.on_dropped = None
        self._start = self.received
        self._data = bytearray()
        if on_data is not None:
            on_data()  # the current attempt can't complete without the rest of the body
        self._resume_sender()

    def release(self) -> None:
        """Free the bytes and the callbacks of a body that has been received whole, once its request is finished.

        The callbacks reference the request, which references the body.
        """
        self.on_data = self.on_dropped = None
        if self.ended:
            self.on_complete = None
            self._start, self._data = self.received, bytearray()

    def start_attempt(self, on_data: Callable[[], None]) -> None:
        """Start an attempt at the first byte, after the previous one has ended."""
        self.on_data, self._forwarded = on_data, 0

    def read(self, at: int) -> bytes:
        """Return the available bytes from this offset on, up to one piece."""
        start = at - self._start
        return bytes(self._data[start : start + PIECE_SIZE])

    def mark_forwarded(self, at: int) -> None:
        """Record that the current attempt has forwarded all bytes before this offset."""
        full = self.full
        self._forwarded = at
        if at > self._replay_limit and not self.is_discarded:
            first = not self._start
            del self._data[: at - self._start]
            self._start = at
            if first and self.on_dropped is not None:
                self.on_dropped()
        if full and not self.full:
            self._resume_sender()
