"""What both sides' transports do alike: what a machine has to say is written before the loop waits again."""

from __future__ import annotations

import asyncio

from lugspur.http2.machine import Http2Session

BACKLOG_MOST = 1 << 20  # bytes that a transport holds unsent before the connection is given up: DATA waits before


class Wire:
    """A machine and the transport under it; mixed into an asyncio protocol."""

    def __init__(self, session: Http2Session) -> None:
        self.session = session
        self.loop = asyncio.get_running_loop()
        self.over = False  # the connection has ended, by whichever side
        self._waking: asyncio.Handle | None = None

    def pause_writing(self) -> None:
        """The transport has enough: DATA waits in the machine."""
        self.session.is_paused = True

    def resume_writing(self) -> None:
        """The transport takes more."""
        self.session.resume_sending()
        self.wake()

    def wake(self) -> None:
        """Write what there is to write, before the loop waits again."""
        if self._waking is None and not self.over:
            self._waking = self.loop.call_soon(self.flush)

    def sleep(self) -> None:
        """Nothing is to be written later."""
        if self._waking is not None:
            self._waking.cancel()
            self._waking = None

    def flush(self) -> None:
        """Write what there is to write now."""
        self.sleep()
        transport = self.wire()
        if transport is None or self.over:
            return
        while data := self.session.take_output():
            transport.write(data)
        if transport.get_write_buffer_size() > BACKLOG_MOST:
            self.give_up()  # Guards memory against a peer that asks, or is asked, and reads nothing.

    def wire(self) -> asyncio.Transport | None:
        """The transport, once there is one."""
        raise NotImplementedError

    def give_up(self) -> None:
        """End the connection: its peer reads nothing."""
        raise NotImplementedError
