"""Decisions of the load-shedding limiter on a simulated core in virtual time: no sockets, no sleeps."""

from __future__ import annotations

from itertools import pairwise
from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from simulated_core import Core

from lugspur.guard.limiter import (
    CALLER_BUCKETS,
    FIRST_CUT_SECONDS,
    LOG_INTERVAL_SECONDS,
    MAX_CUT,
    MAX_GROWTH,
    MAX_READ_PAUSE_SECONDS,
    MIN_LIMIT,
    READ_PAUSE_SECONDS,
    WINDOW,
    Limiter,
    Sample,
    fair_share,
)

CAPACITY = 400.0


def steady(_: float) -> float:
    return CAPACITY


@pytest.mark.parametrize("seed", range(4))
def test_no_request_is_rejected_at_nine_tenths_of_the_capacity(seed: int) -> None:
    core = Core(steady, seed=seed)
    core.run(20.0, 0.9 * CAPACITY)
    assert not core.rejected_at and core.limiter.limit == inf


@pytest.mark.parametrize("seed", range(3))
def test_pauses_of_the_process_at_half_load_reject_no_request(seed: int) -> None:
    core = Core(lambda now: 0.0 if now % 2.0 < 0.32 else CAPACITY, seed=seed)
    core.run(12.0, 0.5 * CAPACITY)
    assert not core.rejected_at


@pytest.mark.parametrize("load", [1.5, 2.0, 3.0])
@pytest.mark.parametrize("seed", range(2))
def test_under_overload_the_most_valuable_class_is_served_and_waits_stay_short(load: float, seed: int) -> None:
    core = Core(steady, seed=seed)
    core.run(3.0, load * CAPACITY)
    core.admitted.clear()
    core.arrived.clear()
    core.run(5.0, load * CAPACITY)
    assert core.admitted[0] >= 0.97 * core.arrived[0]
    assert core.admitted[2] < 0.6 * core.arrived[2]
    late = sorted(wait for at, wait in core.waits if at >= 3.0)
    assert late[len(late) // 2] < 0.05 and late[-1] < 0.41
    assert (
        sum(core.admitted.values())
        > 0.5 * (CAPACITY - 0.2 * len([at for at in core.rejected_at if at >= 3.0]) / 5.0) * 5.0
    )


@pytest.mark.parametrize("load", [2.0, 4.0])
def test_limit_converges_and_does_not_oscillate(load: float) -> None:
    core = Core(steady)
    core.run(8.0, load * CAPACITY)
    limits = core.since(4.0)
    assert max(limits) < inf and max(limits) <= 2.0 * min(limits)


@pytest.mark.parametrize("capacity_fraction", [0.25, 0.4])
def test_no_request_is_rejected_two_seconds_after_capacity_returns(capacity_fraction: float) -> None:
    core = Core(lambda now: CAPACITY * capacity_fraction if now < 4.0 else CAPACITY)
    core.run(4.0, 0.8 * CAPACITY)
    assert core.rejected_at
    core.run(4.0, 0.8 * CAPACITY)
    assert max(core.rejected_at) < 6.0 and core.limiter.limit == inf


def test_least_valuable_class_is_rejected_first_and_mostly_the_caller_with_half_the_load() -> None:
    core = Core(steady, classes=((3.0, 0.2), (1.0, 0.8)))
    rejected_callers: list[int] = []
    admits = core.limiter.admits

    def record(class_index: int, caller: int, cost: float, wait: float, is_new_connection: bool = False) -> bool:
        admitted = admits(class_index, caller, cost, wait, is_new_connection)
        if core.now > 4.0 and not admitted:
            rejected_callers.append(caller if class_index else -1)
        return admitted

    core.limiter.admits = record  # type: ignore[method-assign]
    core.run(8.0, 1.2 * CAPACITY, lambda rng: 0 if rng.random() < 0.5 else 1 + rng.randrange(30))
    assert (
        len(rejected_callers) > 100
        and rejected_callers.count(0) > 0.7 * len(rejected_callers)
        and rejected_callers.count(-1) < 0.02 * len(rejected_callers)
    )


def test_high_memory_use_lowers_the_limit_though_no_request_waits() -> None:
    limiter = Limiter([1.0], 0.0)
    now = 0.0
    for step in range(40):
        for caller in range(10):
            limiter.admits(0, caller, 1.0, 0.0)
        now += WINDOW
        limiter.sample(now, Sample(memory=0.91 if step < 20 else 0.5))
        if step == 19:
            assert limiter.limit < 200.0 and limiter.rejected_count
    for _ in range(40):
        now += WINDOW
        limiter.sample(now, Sample(memory=0.5))
    assert limiter.limit == inf


def test_no_cut_before_the_wait_has_lasted_and_none_for_bursts_that_are_over() -> None:
    limiter = Limiter([1.0], 0.0)
    now = 0.0
    for wait in (0.3, 0.2, 0.1, 0.001) * 5:
        now += WINDOW
        limiter.admits(0, 1, 1.0, wait)
        limiter.sample(now, Sample(lag=wait))
    assert limiter.limit == inf
    for _ in range(int(FIRST_CUT_SECONDS / WINDOW) + 2):
        now += WINDOW
        limiter.admits(0, 1, 1.0, 0.1)
        limiter.sample(now, Sample())
    assert limiter.limit < inf


def test_waits_of_new_connections_count_though_all_other_requests_are_served_at_once() -> None:
    limiter = Limiter([1.0], 0.0)
    now = 0.0
    for at in range(20):
        now += WINDOW
        limiter.admits(0, 1, 1.0, 0.0)
        if at % 3 == 0:  # not in every window
            limiter.admits(0, 2, 1.0, 0.5, is_new_connection=True)
        limiter.sample(now, Sample())
    assert limiter.limit < inf


def test_reading_from_a_rejected_caller_pauses_longer_where_its_whole_class_is_rejected() -> None:
    core = Core(steady)
    core.run(4.0, 3.0 * CAPACITY)
    assert (
        core.limiter.read_pause_seconds(2) == MAX_READ_PAUSE_SECONDS
        and core.limiter.read_pause_seconds(0) == READ_PAUSE_SECONDS
    )


def test_changes_are_logged_with_their_reason_at_most_once_a_second() -> None:
    limiter = Limiter([20.0, 1.0], 0.0)
    limiter.change_classes([20.0, 1.0], ["booking-new", "rate-push"])
    lines, now = [], 0.0
    for _ in range(200):
        now += WINDOW
        for caller in range(20):
            limiter.admits(caller % 2, caller, 1.0, 0.084)
        line = limiter.sample(now, Sample(starved=0.6, memory=0.87))
        if line:
            lines.append((now, line))
    assert lines[0][1].startswith(("rejected: rate-push", "rejected in part: rate-push")), lines[0]
    assert "requests wait 84 ms, the process lacked the CPU for 60% of the time, memory at 87%" in lines[0][1]
    assert all(b[0] - a[0] >= LOG_INTERVAL_SECONDS for a, b in pairwise(lines))


def test_changed_classes_keep_the_state_of_values_that_stay() -> None:
    core = Core(steady)
    core.run(4.0, 3.0 * CAPACITY)
    core.limiter.change_classes([1.0, 20.0, 5.0], ["push", "book", "new"])
    assert (
        core.limiter.limit < inf
        and not any(core.limiter._class_levels[0].share)
        and all(core.limiter._class_levels[1].share)
    )
    assert len(core.limiter._levels) == 3 and "push" in core.limiter.describe()


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.0, 1.0), st.floats(0.0, 2.0), st.integers(0, 40)), min_size=1, max_size=60),
    st.floats(0.0, 1.0),
)
def test_limit_changes_stay_bounded_for_any_input(steps: list[tuple[float, float, int]], memory: float) -> None:
    """With clock jumps, waits of any length and bursts, the limit changes by a bounded part; shares are in [0, 1]."""
    limiter = Limiter([3.0, 1.0], 0.0)
    now = 0.0
    for span, wait, count in steps:
        now += span
        for caller in range(count):
            limiter.admits(caller % 2, caller, 1.0, wait, caller % 5 == 0)
        before = limiter.limit
        limiter.sample(now, Sample(memory=memory))
        assert limiter.limit >= MIN_LIMIT
        if before < inf and limiter.limit < inf:
            assert limiter.limit <= max(before * (1.0 + MAX_GROWTH), MIN_LIMIT, limiter._work_done) + 1e-6
            assert limiter.limit >= min(before * (1.0 - MAX_CUT) ** 2, before) - 1e-6
        for level in limiter._levels:
            assert len(level.share) == CALLER_BUCKETS and all(0.0 <= share <= 1.0 for share in level.share)


@given(st.lists(st.floats(0.0, 1e6), max_size=20), st.floats(0.0, 1e6))
def test_fair_share_gives_small_demands_in_full(wanted: list[float], total: float) -> None:
    each = fair_share(wanted, total)
    given_ = [min(want, each) for want in wanted]
    assert sum(given_) <= total * (1 + 1e-9) + 1e-6 or sum(wanted) <= total
    if sum(wanted) > total:
        assert sum(given_) >= total * (1 - 1e-9) - 1e-6
