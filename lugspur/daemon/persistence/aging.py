"""How much of what was kept still counts: by its age, and on the new process's clock. No I/O."""

from __future__ import annotations

from dataclasses import replace

from lugspur.daemon.persistence.file import Pool
from lugspur.load_balancing.adaptive_throttling import WINDOW_BUCKETS, WINDOW_SECONDS
from lugspur.load_balancing.model import Learned, LearnedBreaker, LearnedPool, LearnedServer

HALF = 300.0  # seconds in which an opinion loses half its weight: what makes a box slow often lasts minutes
BEYOND = 3600.0  # seconds after which nothing counts but the list
SKEW = 1.0  # seconds by which a clock may have gone back and still count as steady


def age_of(written: float, now: float) -> float | None:
    """Seconds between writing and reading by the wall clock; None where they can't be known."""
    age = now - written
    return None if age < -SKEW else max(0.0, age)


def aged(pool: Pool, age: float | None, now: float) -> Learned | None:
    """What of a pool counts after so many seconds, on a clock that says `now`; None: nothing but its list."""
    learned = pool.learned
    if learned is None or age is None or age > BEYOND:
        return None
    weight = 0.5 ** (age / HALF)
    moved = now - age - pool.at  # from that process's clock to this one's
    return replace(
        learned,
        servers=tuple(_server(row, learned.pooled, weight, moved, now) for row in learned.servers),
        pools=tuple(_pool(row, moved, now) for row in learned.pools),
        # The baseline by cost refuses requests: half the weight gone, it is learned anew.
        paced=learned.paced if weight > 0.5 else 0,
    )


def _server(row: LearnedServer, pooled: float, weight: float, moved: float, now: float) -> LearnedServer:
    breaker = row.breaker
    if breaker is not None:
        breaker = _breaker(breaker, pooled, weight, moved, now)
    return replace(
        row,
        latency=_drawn(row.latency, pooled, weight),
        seen=min(now, row.seen + moved),
        breaker=breaker,
        down_until=row.down_until + moved if row.down_until > 0.0 else 0.0,
        # Guards cold boxes: time in which nobody watched earns nothing.
        cold_credit=min(row.cold_credit, 1.0),
        cold_seen=now if row.cold_seen > 0.0 else 0.0,
    )


def _drawn(value: float, pooled: float, weight: float) -> float:
    """A latency drawn towards the pool's; 0 stands for none."""
    return value * weight + pooled * (1.0 - weight) if value > 0.0 and pooled > 0.0 else value


def _breaker(row: LearnedBreaker, pooled: float, weight: float, moved: float, now: float) -> LearnedBreaker:
    width = WINDOW_SECONDS / WINDOW_BUCKETS
    shift, last = round(moved / width), int(now / width)
    window = tuple((n + shift, r, a, f) for n, r, a, f in row.window if last - WINDOW_BUCKETS < n + shift <= last)
    return LearnedBreaker(_drawn(row.baseline, pooled, weight), _drawn(row.current, pooled, weight), window)


def _pool(row: LearnedPool, moved: float, now: float) -> LearnedPool:
    """Its throttle's window alone.

    Rates speak of the last two seconds, and a start has its own guard: with the old birth and no rate left the module
    would take the first calls for an overload.
    """
    none = 0.0, 0.0
    return LearnedPool((none, none, none), None, _breaker(row.breaker, 0.0, 1.0, moved, now))
