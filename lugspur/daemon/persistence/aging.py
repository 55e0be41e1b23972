"""Ages a snapshot after a restart, and converts its times to the clock of the new process. No I/O.

Averages lose half their weight with each half-life: they are pulled towards the mean of the pool, so that the estimate
for one backend fades while the general level stays. Windows of counts expire by themselves.
"""

from __future__ import annotations

from dataclasses import replace

from lugspur.daemon.persistence.snapshot_format import PoolSnapshot
from lugspur.load_balancing.adaptive_throttling import WINDOW_BUCKETS, WINDOW_SECONDS
from lugspur.load_balancing.model import Learned, LearnedBreaker, LearnedPool, LearnedServer

#: The time in which an average loses half its weight. What makes a backend slow often lasts minutes.
HALF_LIFE_SECONDS = 300.0
#: The age beyond which only the list of endpoints is used.
MAX_AGE_SECONDS = 3600.0
#: The step back of the wall clock between writing and reading that is ignored.
CLOCK_STEP_TOLERANCE_SECONDS = 1.0


def snapshot_age(written: float, now: float) -> float | None:
    """Return the seconds between writing and reading by the wall clock, or None if the clock went back between them."""
    age = now - written
    return None if age < -CLOCK_STEP_TOLERANCE_SECONDS else max(0.0, age)


def decay(pool: PoolSnapshot, age: float | None, now: float) -> Learned | None:
    """Return what still counts of a pool's learned state after `age` seconds, on a clock that shows `now`.

    The result is None if nothing counts: the pool has learned nothing, or its age is unknown or beyond the limit.
    """
    learned = pool.learned
    if learned is None or age is None or age > MAX_AGE_SECONDS:
        return None
    weight = 0.5 ** (age / HALF_LIFE_SECONDS)
    clock_offset = now - age - pool.captured_at  # from the clock of the former process to that of this one
    return replace(
        learned,
        servers=tuple(_decay_server(row, learned.pooled, weight, clock_offset, now) for row in learned.servers),
        pools=tuple(_restart_pool(row, clock_offset, now) for row in learned.pools),
        # Requests are rejected by the baseline of their cost, so it is learned anew once it has lost half its weight.
        paced=learned.paced if weight > 0.5 else 0,
    )


def _decay_server(row: LearnedServer, pooled: float, weight: float, clock_offset: float, now: float) -> LearnedServer:
    breaker = row.breaker
    if breaker is not None:
        breaker = _decay_breaker(breaker, pooled, weight, clock_offset, now)
    return replace(
        row,
        latency=_pull_towards_mean(row.latency, pooled, weight),
        seen=min(now, row.seen + clock_offset),
        breaker=breaker,
        down_until=row.down_until + clock_offset if row.down_until > 0.0 else 0.0,
        # Guards backends in slow start: time in which no process watched them earns no credit.
        cold_credit=min(row.cold_credit, 1.0),
        cold_seen=now if row.cold_seen > 0.0 else 0.0,
    )


def _pull_towards_mean(value: float, pooled: float, weight: float) -> float:
    """Return a latency pulled towards the mean of its pool; 0 means that there is none."""
    return value * weight + pooled * (1.0 - weight) if value > 0.0 and pooled > 0.0 else value


def _decay_breaker(
    row: LearnedBreaker, pooled: float, weight: float, clock_offset: float, now: float
) -> LearnedBreaker:
    width = WINDOW_SECONDS / WINDOW_BUCKETS
    shift, last = round(clock_offset / width), int(now / width)
    window = tuple((n + shift, r, a, f) for n, r, a, f in row.window if last - WINDOW_BUCKETS < n + shift <= last)
    return LearnedBreaker(
        _pull_towards_mean(row.baseline, pooled, weight), _pull_towards_mean(row.current, pooled, weight), window
    )


def _restart_pool(row: LearnedPool, clock_offset: float, now: float) -> LearnedPool:
    """Return the window of the pool's throttle and nothing else.

    The rates cover only the last two seconds, and the start of a balancer has its own protection. With the former
    start time and no rates left, the balancer would regard the first requests as an overload.
    """
    none = 0.0, 0.0
    return LearnedPool((none, none, none), None, _decay_breaker(row.breaker, 0.0, 1.0, clock_offset, now))
