"""The guard's decisions on a core in virtual time: no sockets, no sleeps."""

from __future__ import annotations

from itertools import pairwise
from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from squeezed import Core

from lugspur.guard.limiter import (
    CUT_MOST,
    FIRST,
    GROWTH,
    LEAST,
    PLACES,
    REST,
    REST_MOST,
    SAY_EVERY,
    WINDOW,
    Limiter,
    Sample,
    fill,
)

CAN = 400.0


def steady(_: float) -> float:
    return CAN


@pytest.mark.parametrize("seed", range(4))
def test_at_nine_tenths_of_what_the_core_can_do_nobody_is_turned_away(seed: int) -> None:
    core = Core(steady, seed=seed)
    core.play(20.0, 0.9 * CAN)
    assert not core.turned and core.limiter.limit == inf


@pytest.mark.parametrize("seed", range(3))
def test_stops_of_the_process_at_half_load_turn_nobody_away(seed: int) -> None:
    core = Core(lambda now: 0.0 if now % 2.0 < 0.32 else CAN, seed=seed)
    core.play(12.0, 0.5 * CAN)
    assert not core.turned


@pytest.mark.parametrize("load", [1.5, 2.0, 3.0])
@pytest.mark.parametrize("seed", range(2))
def test_over_what_it_can_do_the_dearest_are_served_and_the_wait_stays_short(load: float, seed: int) -> None:
    core = Core(steady, seed=seed)
    core.play(3.0, load * CAN)
    core.let_in.clear()
    core.came.clear()
    core.play(5.0, load * CAN)
    assert core.let_in[0] >= 0.97 * core.came[0]
    assert core.let_in[2] < 0.6 * core.came[2]
    late = sorted(wait for at, wait in core.waits if at >= 3.0)
    assert late[len(late) // 2] < 0.05 and late[-1] < 0.41
    assert sum(core.let_in.values()) > 0.5 * (CAN - 0.2 * len([at for at in core.turned if at >= 3.0]) / 5.0) * 5.0


@pytest.mark.parametrize("load", [2.0, 4.0])
def test_the_limit_settles_and_does_not_swing(load: float) -> None:
    core = Core(steady)
    core.play(8.0, load * CAN)
    limits = core.since(4.0)
    assert max(limits) < inf and max(limits) <= 2.0 * min(limits)


@pytest.mark.parametrize("squeezed_to", [0.25, 0.4])
def test_two_seconds_after_relief_nobody_is_turned_away(squeezed_to: float) -> None:
    core = Core(lambda now: CAN * squeezed_to if now < 4.0 else CAN)
    core.play(4.0, 0.8 * CAN)
    assert core.turned
    core.play(4.0, 0.8 * CAN)
    assert max(core.turned) < 6.0 and core.limiter.limit == inf


def test_the_cheapest_go_first_and_one_caller_with_half_the_load_takes_no_other_along() -> None:
    core = Core(steady, mix=((3.0, 0.2), (1.0, 0.8)))
    turned: list[int] = []
    admits = core.limiter.admits

    def noted(kind: int, who: int, cost: float, wait: float, newcomer: bool = False) -> bool:
        let_in = admits(kind, who, cost, wait, newcomer)
        if core.now > 4.0 and not let_in:
            turned.append(who if kind else -1)
        return let_in

    core.limiter.admits = noted  # type: ignore[method-assign]
    core.play(8.0, 1.2 * CAN, lambda rng: 0 if rng.random() < 0.5 else 1 + rng.randrange(30))
    assert len(turned) > 100 and turned.count(0) > 0.7 * len(turned) and turned.count(-1) < 0.02 * len(turned)


def test_memory_that_runs_out_lets_in_less_though_nobody_waits() -> None:
    limiter = Limiter([1.0], 0.0)
    now = 0.0
    for step in range(40):
        for who in range(10):
            limiter.admits(0, who, 1.0, 0.0)
        now += WINDOW
        limiter.sample(now, Sample(memory=0.91 if step < 20 else 0.5))
        if step == 19:
            assert limiter.limit < 200.0 and limiter.turned
    for _ in range(40):
        now += WINDOW
        limiter.sample(now, Sample(memory=0.5))
    assert limiter.limit == inf


def test_no_cut_before_it_has_lasted_and_none_for_what_is_over() -> None:
    limiter = Limiter([1.0], 0.0)
    now = 0.0
    for wait in (0.3, 0.2, 0.1, 0.001) * 5:
        now += WINDOW
        limiter.admits(0, 1, 1.0, wait)
        limiter.sample(now, Sample(lag=wait))
    assert limiter.limit == inf
    for _ in range(int(FIRST / WINDOW) + 2):
        now += WINDOW
        limiter.admits(0, 1, 1.0, 0.1)
        limiter.sample(now, Sample())
    assert limiter.limit < inf


def test_newcomers_that_wait_to_be_accepted_count_though_all_others_are_served_at_once() -> None:
    limiter = Limiter([1.0], 0.0)
    now = 0.0
    for at in range(20):
        now += WINDOW
        limiter.admits(0, 1, 1.0, 0.0)
        if at % 3 == 0:  # not in every window
            limiter.admits(0, 2, 1.0, 0.5, newcomer=True)
        limiter.sample(now, Sample())
    assert limiter.limit < inf


def test_a_caller_that_was_turned_away_is_heard_later_the_more_so_where_its_like_is_turned_away_whole() -> None:
    core = Core(steady)
    core.play(4.0, 3.0 * CAN)
    assert core.limiter.rest(2) == REST_MOST and core.limiter.rest(0) == REST


def test_one_line_a_second_at_most_says_what_changes_and_why() -> None:
    limiter = Limiter([20.0, 1.0], 0.0)
    limiter.adopt([20.0, 1.0], ["booking-new", "rate-push"])
    lines, now = [], 0.0
    for _ in range(200):
        now += WINDOW
        for who in range(20):
            limiter.admits(who % 2, who, 1.0, 0.084)
        line = limiter.sample(now, Sample(starved=0.6, memory=0.87))
        if line:
            lines.append((now, line))
    assert lines[0][1].startswith(("turned away: rate-push", "let in in part: rate-push")), lines[0]
    assert "requests wait 84 ms, 60% of the CPU time that it wanted it did not get, memory at 87%" in lines[0][1]
    assert all(b[0] - a[0] >= SAY_EVERY for a, b in pairwise(lines))


def test_another_file_keeps_what_is_known_of_its_worths() -> None:
    core = Core(steady)
    core.play(4.0, 3.0 * CAN)
    core.limiter.adopt([1.0, 20.0, 5.0], ["push", "book", "new"])
    assert core.limiter.limit < inf and not any(core.limiter._of[0].share) and all(core.limiter._of[1].share)
    assert len(core.limiter._levels) == 3 and "push" in core.limiter.standing()


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.0, 1.0), st.floats(0.0, 2.0), st.integers(0, 40)), min_size=1, max_size=60),
    st.floats(0.0, 1.0),
)
def test_whatever_is_felt_changes_stay_bounded(steps: list[tuple[float, float, int]], memory: float) -> None:
    """A clock that leaps, waits of any length, bursts: the limit moves by a bounded part, and shares are parts."""
    limiter = Limiter([3.0, 1.0], 0.0)
    now = 0.0
    for span, wait, count in steps:
        now += span
        for who in range(count):
            limiter.admits(who % 2, who, 1.0, wait, who % 5 == 0)
        before = limiter.limit
        limiter.sample(now, Sample(memory=memory))
        assert limiter.limit >= LEAST
        if before < inf and limiter.limit < inf:
            assert limiter.limit <= max(before * (1.0 + GROWTH), LEAST, limiter._did) + 1e-6
            assert limiter.limit >= min(before * (1.0 - CUT_MOST) ** 2, before) - 1e-6
        for level in limiter._levels:
            assert len(level.share) == PLACES and all(0.0 <= share <= 1.0 for share in level.share)


@given(st.lists(st.floats(0.0, 1e6), max_size=20), st.floats(0.0, 1e6))
def test_who_wants_less_than_the_others_gets_it_all(wanted: list[float], total: float) -> None:
    each = fill(wanted, total)
    given_ = [min(want, each) for want in wanted]
    assert sum(given_) <= total * (1 + 1e-9) + 1e-6 or sum(wanted) <= total
    if sum(wanted) > total:
        assert sum(given_) >= total * (1 - 1e-9) - 1e-6
