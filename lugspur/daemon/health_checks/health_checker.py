"""Decides which backends of a pool are checked when, and which of them are unhealthy. No I/O.

A backend that a daemon reports is checked at once. Two failed checks in a row make it unhealthy; then it is checked
at an interval until two in a row pass. A backend that nobody reports is never checked.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# Failed checks in a row that make a backend unhealthy, and passed checks that make it healthy: one lost packet does
# neither.
UNHEALTHY_THRESHOLD, HEALTHY_THRESHOLD = 2, 2
#: The delay between two checks in a row that may change the health of a backend.
RECHECK_DELAY_SECONDS = 0.1
#: Concurrent checks that one process can make in addition to its traffic.
MAX_CHECKS_IN_FLIGHT = 16


@dataclass(slots=True)
class _CheckedBackend:
    due_at: float  # of the next check, in seconds of the local clock
    is_in_flight: bool = False
    is_unhealthy: bool = False
    consecutive_results: int = 0  # with the same result as the latest one
    has_passed: bool = False  # the result of the latest check
    was_reported: bool = True  # since the latest check started


class HealthChecker:
    """The state of one pool's health checker.

    Attributes:
        interval_seconds: The interval between two checks of an unhealthy backend.
        sequence_number: Incremented with each change of `unhealthy`.
    """

    def __init__(self, interval_seconds: float) -> None:
        self.interval_seconds = interval_seconds
        self.sequence_number = 0
        self._listed: frozenset[str] = frozenset()
        self._checked: dict[str, _CheckedBackend] = {}

    @property
    def unhealthy(self) -> list[str]:
        """The backends that are unhealthy, in the order in which they were first reported."""
        return [name for name, backend in self._checked.items() if backend.is_unhealthy]

    def take_over(self, now: float, unhealthy: Iterable[str]) -> None:
        """Start with the backends that the former health checker regarded as unhealthy, and check them at once."""
        self._checked = {
            name: _CheckedBackend(now, is_unhealthy=True, consecutive_results=UNHEALTHY_THRESHOLD)
            for name in unhealthy
            if name in self._listed
        }
        self.sequence_number += 1

    def update_backends(self, names: Iterable[str]) -> None:
        """Set the backends of the pool."""
        self._listed = frozenset(names)
        for name in tuple(self._checked):
            if name not in self._listed:
                self.sequence_number += self._checked[name].is_unhealthy
                del self._checked[name]

    def report_failure(self, now: float, name: str) -> None:
        """Record that a daemon could not connect to a backend."""
        backend = self._checked.get(name)
        if backend is not None:
            backend.was_reported = True
        elif name in self._listed:
            self._checked[name] = _CheckedBackend(now)

    def due(self) -> float:
        """Return when the next check is due, in seconds of the local clock; infinity if none is."""
        if self._in_flight_count() >= MAX_CHECKS_IN_FLIGHT:
            return float("inf")
        times = (backend.due_at for backend in self._checked.values() if not backend.is_in_flight)
        return min(times, default=float("inf"))

    def start_checks(self, now: float) -> list[str]:
        """Return the backends to check now; the caller ends each check with `finish_check`."""
        capacity = max(0, MAX_CHECKS_IN_FLIGHT - self._in_flight_count())
        due = [name for name, backend in self._checked.items() if not backend.is_in_flight and backend.due_at <= now]
        for name in due[:capacity]:
            self._checked[name].is_in_flight, self._checked[name].was_reported = True, False
        return due[:capacity]

    def finish_check(self, now: float, name: str, has_passed: bool) -> bool:
        """Record the result of a check, and return whether the backend becomes unhealthy or healthy by it."""
        backend = self._checked.get(name)
        if backend is None or not backend.is_in_flight:
            return False
        backend.is_in_flight = False
        is_same_result = has_passed is backend.has_passed or backend.consecutive_results == 0
        backend.consecutive_results = backend.consecutive_results + 1 if is_same_result else 1
        backend.has_passed = has_passed
        if has_passed and not backend.is_unhealthy:
            self._keep_healthy(now, name, backend)
            return False
        threshold = HEALTHY_THRESHOLD if has_passed else UNHEALTHY_THRESHOLD
        if backend.is_unhealthy is has_passed and backend.consecutive_results >= threshold:
            self._change_health(now, name, backend)
            return True
        is_still_unhealthy = backend.is_unhealthy and not has_passed
        backend.due_at = now + (self.interval_seconds if is_still_unhealthy else RECHECK_DELAY_SECONDS)
        return False

    def _keep_healthy(self, now: float, name: str, backend: _CheckedBackend) -> None:
        """Check a healthy backend again, after an interval, only if a daemon still can't connect to it."""
        if backend.was_reported:
            backend.due_at = now + self.interval_seconds
        else:
            del self._checked[name]

    def _change_health(self, now: float, name: str, backend: _CheckedBackend) -> None:
        backend.is_unhealthy = not backend.is_unhealthy
        self.sequence_number += 1
        if backend.is_unhealthy:
            backend.due_at = now + self.interval_seconds
        else:
            del self._checked[name]

    def _in_flight_count(self) -> int:
        return sum(backend.is_in_flight for backend in self._checked.values())
