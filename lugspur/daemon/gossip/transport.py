"""Connects the gossip protocol, which does no I/O, to a UDP socket and a timer of the event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable

from lugspur.daemon.gossip import clock
from lugspur.daemon.gossip.counters import GossipCounter
from lugspur.daemon.gossip.events import Address, Event
from lugspur.daemon.gossip.messages import MAX_DATAGRAM_BYTES
from lugspur.daemon.gossip.protocol import GossipProtocol

# Datagrams that are read in one run: about 10 ms of the event loop, after which it can serve requests.
MAX_DATAGRAMS_PER_WAKEUP = 64


def bind_socket(address: Address) -> socket.socket:
    """Return a non-blocking UDP socket that is bound to an address; raise OSError if it can't be bound."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


class Transport:
    """Runs one member's gossip protocol on the current event loop.

    Args:
        sock: A socket from `bind_socket`, which `close` closes.
        protocol: The state machine to run.
        on_event: Called with each event of the protocol.
        on_wake: Called with the time, in seconds of `clock.now`, when datagrams were received, the timer expired or
            `flush` was called. It runs before datagrams are sent, so messages that it sends leave at once.
        further_deadlines: Returns further times, in seconds of `clock.now`, at which `on_wake` has to be called.
    """

    def __init__(
        self,
        sock: socket.socket,
        protocol: GossipProtocol,
        on_event: Callable[[Event], None],
        on_wake: Callable[[float], None] = lambda now: None,
        further_deadlines: Callable[[], Iterable[float]] = tuple,
    ) -> None:
        self._sock, self.protocol = sock, protocol
        self._on_event, self._on_wake, self._further_deadlines = on_event, on_wake, further_deadlines
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._is_flushing = False
        self._loop.add_reader(sock.fileno(), self._receive)

    def flush(self) -> None:
        """Deliver the protocol's events, send its datagrams and set the timer.

        Has to be called after each input to the protocol.
        """
        # Ignores a nested flush from within a callback: the outer flush does its work.
        if self._is_flushing or self._sock.fileno() < 0:
            return
        self._is_flushing = True
        try:
            self._deliver_events()
            self._on_wake(clock.now())
        finally:
            self._is_flushing = False
        self._send_datagrams()
        self._set_timer()

    def close(self) -> None:
        """Send the queued datagrams and close the socket."""
        self.flush()
        if self._timer is not None:
            self._timer.cancel()
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()

    def _receive(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, source = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # an earlier datagram was sent to a closed port, which pings detect anyway
                continue
            self.protocol.receive(clock.now(), data, source[:2])
        self.flush()

    def _deliver_events(self) -> None:
        while events := self.protocol.take_events():
            for event in events:
                self._on_event(event)

    def _send_datagrams(self) -> None:
        for address, data in self.protocol.take_datagrams():
            try:
                self._sock.sendto(data, address)
            except OSError:  # no buffer space or no route: treated like a datagram that the network lost
                self.protocol.counters[GossipCounter.NOT_SENT] += 1

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        deadline = min((self.protocol.due(), *self._further_deadlines()))
        if deadline != float("inf"):
            self._timer = self._loop.call_later(max(0.0, deadline - clock.now()), self._on_timer)

    def _on_timer(self) -> None:
        now = clock.now()
        if now >= self.protocol.due():
            self.protocol.tick(now)
        self.flush()
