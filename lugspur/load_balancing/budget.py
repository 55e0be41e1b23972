"""Events a second, and the retry budget."""

from __future__ import annotations

from collections import deque

EXTRA_FREE = 5.0  # further attempts in any span where no retry budget is stated...
EXTRA_SHARE = 0.2  # ...and for each request taken in it: more would feed an overload...
EXTRA_SPAN = 10.0  # ...over so many seconds
EDGE = 1e-5  # seconds by which a span is read to the budget's disadvantage: clocks are rounded


class Rate:
    """Events a second, smoothed over two seconds."""

    __slots__ = ("_at", "_value")

    def __init__(self) -> None:
        self._value = self._at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._value = self.read(now) + 0.5
        self._at = now

    def save(self) -> tuple[float, float]:
        """Its value, and as of when."""
        return self._value, self._at

    def load(self, saved: tuple[float, float]) -> None:
        """Go on where another was."""
        self._value, self._at = saved

    def read(self, now: float) -> float:
        """The rate as of now."""
        return self._value * max(0.0, 1.0 - (now - self._at) / 2.0)


class Budget:
    """The retry budget: attempts beyond each request's first against the requests taken, in any span.

    Guards against retries that feed an overload, and keeps the rule where one is stated. Could harm where
    many first attempts fail for other causes than load: what would be saved by a second is lost.
    """

    __slots__ = ("_extra", "_free", "_share", "_span", "_taken")

    def __init__(self, free: float, share: float, span: float) -> None:
        self._free, self._share, self._span = free, share, span
        self._taken: deque[float] = deque()
        self._extra: deque[float] = deque()

    def adopt(self, other: Budget) -> None:
        """Go on by another's figures, with what was taken and spent so far."""
        self._free, self._share, self._span = other._free, other._share, other._span

    def allot(self, free: float) -> None:
        """So many further attempts are free in any span from now on: more or fewer share the budget."""
        self._free = free

    def take(self, now: float) -> None:
        """Count a request taken, refused ones too."""
        self._taken.append(now)
        self._expire(now)

    def allows(self, now: float) -> bool:
        """Whether one more further attempt may be sent now."""
        self._expire(now)
        return len(self._extra) + 1.0 <= self._free + self._share * len(self._taken)

    def spend(self, now: float) -> None:
        """Count a further attempt."""
        self._extra.append(now)

    def _expire(self, now: float) -> None:
        while self._taken and self._taken[0] <= now - self._span + EDGE:
            self._taken.popleft()
        while self._extra and self._extra[0] < now - self._span - EDGE:
            self._extra.popleft()
