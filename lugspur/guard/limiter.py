"""Turns away what is worth least, before the proxy itself falls behind: a machine without I/O.

Requests and samples of the proxy's state go in; a yes or no to each request comes out, and now and then a line
for the log. The signal is the standing wait: the least time that any request of a window waited for the proxy's
turn. A burst that is worked off within the window leaves none (as in CoDel, RFC 8289 4.2). The answer is by worth
(as in DAGOR, SoCC 2018): so much work a second is let in, the dearest class first; within the class that no longer
fits as a whole every caller gets the same. What was weighed: docs/guard.md.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from math import exp, inf

WINDOW = 0.05  # seconds between two samples
FIRST, FURTHER = 0.5, 0.1  # seconds in which every request must have waited before the first cut, and between two
TARGET = 0.050  # seconds of standing wait that are too much...
CALM = 0.5  # ...and the part of it under which more may come in: between the two nothing changes
FALLING = 0.8  # a wait that has become this part of what it was is being worked off: it needs no cut
CUT_MOST = 0.3  # part of the work let in that one sample may take away
GROWTH, GROWTH_LEAST = 0.12, 0.01  # parts by which a calm sample raises the limit: the process idles, or does not...
IDLE = 0.3  # ...idle for this part of the time it has room for the whole step
FREE_AFTER = 0.5  # seconds in which all that is offered fits, after which there is no limit any more
SMOOTH, SUDDEN = 0.5, 0.05  # seconds that the offered work is smoothed over; when all of a level's rises, so many
REFUSAL = 0.2  # work that turning one request away takes, in units of one that is let in
NEWCOMER = 1.0  # and that accepting a connection takes
FLOOR, DONE_OVER = 0.5, 1.0  # never under this part of the work that was done, of all kinds, over so many seconds
DOOR_FOR = 0.3  # seconds for which the latest newcomer's wait stands for those that still wait
LEAST = 20.0  # units of work a second that are let in however bad it looks: a stopped process can't tell its capacity
MEMORY_FULL, MEMORY_CALM = 0.9, 0.85  # parts of the memory limit: too much, as a wait would be, and calm again
PLACES = 64  # callers are told apart by so many places; those that share one share their part
REST, REST_MOST = 0.1, 0.5  # seconds in which nothing is read from who was turned away: in part, or whole, its like
SAY_EVERY = 1.0  # seconds between two lines in the log


@dataclass(slots=True, frozen=True)
class Sample:
    """The proxy's own state as of a moment."""

    lag: float = 0.0  # seconds that the sample itself came late
    starved: float = 0.0  # part of the wall time that the process wanted to run and did not
    memory: float = 0.0  # part of its limit; 0 where none is told
    idle: float = 1.0  # part of the wall time that it had nothing to do


@dataclass(slots=True)
class _Level:
    """All classes of one worth."""

    worth: float
    came: list[float]  # work in this window, by caller's place
    offered: list[float]  # work a second, smoothed
    total: float  # that of all, which follows a rise at once
    share: list[float]  # part of it that is let in
    credit: list[float]


class Limiter:
    """One proxy's guard. `worths`: what an answer of each class is worth, by its place."""

    def __init__(self, worths: Sequence[float], now: float) -> None:
        self.limit = inf  # units of work a second
        self._at = now  # of the last sample
        self._fits_since: float | None = None
        self._waits: deque[tuple[float, float]] = deque()  # windows since the last cut: their ends and least waits
        self._since = now  # the last cut
        self._did = 0.0  # work a second, smoothed
        self._door_wait, self._door_at = 0.0, -inf  # as the latest window with newcomers had it
        self._said_at, self._said = -inf, "all is let in"
        self.turned = 0  # requests turned away
        self._reset_window()
        self._levels: list[_Level] = []
        self._of: list[_Level] = []
        self._names: list[str] = []
        self.adopt(worths, [str(at) for at in range(len(worths))])

    def adopt(self, worths: Sequence[float], names: Sequence[str]) -> None:
        """Go on by other classes; what is known of levels that stay is kept."""
        known = {level.worth: level for level in self._levels}
        for worth in set(worths) - known.keys():
            known[worth] = _Level(worth, [0.0] * PLACES, [0.0] * PLACES, 0.0, [1.0] * PLACES, [0.0] * PLACES)
        self._levels = sorted((known[worth] for worth in set(worths)), key=lambda level: -level.worth)
        self._of = [known[worth] for worth in worths]
        self._names = list(names)

    def _reset_window(self) -> None:
        self._let_in = self._refused = self._accepted = 0.0
        self._wait = self._door = inf

    # ---- requests ------------------------------------------------------------------------------

    def admits(self, kind: int, who: int, cost: float, wait: float, newcomer: bool = False) -> bool:
        """Whether a request is let in; `wait`: seconds that it has waited for the proxy, `who`: its caller's hash.

        `newcomer`: it is the first of its connection. Those wait in a queue of their own, to be accepted.
        """
        level, place = self._of[kind], who % PLACES
        level.came[place] += cost
        if newcomer:
            self._accepted += NEWCOMER
            self._door = min(self._door, wait)
        elif wait < self._wait:
            self._wait = wait
        share = level.share[place]
        if share < 1.0:
            credit = level.credit[place] + share
            level.credit[place] = credit - 1.0 if credit >= 1.0 else credit
            if credit < 1.0:
                self.turned += 1
                self._refused += REFUSAL
                return False
        self._let_in += cost
        return True

    def rest(self, kind: int) -> float:
        """Seconds in which nothing should be read from a caller whose request of that class was turned away."""
        return REST if any(self._of[kind].share) else REST_MOST

    # ---- samples -------------------------------------------------------------------------------

    def sample(self, now: float, state: Sample) -> str | None:
        """A window has ended; a line for the log where something has changed that operators should know."""
        span = max(now - self._at, 1e-3)
        self._at = now
        offered = self._smooth(span)
        done = (self._let_in + self._refused + self._accepted) / span
        self._did += (1.0 - exp(-span / DONE_OVER)) * (done - self._did)
        if self._door < inf:
            self._door_wait, self._door_at = self._door, now
        wait = self._standing(now)
        if wait > TARGET and self._refused > self._let_in:
            # Guards what is dear: where turning away is most of the work, letting in less would not help.
            self._since = now
        elif wait > TARGET or state.memory >= MEMORY_FULL:
            self._cut(now, wait, self._let_in / span)
        elif self._wait_now() < CALM * TARGET and state.memory < MEMORY_CALM and self.limit < inf:
            self._raise(now, offered, state.idle)
        self._share_out()
        said = self._say(now, wait, state)
        self._reset_window()
        return said

    def _wait_now(self) -> float:
        """The least wait of this window in the longer of the two queues; where nobody asked nobody waits."""
        door = self._door_wait if self._at - self._door_at <= DOOR_FOR else 0.0
        return max(door, 0.0 if self._wait == inf else self._wait)

    def _standing(self, now: float) -> float:
        """The least wait of any request for a while; 0 while it is too soon to tell.

        Guards against cuts for what is over already: a stop of the process, a burst, a collection of garbage.
        """
        span = FIRST if self.limit == inf else FURTHER
        self._waits.append((now, self._wait_now()))
        while len(self._waits) > 1 and self._waits[1][0] <= now - span:
            self._waits.popleft()
        if now - self._since < span or self._waits[0][0] > now - span + WINDOW:
            return 0.0
        if self._waits[-1][1] < FALLING * self._waits[0][1]:
            return 0.0
        return min(wait for _, wait in self._waits)

    def _smooth(self, span: float) -> float:
        slow, fast = 1.0 - exp(-span / SMOOTH), 1.0 - exp(-span / SUDDEN)
        for level in self._levels:
            for place, came in enumerate(level.came):
                rate = level.offered[place]
                if came or rate:
                    rate += slow * (came / span - rate)
                    level.offered[place] = rate if rate > 1e-3 else 0.0
            rate = sum(level.came) / span
            level.total += (fast if rate > level.total else slow) * (rate - level.total)
            level.came = [0.0] * PLACES
        return sum(level.total for level in self._levels)

    def _cut(self, now: float, wait: float, let_in: float) -> None:
        """Too much was let in. One window may be idle in its most part: the limit that was in force counts too."""
        base = max(let_in, LEAST) if self.limit == inf else min(self.limit, max(let_in, (1.0 - CUT_MOST) * self.limit))
        self._fits_since = None
        self._since = now
        self._waits.clear()
        part = min(1.0, max(0.0, wait / TARGET - 1.0)) if wait > TARGET else 1.0
        # Guards what is dear against a limit far under what the core does: waits outlast their cause for a while.
        self.limit = max(LEAST, FLOOR * self._did, base * (1.0 - CUT_MOST * part))

    def _raise(self, now: float, offered: float, idle: float) -> None:
        """All is well: let in more, and all once all has fitted for a while."""
        if offered <= self.limit:
            if self._fits_since is None:
                self._fits_since = now
            elif now - self._fits_since >= FREE_AFTER:
                self.limit, self._fits_since = inf, None
                return
        else:
            self._fits_since = None
        self.limit *= 1.0 + max(GROWTH_LEAST, GROWTH * min(1.0, idle / IDLE))

    def _share_out(self) -> None:
        """The dearest level first; within the one that does not fit whole each caller's place gets the same."""
        rest = self.limit
        for level in self._levels:
            if level.total <= rest:
                level.share = [1.0] * PLACES
            else:
                each = fill(level.offered, rest * sum(level.offered) / level.total)
                level.share = [min(1.0, each / rate) if rate else float(each > 0.0) for rate in level.offered]
            rest = max(0.0, rest - level.total)

    # ---- what operators see ----------------------------------------------------------------------

    def _say(self, now: float, wait: float, state: Sample) -> str | None:
        said = self.standing()
        if said == self._said or now - self._said_at < SAY_EVERY:
            return None
        self._said, self._said_at = said, now
        why = [f"requests wait {1e3 * wait:.0f} ms"]
        if state.starved >= 0.01:
            why.append(f"{state.starved:.0%} of the CPU time that it wanted it did not get")
        if state.memory >= MEMORY_CALM:
            why.append(f"memory at {state.memory:.0%} of its limit")
        return f"{said}: {', '.join(why)}; {self.turned} turned away so far"

    def standing(self) -> str:
        """Which classes are turned away, and which in part."""
        names: dict[str, list[str]] = {"turned away": [], "let in in part": []}
        for name, level in zip(self._names, self._of, strict=True):
            offered = sum(level.offered)
            let_in = sum(share * rate for share, rate in zip(level.share, level.offered, strict=True))
            if offered and let_in < 0.999 * offered:
                names["let in in part" if let_in > 0.0 else "turned away"].append(name)
        return "; ".join(f"{how}: {', '.join(found)}" for how, found in names.items() if found) or "all is let in"


def fill(wanted: Sequence[float], total: float) -> float:
    """What each may have at most so that all together have the total: those who want less leave theirs to others."""
    rest, left = total, sum(1 for want in wanted if want > 0.0)
    each = 0.0
    for want in sorted(want for want in wanted if want > 0.0):
        each = rest / left
        if want > each:
            return each
        rest -= want
        left -= 1
    return max(each, total)
