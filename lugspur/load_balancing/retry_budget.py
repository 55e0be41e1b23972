"""Retry budget: bounds the part of all attempts that are retries (SRE book, chapter 22)."""

from __future__ import annotations

from collections import deque

from lugspur.load_balancing.model import Rules

DEFAULT_MINIMUM_RETRIES = 5.0  # in any window, where no retry budget is stated...
DEFAULT_RETRY_RATIO = 0.2  # ...and for each request taken in it: more would feed an overload...
DEFAULT_WINDOW_SECONDS = 10.0  # ...over so long a window
CLOCK_ROUNDING_SECONDS = 1e-5  # by which a window is read to the budget's disadvantage: clocks are rounded


class RetryBudget:
    """Allows retries up to minimum + ratio x requests in any window.

    Guards against retries that feed an overload, and keeps the rule where one is stated. Could harm where
    many first attempts fail for other causes than load: what would be saved by a second is lost.
    """

    __slots__ = ("_minimum", "_ratio", "_requests", "_retries", "_window")

    def __init__(self, minimum: float, ratio: float, window: float) -> None:
        self._minimum, self._ratio, self._window = minimum, ratio, window
        self._requests: deque[float] = deque()  # times at which requests were taken
        self._retries: deque[float] = deque()  # times at which retries were sent

    @staticmethod
    def by_rules(rules: Rules) -> RetryBudget:
        """The budget that the rules state, or the default one."""
        free, ratio, window = rules.retry_budget_minimum, rules.retry_budget_ratio, rules.retry_budget_window
        if window > 0.0:
            return RetryBudget(free, ratio, window)
        return RetryBudget(DEFAULT_MINIMUM_RETRIES, DEFAULT_RETRY_RATIO, DEFAULT_WINDOW_SECONDS)

    def use_limits_of(self, other: RetryBudget) -> None:
        """Take over the limits of another budget; requests and retries counted so far stay."""
        self._minimum, self._ratio, self._window = other._minimum, other._ratio, other._window

    def set_minimum(self, minimum: float) -> None:
        """Change the retries that are free in any window: more or fewer proxies share the budget."""
        self._minimum = minimum

    def count_request(self, now: float) -> None:
        """Count a request, rejected ones too."""
        self._requests.append(now)
        self._expire(now)

    def allows_retry(self, now: float) -> bool:
        """Whether one more retry may be sent now."""
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
