"""Requests of callers with simulated backends: each gets one response, and no unsafe one is retried without proof."""

from __future__ import annotations

import asyncio

import pytest
from simulatedproxy import OK, SERVER_ERROR, SimulatedProxy, run_scenario

from lugspur.mesh.control.messages import ForwardResponse
from lugspur.mesh.control.reservation_client import Acquired
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.proxied_request import ProxiedRequest
from lugspur.mesh.dataplane.request_outcome import RequestOutcome


def test_proxy_headers_replace_those_of_the_caller_and_the_response_is_returned() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_sender="forged", lugspur_deliver_to="i-9", lugspur_deliver_by_ms="300", x_other="kept")
        [(ip, forward, _)] = rig.sent
        head = b"".join(forward.header_lines)
        assert head.count(b"Lugspur-Sender") == 1 and b"Lugspur-Sender: mine\r\n" in head
        assert b"Deliver-To" not in head and b"Deliver-By" not in head and b"X-Other: kept" in head
        assert b"Host: a.example\r\n" in head and b"Lugspur-Attempt-Id: t1\r\n" in head
        assert 0.25 < forward.seconds_left <= 0.3 and forward.backend == "i-" + ip[-1]
        rig.reply(RequestOutcome.ANSWERED, OK)
        assert caller.answers == [(200, OK.head, b"hi")] and not rig.proxy.open_requests

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["safe", "unsafe", "upload"])
def test_a_rejected_request_goes_to_another_backend_and_costs_no_attempt(kind: str) -> None:
    def scenario(rig: SimulatedProxy) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.NOT_RUN, was_sent=False)
        rig.reply(RequestOutcome.NOT_RUN, was_sent=False)
        assert len({ip for ip, _, _ in rig.sent}) == 3 and not caller.answers
        rig.reply(RequestOutcome.NOT_RUN, was_sent=False)
        [(status, head, _)] = caller.answers
        assert status == 503 and b"Retry-After: " in head  # The rejection is immediate and says when to retry.

    run_scenario(scenario, kind=kind, max_attempts=1, slack=0.0)


def test_a_request_that_may_have_run_is_retried_only_if_safe_and_within_the_budget() -> None:
    def unsafe(rig: SimulatedProxy) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.UNKNOWN)
        assert [answer[0] for answer in caller.answers] == [502] and len(rig.sent) == 1

    def safe(rig: SimulatedProxy) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.INVALID_RESPONSE)
        assert len(rig.sent) == 2 and not caller.answers
        rig.reply(RequestOutcome.ANSWERED, OK)
        assert caller.answers[0][0] == 200

    def budget_exhausted(rig: SimulatedProxy) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.UNKNOWN)
        assert len(rig.sent) == 1 and caller.answers[0][0] == 502  # The request may have run.

    for kind in ("unsafe", "upload"):
        run_scenario(unsafe, kind=kind, max_attempts=3)
    run_scenario(safe)
    run_scenario(budget_exhausted, slack=0.0)


def test_a_rejection_after_an_unknown_outcome_proves_nothing() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.UNKNOWN)
        rig.reply(RequestOutcome.NOT_RUN)
        assert [answer[0] for answer in caller.answers] == [502]

    run_scenario(scenario)


def test_a_backends_failure_is_returned_if_no_attempt_succeeds() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.ANSWERED, SERVER_ERROR)
        assert len(rig.sent) == 2
        rig.reply(RequestOutcome.ANSWERED, SERVER_ERROR)
        assert caller.answers == [(500, SERVER_ERROR.head, b"no")]

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["safe", "unsafe", "upload", "tracked"])
def test_a_response_within_one_clock_tick_is_returned(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(rig: SimulatedProxy) -> None:
        now = rig.proxy.loop.time()
        # An event loop clock may have a resolution of milliseconds.
        monkeypatch.setattr(rig.proxy.loop, "time", lambda: now)
        caller = rig.ask(lugspur_operation_key="k")
        if kind == "tracked":
            rig.reservations[0][1](Acquired())
        rig.reply(RequestOutcome.ANSWERED, OK)
        monkeypatch.undo()
        assert [answer[0] for answer in caller.answers] == [200]

    run_scenario(scenario, kind=kind)


def test_a_disconnected_callers_safe_request_is_cancelled_and_a_keyed_one_is_not() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        if rig.reservations:
            rig.reservations[0][1](Acquired())
        assert caller.on_disconnect is not None
        caller.on_disconnect()
        assert rig.cancelled == ([] if rig.reservations else [0])
        assert rig.withdrawn == []

    run_scenario(scenario)
    run_scenario(scenario, kind="tracked")


@pytest.mark.parametrize("kind", ["unsafe", "upload"])
def test_a_disconnected_callers_unsafe_request_without_key_is_withdrawn(kind: str) -> None:
    def scenario(rig: SimulatedProxy) -> None:
        caller = rig.ask()
        assert caller.on_disconnect is not None
        caller.on_disconnect()
        assert (rig.cancelled, rig.withdrawn) == ([], [0])
        _, forward, respond = rig.sent[0]
        respond(ForwardResponse(forward.number, RequestOutcome.NOT_RUN, None, False, cause=FailureCause.CANCELLED))
        assert not caller.answers and len(rig.sent) == 1
        [endpoint] = [e for e in rig.proxy.services["s"].values() if e.id == forward.backend]
        assert endpoint.deprioritised_until == 0.0 and not endpoint.breaker("r").failure_ratio(rig.proxy.loop.time())

    run_scenario(scenario, kind=kind)


def test_a_slow_request_is_hedged_and_gets_a_timeout_response_at_its_deadline() -> None:
    async def scenario(rig: SimulatedProxy) -> None:
        entry = rig.proxy.table.find(b"a.example", b"/r/1")
        assert entry is not None
        entry.average_latency = 0.02
        caller = rig.ask()
        while not caller.answers:
            await asyncio.sleep(0.01)
        assert caller.answers[0][0] == 504 and len(rig.sent) == 2 and len(rig.cancelled) == 2

    run_scenario(scenario)


def test_no_hedged_request_is_sent_once_all_attempts_are_used() -> None:
    async def scenario(rig: SimulatedProxy) -> None:
        rig.ask()
        rig.reply(RequestOutcome.ANSWERED, OK)  # The average latency of the route is known from now on.
        caller = rig.ask()
        rig.reply(RequestOutcome.ANSWERED, SERVER_ERROR)  # The first attempt fails, and a second one is sent.
        assert len(rig.sent) == 3
        [request] = rig.proxy.open_requests
        assert isinstance(request, ProxiedRequest)
        request._send_hedge()  # The timer of the first attempt fires while the second attempt is in flight.
        assert len(rig.sent) == 3 and not caller.answers

    run_scenario(scenario, slack=100.0)


def test_at_shutdown_callers_learn_whether_their_request_may_have_run() -> None:
    def in_flight(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.reservations[0][1](Acquired())
        [proxied_request] = rig.proxy.open_requests
        proxied_request.abort()
        assert caller.answers[0][0] == 502 and not rig.released
        rig.reply(RequestOutcome.ANSWERED, OK)
        assert len(caller.answers) == 1

    def waiting(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        [proxied_request] = rig.proxy.open_requests
        proxied_request.abort()
        assert caller.answers[0][0] == 503 and rig.released == [b"k"] and not rig.sent

    for case in (in_flight, waiting):
        run_scenario(case, kind="tracked")
