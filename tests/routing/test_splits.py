"""Weighted splits, fallback between pools, and shared limits."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugspur.routing.pool_health import UNREACHABLE_SECONDS, PoolHealth, pools_to_attempt
from lugspur.routing.shares import SharedLimit, guaranteed_parts
from lugspur.routing.splits import order_at_random, order_by_key

KEYS = [f"guest-{n}".encode() for n in range(100_000)]


def shares(targets: list[tuple[str, float]]) -> dict[str, float]:
    """Return the part of all keys that each pool gets."""
    count = Counter(order_by_key(targets, key)[0] for key in KEYS)
    return {name: count[name] / len(KEYS) for name, _ in targets}


def test_shares_match_the_weights_within_one_percentage_point() -> None:
    targets = [("old", 70.0), ("new", 20.0), ("canary", 10.0)]
    for name, part in shares(targets).items():
        assert abs(part - dict(targets)[name] / 100.0) < 0.01
    rng = Random(5)
    drawn = Counter(order_at_random(targets, rng)[0] for _ in range(100_000))
    assert all(abs(drawn[name] / 100_000 - weight / 100.0) < 0.01 for name, weight in targets)


def test_changed_weight_moves_no_more_keys_than_necessary() -> None:
    before = {key: order_by_key([("old", 90.0), ("new", 10.0)], key)[0] for key in KEYS}
    after = {key: order_by_key([("new", 20.0), ("old", 80.0)], key)[0] for key in KEYS}
    moved = [key for key in KEYS if before[key] != after[key]]
    assert len(moved) / len(KEYS) <= 0.11 and all(after[key] == "new" for key in moved)


@given(
    st.lists(st.floats(0.0, 100.0), min_size=2, max_size=5),
    st.integers(0, 4),
    st.floats(0.0, 100.0),
    st.binary(max_size=20),
)
def test_changed_weight_moves_keys_only_to_or_from_its_pool(
    weights: list[float], index: int, weight: float, key: bytes
) -> None:
    index %= len(weights)
    names = [f"p{n}" for n in range(len(weights))]
    before = order_by_key(list(zip(names, weights, strict=True)), key)
    weights[index] = weight
    after = order_by_key(list(zip(names, weights, strict=True)), key)
    assert [n for n in before if n != names[index]] == [n for n in after if n != names[index]]


def test_pool_of_weight_zero_gets_no_request() -> None:
    assert order_by_key([("a", 0.0), ("b", 1.0)], b"k") == ["b"]
    assert order_at_random([("a", 0.0)], Random(1)) == []


def health_of(up: set[int], unreachable: set[int], now: float) -> PoolHealth:
    one = PoolHealth()
    one.set_backends(up)
    for server in unreachable:
        one.mark_unreachable(now, server)
    return one


def test_pool_without_backends_is_passed_over_until_it_recovers() -> None:
    pools = {"a": health_of(set(), set(), 0.0), "b": health_of({1, 2}, {1, 2}, 10.0), "c": health_of({3}, set(), 0.0)}
    assert pools_to_attempt(["a", "b"], ["c"], pools, 10.5) == ["c"]
    pools["b"].mark_reachable(2)
    assert pools_to_attempt(["a", "b"], ["c"], pools, 10.5) == ["b", "c"]
    pools["a"].set_backends({9})
    assert pools_to_attempt(["a", "b"], ["c"], pools, 10.5) == ["a", "b", "c"]


def test_one_pool_is_attempted_where_all_are_unreachable_and_none_without_backends() -> None:
    pools = {"a": health_of(set(), set(), 0.0), "b": health_of({1}, {1}, 10.0), "c": health_of({3}, {3}, 10.0)}
    assert pools_to_attempt(["a", "b"], ["c"], pools, 10.5) == ["b"]
    assert pools_to_attempt(["a"], [], pools, 10.5) == []
    assert pools_to_attempt(["b"], ["c"], pools, 10.0 + UNREACHABLE_SECONDS) == ["b", "c"]


def test_backend_that_left_the_list_is_forgotten() -> None:
    one = health_of({1, 2}, {1, 2}, 0.0)
    one.set_backends({2, 3})
    assert one.is_usable(0.1)
    one.mark_unreachable(0.2, 7)  # not listed any more
    one.mark_unreachable(0.2, 3)
    assert not one.is_usable(0.3)


@given(st.integers(1, 40), st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=80))
def test_guaranteed_part_is_available_whatever_other_users_hold(total: int, steps: list[tuple[str, bool]]) -> None:
    parts = guaranteed_parts(total, {"a": 1.0, "b": 2.0})
    shares, held = SharedLimit(total, parts), Counter[str]()
    for name, takes in steps:
        if takes and shares.can_acquire(name):
            shares.acquire(name)
            held[name] += 1
        elif not takes and held[name]:
            shares.release(name)
            held[name] -= 1
        assert sum(held.values()) <= total
        for user, part in parts.items():
            assert shares.held_by(user) == held[user]
            assert held[user] >= part or shares.can_acquire(user, part - held[user])


def test_parts_may_change_while_they_are_in_use() -> None:
    shares = SharedLimit(10, {"a": 5})
    shares.acquire("a", 5)
    shares.set_parts(10, {"b": 5})
    assert not shares.can_acquire("a") and shares.can_acquire("b", 5)
    shares.release("a", 5)
    assert shares.can_acquire("a", 5) and not shares.can_acquire("a", 6) and shares.held_by("a") == 0
    with pytest.raises(ValueError):
        shares.set_parts(3, {"a": 4})
