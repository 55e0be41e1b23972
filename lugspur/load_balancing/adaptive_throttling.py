"""Adaptive throttling of the SRE book: rejects locally as requests outnumber accepted ones.

Method: *Site Reliability Engineering* (2016), chapter 21, "Client-Side Throttling"; K, the window of
buckets and the protected requests are those of go-zero's breaker (PR #5366). Times are in seconds.
"""

from collections import deque

WINDOW_SECONDS = 10.0  # length of the sliding window from which the rejection probability is computed
WINDOW_BUCKETS = 40
BUCKET_SECONDS = WINDOW_SECONDS / WINDOW_BUCKETS
K = 1.5  # requests allowed for each accepted request before the throttle rejects
MIN_K = 1.1  # the value that K falls to when every recent bucket only failed
PROTECTED_REQUESTS = 5  # requests in the window that never count against a server
MIN_OUTLIER_FAILURES = 2  # in the window; a single failure makes no outlier

NUMBER, REQUESTS, ACCEPTS, FAILURES = range(4)  # indexes in a bucket


class AdaptiveThrottle:
    """Counts requests, accepts and failures in a sliding window of buckets, and derives probabilities.

    Every attempt is a request, even if it is rejected locally; an accept is an attempt that the server
    served. Of the others, only errors, timeouts, overload responses and failed connections are failures.
    """

    __slots__ = ("_accepts", "_buckets", "_failing_buckets", "_failures", "_requests")

    def __init__(self) -> None:
        # [bucket number, requests, accepts, failures], oldest first
        self._buckets: deque[list[int]] = deque()
        self._requests = self._accepts = self._failures = 0  # sums over the window
        self._failing_buckets = 0  # length of the newest run of buckets with failures alone

    def count_rejected(self, now: float) -> None:
        """Count a request that was rejected locally."""
        self._count_request(now)

    def count_accepted(self, now: float) -> None:
        """Count a request that the server accepted."""
        self._count_request(now)[ACCEPTS] += 1
        self._accepts += 1
        self._failing_buckets = 0

    def count_failed(self, now: float) -> None:
        """Count an error, timeout, overload response or failed connection."""
        bucket = self._count_request(now)
        if not bucket[ACCEPTS] and not bucket[FAILURES]:
            self._failing_buckets += 1
        bucket[FAILURES] += 1
        self._failures += 1

    def failure_ratio(self, now: float) -> float:
        """Return failures as a part of the requests sent, with the protected ones counted as accepted."""
        self._expire(int(now / BUCKET_SECONDS))
        return self._failures / (self._failures + self._accepts + PROTECTED_REQUESTS)

    def is_outlier(self, now: float) -> bool:
        """Return whether most of the requests that were sent failed, and more than one did."""
        self._expire(int(now / BUCKET_SECONDS))
        return self._failures >= MIN_OUTLIER_FAILURES and self._failures > self._accepts

    def error_probability(self, now: float, max_k: float = K, protected: float = PROTECTED_REQUESTS) -> float:
        """Return the rejection probability max(0, (requests - protected - K x accepts) / (requests + 1)).

        K falls from `max_k` towards MIN_K with the length of the newest run of buckets that only failed.
        """
        self._expire(int(now / BUCKET_SECONDS))
        k = max_k - (max_k - MIN_K) * self._failing_buckets / WINDOW_BUCKETS
        return max(0.0, (self._requests - protected - k * self._accepts) / (self._requests + 1))

    def _count_request(self, now: float) -> list[int]:
        """Count one more request in the bucket of `now`, and return the bucket."""
        number = int(now / BUCKET_SECONDS)
        buckets = self._buckets
        if not buckets or buckets[-1][NUMBER] < number:
            self._expire(number)
            buckets.append([number, 0, 0, 0])
        buckets[-1][REQUESTS] += 1
        self._requests += 1
        return buckets[-1]

    def _expire(self, number: int) -> None:
        buckets = self._buckets
        while buckets and buckets[0][NUMBER] <= number - WINDOW_BUCKETS:
            _, requests, accepts, failures = buckets.popleft()
            self._requests -= requests
            self._accepts -= accepts
            self._failures -= failures
        self._failing_buckets = min(self._failing_buckets, len(buckets))

    def _export_window(self) -> tuple[tuple[int, int, int, int], ...]:
        return tuple((n, requests, accepts, failures) for n, requests, accepts, failures in self._buckets)

    def _import_window(self, window: tuple[tuple[int, int, int, int], ...]) -> None:
        self._buckets = deque([list(bucket) for bucket in window[-WINDOW_BUCKETS:]])
        self._requests = sum(bucket[REQUESTS] for bucket in self._buckets)
        self._accepts = sum(bucket[ACCEPTS] for bucket in self._buckets)
        self._failures = sum(bucket[FAILURES] for bucket in self._buckets)
        self._failing_buckets = 0
