"""Many instances together: each acts on its own observations, and the servers get the sum of their requests."""

from __future__ import annotations

from dataclasses import replace

from lugspur.load_balancing import Balancer, ListUpdateKind, Outcome, Send, ServerRow, Settings
from lugspur.load_balancing.model import Limits, RequestClass, RetrySafety

UNSAFE = Settings(
    classes=(RequestClass(latency_target=0.4, deadline=1.0, retry_safety=RetrySafety.UNSAFE),),
    tier=1,
    tier_count=2,
    limits=Limits(allows_cancel=True, max_attempts=5),
)


def fleet(count: int, servers: int, seed: int) -> list[Balancer]:
    made = []
    for me in range(count):
        balancer = Balancer(replace(UNSAFE, instance_count=count, instance_index=me), seed * 1000 + me)
        balancer.update_servers(0.0, ListUpdateKind.STALE, [ServerRow(n) for n in range(servers)])
        made.append(balancer)
    return made


def ask(balancer: Balancer, now: float, rid: str, dead: frozenset[int], ends: list[tuple[float, str, int]]) -> int:
    """Send a request; return the number of failed connection attempts. If it is served it ends 0.3 s later."""
    vain, actions = 0, balancer.request(now, rid, deadline=now + 1.0)
    while actions and isinstance(actions[0], Send):
        if actions[0].server not in dead:
            ends.append((now + 0.3, rid, vain))
            return vain
        actions = balancer.finish_attempt(now, rid, vain, Outcome.UNREACHABLE, 0.0)
        vain += 1
    return vain


def serve(balancer: Balancer, now: float, ends: list[tuple[float, str, int]]) -> int:
    served = 0
    while ends and ends[0][0] <= now:
        at, rid, number = ends.pop(0)
        balancer.finish_attempt(at, rid, number, Outcome.OK, 0.3, is_final=True)
        served += 1
    return served


def test_dead_server_that_is_still_listed_costs_few_connection_attempts() -> None:
    for count in (4, 40):
        instances, dead = fleet(count, count, 1), frozenset({count // 2})
        open_: list[list[tuple[float, str, int]]] = [[] for _ in instances]
        vain = served = asked = 0
        for step in range(800):  # 20 s, the last eight with a dead server; each instance sends eight requests a second
            now = 1.0 + step / 40.0
            for me, balancer in enumerate(instances):
                served += serve(balancer, now, open_[me])
                if (step + me) % 5 == 0:
                    vain += ask(balancer, now, f"{step}", dead if step >= 480 else frozenset(), open_[me])
                    asked += step >= 480
        assert served + sum(map(len, open_)) == 160 * count  # no request was rejected
        # The dead server looks idle, so all instances would return to it whenever the other servers are busy.
        assert vain <= 0.01 * asked + 15, (count, vain, asked)


def test_servers_are_attempted_where_all_are_down() -> None:
    [balancer] = fleet(1, 2, 3)
    for n in range(3):
        assert ask(balancer, 1.0 + n * 0.01, f"d{n}", frozenset({0, 1}), [])
    ends: list[tuple[float, str, int]] = []
    assert ask(balancer, 1.1, "up", frozenset(), ends) == 0 and ends


def test_timeout_of_an_attempt_older_than_the_ejection_does_not_end_it() -> None:
    [balancer] = fleet(1, 1, 4)
    for rid in ("hangs", "dials"):
        balancer.request(1.0, rid, deadline=2.0)
    balancer.finish_attempt(1.1, "dials", 0, Outcome.UNREACHABLE, 0.1)
    [server] = balancer.table.servers.values()
    until = server.ejected_until
    assert until > 1.1
    balancer.finish_attempt(1.2, "hangs", 0, Outcome.TIMEOUT, 0.2)
    assert server.ejected_until == until
    balancer.request(1.3, "answered", deadline=2.0)
    balancer.finish_attempt(1.4, "answered", 0, Outcome.OK, 0.1, is_final=True)
    assert server.ejected_until == 0.0


def test_restarted_server_is_used_again_at_once() -> None:
    [balancer] = fleet(1, 2, 5)
    seen, ends = set(), list[tuple[float, str, int]]()
    for n in range(200):
        serve(balancer, 101.0 + n * 0.05, ends)
        ask(balancer, 101.0 + n * 0.05, f"d{n}", frozenset({0}), ends)
    now = 112.0
    serve(balancer, now, ends)
    balancer.update_servers(
        now, ListUpdateKind.PATCH, [ServerRow(0, started_at=now - 50.0)]
    )  # another process, warm already
    for n in range(20):
        actions = balancer.request(now, f"u{n}", deadline=now + 1.0)
        assert isinstance(actions[0], Send)
        seen.add(actions[0].server)
        balancer.finish_attempt(now, f"u{n}", 0, Outcome.OK, 0.3, is_final=True)
    assert seen == {0, 1}


FRONT = replace(UNSAFE, tier=0, tier_count=1)


def burst(balancers: int, servers: int, size: int) -> tuple[int, int]:
    """Send `size` requests at once to each instance, after one a second; return those one admits, and all admit."""
    taken = []
    for me in range(balancers):
        balancer = Balancer(replace(FRONT, instance_count=balancers, instance_index=me), me)
        balancer.update_servers(0.0, ListUpdateKind.STALE, [ServerRow(n) for n in range(servers)])
        for n in range(8):
            balancer.request(1.0 + n, f"w{n}", deadline=2.0 + n)
            balancer.finish_attempt(1.1 + n, f"w{n}", 0, Outcome.OK, 0.1, is_final=True)
        sent = [balancer.request(9.0, f"b{n}", deadline=10.0) for n in range(size)]
        taken.append(sum(isinstance(actions[0], Send) for actions in sent))
    return taken[0], sum(taken)


def test_burst_within_the_tiers_capacity_is_no_overload_at_sparse_traffic() -> None:
    assert burst(7, 14, 7)[0] == 5  # its part is two servers; three are admitted whatever the capacity
    assert burst(40, 10, 7)[0] == 3


def test_total_admitted_at_once_is_linear_in_proxies_and_servers() -> None:
    for balancers in (4, 40, 400):
        _, together = burst(balancers, 60, 60)
        assert together <= 4 * balancers + 2 * 60, (balancers, together)
