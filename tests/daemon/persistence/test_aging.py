"""The aging of a snapshot, and how a balancer starts with it."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from math import isfinite

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from snapshots import SETTINGS, endpoints, send_number, taught

from lugspur.daemon.persistence.aging import HALF_LIFE_SECONDS, MAX_AGE_SECONDS, decay, snapshot_age
from lugspur.daemon.persistence.snapshot_format import PoolSnapshot
from lugspur.discovery.endpoints import Endpoint
from lugspur.load_balancing.adaptive_throttling import WINDOW_BUCKETS, WINDOW_SECONDS
from lugspur.load_balancing.balancer import Balancer
from lugspur.load_balancing.model import Learned, ListUpdateKind, Outcome, Rules, Send, ServerState

AT = 1002.0  # when the state of `taught` is captured: right after its last request


def captured(rows: list[Endpoint], **more: int) -> PoolSnapshot:
    return PoolSnapshot(AT, rows, taught(rows, **more).export_learned())


def test_the_age_is_unknown_if_the_clock_went_back() -> None:
    assert snapshot_age(100.0, 160.0) == 60.0
    assert snapshot_age(100.0, 99.5) == 0.0  # a step by NTP
    assert snapshot_age(100.0, 90.0) is None


def test_a_fresh_snapshot_is_unchanged_but_for_the_clock() -> None:
    pool = captured(endpoints(4), slow=1)
    assert pool.learned is not None
    found = decay(pool, 0.0, AT)
    assert found is not None
    for row, was in zip(found.servers, pool.learned.servers, strict=True):
        assert (row.latency, row.seen, row.breaker) == (was.latency, was.seen, was.breaker)
    later = decay(pool, 2.0, AT + 5002.0)  # another clock, two seconds later
    assert later is not None
    for row, was in zip(later.servers, pool.learned.servers, strict=True):
        assert row.seen == pytest.approx(was.seen + 5000.0)
        assert row.breaker is not None and was.breaker is not None
        shift = round(5000.0 / (WINDOW_SECONDS / WINDOW_BUCKETS))
        assert set(row.breaker.window) <= {(n + shift, r, a, f) for n, r, a, f in was.breaker.window}


def test_older_state_counts_less_and_beyond_the_limit_not_at_all() -> None:
    pool = captured(endpoints(4), slow=1)
    assert pool.learned is not None
    pooled = pool.learned.pooled
    gaps = []
    for halves in (0, 1, 3):
        found = decay(pool, halves * HALF_LIFE_SECONDS, AT + halves * HALF_LIFE_SECONDS)
        assert found is not None
        gaps.append(max(abs(row.latency - pooled) for row in found.servers))
        assert halves == 0 or all(row.breaker is None or not row.breaker.window for row in found.servers)
    assert gaps[1] == pytest.approx(gaps[0] / 2)
    assert gaps[2] == pytest.approx(gaps[0] / 8)
    for age in (MAX_AGE_SECONDS + 1.0, 86_400.0, None):
        assert decay(pool, age, AT) is None
    assert decay(PoolSnapshot(AT, endpoints(1)), 1.0, AT) is None


def numbers(found: Learned) -> list[float]:
    return [value for row in found.servers for value in (row.latency, row.seen, row.down_until, row.cold_credit)]


@given(st.floats(0.0, MAX_AGE_SECONDS), st.floats(-1e9, 1e9), st.integers(0, 4), st.integers(0, 4), st.integers(1, 80))
@settings(deadline=None, max_examples=60)
def test_the_balancer_works_with_any_age_and_any_clock(
    age: float, clock: float, slow: int, bad: int, rounds: int
) -> None:
    rows = endpoints(4)
    now = AT + clock
    found = decay(captured(rows, slow=slow, bad=bad, rounds=rounds), age, now)
    assert found is not None
    assert all(isfinite(value) for value in numbers(found))
    assert all(row.seen <= now for row in found.servers)
    last = int(now / (WINDOW_SECONDS / WINDOW_BUCKETS))
    for row in found.servers:
        if row.breaker is not None:
            assert all(last - WINDOW_BUCKETS < bucket[0] <= last for bucket in row.breaker.window)
    count_sent(rows, found, now)


def count_sent(
    rows: list[Endpoint],
    learned: Learned | None,
    now: float,
    count: int = 40,
    slow: int = 0,
    bad: int = 0,
    seed: int = 3,
) -> Counter[int]:
    """Count the requests that a balancer with this state sends to each backend: the first are slow, the next fail."""
    balancer = Balancer(SETTINGS, seed)
    balancer.update_servers(now, ListUpdateKind.STALE, [row.row for row in rows])
    if learned is not None:
        balancer.import_learned(now, learned)
    names, sent = [row.row.server for row in rows], Counter[int]()
    for number in range(count):
        at, rid = now + 0.02 * number, f"q{number}"
        actions = balancer.request(at, rid, deadline=at + 1.0)
        while actions and isinstance(send := actions[0], Send):
            place = names.index(send.server)
            sent[place] += 1
            took = 0.3 if place < slow else 0.01
            outcome = Outcome.ERROR if slow <= place < slow + bad else Outcome.OK
            actions = balancer.finish_attempt(at + took, rid, send_number(balancer, rid), outcome, took)
    return sent


def test_a_fresh_snapshot_avoids_slow_and_failing_backends_from_the_first_request() -> None:
    rows = endpoints(20)
    pool = captured(rows, slow=5, bad=2, rounds=100)
    sent_to_bad: Counter[str] = Counter()
    for seed in range(20):
        for name, learned in (("none", None), ("fresh", decay(pool, 1.0, AT + 1.0))):
            sent = count_sent(rows, learned, AT + 1.0, slow=5, bad=2, seed=seed)
            sent_to_bad[name] += sum(sent[place] for place in range(7))
        # What a balancer sends that was not restarted: sometimes both of its two candidates are bad.
        long, short = (count_sent(rows, None, AT + 1.0, count, slow=5, bad=2, seed=seed) for count in (440, 400))
        sent_to_bad["steady"] += sum(long[place] - short[place] for place in range(7))
    assert sent_to_bad["fresh"] - sent_to_bad["steady"] < 0.5 * (sent_to_bad["none"] - sent_to_bad["steady"])


def test_a_snapshot_from_before_an_incident_is_soon_superseded() -> None:
    # The snapshot says that all backends but the last are slow; the last one is broken now.
    rows = endpoints(6)
    pool = captured(rows, slow=5, rounds=200)
    reversed_rows = list(reversed(rows))  # The first is now the one that was best.
    sent_to_bad: Counter[str] = Counter()
    for seed in range(20):
        for name, learned in (("none", None), ("fresh", decay(pool, 1.0, AT + 1.0))):
            sent_to_bad[name] += count_sent(reversed_rows, learned, AT + 1.0, count=100, bad=1, seed=seed)[0]
    # At each start, at most five more requests of a hundred.
    assert sent_to_bad["fresh"] <= sent_to_bad["none"] + 20 * 5


def test_a_backend_that_restarted_since_is_in_slow_start_whatever_the_snapshot_says() -> None:
    rules = Rules(slow_start_fraction=0.3, slow_start_seconds=10.0)
    rows = endpoints(6, started=500.0)
    learned = decay(captured(rows, rounds=200), 5.0, AT + 5.0)
    assert learned is not None
    sent: Counter[str] = Counter()
    for seed in range(30):
        for name, known in (("none", None), ("fresh", learned)):
            balancer = Balancer(replace(SETTINGS, rules=rules), seed)
            now = AT + 5.0
            balancer.update_servers(now, ListUpdateKind.STALE, [row.row for row in rows])
            if known is not None:
                balancer.import_learned(now, known)
            young = replace(rows[0].row, started_at=now - 0.5)  # the first list that arrives
            balancer.update_servers(now, ListUpdateKind.COMPLETE, [young, *(row.row for row in rows[1:])])
            assert balancer.table.servers[young.server].breaker is None
            for number in range(60):
                at, rid = now + 0.02 * number, f"q{number}"
                for action in balancer.request(at, rid, deadline=at + 1.0):
                    if isinstance(action, Send):
                        sent[name] += action.server == young.server
                        balancer.finish_attempt(at + 0.01, rid, 0, Outcome.OK, 0.01)
    assert sent["fresh"] <= sent["none"] + 30  # One request for each start: the budget of slow start is not larger.
    assert sent["fresh"] < 30 * 60 / 6  # less than the share of a warm backend


def test_state_of_a_backend_with_another_start_or_not_listed_is_dropped() -> None:
    rows = endpoints(2, started=500.0)
    learned = decay(captured(rows), 1.0, AT + 1.0)
    assert learned is not None
    balancer = Balancer(SETTINGS, 1)
    balancer.update_servers(AT, ListUpdateKind.STALE, [replace(rows[0].row, started_at=900.0)])
    balancer.import_learned(AT + 1.0, learned)
    assert [server.latency for server in balancer.table.servers.values()] == [0.0]
    assert all(server.row.state is ServerState.UP for server in balancer.table.servers.values())


@pytest.mark.parametrize("age", [0.5, 5.0, 600.0, MAX_AGE_SECONDS])
def test_a_burst_at_the_start_is_admitted_as_without_a_snapshot(age: float) -> None:
    rows = endpoints(8)
    learned = decay(captured(rows, rounds=200), age, AT + age)
    assert learned is not None
    admitted = {}
    for name, known in (("none", None), ("kept", learned)):
        balancer = Balancer(SETTINGS, 1)
        balancer.update_servers(AT + age, ListUpdateKind.STALE, [row.row for row in rows])
        if known is not None:
            balancer.import_learned(AT + age, known)
        now = AT + age
        admitted[name] = sum(
            isinstance(balancer.request(now + 0.001 * n, f"q{n}", deadline=now + 1.0)[0], Send) for n in range(40)
        )
    assert admitted["kept"] >= admitted["none"] > 20
