"""A disk of the model: two environments, each written in groups; a loss of power takes what is not synced."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lugspur.emulator.clock import Clock
from lugspur.mesh.control.effects import Rows

MIN_SYNC_SECONDS, MAX_SYNC_SECONDS = 0.001, 0.006
LAZY_SECONDS = 0.1  # for which rows that nobody waits for may wait


@dataclass(slots=True)
class _Group:
    rows: Rows = field(default_factory=list)
    callbacks: list[Callable[[], None]] = field(default_factory=list)


class Environment:
    """Rows by key; groups of writes are synced one after the other."""

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock, self._rng = clock, rng
        self.rows: dict[bytes, bytes] = {}  # what is on disk
        self._pending = _Group()
        self._syncing: _Group | None = None
        self._run = 0  # rises with each loss: callbacks of earlier runs are never called
        self.stalled_until = 0.0

    def write(self, rows: Rows, on_synced: Callable[[], None] | None) -> None:
        """Write rows with all others that are pending; without a callback they may wait for a while."""
        self._pending.rows += rows
        if on_synced is not None:
            self._pending.callbacks.append(on_synced)
            self._begin()
        else:
            run = self._run
            self._clock.call_at(self._clock.now + LAZY_SECONDS, lambda: self._begin() if run == self._run else None)

    def _begin(self) -> None:
        if self._syncing is not None or not (self._pending.rows or self._pending.callbacks):
            return
        self._syncing, self._pending = self._pending, _Group()
        run = self._run
        begin = max(self._clock.now, self.stalled_until)
        duration = self._rng.uniform(MIN_SYNC_SECONDS, MAX_SYNC_SECONDS)
        self._clock.call_at(begin + duration, lambda: self._synced(run))

    def _synced(self, run: int) -> None:
        group = self._syncing
        if run != self._run or group is None:
            return
        self._store(group)
        self._syncing = None
        for callback in group.callbacks:
            callback()
        self._begin()

    def _store(self, group: _Group) -> None:
        for key, value in group.rows:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = value

    def lose_power(self) -> None:
        """Lose what is not synced; a group that is being synced may be there or not."""
        self._run += 1
        if self._syncing is not None and self._rng.random() < 0.5:
            self._store(self._syncing)
        self._syncing, self._pending = None, _Group()

    def wipe(self) -> None:
        """Lose everything."""
        self.lose_power()
        self.rows.clear()
