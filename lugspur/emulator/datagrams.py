"""Machines that talk by datagrams, in virtual time.

Links lose, double, delay and are cut; processes stand still, die and come back; clocks run fast or slow.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

Address = tuple[str, int]
FASTEST, SLOWEST = 0.0002, 0.002  # seconds that a datagram takes


class Machine(Protocol):
    """What runs on the network."""

    def receive(self, now: float, data: bytes, source: Address) -> None:
        """A datagram has come."""

    def tick(self, now: float) -> None:
        """Do what is due."""

    def due(self) -> float:
        """When that is wanted."""

    def take_datagrams(self) -> list[tuple[Address, bytes]]:
        """Datagrams to send."""


class Network:
    """All machines by their addresses; the same seed gives the same course of things."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now = 0.0
        self.machines: dict[Address, Machine] = {}
        self.loss = 0.0  # the part of datagrams that are lost...
        self.duplication = 0.0  # ...and that come twice
        self.max_extra_delay = 0.0  # seconds that one may take longer
        self.is_cut: Callable[[Address, Address], bool] = lambda origin, to: False
        self.clock_rates: dict[Address, float] = {}  # of clocks that run fast or slow
        self.on_flush: Callable[[Address, Machine], None] = lambda address, machine: None  # told after each turn
        self._stopped: dict[Address, float] = {}
        self._events: list[tuple[float, int, Address, tuple[Address, bytes] | None]] = []
        self._count = 0
        self._wanted: dict[Address, float] = {}

    def clock(self, address: Address) -> float:
        """What a machine takes for the time."""
        return self.now * self.clock_rates.get(address, 1.0)

    def add(self, address: Address, machine: Machine) -> None:
        """It runs from now on, in the place of what was there."""
        self.machines[address] = machine
        self._wanted.pop(address, None)
        self._stopped.pop(address, None)
        self.flush(address)

    def kill(self, address: Address) -> None:
        """It runs no more."""
        self.machines.pop(address, None)
        self._wanted.pop(address, None)

    def pause(self, address: Address, seconds: float) -> None:
        """It stands still; what comes meanwhile is read when it goes on."""
        self._stopped[address] = self.now + seconds

    def _push(self, when: float, address: Address, what: tuple[Address, bytes] | None) -> None:
        self._count += 1
        heapq.heappush(self._events, (max(when, self.now), self._count, address, what))

    def flush(self, address: Address) -> None:
        """Send what a machine has to say, and wake it when it wants."""
        machine = self.machines.get(address)
        if machine is None:
            return
        self.on_flush(address, machine)
        rng = self.rng
        for to, data in machine.take_datagrams():
            for _ in range(2 if self.duplication and rng.random() < self.duplication else 1):
                if rng.random() >= self.loss and not self.is_cut(address, to):
                    self._push(
                        self.now + rng.uniform(FASTEST, SLOWEST) + self.max_extra_delay * rng.random(),
                        to,
                        (address, data),
                    )
        due = machine.due() / self.clock_rates.get(address, 1.0)
        if due != float("inf") and self._wanted.get(address) != due:
            self._wanted[address] = due
            self._push(due, address, None)

    def run(self, seconds: float) -> None:
        """Let so much time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, address, what = heapq.heappop(self._events)
            machine = self.machines.get(address)
            if machine is None:
                continue
            wakes = self._stopped.get(address, 0.0)
            if wakes > self.now:
                self._push(wakes if what else wakes + 1e-6, address, what)
            elif what is not None:
                machine.receive(self.clock(address), what[1], what[0])
                self.flush(address)
            elif machine.due() <= self.clock(address) + 1e-9:
                self._wanted.pop(address, None)
                machine.tick(max(self.clock(address), machine.due()))
                self.flush(address)
            else:
                self._wanted.pop(address, None)
                self.flush(address)
        self.now = until

    def run_until(self, true: Callable[[], bool], most: float, step: float = 0.1) -> float:
        """Seconds until something is so; raises AssertionError after `most`."""
        began = self.now
        while not true():
            if self.now - began > most:
                raise AssertionError(f"not so after {most:g} s")
            self.run(step)
        return self.now - began


def partition(one: Iterable[Address]) -> Callable[[Address, Address], bool]:
    """A cut between these and all others."""
    inside = set(one)
    return lambda origin, to: (origin in inside) != (to in inside)
