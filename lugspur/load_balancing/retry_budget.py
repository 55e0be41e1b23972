"""Retry budget: bounds the part of all attempts that are retries (SRE book, chapter 22)."""

from __future__ import annotations

from collections import deque

from lugspur.load_balancing.model import Rules

DEFAULT_MINIMUM_RETRIES = 5.0  # in any window, where the rules state no retry budget
DEFAULT_RETRY_RATIO = 0.2  # further retries for each request of a window; more would feed an overload
DEFAULT_WINDOW_SECONDS = 10.0
CLOCK_ROUNDING_SECONDS = 1e-5  # the window is shorter for requests and longer for retries: clocks are rounded


class RetryBudget:
    """Allows retries up to minimum + ratio x requests in any window.

    Guards against retries that feed an overload, and keeps to the budget that the rules state. Could harm
    where many first attempts fail for other causes than load: requests fail that a retry would have saved.
    """

    __slots__ = ("_minimum", "_ratio", "_requests", "_retries", "_window")

    def __init__(self, minimum: float, ratio: float, window: float) -> None:
        self._minimum, self._ratio, self._window = minimum, ratio, window
        self._requests: deque[float] = deque()  # times at which requests arrived
        self._retries: deque[float] = deque()  # times at which retries were sent

    @staticmethod
    def from_rules(rules: Rules) -> RetryBudget:
        """Return the budget that the rules state, or the default one."""
        free, ratio, window = rules.retry_budget_minimum, rules.retry_budget_ratio, rules.retry_budget_window
        if window > 0.0:
            return RetryBudget(free, ratio, window)
        return RetryBudget(DEFAULT_MINIMUM_RETRIES, DEFAULT_RETRY_RATIO, DEFAULT_WINDOW_SECONDS)

    def adopt_limits(self, other: RetryBudget) -> None:
        """Adopt the limits of another budget; the requests and retries counted so far stay."""
        self._minimum, self._ratio, self._window = other._minimum, other._ratio, other._window

    def set_minimum(self, minimum: float) -> None:
        """Change the minimum of retries in any window, as when more or fewer proxies share the budget."""
        self._minimum = minimum

    def count_request(self, now: float) -> None:
        """Count a request, whether it is admitted or rejected."""
        self._requests.append(now)
        self._expire(now)

    def allows_retry(self, now: float) -> bool:
        """Return whether one more retry may be sent now."""
        self._expire(now)
        return len(self._retries) + 1.0 <= self._minimum + self._ratio * len(self._requests)

    def count_retry(self, now: float) -> None:
        """Count a retry."""
        self._retries.append(now)

    def _expire(self, now: float) -> None:
        while self._requests and self._requests[0] <= now - self._window + CLOCK_ROUNDING_SECONDS:
            self._requests.popleft()
        while self._retries and self._retries[0] < now - self._window - CLOCK_ROUNDING_SECONDS:
            self._retries.popleft()
