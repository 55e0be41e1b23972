"""Boxes: so many slots, a queue with an end, work that takes its time, and faults now and then."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from lugspur.emulator.clock import Clock
from lugspur.load_balancing.model import Outcome


@dataclass(slots=True, frozen=True)
class Kind:
    """What boxes are like; times in seconds."""

    slots: int = 4
    queue: int = 64  # attempts that may wait; one beyond is turned away unseen
    work: float = 0.05  # the mean; works are spread as by many small steps
    steps: int = 4
    wrong: float = 0.0  # the part of all works that ends as an error

    def rate(self) -> float:
        """Works a second that one box can do."""
        return self.slots / self.work


DIAL = 0.12  # seconds after which a connection that does not come up is given up


class Work:
    """One attempt at a box."""

    __slots__ = ("begun", "done", "over")

    def __init__(self, done: Callable[[Outcome], None]) -> None:
        self.done = done
        self.begun = False
        self.over = False  # ended, or nobody waits for it any more


class Box:
    """One of them."""

    def __init__(self, clock: Clock, kind: Kind, rng: Random) -> None:
        self._clock, self._kind, self._rng = clock, kind, rng
        self._waiting: deque[Work] = deque()
        self._busy = 0
        self.ran = 0  # works that were begun
        self.dead = False  # it has vanished: connections to it never come up...
        self.vain = 0  # ...so many of them

    def take(self, work: Work) -> None:
        """An attempt has come."""
        if self.dead:
            self.vain += 1
            self._clock.call_at(self._clock.now + DIAL, lambda: self._tell(work, Outcome.UNREACHABLE))
            return
        if len(self._waiting) >= self._kind.queue:
            self._clock.call_at(self._clock.now, lambda: self._tell(work, Outcome.OVERLOADED))
            return
        self._waiting.append(work)
        self._next()

    def _next(self) -> None:
        while self._waiting and self._busy < self._kind.slots:
            work = self._waiting.popleft()
            if not work.over:
                self._begin(work)

    def _begin(self, work: Work) -> None:
        self._busy += 1
        self.ran += 1
        work.begun = True
        kind = self._kind
        lasts = self._rng.gammavariate(kind.steps, kind.work / kind.steps)
        how = Outcome.ERROR if self._rng.random() < kind.wrong else Outcome.OK
        self._clock.call_at(self._clock.now + lasts, lambda: self._end(work, how))

    def _end(self, work: Work, how: Outcome) -> None:
        self._busy -= 1
        self._tell(work, how)
        self._next()

    def _tell(self, work: Work, how: Outcome) -> None:
        if not work.over:
            work.over = True
            work.done(how)
