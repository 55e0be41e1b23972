"""Who is told of changes, and when: at the end of the loop's turn, and now and then that nothing is new."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lugspur.mesh.control.messages import Delta, Pong
from lugspur.mesh.control.store import Store
from lugspur.mesh.control_node.leases import LEASE_SECONDS
from lugspur.mesh.process import TICK_SECONDS
from lugspur.mesh.transport.link import Link

NewsSince = Callable[[float, int], Delta]  # the news at a time, of all changes after a place in the store


class Subscriber:
    """One who is told of changes."""

    __slots__ = ("at", "echo", "link", "pinged")

    def __init__(self, link: Link, at: int) -> None:
        self.link, self.at = link, at
        self.pinged = 0.0
        self.echo = 0.0  # its latest Pong, by its own clock


class Subscribers:
    """All who are told of changes, `ping` seconds apart where there are none."""

    def __init__(self, loop: asyncio.AbstractEventLoop, store: Store, ping: float, news: NewsSince) -> None:
        self._loop, self._store, self._ping, self._news = loop, store, ping, news
        self._subscribers: dict[Link, Subscriber] = {}
        self._flushing = False

    def __len__(self) -> int:
        return len(self._subscribers)

    def add(self, link: Link, since: int) -> None:
        """Tell whoever is at the other end of all changes after a place in the store, from now on."""
        subscriber = self._subscribers[link] = Subscriber(link, since)
        self._tell(subscriber)

    def remove(self, link: Link) -> None:
        """The connection has ended."""
        self._subscribers.pop(link, None)

    def answered(self, link: Link, pong: Pong) -> None:
        """A subscriber has answered: it is told so with its next news."""
        subscriber = self._subscribers.get(link)
        if subscriber is not None:
            subscriber.echo = pong.sent_at

    def tell_soon(self) -> None:
        """Tell all of what has changed once this turn of the loop is over."""
        if not self._flushing:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def look(self, now: float) -> None:
        """Close the connections of those who are silent, and ping the others."""
        for subscriber in list(self._subscribers.values()):
            if now - subscriber.link.at > LEASE_SECONDS:
                subscriber.link.close()
            elif now - subscriber.pinged >= self._ping - TICK_SECONDS / 2:
                self._tell(subscriber)

    def _flush(self) -> None:
        self._flushing = False
        for subscriber in self._subscribers.values():
            if subscriber.at < self._store.latest_sequence:
                self._tell(subscriber)

    def _tell(self, subscriber: Subscriber) -> None:
        now = self._loop.time()
        since = subscriber.at if subscriber.at >= self._store.forgotten_sequence else 0
        subscriber.at = self._store.latest_sequence
        subscriber.pinged = now
        news = self._news(now, since)
        news.echoed_at = subscriber.echo
        subscriber.link.send(news)
