"""Rejects the requests of least value before the proxy itself falls behind: a state machine without I/O.

The input is requests and samples of the proxy's state; the output is one decision for each request, and now and then
a line for the log. The load signal is the standing wait: the least time that any request of a window waited for the
proxy. A burst that is worked off within the window leaves none (as in CoDel, RFC 8289 4.2). Load is shed by value (as
in DAGOR, SoCC 2018): a limited amount of work a second is admitted, the most valuable classes first; within the level
of value that no longer fits as a whole, every caller gets the same. The alternatives are in docs/guard.md.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from math import exp, inf

WINDOW = 0.05  # seconds between two samples
FIRST_CUT_SECONDS = 0.5  # for which every request must have waited too long before the first cut
FURTHER_CUT_SECONDS = 0.1  # the same before each further cut
TARGET_WAIT_SECONDS = 0.050  # a standing wait above this leads to a cut
CALM_FRACTION = 0.5  # part of the target wait under which the limit rises; between the two nothing changes
DRAINING_FRACTION = 0.8  # a wait that has fallen below this part of what it was is being worked off: it needs no cut
MAX_CUT = 0.3  # part of the admitted work that one sample may take away
MAX_GROWTH = 0.12  # part by which a calm sample raises the limit where the process idles
MIN_GROWTH = 0.01  # part by which a calm sample raises the limit where the process does not idle
FULL_GROWTH_IDLE = 0.3  # part of the time that the process must be idle for the whole of MAX_GROWTH
UNLIMITED_AFTER_SECONDS = 0.5  # for which all offered work must fit before the limit is lifted
SMOOTHING_SECONDS = 0.5  # over which the offered work is averaged
RISE_SMOOTHING_SECONDS = 0.05  # the same for the total of a level while it rises
REJECTION_COST = 0.2  # work of rejecting one request, in units of one admitted request
ACCEPT_COST = 1.0  # work of accepting a connection, in the same units
MIN_LIMIT_FRACTION = 0.5  # the limit never falls under this part of the work that was done, of all kinds
WORK_DONE_SECONDS = 1.0  # over which the work that was done is averaged
ACCEPT_WAIT_SECONDS = 0.3  # for which the wait of the latest new connection stands for those not yet accepted
MIN_LIMIT = 20.0  # units of work a second that are always admitted: a stopped process can't tell its capacity
MEMORY_FULL = 0.9  # part of the memory limit that leads to a cut, as too long a wait does
MEMORY_CALM = 0.85  # part of the memory limit under which the limit may rise again
CALLER_BUCKETS = 64  # callers are distinguished by hash bucket; callers of the same bucket share its part
READ_PAUSE_SECONDS = 0.1  # in which nothing is read from a rejected caller whose level is rejected in part
MAX_READ_PAUSE_SECONDS = 0.5  # the same where the whole level is rejected
LOG_INTERVAL_SECONDS = 1.0  # between two lines in the log


@dataclass(slots=True, frozen=True)
class Sample:
    """The proxy's own state at one moment."""

    lag: float = 0.0  # seconds by which the sample itself was late
    starved: float = 0.0  # part of the wall time in which the process needed the CPU and did not get it
    memory: float = 0.0  # part of the memory limit in use; 0 where no limit is configured
    idle: float = 1.0  # part of the wall time in which the process had nothing to do


@dataclass(slots=True)
class _Level:
    """All classes of the same value. Lists are indexed by caller bucket; work is in units of an admitted request."""

    value: float
    window_work: list[float]  # work that arrived in this window
    offered: list[float]  # work a second, smoothed
    total: float  # work a second of all buckets, which follows a rise faster than `offered`
    share: list[float]  # part of the work that is admitted
    credit: list[float]  # fractions of a request that may be admitted so far


class Limiter:
    """The admission limit of one proxy. `values` has the value of a response of each class, by class index."""

    def __init__(self, values: Sequence[float], now: float) -> None:
        self.limit = inf  # units of work a second
        self._sampled_at = now
        self._fits_since: float | None = None
        # Windows since the last cut: their ends and least waits.
        self._waits: deque[tuple[float, float]] = deque()
        self._last_cut_at = now
        self._work_done = 0.0  # work a second, smoothed
        # The least wait of new connections in the latest window that had any, and when that window ended.
        self._accept_wait, self._accept_wait_at = 0.0, -inf
        self._logged_at, self._logged = -inf, "all requests are admitted"
        self.rejected_count = 0
        self._reset_window()
        self._levels: list[_Level] = []
        self._class_levels: list[_Level] = []
        self._names: list[str] = []
        self.change_classes(values, [str(index) for index in range(len(values))])

    def change_classes(self, values: Sequence[float], names: Sequence[str]) -> None:
        """Continue with other classes; the state of levels whose value stays is kept."""
        known = {level.value: level for level in self._levels}
        for value in set(values) - known.keys():
            known[value] = _Level(
                value,
                [0.0] * CALLER_BUCKETS,
                [0.0] * CALLER_BUCKETS,
                0.0,
                [1.0] * CALLER_BUCKETS,
                [0.0] * CALLER_BUCKETS,
            )
        self._levels = sorted((known[value] for value in set(values)), key=lambda level: -level.value)
        self._class_levels = [known[value] for value in values]
        self._names = list(names)

    def _reset_window(self) -> None:
        self._admitted_work = self._rejection_work = self._accept_work = 0.0
        self._window_wait = self._window_accept_wait = inf

    # ---- requests ------------------------------------------------------------------------------

    def admits(self, class_index: int, caller: int, cost: float, wait: float, is_new_connection: bool = False) -> bool:
        """Return whether a request is admitted.

        `caller` is a hash of the request's caller, and `wait` the seconds for which the request has waited for the
        proxy. `is_new_connection` says that it is the first of its connection; such requests wait in a queue of their
        own, that of connections to be accepted.
        """
        level, bucket = self._class_levels[class_index], caller % CALLER_BUCKETS
        level.window_work[bucket] += cost
        if is_new_connection:
            self._accept_work += ACCEPT_COST
            self._window_accept_wait = min(self._window_accept_wait, wait)
        elif wait < self._window_wait:
            self._window_wait = wait
        share = level.share[bucket]
        if share < 1.0:
            credit = level.credit[bucket] + share
            level.credit[bucket] = credit - 1.0 if credit >= 1.0 else credit
            if credit < 1.0:
                self.rejected_count += 1
                self._rejection_work += REJECTION_COST
                return False
        self._admitted_work += cost
        return True

    def read_pause_seconds(self, class_index: int) -> float:
        """Return the seconds for which to read nothing from a caller whose request of that class was rejected."""
        return READ_PAUSE_SECONDS if any(self._class_levels[class_index].share) else MAX_READ_PAUSE_SECONDS

    # ---- samples -------------------------------------------------------------------------------

    def sample(self, now: float, state: Sample) -> str | None:
        """End a window; return a line for the log if something has changed that operators should know."""
        span = max(now - self._sampled_at, 1e-3)
        self._sampled_at = now
        offered = self._smooth(span)
        done = (self._admitted_work + self._rejection_work + self._accept_work) / span
        self._work_done += (1.0 - exp(-span / WORK_DONE_SECONDS)) * (done - self._work_done)
        if self._window_accept_wait < inf:
            self._accept_wait, self._accept_wait_at = self._window_accept_wait, now
        wait = self._standing_wait(now)
        if wait > TARGET_WAIT_SECONDS and self._rejection_work > self._admitted_work:
            # Guards valuable requests: where rejecting is most of the work, admitting less would not help.
            self._last_cut_at = now
        elif wait > TARGET_WAIT_SECONDS or state.memory >= MEMORY_FULL:
            self._cut(now, wait, self._admitted_work / span)
        elif (
            self._current_wait() < CALM_FRACTION * TARGET_WAIT_SECONDS
            and state.memory < MEMORY_CALM
            and self.limit < inf
        ):
            self._raise(now, offered, state.idle)
        self._distribute()
        line = self._log_line(now, wait, state)
        self._reset_window()
        return line

    def _current_wait(self) -> float:
        """Return the least wait of this window in the longer of the two queues; 0 where no request arrived."""
        accept_wait = self._accept_wait if self._sampled_at - self._accept_wait_at <= ACCEPT_WAIT_SECONDS else 0.0
        return max(accept_wait, 0.0 if self._window_wait == inf else self._window_wait)

    def _standing_wait(self, now: float) -> float:
        """Return the least wait of the latest windows, as many as a cut requires; 0 if it is too soon to tell.

        Guards against cuts for delays that are already over: a pause of the process, a burst, a garbage collection.
        """
        span = FIRST_CUT_SECONDS if self.limit == inf else FURTHER_CUT_SECONDS
        self._waits.append((now, self._current_wait()))
        while len(self._waits) > 1 and self._waits[1][0] <= now - span:
            self._waits.popleft()
        if now - self._last_cut_at < span or self._waits[0][0] > now - span + WINDOW:
            return 0.0
        if self._waits[-1][1] < DRAINING_FRACTION * self._waits[0][1]:
            return 0.0
        return min(wait for _, wait in self._waits)

    def _smooth(self, span: float) -> float:
        slow, fast = 1.0 - exp(-span / SMOOTHING_SECONDS), 1.0 - exp(-span / RISE_SMOOTHING_SECONDS)
        for level in self._levels:
            for bucket, window_work in enumerate(level.window_work):
                rate = level.offered[bucket]
                if window_work or rate:
                    rate += slow * (window_work / span - rate)
                    level.offered[bucket] = rate if rate > 1e-3 else 0.0
            rate = sum(level.window_work) / span
            level.total += (fast if rate > level.total else slow) * (rate - level.total)
            level.window_work = [0.0] * CALLER_BUCKETS
        return sum(level.total for level in self._levels)

    def _cut(self, now: float, wait: float, admitted: float) -> None:
        """Lower the limit: too much was admitted.

        A single window may be mostly idle, so the limit in force counts as well as the work admitted in the window.
        """
        base = (
            max(admitted, MIN_LIMIT)
            if self.limit == inf
            else min(self.limit, max(admitted, (1.0 - MAX_CUT) * self.limit))
        )
        self._fits_since = None
        self._last_cut_at = now
        self._waits.clear()
        part = min(1.0, max(0.0, wait / TARGET_WAIT_SECONDS - 1.0)) if wait > TARGET_WAIT_SECONDS else 1.0
        # Guards valuable requests against a limit far under the core's capacity: waits outlast their cause for a while.
        self.limit = max(MIN_LIMIT, MIN_LIMIT_FRACTION * self._work_done, base * (1.0 - MAX_CUT * part))

    def _raise(self, now: float, offered: float, idle: float) -> None:
        """Raise the limit after a calm window; lift it once all offered work has fitted for a while."""
        if offered <= self.limit:
            if self._fits_since is None:
                self._fits_since = now
            elif now - self._fits_since >= UNLIMITED_AFTER_SECONDS:
                self.limit, self._fits_since = inf, None
                return
        else:
            self._fits_since = None
        self.limit *= 1.0 + max(MIN_GROWTH, MAX_GROWTH * min(1.0, idle / FULL_GROWTH_IDLE))

    def _distribute(self) -> None:
        """Give the limit to the levels, the most valuable first.

        Within the level that does not fit as a whole, each bucket of callers gets the same.
        """
        remaining = self.limit
        for level in self._levels:
            if level.total <= remaining:
                level.share = [1.0] * CALLER_BUCKETS
            else:
                fair = fair_share(level.offered, remaining * sum(level.offered) / level.total)
                level.share = [min(1.0, fair / rate) if rate else float(fair > 0.0) for rate in level.offered]
            remaining = max(0.0, remaining - level.total)

    # ---- log -----------------------------------------------------------------------------------

    def _log_line(self, now: float, wait: float, state: Sample) -> str | None:
        decision = self.describe()
        if decision == self._logged or now - self._logged_at < LOG_INTERVAL_SECONDS:
            return None
        self._logged, self._logged_at = decision, now
        reasons = [f"requests wait {1e3 * wait:.0f} ms"]
        if state.starved >= 0.01:
            reasons.append(f"the process lacked the CPU for {state.starved:.0%} of the time")
        if state.memory >= MEMORY_CALM:
            reasons.append(f"memory at {state.memory:.0%} of its limit")
        return f"{decision}: {', '.join(reasons)}; {self.rejected_count} requests rejected so far"

    def describe(self) -> str:
        """Return which classes are rejected, and which of them in part."""
        names: dict[str, list[str]] = {"rejected": [], "rejected in part": []}
        for name, level in zip(self._names, self._class_levels, strict=True):
            offered = sum(level.offered)
            admitted = sum(share * rate for share, rate in zip(level.share, level.offered, strict=True))
            if offered and admitted < 0.999 * offered:
                names["rejected in part" if admitted > 0.0 else "rejected"].append(name)
        return (
            "; ".join(f"{how}: {', '.join(found)}" for how, found in names.items() if found)
            or "all requests are admitted"
        )


def fair_share(wanted: Sequence[float], total: float) -> float:
    """Return the most that each may have so that all together have the total (max-min fairness).

    What is not used by those that want less than their part goes to the others.
    """
    remaining, left = total, sum(1 for want in wanted if want > 0.0)
    fair = 0.0
    for want in sorted(want for want in wanted if want > 0.0):
        fair = remaining / left
        if want > fair:
            return fair
        remaining -= want
        left -= 1
    return max(fair, total)
