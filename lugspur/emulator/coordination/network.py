"""Connections between simulated nodes: messages arrive in order and delayed; partitions are silent at first."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lugspur.emulator.clock import Clock
from lugspur.mesh.control.messages import Message

MIN_DELAY_SECONDS, MAX_DELAY_SECONDS = 0.0005, 0.004
LONG_DELAY_SECONDS = 1.4  # upper bound of a rare extra delay of a message, which also delays all messages behind it
LONG_DELAY_CHANCE = 0.002  # probability of that delay for each message
SILENCE_SECONDS = 1.5  # silence after which the ends of a partitioned connection consider it dead


@dataclass(eq=False)
class Connection:
    """A connection that one node has opened to another."""

    dialler: str
    listener: str
    is_open: bool = True
    last_delivery: dict[str, float] = field(default_factory=dict)  # time of the last delivery, by receiver
    # Deliveries that wait for the end of a partition.
    undelivered: list[Callable[[], None]] = field(default_factory=list)


class Network:
    """All connections and partitions of one simulation."""

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock, self._rng = clock, rng
        self.connections: list[Connection] = []
        self._cuts: set[frozenset[str]] = set()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two nodes are partitioned from each other."""
        return frozenset((one, other)) in self._cuts

    def send(self, connection: Connection, receiver: str, message: Message, deliver: Callable[[Message], None]) -> None:
        """Deliver a message after a delay, in order with all earlier messages to the same receiver."""
        if not connection.is_open:
            return
        delay = self._rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
        if self._rng.random() < LONG_DELAY_CHANCE:
            delay += self._rng.uniform(0.0, LONG_DELAY_SECONDS)
        when = max(self._clock.now + delay, connection.last_delivery.get(receiver, 0.0) + 1e-6)
        connection.last_delivery[receiver] = when

        def arrive() -> None:
            if not connection.is_open:
                return
            if self.is_cut(connection.dialler, connection.listener):
                connection.undelivered.append(lambda: deliver(message))
            else:
                deliver(message)

        self._clock.call_at(when, arrive)

    def cut(self, one: str, other: str, seconds: float, on_dead: Callable[[Connection], None]) -> None:
        """Partition two nodes for a while; `on_dead` is called for their connections if the silence lasts too long."""
        pair = frozenset((one, other))
        if pair in self._cuts:
            return
        self._cuts.add(pair)
        affected = [c for c in self.connections if {c.dialler, c.listener} == pair]
        if seconds > SILENCE_SECONDS:
            for connection in affected:
                self._clock.call_at(self._clock.now + SILENCE_SECONDS, lambda c=connection: on_dead(c))  # type: ignore[misc]
        self._clock.call_at(self._clock.now + seconds, lambda: self._heal(pair, affected))

    def _heal(self, pair: frozenset[str], affected: list[Connection]) -> None:
        self._cuts.discard(pair)
        for connection in affected:
            undelivered, connection.undelivered = connection.undelivered, []
            for deliver in undelivered:
                if connection.is_open:
                    deliver()

    def close(self, connection: Connection) -> None:
        """Close a connection; messages in transit on it are lost."""
        connection.is_open = False
        if connection in self.connections:
            self.connections.remove(connection)
