"""Requests that arrive in parts and responses that last long: they are no queue, and their server does not hang."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from lugspur.load_balancing import (
    Balancer,
    ListUpdateKind,
    Outcome,
    RequestClass,
    RetrySafety,
    Send,
    ServerRow,
    Settings,
)

SETTINGS = Settings(classes=(RequestClass("read", 0.4, 1.0, RetrySafety.SAFE),))
ROWS = [ServerRow(1), ServerRow(2)]


def balancer() -> Balancer:
    """Return a balancer that has seen both servers respond in 0.1 s."""
    made = Balancer(SETTINGS, 5)
    made.update_servers(0.0, ListUpdateKind.COMPLETE, ROWS)
    for number in range(40):
        now = number / 4.0
        for action in made.request(now, f"w{number}"):
            assert isinstance(action, Send)
            made.finish_attempt(now + 0.1, f"w{number}", 0, Outcome.OK, 0.1, True)
    return made


def shares(made: Balancer, now: float) -> dict[int, int]:
    """Return how many of the next requests, one after another, go to each server."""
    got = {1: 0, 2: 0}
    for number in range(60):
        for action in made.request(now + number, f"s{number}"):
            assert isinstance(action, Send)
            got[action.server] += 1
            made.finish_attempt(now + number + 0.1, f"s{number}", 0, Outcome.OK, 0.1, True)
    return got


def test_server_with_a_long_response_does_not_look_hung() -> None:
    made = balancer()
    [send] = made.request(20.0, "long")
    assert isinstance(send, Send)
    made.begin_response(20.1, "long", 0)
    assert (
        shares(made, 30.0)[send.server] >= 10
    )  # an attempt that hung for 10 s would keep all requests from the server
    made.finish_attempt(95.0, "long", 0, Outcome.OK, 0.1, True)
    assert not any(server.in_flight for server in made.table.servers.values())


def test_server_with_a_slow_upload_does_not_look_hung_until_it_is_complete() -> None:
    made = balancer()
    [send] = made.request(20.0, "slow", 0, 0, 21.0, 0.0, False, True)
    assert isinstance(send, Send)
    got = shares(made, 30.0)
    assert got[send.server] >= 10
    made.complete_body(95.0, "slow", 96.0)
    assert next(iter(made.table.servers[send.server].in_flight)).work_started_at == 95.0
    assert shares(made, 105.0)[send.server] == 0  # now the server looks hung


def test_slow_uploads_do_not_block_admission() -> None:
    made = balancer()
    for number in range(50):
        made.request(20.0 + number / 100.0, f"u{number}", 0, 0, 22.0, 0.0, False, True)
    assert made.table.pools[0].pending == 0
    assert any(isinstance(action, Send) for action in made.request(20.6, "next"))


@given(st.lists(st.tuples(st.sampled_from(["whole", "begun", "gone", "ok", "broken", "late"]), st.integers(0, 3))))
@settings(deadline=None)  # examples may be slow on a loaded machine
def test_pending_and_in_flight_counts_stay_consistent(steps: list[tuple[str, int]]) -> None:
    made, sent = balancer(), dict[str, int]()
    for number in range(4):
        for action in made.request(20.0, f"r{number}", 0, 0, 21.0, 0.0, False, number % 2 == 0):
            if isinstance(action, Send):
                sent[action.request] = sent.get(action.request, 0) + 1
    now = 20.1
    for what, number in steps:
        now += 0.01
        rid = f"r{number}"
        request = made.requests.get(rid)
        if what == "whole":
            actions = made.complete_body(now, rid, now + 1.0)
        elif what == "gone":
            actions = made.cancel_request(now, rid)
        elif request is None or not request.attempts or not request.attempts[-1].is_open:
            continue
        elif what == "begun":
            actions = made.begin_response(now, rid, len(request.attempts) - 1)
        else:
            how = {"ok": Outcome.OK, "broken": Outcome.INTERRUPTED, "late": Outcome.TIMEOUT}[what]
            actions = made.finish_attempt(now, rid, len(request.attempts) - 1, how, 0.1)
        del actions
        waiting = [r for r in made.requests.values() if not (r.is_finished or r.has_response_begun or r.is_incomplete)]
        assert made.table.pools[0].pending == len(waiting)
    for rid, request in list(made.requests.items()):
        made.cancel_request(now, rid)
        for number, attempt in enumerate(request.attempts):
            if attempt.is_open:
                made.finish_attempt(now, rid, number, Outcome.CANCELLED, 0.1)
    assert made.table.pools[0].pending == 0
    assert not made.requests
    assert not any(server.in_flight for server in made.table.servers.values())
