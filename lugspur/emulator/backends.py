"""Emulated backends: a number of slots, a bounded queue, random service times and random errors."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from lugspur.emulator.clock import Clock
from lugspur.load_balancing.model import Outcome


@dataclass(slots=True, frozen=True)
class BackendSettings:
    """Properties of backends; times in seconds."""

    slots: int = 4
    queue_limit: int = 64  # attempts that may wait for a slot; further attempts are rejected
    mean_service_time: float = 0.05
    gamma_shape: int = 4  # of the gamma distribution of service times: the number of exponential steps in an attempt
    error_fraction: float = 0.0  # fraction of all served attempts that end with an error

    def rate(self) -> float:
        """Return the attempts per second that one backend can serve."""
        return self.slots / self.mean_service_time


CONNECT_TIMEOUT_SECONDS = 0.12  # after which an attempt to connect to a vanished backend fails


class Attempt:
    """One attempt at a backend."""

    __slots__ = ("is_finished", "is_started", "on_end")

    def __init__(self, on_end: Callable[[Outcome], None]) -> None:
        self.on_end = on_end
        self.is_started = False
        self.is_finished = False  # whether the attempt has ended or was cancelled


class Backend:
    """A backend that serves attempts in the order of their arrival."""

    def __init__(self, clock: Clock, settings: BackendSettings, rng: Random) -> None:
        self._clock, self._settings, self._rng = clock, settings, rng
        self._waiting: deque[Attempt] = deque()
        self._busy = 0
        self.started_count = 0  # attempts whose processing was started
        self.has_vanished = False  # whether the backend has vanished, so that connections to it are never established
        self.connect_failures = 0  # attempts that failed because the backend had vanished

    def submit(self, attempt: Attempt) -> None:
        """Serve an attempt, queue it, or end it as rejected or unreachable."""
        if self.has_vanished:
            self.connect_failures += 1
            self._clock.call_at(
                self._clock.now + CONNECT_TIMEOUT_SECONDS, lambda: self._notify(attempt, Outcome.UNREACHABLE)
            )
            return
        if len(self._waiting) >= self._settings.queue_limit:
            self._clock.call_at(self._clock.now, lambda: self._notify(attempt, Outcome.OVERLOADED))
            return
        self._waiting.append(attempt)
        self._start_next()

    def _start_next(self) -> None:
        while self._waiting and self._busy < self._settings.slots:
            attempt = self._waiting.popleft()
            if not attempt.is_finished:
                self._start(attempt)

    def _start(self, attempt: Attempt) -> None:
        self._busy += 1
        self.started_count += 1
        attempt.is_started = True
        settings = self._settings
        service_time = self._rng.gammavariate(settings.gamma_shape, settings.mean_service_time / settings.gamma_shape)
        outcome = Outcome.ERROR if self._rng.random() < settings.error_fraction else Outcome.OK
        self._clock.call_at(self._clock.now + service_time, lambda: self._end(attempt, outcome))

    def _end(self, attempt: Attempt, outcome: Outcome) -> None:
        self._busy -= 1
        self._notify(attempt, outcome)
        self._start_next()

    def _notify(self, attempt: Attempt, outcome: Outcome) -> None:
        if not attempt.is_finished:
            attempt.is_finished = True
            attempt.on_end(outcome)
