"""How much of what was kept still counts: by its age, and on the new process's clock. No I/O."""

from __future__ import annotations

from dataclasses import replace

from lugspur.daemon.persistence.snapshot_format import PoolSnapshot
from lugspur.load_balancing.breaker import BUCKETS, WINDOW
from lugspur.load_balancing.model import Learned, LearnedBreaker, LearnedPool, LearnedServer

HALF_LIFE_SECONDS = 300.0  # seconds in which an opinion loses half its weight: slowness often lasts minutes
MAX_AGE_SECONDS = 3600.0  # seconds after which nothing counts but the list
CLOCK_STEP_TOLERANCE_SECONDS = 1.0  # seconds by which a clock may have gone back and still count as steady


def snapshot_age(written: float, now: float) -> float | None:
    """Seconds between writing and reading by the wall clock; None where they can't be known."""
    age = now - written
    return None if age < -CLOCK_STEP_TOLERANCE_SECONDS else max(0.0, age)


def decay(pool: PoolSnapshot, age: float | None, now: float) -> Learned | None:
    """What of a pool counts after so many seconds, on a clock that says `now`; None: nothing but its list."""
    learned = pool.learned
    if learned is None or age is None or age > MAX_AGE_SECONDS:
        return None
    weight = 0.5 ** (age / HALF_LIFE_SECONDS)
    clock_offset = now - age - pool.captured_at  # from that process's clock to this one's
    return replace(
        learned,
        servers=tuple(_decay_server(row, learned.pooled, weight, clock_offset, now) for row in learned.servers),
        pools=tuple(_restart_pool(row, clock_offset, now) for row in learned.pools),
        # The baseline by cost refuses requests: half the weight gone, it is learned anew.
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
        # Guards cold boxes: time in which nobody watched earns nothing.
        cold_credit=min(row.cold_credit, 1.0),
        cold_seen=now if row.cold_seen > 0.0 else 0.0,
    )


def _pull_towards_mean(value: float, pooled: float, weight: float) -> float:
    """A latency drawn towards the pool's; 0 stands for none."""
    return value * weight + pooled * (1.0 - weight) if value > 0.0 and pooled > 0.0 else value


def _decay_breaker(
    row: LearnedBreaker, pooled: float, weight: float, clock_offset: float, now: float
) -> LearnedBreaker:
    width = WINDOW / BUCKETS
    shift, last = round(clock_offset / width), int(now / width)
    window = tuple((n + shift, r, a, f) for n, r, a, f in row.window if last - BUCKETS < n + shift <= last)
    return LearnedBreaker(
        _pull_towards_mean(row.baseline, pooled, weight), _pull_towards_mean(row.current, pooled, weight), window
    )


def _restart_pool(row: LearnedPool, clock_offset: float, now: float) -> LearnedPool:
    """Its throttle's window alone.

    Rates speak of the last two seconds, and a start has its own guard: with the old birth and no rate left the module
    would take the first calls for an overload.
    """
    none = 0.0, 0.0
    return LearnedPool((none, none, none), None, _decay_breaker(row.breaker, 0.0, 1.0, clock_offset, now))
