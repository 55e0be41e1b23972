"""Regression tests: one for each failure found."""

from __future__ import annotations

from random import Random

import pytest
from rule_checker import RuleChecker

from lugspur.load_balancing.balancer import Balancer
from lugspur.load_balancing.model import (
    Fail,
    Limits,
    ListUpdateKind,
    Outcome,
    Reject,
    RequestClass,
    RetrySafety,
    Rules,
    Send,
    ServerRow,
    ServerState,
    Settings,
    Tenant,
)

SAFE = RequestClass("a", latency_target=1.0, deadline=4.0, retry_safety=RetrySafety.SAFE, value=1.0)
VALUABLE = RequestClass("b", latency_target=1.0, deadline=4.0, retry_safety=RetrySafety.UNSAFE, value=10.0)
ROWS = [ServerRow(i) for i in range(1, 9)]


def balancer(settings: Settings, rows: list[ServerRow] = ROWS) -> Balancer:
    made = Balancer(settings, 1)
    made.update_servers(100.0, ListUpdateKind.STALE, rows)
    made.start(100.0)
    return made


def test_attempts_end_at_the_latency_target_where_late_responses_have_no_value() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    [send] = b.request(100.0, "r", 0, 0, 104.0)
    assert isinstance(send, Send) and send.timeout == pytest.approx(0.98)
    [action] = b.finish_attempt(100.98, "r", 0, Outcome.TIMEOUT, 0.98)
    assert isinstance(action, Reject)


@pytest.mark.parametrize(("late_value", "timeout"), [(0.0, 0.98), (0.3, 0.98), (0.5, 0.98), (0.8, 0.0)])
def test_attempts_run_to_the_deadline_where_late_responses_keep_most_value(late_value: float, timeout: float) -> None:
    late = RequestClass("a", latency_target=1.0, deadline=4.0, retry_safety=RetrySafety.SAFE, late_value=late_value)
    [send] = balancer(Settings(classes=(late,))).request(100.0, "r", 0, 0, 104.0)
    assert isinstance(send, Send) and send.timeout == pytest.approx(timeout)


def first_actions(b: Balancer, lengths: list[float]) -> list[type]:
    """Return the type of the first action for requests with that much time, a second apart."""
    out = []
    for n, length in enumerate(lengths):
        now = 200.0 + n
        out.append(type(b.request(now, f"t{n}", 0, 0, now + length)[0]))
        b.finish_attempt(now + 0.01, f"t{n}", 0, Outcome.OK, 0.01, True)
    return out


def test_late_retry_of_a_client_is_rejected_at_once() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    # With 2 s left the client's first attempt was 2 s ago, and its latency target has passed.
    assert first_actions(b, [3.0] * 5 + [2.0]) == [Send] * 5 + [Reject]


@pytest.mark.parametrize(("clients_mark", "is_marked", "action"), [(True, False, Send), (True, True, Reject)])
def test_short_attempt_counts_as_a_retry_unless_clients_mark_retries(
    clients_mark: bool, is_marked: bool, action: type
) -> None:
    b = balancer(Settings(classes=(SAFE,), clients_mark_retries=clients_mark))
    first_actions(b, [3.0] * 5)
    assert isinstance(b.request(300.0, "s", 0, 0, 301.5, 0.0, is_marked)[0], action)


def test_longer_retries_do_not_make_first_attempts_late() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    assert first_actions(b, [3.0] * 5 + [3.7, 3.0, 3.72, 3.0, 3.74, 3.0])[5:] == [Send] * 6


def test_lower_tier_keeps_to_the_deadline_that_callers_pass() -> None:
    b = balancer(Settings(classes=(SAFE,), tier=1, tier_count=2))
    assert isinstance(b.request(100.0, "r", 0, 0, 103.0)[0], Send)
    [send] = b.request(110.0, "s", 0, 0, 110.5)
    assert isinstance(send, Send) and send.timeout == 0.0


def subset_shares(balancers: int, servers: int) -> list[float]:
    """Return the part of the load that each server gets if every instance sends the same number of requests."""
    shares = dict.fromkeys(range(1, servers + 1), 0.0)
    for me in range(balancers):
        b = Balancer(Settings(classes=(SAFE,), instance_count=balancers, instance_index=me), me)
        b.update_servers(100.0, ListUpdateKind.STALE, [ServerRow(i) for i in shares])
        begin, width = b.table.pools[0].subset_begin, b.table.pools[0].subset_width
        for server, end in zip(b.table.pools[0].subset, b.table.pools[0].subset_ends, strict=True):
            low = max(begin, end - 1.0)
            shares[server.row.server] += max(0.0, min(begin + width, end) - low) / width
    return list(shares.values())


@pytest.mark.parametrize(("balancers", "servers"), [(12, 20), (20, 12), (7, 7), (60, 15), (1, 5)])
def test_subsets_cover_all_servers_equally(balancers: int, servers: int) -> None:
    shares = subset_shares(balancers, servers)
    if balancers >= servers:
        assert shares == pytest.approx([balancers / servers] * servers)
    else:  # narrow subsets leave gaps, which close as load widens them
        assert sum(shares) == pytest.approx(balancers) and max(shares) <= 1.0 + 1e-9


def test_subsets_widen_with_the_requests_in_flight() -> None:
    settings = Settings(classes=(SAFE,), instance_count=40)
    checker = RuleChecker(settings, 1, [ServerRow(i) for i in range(40)])
    assert len(checker.balancer.table.pools[0].subset) == 1
    steady(checker, 8.0, 100.0)
    assert 3 < len(checker.balancer.table.pools[0].subset) < 40


def steady(checker: RuleChecker, seconds: float, rate: float, kind: int = 0) -> None:
    """Send requests at a constant rate, each served after about a third of a second."""
    rng = Random(7)
    end = checker.now + seconds
    while checker.now < end:
        checker.request(kind, 4.0)
        checker.advance(1.0 / rate)
        for rid, number in checker.open_attempts():
            if rng.random() < 3.0 / rate:
                checker.finish_attempt(rid, number, Outcome.OK)


def test_overload_rejects_the_least_valuable_class_first() -> None:
    b = balancer(Settings(classes=(SAFE, VALUABLE)))
    now = 100.0
    for n in range(400):  # 100 a second, each served at once
        now += 0.01
        b.request(now, f"w{n}", 1, 0, now + 4.0)
        b.finish_attempt(now, f"w{n}", 0, Outcome.OK, 0.1, True)
    rejected = {0: 0, 1: 0}
    for n in range(120):  # then no request ends any more
        now += 0.001
        for kind in (0, 1):
            if isinstance(b.request(now, f"x{kind}{n}", kind, 0, now + 4.0)[0], Reject):
                rejected[kind] += 1
        if n == 30:
            assert rejected[0] > 0 == rejected[1]
    assert rejected[1] > 0


def test_lower_tiers_never_reject_for_overload() -> None:
    b = balancer(Settings(classes=(SAFE, VALUABLE), tier=1, tier_count=2))
    actions = [b.request(100.0 + n / 1000, f"x{n}", 0, 0, 104.0)[0] for n in range(200)]
    assert all(isinstance(a, Send) for a in actions)


def test_start_without_served_requests_is_no_overload() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    actions = [b.request(100.0 + n / 100, f"x{n}", 0, 0, 110.0)[0] for n in range(30)]
    assert sum(isinstance(a, Send) for a in actions) >= 27


def test_proxy_with_sparse_traffic_rejects_after_failures() -> None:
    b = balancer(Settings(classes=(SAFE, VALUABLE)))
    now = 100.0
    for n in range(8):  # one request a second, all timing out
        now += 1.0
        if isinstance(b.request(now, f"r{n}", 1, 0, now + 4.0)[0], Send):
            b.finish_attempt(now + 0.98, f"r{n}", 0, Outcome.TIMEOUT, 0.98)
    actions = [b.request(now + 1.0, f"s{n}", 0, 0, now + 5.0)[0] for n in range(2)]
    later = b.request(now + 60.0, "t", 0, 0, now + 64.0)[0]
    assert any(isinstance(a, Reject) for a in actions)
    assert isinstance(later, Send), "a failure long ago still counts"


def test_backlog_of_a_bound_class_does_not_block_other_classes() -> None:
    bound = RequestClass(
        "bound", latency_target=1.0, deadline=4.0, retry_safety=RetrySafety.SAFE, allowed_host_types=(1,)
    )
    b = balancer(Settings(classes=(SAFE, bound)), [*ROWS, ServerRow(9, host_type=1)])
    now = 100.0
    for n in range(100):  # the only server open to the bound class never responds
        now += 0.02
        b.request(now, f"b{n}", 1, 0, now + 4.0)
        b.request(now, f"f{n}", 0, 0, now + 4.0)
        b.finish_attempt(now, f"f{n}", 0, Outcome.OK, 0.1, True)
    assert isinstance(b.request(now, "bound", 1, 0, now + 4.0)[0], Reject)
    assert isinstance(b.request(now, "free", 0, 0, now + 4.0)[0], Send)


def send_requests(b: Balancer, tenant: int, fifth_outcome: Outcome) -> float:
    """Send 50 requests a second for 8 s, one in five of which has that outcome; return the time after them."""
    now = 100.0
    for n in range(400):
        now += 0.02
        b.request(now, f"w{n}", 0, tenant, now + 4.0)
        b.finish_attempt(now, f"w{n}", 0, Outcome.OK if n % 5 else fifth_outcome, 0.1)
    return now


@pytest.mark.parametrize(
    ("fifth_outcome", "action"), [(Outcome.OK, Send), (Outcome.ERROR, Send), (Outcome.TIMEOUT, Reject)]
)
def test_fewer_requests_are_admitted_where_load_makes_requests_fail(fifth_outcome: Outcome, action: type) -> None:
    b = balancer(Settings(classes=(VALUABLE,)))
    now = send_requests(b, 0, fifth_outcome)
    for n in range(27):  # admits 0.7 x 50 pending, or 0.4 x 40
        b.request(now, f"x{n}", 0, 0, now + 4.0)
    assert isinstance(b.request(now, "y", 0, 0, now + 4.0)[0], action)


@pytest.mark.parametrize(("quota", "action"), [(1.0, Reject), (1000.0, Send), (0.0, Send)])
def test_requests_over_quota_are_rejected_first_where_requests_fail(quota: float, action: type) -> None:
    tenants = (Tenant("calm", 0.5, 1000.0), Tenant("burst", 0.5, quota))
    b = balancer(Settings(classes=(VALUABLE,), tenants=tenants, over_quota_value=0.1))
    now = send_requests(b, 1, Outcome.TIMEOUT)
    for n in range(10):
        b.request(now, f"x{n}", 0, 0, now + 4.0)
    assert isinstance(b.request(now, "over", 0, 1, now + 4.0)[0], action)
    assert isinstance(b.request(now, "within", 0, 0, now + 4.0)[0], Send)


@pytest.mark.parametrize("protection", [1.0, 1000.0])
def test_whole_requests_are_throttled_where_each_server_gets_few(
    protection: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("lugspur.load_balancing.admission.POOL_PROTECTION", protection)
    b = balancer(Settings(classes=(SAFE,), instance_count=40), [ServerRow(i) for i in range(40)])
    sent = 0
    for n in range(20):  # four a second, each to another server, none served
        now = 100.0 + n / 4.0
        actions = b.request(now, f"r{n}", 0, 0, now + 4.0)
        if isinstance(actions[0], Send):
            sent += 1
            b.finish_attempt(now + 0.2, f"r{n}", 0, Outcome.TIMEOUT, 0.2)
            b.cancel_request(now + 0.2, f"r{n}")
        for server in b.table.servers.values():
            server.breaker = None  # as if the server had got no request before
    assert (sent < 14) is (protection == 1.0)


def test_request_too_heavy_for_its_deadline_is_rejected() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    now = 100.0
    for n in range(50):
        now += 1.0
        b.request(now, f"r{n}", 0, 0, now + 4.0, 0.1)
        b.finish_attempt(now + 0.2, f"r{n}", 0, Outcome.OK, 0.2, True)
    assert isinstance(b.request(now + 1.0, "heavy", 0, 0, now + 5.0, 5.0)[0], Reject)
    assert isinstance(b.request(now + 1.0, "light", 0, 0, now + 5.0, 0.1)[0], Send)


def test_slow_first_samples_do_not_reject() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    for n in range(3):  # 90 times their cost, as they waited in a queue
        b.request(100.0 + n, f"r{n}", 0, 0, 104.0 + n, 0.01)
        b.finish_attempt(100.9 + n, f"r{n}", 0, Outcome.OK, 0.9, True)
    assert isinstance(b.request(110.0, "s", 0, 0, 114.0, 0.1)[0], Send)


def test_baseline_that_is_too_high_does_not_reject_for_ever() -> None:
    b = balancer(Settings(classes=(SAFE,)))
    b.costs.seconds_per_cost, b.costs.samples = 90.0, 100
    actions = [b.request(110.0 + n, f"s{n}", 0, 0, 114.0 + n, 0.1)[0] for n in range(60)]
    assert isinstance(actions[0], Reject)
    assert any(isinstance(a, Send) for a in actions)


def test_restart_resets_the_slow_start_credit() -> None:
    rules = Rules(slow_start_fraction=0.3, slow_start_seconds=9.0, overload_multiple=3.0, overload_seconds=2.0)
    b = balancer(Settings(classes=(SAFE,), rules=rules), [ServerRow(1, started_at=99.0), ServerRow(2)])
    server = b.table.servers[1]
    for _ in range(200):
        b.slow_start.skips(100.0, server, b.table.pools[0])
    assert server.slow_start_credited_at > 0.0
    b.update_servers(500.0, ListUpdateKind.PATCH, [ServerRow(1, started_at=499.0)])
    assert (server.slow_start_credited_at, server.slow_start_credit) == (0.0, 0.0)
    while server.slow_start_credited_at <= 0.0:
        b.slow_start.skips(500.0, server, b.table.pools[0])
    assert server.slow_start_credit < 1.0, "credit from before the restart"


def test_server_missing_from_a_list_keeps_start_time_and_weight() -> None:
    b = balancer(Settings(classes=(SAFE,)), [ServerRow(1, weight=2.0, started_at=99.0), ServerRow(2)])
    b.update_servers(101.0, ListUpdateKind.COMPLETE, [ServerRow(2)])
    assert b.table.servers[1].row == ServerRow(1, ServerState.GONE, weight=2.0, started_at=99.0)


def test_unsafe_request_that_may_have_run_fails_at_its_latency_target() -> None:
    b = balancer(Settings(classes=(VALUABLE,), limits=Limits(max_attempts=4)))
    b.request(100.0, "r", 0, 0, 104.0)
    assert b.finish_attempt(100.98, "r", 0, Outcome.TIMEOUT, 0.98) == [Fail("r")]


def test_other_servers_replace_a_dead_subset() -> None:
    rows = [ServerRow(i) for i in range(1, 21)]
    b = balancer(Settings(classes=(SAFE,), instance_count=20, limits=Limits(max_attempts=3)), rows)
    [own] = b.table.pools[0].subset
    for n in range(40):  # the only server of the subset cannot be reached
        now = 100.0 + n / 10
        sends = b.request(now, f"r{n}", 0, 0, now + 4.0)
        if isinstance(sends[0], Send) and sends[0].server == own.row.server:
            [again] = b.finish_attempt(now + 0.01, f"r{n}", 0, Outcome.UNREACHABLE, 0.01)
            assert not isinstance(again, Send) or again.server != own.row.server
            if isinstance(again, Send):
                b.finish_attempt(now + 0.02, f"r{n}", 1, Outcome.OK, 0.01, True)
        elif isinstance(sends[0], Send):
            b.finish_attempt(now + 0.02, f"r{n}", 0, Outcome.OK, 0.01, True)
    used = {s.row.server for s in b.table.servers.values() if s.breaker is not None}
    assert len(used) > 8


def test_requests_hung_on_dead_servers_do_not_block_admission() -> None:
    b = balancer(Settings(classes=(VALUABLE,)))
    now = 100.0
    for n in range(250):
        now += 0.02
        b.request(now, f"w{n}", 0, 0, now + 4.0)
        b.finish_attempt(now, f"w{n}", 0, Outcome.OK, 0.1, True)
    sent: dict[str, float] = {}
    for n in range(500):  # ten seconds in which every attempt times out
        now += 0.02
        for rid, until in list(sent.items()):
            if until <= now:
                del sent[rid]
                b.finish_attempt(now, rid, 0, Outcome.TIMEOUT, 0.98)
        if isinstance(b.request(now, f"x{n}", 0, 0, now + 4.0)[0], Send):
            sent[f"x{n}"] = now + 0.98
    admitted = sum(isinstance(b.request(now, f"y{n}", 0, 0, now + 4.0)[0], Send) for n in range(2))
    assert len(sent) + admitted > 2, "only the requests that are always admitted were sent"


def test_cold_servers_outside_the_subset_get_nothing_when_it_rejects() -> None:
    rows = [ServerRow(i) for i in range(1, 21)]
    b = balancer(Settings(classes=(SAFE,), instance_count=20), rows)
    [own] = b.table.pools[0].subset
    cold = [ServerRow(i, started_at=100.0) for i in range(1, 21) if i != own.row.server]
    b.update_servers(100.1, ListUpdateKind.PATCH, cold)
    assert b.table.pools[0].subset == [own]
    for n in range(60):
        now = 100.2 + n / 20
        for action in b.request(now, f"r{n}", 0, 0, now + 4.0):
            assert not isinstance(action, Send) or action.server == own.row.server
            if isinstance(action, Send):
                b.finish_attempt(now + 0.01, f"r{n}", 0, Outcome.UNREACHABLE, 0.01)


def test_retries_of_rejected_clients_do_not_raise_the_slow_start_credit() -> None:
    """The credit grows with attempts sent: four requests offered for each one sent must not make it grow fourfold."""
    rules = Rules(slow_start_fraction=0.3, slow_start_seconds=20.0, overload_multiple=3.0, overload_seconds=2.0)

    def credit(rejected: int) -> float:
        b = balancer(Settings(classes=(SAFE,), rules=rules))
        now = 100.0
        for n in range(400):
            now += 0.01
            if isinstance(b.request(now, f"w{n}", 0, 0, now + 4.0)[0], Send):
                b.finish_attempt(now, f"w{n}", 0, Outcome.OK, 0.1, True)
            for k in range(rejected):
                b.request(now, f"p{n}_{k}", 0, 0, now)
        b.update_servers(now, ListUpdateKind.PATCH, [ServerRow(1, started_at=now)])
        server = b.table.servers[1]
        while server.slow_start_credited_at <= 0.0:
            b.slow_start.skips(now, server, b.table.pools[0])
        server.slow_start_credit = 0.0
        for _ in range(300):
            b.slow_start.skips(now + 0.05, server, b.table.pools[0])
        return server.slow_start_credit

    # one server of eight is cold, and its part still counts by requests offered: 7/8 + 4/8
    assert 0.0 < credit(3) <= 1.4 * credit(0)


def test_latency_without_samples_drifts_to_the_tiers() -> None:
    server = balancer(Settings(classes=(SAFE,))).table.servers[1]
    server.observe_latency(100.0, 1.0)
    assert server.score(100.0, 0.1) == pytest.approx(1.0)
    assert server.score(105.0, 0.1) == pytest.approx(0.55)
    assert server.score(1000.0, 0.1) < 0.11


def test_age_of_the_oldest_open_attempt_is_a_sample() -> None:
    b = balancer(Settings(classes=(SAFE,)), [ServerRow(1)])
    b.request(100.0, "r", 0, 0, 104.0)
    assert b.table.servers[1].score(100.9, 0.1) == pytest.approx(0.9 * 2.0)


def test_failure_counts_as_a_timeout_in_the_latency() -> None:
    b = balancer(Settings(classes=(SAFE,)), [ServerRow(1)])
    b.request(100.0, "r", 0, 0, 104.0)
    b.finish_attempt(100.001, "r", 0, Outcome.ERROR, 0.001)
    assert b.table.servers[1].latency == pytest.approx(1.0)


def test_single_slow_response_makes_no_baseline() -> None:
    b = balancer(Settings(classes=(SAFE,)), [ServerRow(1)])
    b.table.tier_latency = 0.1
    b.request(100.0, "r", 0, 0, 104.0)
    b.finish_attempt(100.9, "r", 0, Outcome.OK, 0.9, True)
    breaker = b.table.servers[1].breaker
    assert breaker is not None and breaker.baseline_latency < 0.11


@pytest.mark.parametrize(("balancers", "taken"), [(2, 4), (3, 4), (80, 3)])
def test_burst_at_a_proxy_with_few_requests_is_no_overload(balancers: int, taken: int) -> None:
    settings = Settings(classes=(VALUABLE,), instance_count=balancers, zone_count=2, limits=Limits(allows_cancel=True))
    checker = RuleChecker(settings, 5, ROWS)
    for _ in range(8):
        rid = checker.request(0, 4.0)
        checker.advance(0.05)
        checker.finish_attempt(rid, 0, Outcome.OK)
        checker.advance(0.95)
    rids = [checker.request(0, 4.0) for _ in range(4)]
    assert sum(bool(checker.requests[rid].attempts) for rid in rids) == taken


@pytest.mark.parametrize("count", [2, 3, 5])
def test_retries_reach_every_remaining_server(count: int) -> None:
    # A safe read that fails at every server is sent to each of them once, whatever the random draws are.
    for seed in range(1000):
        b = Balancer(Settings(classes=(SAFE,), limits=Limits(max_attempts=5)), seed)
        b.update_servers(100.0, ListUpdateKind.STALE, ROWS[:count])
        b.start(100.0)
        met = set()
        actions = b.request(100.0, "r", 0, 0, 104.0)
        while isinstance(actions[0], Send):
            met.add(actions[0].server)
            actions = b.finish_attempt(100.0, "r", len(met) - 1, Outcome.ERROR, 0.001)
        assert met == {row.server for row in ROWS[:count]}, seed
