"""The disk of a simulated node: two environments, each written in groups; a power loss drops all unsynced rows."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lugspur.emulator.clock import Clock
from lugspur.mesh.control.effects import Rows

MIN_SYNC_SECONDS, MAX_SYNC_SECONDS = 0.001, 0.006
LAZY_WRITE_SECONDS = 0.1  # delay after which rows without a callback are written at the latest


@dataclass(slots=True)
class _Group:
    rows: Rows = field(default_factory=list)
    callbacks: list[Callable[[], None]] = field(default_factory=list)


class Environment:
    """Rows by key; groups of writes are synced one after another."""

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock, self._rng = clock, rng
        self.rows: dict[bytes, bytes] = {}  # the synced rows
        self._pending = _Group()
        self._syncing: _Group | None = None
        self._generation = 0  # increases with each power loss; callbacks of earlier generations are never called
        self.stalled_until = 0.0

    def write(self, rows: Rows, on_synced: Callable[[], None] | None) -> None:
        """Write rows together with all pending ones; rows without a callback are written after a delay."""
        self._pending.rows += rows
        if on_synced is not None:
            self._pending.callbacks.append(on_synced)
            self._begin_sync()
        else:
            generation = self._generation
            self._clock.call_at(
                self._clock.now + LAZY_WRITE_SECONDS,
                lambda: self._begin_sync() if generation == self._generation else None,
            )

    def _begin_sync(self) -> None:
        if self._syncing is not None or not (self._pending.rows or self._pending.callbacks):
            return
        self._syncing, self._pending = self._pending, _Group()
        generation = self._generation
        begin = max(self._clock.now, self.stalled_until)
        duration = self._rng.uniform(MIN_SYNC_SECONDS, MAX_SYNC_SECONDS)
        self._clock.call_at(begin + duration, lambda: self._synced(generation))

    def _synced(self, generation: int) -> None:
        group = self._syncing
        if generation != self._generation or group is None:
            return
        self._store(group)
        self._syncing = None
        for callback in group.callbacks:
            callback()
        self._begin_sync()

    def _store(self, group: _Group) -> None:
        for key, value in group.rows:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = value

    def lose_power(self) -> None:
        """Drop all unsynced rows; a group that is being synced is either stored completely or dropped."""
        self._generation += 1
        if self._syncing is not None and self._rng.random() < 0.5:
            self._store(self._syncing)
        self._syncing, self._pending = None, _Group()

    def wipe(self) -> None:
        """Drop all rows, including the synced ones."""
        self.lose_power()
        self.rows.clear()
