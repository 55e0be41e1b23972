"""Requests of callers with simulated backends: one answer to each, and no unsafe request sent twice without proof."""

from __future__ import annotations

import asyncio

import pytest
from simulatedproxy import BROKE, OK, SimulatedProxy, play

from lugspur.mesh.control.messages import ForwardResponse
from lugspur.mesh.control.reservation_client import (
    Acquired,
)
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.proxied_request import ProxiedRequest
from lugspur.mesh.dataplane.request_outcome import RequestOutcome


def test_own_headers_are_set_whatever_the_caller_sent_and_the_answer_is_returned() -> None:
    def what(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_sender="forged", lugspur_deliver_to="i-9", lugspur_deliver_by_ms="300", x_other="kept")
        [(ip, forward, _)] = rig.sent
        head = b"".join(forward.header_lines)
        assert head.count(b"Lugspur-Sender") == 1 and b"Lugspur-Sender: mine\r\n" in head
        assert b"Deliver-To" not in head and b"Deliver-By" not in head and b"X-Other: kept" in head
        assert b"Host: a.example\r\n" in head and b"Lugspur-Attempt-Id: t1\r\n" in head
        assert 0.25 < forward.seconds_left <= 0.3 and forward.backend == "i-" + ip[-1]
        rig.reply(RequestOutcome.ANSWERED, OK)
        assert caller.answers == [(200, OK.head, b"hi")] and not rig.proxy.open_requests

    play(what)


@pytest.mark.parametrize("kind", ["safe", "unsafe", "upload"])
def test_a_rejected_request_goes_to_another_backend_and_costs_no_attempt(kind: str) -> None:
    def what(rig: SimulatedProxy) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.NOT_RUN, sent=False)
        rig.reply(RequestOutcome.NOT_RUN, sent=False)
        assert len({ip for ip, _, _ in rig.sent}) == 3 and not caller.answers
        rig.reply(RequestOutcome.NOT_RUN, sent=False)
        [(status, head, _)] = caller.answers
        assert status == 503 and b"Retry-After: " in head  # at once, and when to come back

    play(what, kind=kind, tries=1, slack=0.0)


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

    def spent(rig: SimulatedProxy) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.UNKNOWN)
        assert len(rig.sent) == 1 and caller.answers[0][0] == 502  # it may have run: no promise

    for kind in ("unsafe", "upload"):
        play(unsafe, kind=kind, tries=3)
    play(safe)
    play(spent, slack=0.0)


def test_a_rejection_after_an_unknown_outcome_proves_nothing() -> None:
    def what(rig: SimulatedProxy) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.UNKNOWN)
        rig.reply(RequestOutcome.NOT_RUN)
        assert [answer[0] for answer in caller.answers] == [502]

    play(what)


def test_a_backends_failure_is_returned_if_no_attempt_succeeds() -> None:
    def what(rig: SimulatedProxy) -> None:
        caller = rig.ask()
        rig.reply(RequestOutcome.ANSWERED, BROKE)
        assert len(rig.sent) == 2
        rig.reply(RequestOutcome.ANSWERED, BROKE)
        assert caller.answers == [(500, BROKE.head, b"no")]

    play(what)


@pytest.mark.parametrize("kind", ["safe", "unsafe", "upload", "tracked"])
def test_an_answer_within_one_clock_tick_is_returned(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def what(rig: SimulatedProxy) -> None:
        now = rig.proxy.loop.time()
        monkeypatch.setattr(rig.proxy.loop, "time", lambda: now)  # as a loop does that counts milliseconds
        caller = rig.ask(lugspur_operation_key="k")
        if kind == "tracked":
            rig.claimed[0][1](Acquired())
        rig.reply(RequestOutcome.ANSWERED, OK)
        monkeypatch.undo()
        assert [answer[0] for answer in caller.answers] == [200]

    play(what, kind=kind)


def test_a_disconnected_callers_safe_request_is_cancelled_and_a_keyed_one_is_not() -> None:
    def what(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        if rig.claimed:
            rig.claimed[0][1](Acquired())
        assert caller.gone is not None
        caller.gone()
        assert rig.cancelled == ([] if rig.claimed else [0])
        assert rig.withdrawn == []

    play(what)
    play(what, kind="tracked")


@pytest.mark.parametrize("kind", ["unsafe", "upload"])
def test_a_disconnected_callers_unsafe_request_without_key_is_withdrawn(kind: str) -> None:
    def what(rig: SimulatedProxy) -> None:
        caller = rig.ask()
        assert caller.gone is not None
        caller.gone()
        assert (rig.cancelled, rig.withdrawn) == ([], [0])
        _, forward, respond = rig.sent[0]
        respond(ForwardResponse(forward.number, RequestOutcome.NOT_RUN, None, False, cause=FailureCause.CANCELLED))
        assert not caller.answers and len(rig.sent) == 1
        [endpoint] = [e for e in rig.proxy.services["s"].values() if e.id == forward.backend]
        assert endpoint.deprioritised_until == 0.0 and not endpoint.breaker("r").failure_ratio(rig.proxy.loop.time())

    play(what, kind=kind)


def test_a_hedged_request_goes_out_before_the_deadline_which_is_answered() -> None:
    async def what(rig: SimulatedProxy) -> None:
        way = rig.proxy.table.find(b"a.example", b"/r/1")
        assert way is not None
        way.average_latency = 0.02
        caller = rig.ask()
        while not caller.answers:
            await asyncio.sleep(0.01)
        assert caller.answers[0][0] == 504 and len(rig.sent) == 2 and len(rig.cancelled) == 2

    play(what)


def test_no_hedged_request_goes_out_once_all_attempts_are_spent() -> None:
    async def what(rig: SimulatedProxy) -> None:
        rig.ask()
        rig.reply(RequestOutcome.ANSWERED, OK)  # the route's pace is known from here on
        caller = rig.ask()
        rig.reply(RequestOutcome.ANSWERED, BROKE)  # the first try fails, and the second one is sent
        assert len(rig.sent) == 3
        [request] = rig.proxy.open_requests
        assert isinstance(request, ProxiedRequest)
        request._send_hedge()  # the copy that was set with the first try falls due while the second one is at work
        assert len(rig.sent) == 3 and not caller.answers

    play(what, slack=100.0)


def test_at_shutdown_callers_learn_whether_their_request_may_have_run() -> None:
    def under_way(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.claimed[0][1](Acquired())
        [proxied_request] = rig.proxy.open_requests
        proxied_request.abort()
        assert caller.answers[0][0] == 502 and not rig.released
        rig.reply(RequestOutcome.ANSWERED, OK)
        assert len(caller.answers) == 1

    def waits(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        [proxied_request] = rig.proxy.open_requests
        proxied_request.abort()
        assert caller.answers[0][0] == 503 and rig.released == [b"k"] and not rig.sent

    for case in (under_way, waits):
        play(case, kind="tracked")
