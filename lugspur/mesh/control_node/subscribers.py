"""Sends updates to subscribers: changes at the end of the event loop's iteration, and heartbeats in between."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.mesh.control.messages import Delta, Pong
from lugspur.mesh.control.store import Store
from lugspur.mesh.control_node.leases import LEASE_SECONDS
from lugspur.mesh.process import TICK_SECONDS
from lugspur.mesh.transport.link import Link

#: Returns the update at a given time for a subscriber that knows all changes up to a sequence number (0: none).
MakeUpdate = Callable[[float, int], Delta]


class Subscriber:
    """One process that is sent updates."""

    __slots__ = ("echo", "link", "sequence", "updated_at")

    def __init__(self, link: Link, sequence: int) -> None:
        self.link = link
        self.sequence = sequence  # the sequence number of the latest change that was sent to it
        self.updated_at = 0.0
        self.echo = 0.0  # the time of its latest Pong, by its own clock


class Subscribers:
    """All processes that are sent updates; without changes one is sent every `heartbeat_interval` seconds."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, store: Store, heartbeat_interval: float, make_update: MakeUpdate
    ) -> None:
        self._loop, self._store = loop, store
        self._heartbeat_interval, self._make_update = heartbeat_interval, make_update
        self._subscribers: dict[Link, Subscriber] = {}
        self._is_flush_due = False

    def __len__(self) -> int:
        return len(self._subscribers)

    def add(self, link: Link, sequence: int) -> None:
        """Send the peer all changes after a sequence number of the store, and all later changes."""
        subscriber = self._subscribers[link] = Subscriber(link, sequence)
        self._update(subscriber)

    def remove(self, link: Link) -> None:
        """Stop sending updates to a peer that has unsubscribed, or whose connection has ended."""
        self._subscribers.pop(link, None)

    def record_acknowledgement(self, link: Link, pong: Pong) -> None:
        """Record a subscriber's acknowledgement, which its next update echoes."""
        subscriber = self._subscribers.get(link)
        if subscriber is not None:
            subscriber.echo = pong.sent_at

    def update_soon(self) -> None:
        """Schedule an update of all subscribers for the end of this iteration of the event loop."""
        if not self._is_flush_due:
            self._is_flush_due = True
            self._loop.call_soon(self._flush)

    def tick(self, now: float) -> None:
        """Close the connections of silent subscribers, and send the others heartbeats."""
        for subscriber in list(self._subscribers.values()):
            if now - subscriber.link.last_received_at > LEASE_SECONDS:
                subscriber.link.close()
            elif now - subscriber.updated_at >= self._heartbeat_interval - TICK_SECONDS / 2:
                self._update(subscriber)

    def _flush(self) -> None:
        self._is_flush_due = False
        for subscriber in self._subscribers.values():
            if subscriber.sequence < self._store.latest_sequence:
                self._update(subscriber)

    def _update(self, subscriber: Subscriber) -> None:
        now = self._loop.time()
        # Removed entries are in no list of changes: a subscriber that missed a removal needs a snapshot.
        after = subscriber.sequence if subscriber.sequence >= self._store.dropped_sequence else 0
        subscriber.sequence = self._store.latest_sequence
        subscriber.updated_at = now
        update = self._make_update(now, after)
        update.echoed_at = subscriber.echo
        subscriber.link.send(update)
