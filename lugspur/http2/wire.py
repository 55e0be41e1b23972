"""Writes the output of an HTTP/2 session to its transport, for connections of callers and to backends alike."""

from __future__ import annotations

import asyncio

from lugspur.http2.machine import Http2Session

# Unsent bytes in a transport's buffer above which the connection is aborted; DATA waits in the session long before.
MAX_BACKLOG_BYTES = 1 << 20


class SessionWriter:
    """A session and the transport under it, as a mixin for an asyncio protocol."""

    def __init__(self, session: Http2Session) -> None:
        self.session = session
        self.loop = asyncio.get_running_loop()
        self.is_closed = False  # the connection has ended, whichever side closed it
        self._scheduled_flush: asyncio.Handle | None = None

    def pause_writing(self) -> None:
        """Keep DATA in the session: the transport's buffer is full."""
        self.session.is_paused = True

    def resume_writing(self) -> None:
        """Send DATA again: the transport's buffer has room."""
        self.session.resume_sending()
        self.schedule_flush()

    def schedule_flush(self) -> None:
        """Write the session's output before the event loop waits again."""
        if self._scheduled_flush is None and not self.is_closed:
            self._scheduled_flush = self.loop.call_soon(self.flush)

    def cancel_flush(self) -> None:
        """Cancel a scheduled flush."""
        if self._scheduled_flush is not None:
            self._scheduled_flush.cancel()
            self._scheduled_flush = None

    def flush(self) -> None:
        """Write the session's output now."""
        self.cancel_flush()
        transport = self.transport()
        if transport is None or self.is_closed:
            return
        while data := self.session.take_output():
            transport.write(data)
        if transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
            self.abort()  # guards memory against a peer that sends requests, or gets them, and reads nothing

    def transport(self) -> asyncio.Transport | None:
        """Return the transport, or None before the connection is made."""
        raise NotImplementedError

    def abort(self) -> None:
        """End the connection at once: the peer reads nothing."""
        raise NotImplementedError
