"""A datagram network in virtual time.

Links lose, duplicate and delay datagrams and can be partitioned; processes pause, die and restart; clocks drift.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

Address = tuple[str, int]
MIN_DELAY_SECONDS, MAX_DELAY_SECONDS = 0.0002, 0.002  # of a datagram between two machines


class Machine(Protocol):
    """A protocol instance that runs on the network."""

    def receive(self, now: float, data: bytes, source: Address) -> None:
        """Handle a datagram."""

    def tick(self, now: float) -> None:
        """Do the work that is due."""

    def due(self) -> float:
        """Return the time of the next tick, by the machine's clock; infinity if none is needed."""

    def take_datagrams(self) -> list[tuple[Address, bytes]]:
        """Return and clear the datagrams to send."""


class Network:
    """The machines by their addresses; the same seed gives the same sequence of events."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.machines: dict[Address, Machine] = {}
        self.loss = 0.0  # fraction of the datagrams that are lost
        self.duplication = 0.0  # fraction of the datagrams that are delivered twice
        self.max_extra_delay = 0.0  # seconds; upper bound of a random delay beyond the usual one
        # Whether datagrams from one address to another are dropped.
        self.is_cut: Callable[[Address, Address], bool] = lambda source, to: False
        self.clock_rates: dict[Address, float] = {}  # rates of clocks that run fast or slow; 1 for all others
        # Called before the pending datagrams of a machine are sent.
        self.on_flush: Callable[[Address, Machine], None] = lambda address, machine: None
        self._paused_until: dict[Address, float] = {}
        self._events: list[tuple[float, int, Address, tuple[Address, bytes] | None]] = []
        self._count = 0
        self._next_ticks: dict[Address, float] = {}

    def clock(self, address: Address) -> float:
        """Return the time of a machine's own clock."""
        return self.now * self.clock_rates.get(address, 1.0)

    def add(self, address: Address, machine: Machine) -> None:
        """Start a machine at an address; it replaces a former machine of that address."""
        self.machines[address] = machine
        self._next_ticks.pop(address, None)
        self._paused_until.pop(address, None)
        self.flush(address)

    def kill(self, address: Address) -> None:
        """Remove a machine without letting it send anything."""
        self.machines.pop(address, None)
        self._next_ticks.pop(address, None)

    def pause(self, address: Address, seconds: float) -> None:
        """Pause a machine; datagrams that arrive during the pause are handled when it continues."""
        self._paused_until[address] = self.now + seconds

    def _push(self, when: float, address: Address, datagram: tuple[Address, bytes] | None) -> None:
        self._count += 1
        heapq.heappush(self._events, (max(when, self.now), self._count, address, datagram))

    def flush(self, address: Address) -> None:
        """Send a machine's pending datagrams, and schedule its next tick."""
        machine = self.machines.get(address)
        if machine is None:
            return
        self.on_flush(address, machine)
        rng = self.rng
        for to, data in machine.take_datagrams():
            for _ in range(2 if self.duplication and rng.random() < self.duplication else 1):
                if rng.random() >= self.loss and not self.is_cut(address, to):
                    self._push(
                        self.now
                        + rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
                        + self.max_extra_delay * rng.random(),
                        to,
                        (address, data),
                    )
        due = machine.due() / self.clock_rates.get(address, 1.0)
        if due != float("inf") and self._next_ticks.get(address) != due:
            self._next_ticks[address] = due
            self._push(due, address, None)

    def run(self, seconds: float) -> None:
        """Advance the time by a number of seconds."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, address, datagram = heapq.heappop(self._events)
            machine = self.machines.get(address)
            if machine is None:
                continue
            resumes_at = self._paused_until.get(address, 0.0)
            if resumes_at > self.now:
                self._push(resumes_at if datagram else resumes_at + 1e-6, address, datagram)
            elif datagram is not None:
                machine.receive(self.clock(address), datagram[1], datagram[0])
                self.flush(address)
            elif machine.due() <= self.clock(address) + 1e-9:
                self._next_ticks.pop(address, None)
                machine.tick(max(self.clock(address), machine.due()))
                self.flush(address)
            else:
                self._next_ticks.pop(address, None)
                self.flush(address)
        self.now = until

    def run_until(self, condition: Callable[[], bool], max_seconds: float, step: float = 0.1) -> float:
        """Run until a condition holds and return the seconds; raises AssertionError after `max_seconds`."""
        started_at = self.now
        while not condition():
            if self.now - started_at > max_seconds:
                raise AssertionError(f"the condition does not hold after {max_seconds:g} s")
            self.run(step)
        return self.now - started_at


def partition(group: Iterable[Address]) -> Callable[[Address, Address], bool]:
    """Return a predicate for a partition between a group of addresses and all others."""
    inside = set(group)
    return lambda source, to: (source in inside) != (to in inside)
