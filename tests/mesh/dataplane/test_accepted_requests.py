"""Validation, counting and rejection of requests in the proxy, retry budgets, and failure records."""

from __future__ import annotations

import pytest
from simulatedproxy import SimulatedProxy, run_scenario

from lugspur.mesh.control.messages import ForwardResponse
from lugspur.mesh.control.reservation_client import Acquired
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.request_outcome import RequestOutcome


@pytest.mark.parametrize(
    ("target", "headers", "status"),
    [
        (b"/other/", {}, 404),
        (b"/r/1", {"host": "b.example"}, 404),
        (b"/r/1", {"lugspur_attempt_id": ""}, 400),
        (b"/r/1", {"lugspur_attempt_id": "a, b"}, 400),
        (b"/r/1", {"lugspur_deliver_by_ms": "soon"}, 400),
        (b"/r/1", {"lugspur_deliver_by_ms": "0"}, 504),
        (b"r/1", {}, 400),
        (b"/r/1", {"lugspur_attempt_id": "x" * 300}, 400),
    ],
)
def test_an_invalid_request_is_rejected_by_the_proxy(target: bytes, headers: dict[str, str], status: int) -> None:
    def scenario(rig: SimulatedProxy) -> None:
        caller = rig.ask(target, **headers)
        assert [answer[0] for answer in caller.answers] == [status] and not rig.sent

    run_scenario(scenario)


def test_retries_of_all_requests_stay_within_the_budget() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        rig.proxy.proxy_count = 2
        for _ in range(100):
            rig.ask()
            rig.reply(RequestOutcome.UNKNOWN)
            if rig.proxy.open_requests:
                rig.reply(RequestOutcome.UNKNOWN)
            for endpoint in rig.proxy.services["s"].values():
                endpoint.breakers.clear()  # This test is about the budget alone.
        retries = len(rig.sent) - 100
        # Half of the allowed budget is used, and this process has half of the slack.
        assert 10 <= retries <= 0.5 * (0.2 * 100 + 20.0 / 2) + 1

    run_scenario(scenario, max_attempts=2)


def test_retries_of_rejected_callers_are_spread_over_a_third_of_their_time() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        rig.unreachable = {f"10.0.0.{n}" for n in range(3)}
        retry_after = []
        for _ in range(50):
            caller = rig.ask(lugspur_deliver_by_ms="60000")
            assert caller.answers[0][0] == 503
            retry_after.append(float(caller.answers[0][1].split(b":")[1]))
        # The route's deadline is half a second; values are rounded.
        assert min(retry_after) >= 0.09 and max(retry_after) <= 0.168
        assert max(retry_after) - min(retry_after) > 0.03

    run_scenario(scenario)


def test_a_returning_caller_is_recognised_by_its_time_left() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        for milliseconds, was_rejected in (("500", False), ("499", False), ("400", True), ("500", False)):
            rig.ask(lugspur_deliver_by_ms=milliseconds)
            assert rig.sent[-1][1].was_rejected is was_rejected
        rig.proxy.table.find(b"a.example", b"/r/").longest_timeout = 0.0  # type: ignore[union-attr]
        rig.ask(lugspur_deliver_by_ms="300")
        assert not rig.sent[-1][1].was_rejected
        for _ in range(2000):  # All callers now give less time, so the longest timeout decays.
            rig.ask(lugspur_deliver_by_ms="200")
        assert not rig.sent[-1][1].was_rejected

    run_scenario(scenario)


def test_the_record_of_a_failure_lists_attempts_and_causes() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        rig.ask(lugspur_operation_key="k")
        rig.reservations[0][1](Acquired())
        _, forward, respond = rig.sent[0]
        respond(ForwardResponse(forward.number, RequestOutcome.NOT_RUN, None, False, 9, FailureCause.QUEUE_FULL))
        _, forward, respond = rig.sent[1]
        respond(ForwardResponse(forward.number, RequestOutcome.UNKNOWN, cause=FailureCause.LINK_LOST))
        [failed] = rig.proxy.failures.latest()
        assert (failed.attempt, failed.how, failed.route, failed.service) == ("t1", "maybe-ran", "r", "s")
        assert failed.keyed and failed.claim == "won" and failed.sends == 1 and failed.turned_away == 1
        assert failed.edition == 7 and failed.had_s == pytest.approx(0.5, abs=0.01)
        first, second = failed.steps
        assert (first.backend, first.how, first.cause) == (rig.sent[0][1].backend, "not_run", "no_room")
        assert (second.backend, second.how, second.cause) == (rig.sent[1][1].backend, "maybe", "link_lost")

    run_scenario(scenario, kind="tracked")


def test_disconnected_callers_and_unknown_routes_are_counted_and_kept() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        caller = rig.ask()
        assert caller.on_disconnect is not None
        caller.on_disconnect()
        rig.ask(b"/nowhere")
        disconnected, unrouted = rig.proxy.failures.latest()
        assert disconnected.how == "gone" and disconnected.waited_for == (rig.sent[0][1].backend,)
        assert unrouted.how == "no-route" and unrouted.attempt == "t1"
        assert rig.proxy.results == {"gone": 1, "no-route": 1}

    run_scenario(scenario)
