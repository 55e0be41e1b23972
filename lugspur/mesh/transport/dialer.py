"""Maintains one connection to a peer; dials again with exponential backoff."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.mesh.control.messages import Message
from lugspur.mesh.transport.link import KEEPALIVE_IDLE_SECONDS, Link

DIAL_TIMEOUT_SECONDS = 0.6  # a dial hangs during a partition; the latency between zones is a few milliseconds
FIRST_DIAL_DELAY_SECONDS = 0.02  # doubled with each failed dial
MAX_DIAL_DELAY_SECONDS = 0.5  # a peer that is back has to be connected within its first second
MAX_DOUBLINGS = 6


class Dialer:
    """The connection of this process to one peer; `link` is set while it is up."""

    def __init__(
        self,
        ip: str,
        port: int,
        own_ip: str,
        *,
        on_message: Callable[[Link, Message], None],
        on_connected: Callable[[Dialer], None],
        on_disconnected: Callable[[Dialer], None],
        keep_idle: int = KEEPALIVE_IDLE_SECONDS,
    ) -> None:
        """`own_ip`: the address to dial from; `keep_idle`: as in `configure_socket`.

        `on_disconnected` isn't called for a connection that `close` ends.
        """
        self.ip, self._port, self._own_ip = ip, port, own_ip
        self._on_message, self._on_connected, self._on_disconnected = on_message, on_connected, on_disconnected
        self._keep_idle = keep_idle
        self._loop = asyncio.get_running_loop()
        self.link: Link | None = None
        self._is_closed = False
        self._failures = 0  # consecutive failed dials
        self._task: asyncio.Task[None] | None = None  # the dial in progress
        self._timer: asyncio.TimerHandle | None = None  # until the next dial
        self._dial()

    def _dial(self) -> None:
        self._timer = None
        if not self._is_closed and self._task is None:
            self._task = self._loop.create_task(self._connect())

    async def _connect(self) -> None:
        link = Link(self._on_message, self._link_ended, keep_idle=self._keep_idle)
        link.peer = self.ip
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
                await self._loop.create_connection(lambda: link, self.ip, self._port, local_addr=(self._own_ip, 0))
        except (OSError, TimeoutError):
            self._task = None
            self._failures += 1
            self._dial_later()
            return
        self._task = None
        if self._is_closed:
            link.close()
        elif link.is_open:
            self.link, self._failures = link, 0
            self._on_connected(self)
        else:
            self._dial_later()

    def peer_dialled(self, incarnation: str) -> None:
        """Handle a dial by the peer in this incarnation: close a connection to a former incarnation, which is dead."""
        if self.link is not None and self.link.peer_incarnation not in ("", incarnation):
            self.link.close()
        else:
            self.dial_now()

    def dial_now(self) -> None:
        """Dial now instead of after the backoff, as the peer seems to be reachable."""
        if self._timer is not None and self._failures > 1:
            self._timer.cancel()
            self._dial()

    def _dial_later(self) -> None:
        if not self._is_closed and self._timer is None:
            delay = FIRST_DIAL_DELAY_SECONDS * 2.0 ** min(self._failures, MAX_DOUBLINGS)
            self._timer = self._loop.call_later(min(MAX_DIAL_DELAY_SECONDS, delay), self._dial)

    def _link_ended(self, link: Link) -> None:
        if self.link is link:
            self.link = None
            if not self._is_closed:
                self._on_disconnected(self)
                self._dial_later()

    def close(self) -> None:
        """Close the connection, and stop dialling."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        if self.link is not None:
            self.link.close()
