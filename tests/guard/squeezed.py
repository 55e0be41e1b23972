"""A core in virtual time that can do so much a second: requests wait, are worked on or turned away."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lugspur.guard.limiter import REFUSAL, WINDOW, Limiter, Sample

STEP = 0.005  # seconds


@dataclass
class Core:
    """`can`: units of work a second, as of a time; `mix`: worth and part of each class."""

    can: Callable[[float], float]
    mix: tuple[tuple[float, float], ...] = ((20.0, 0.1), (3.0, 0.4), (1.0, 0.5))
    seed: int = 1
    now: float = 0.0
    waits: list[tuple[float, float]] = field(default_factory=list)  # when a request was looked at, and its wait
    limits: list[tuple[float, float]] = field(default_factory=list)
    came: Counter[int] = field(default_factory=Counter)
    let_in: Counter[int] = field(default_factory=Counter)
    turned: list[float] = field(default_factory=list)  # when

    def __post_init__(self) -> None:
        self.limiter = Limiter([worth for worth, _ in self.mix], 0.0)
        self._rng = Random(self.seed)
        self._queue: deque[tuple[float, int, int]] = deque()
        self._owed = 0.0  # work that may be done
        self._sampled = self._idle = 0.0

    def play(self, seconds: float, rate: float, who: Callable[[Random], int] = lambda rng: rng.randrange(64)) -> None:
        """Requests at that rate a second, at random."""
        until, kinds = self.now + seconds, range(len(self.mix))
        while self.now < until:
            self.now += STEP
            count = sum(self._rng.random() < rate * STEP / 20 for _ in range(20))
            for _ in range(count):
                kind = self._rng.choices(kinds, [part for _, part in self.mix])[0]
                self._queue.append((self.now, kind, who(self._rng)))
                self.came[kind] += 1
            self._work()
            if self.now - self._sampled >= WINDOW:
                self.limiter.sample(self.now, Sample(idle=self._idle / (self.now - self._sampled)))
                self._sampled, self._idle = self.now, 0.0
                self.limits.append((self.now, self.limiter.limit))

    def _work(self) -> None:
        if not self._queue and self.can(self.now):
            self._idle += STEP
        self._owed = min(self._owed, 1.0) + STEP * self.can(self.now)
        while self._queue and self._owed > 0.0:
            came, kind, who = self._queue.popleft()
            self.waits.append((self.now, self.now - came))
            if self.limiter.admits(kind, who, 1.0, self.now - came):
                self.let_in[kind] += 1
                self._owed -= 1.0
            else:
                self.turned.append(self.now)
                self._owed -= REFUSAL

    def since(self, when: float) -> list[float]:
        """Limits since then."""
        return [limit for at, limit in self.limits if at >= when]
