"""Carries a fleet's datagrams: one socket, one timer."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable

from lugspur.daemon.gossip import clock
from lugspur.daemon.gossip.machine import Address, Event, Fleet
from lugspur.daemon.gossip.messages import MAX_DATAGRAM_BYTES

READ_MOST = 64  # datagrams in one turn of the loop: some 10 ms, after which requests have their turn


def bound(address: Address) -> socket.socket:
    """A socket that takes datagrams there; raises OSError."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


class Transport:
    """Runs one machine; `heard` is told of what happens, and `also` are further times at which `woken` is wanted."""

    def __init__(
        self,
        sock: socket.socket,
        fleet: Fleet,
        heard: Callable[[Event], None],
        woken: Callable[[float], None] = lambda now: None,
        also: Callable[[], Iterable[float]] = tuple,
    ) -> None:
        self._sock, self.fleet = sock, fleet
        self._heard, self._woken, self._also = heard, woken, also
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._turning = False
        self._loop.add_reader(sock.fileno(), self._read)

    def _read(self) -> None:
        for _ in range(READ_MOST):
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # an earlier datagram of ours met a closed port: that says nothing that probes don't
                continue
            self.fleet.receive(clock.now(), data, source[:2])
        self.turn()

    def turn(self) -> None:
        """Something may have changed: tell of it, send, and set the timer."""
        if self._turning or self._sock.fileno() < 0:
            return
        self._turning = True
        try:
            while events := self.fleet.events():
                for event in events:
                    self._heard(event)
            self._woken(clock.now())
        finally:
            self._turning = False
        for address, data in self.fleet.take():
            try:
                self._sock.sendto(data, address)
            except OSError:  # no buffer, no way there: like a datagram that is lost
                self.fleet.counts["not sent"] += 1
        if self._timer is not None:
            self._timer.cancel()
        due = min((self.fleet.due(), *self._also()))
        if due != float("inf"):
            self._timer = self._loop.call_later(max(0.0, due - clock.now()), self._tick)

    def _tick(self) -> None:
        now = clock.now()
        if now >= self.fleet.due():
            self.fleet.tick(now)
        self.turn()

    def close(self) -> None:
        """Send what is to be sent, and let go of the socket."""
        self.turn()
        if self._timer is not None:
            self._timer.cancel()
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()
