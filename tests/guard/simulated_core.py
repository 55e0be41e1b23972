"""A CPU core of limited capacity in virtual time: requests wait in a queue, are worked on or are rejected."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lugspur.guard.limiter import REJECTION_COST, WINDOW, Limiter, Sample

STEP = 0.005  # seconds of virtual time


@dataclass
class Core:
    """A simulated core.

    `capacity` returns units of work a second at a time; `classes` has the value of each class and its part of requests.
    """

    capacity: Callable[[float], float]
    classes: tuple[tuple[float, float], ...] = ((20.0, 0.1), (3.0, 0.4), (1.0, 0.5))
    seed: int = 1
    now: float = 0.0
    waits: list[tuple[float, float]] = field(default_factory=list)  # times of decisions, and the requests' waits
    limits: list[tuple[float, float]] = field(default_factory=list)  # times of samples, and the limits
    arrived: Counter[int] = field(default_factory=Counter)  # by class index
    admitted: Counter[int] = field(default_factory=Counter)  # by class index
    rejected_at: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.limiter = Limiter([value for value, _ in self.classes], 0.0)
        self._rng = Random(self.seed)
        self._queue: deque[tuple[float, int, int]] = deque()
        self._work_credit = 0.0  # work that may be done now
        self._sampled = self._idle = 0.0

    def run(
        self, seconds: float, rate: float, draw_caller: Callable[[Random], int] = lambda rng: rng.randrange(64)
    ) -> None:
        """Let requests arrive at random, at that rate a second."""
        until, class_indexes = self.now + seconds, range(len(self.classes))
        while self.now < until:
            self.now += STEP
            count = sum(self._rng.random() < rate * STEP / 20 for _ in range(20))
            for _ in range(count):
                class_index = self._rng.choices(class_indexes, [part for _, part in self.classes])[0]
                self._queue.append((self.now, class_index, draw_caller(self._rng)))
                self.arrived[class_index] += 1
            self._work()
            if self.now - self._sampled >= WINDOW:
                self.limiter.sample(self.now, Sample(idle=self._idle / (self.now - self._sampled)))
                self._sampled, self._idle = self.now, 0.0
                self.limits.append((self.now, self.limiter.limit))

    def _work(self) -> None:
        if not self._queue and self.capacity(self.now):
            self._idle += STEP
        self._work_credit = min(self._work_credit, 1.0) + STEP * self.capacity(self.now)
        while self._queue and self._work_credit > 0.0:
            arrived, class_index, caller = self._queue.popleft()
            self.waits.append((self.now, self.now - arrived))
            if self.limiter.admits(class_index, caller, 1.0, self.now - arrived):
                self.admitted[class_index] += 1
                self._work_credit -= 1.0
            else:
                self.rejected_at.append(self.now)
                self._work_credit -= REJECTION_COST

    def since(self, when: float) -> list[float]:
        """Return the limits sampled since that time."""
        return [limit for at, limit in self.limits if at >= when]
