"""Reservations of idempotency keys: no keyed request runs without one, and only proof that nothing ran releases it."""

from __future__ import annotations

import asyncio

import pytest
from simulatedproxy import OK, Caller, SimulatedProxy, run_scenario

from lugspur.mesh.control.messages import ForwardResponse
from lugspur.mesh.control.reservation_client import (
    Acquired,
    AlreadyCompleted,
    ReservationOutcome,
    TakenByAnother,
    Undecided,
)
from lugspur.mesh.dataplane.failure_cause import FailureCause
from lugspur.mesh.dataplane.request_outcome import RequestOutcome


def test_reservation_ids_are_unique_over_requests_and_processes() -> None:
    names: list[bytes] = []

    def scenario(rig: SimulatedProxy) -> None:
        for _ in range(3):
            rig.ask(lugspur_operation_key="k")
        names.extend(rig.reservation_ids)
        rig.reservations[1][1](Acquired())
        [(_, forward, _)] = rig.sent
        assert (forward.key, forward.owner, forward.attempt_id) == (b"k", rig.reservation_ids[1], b"t1")

    run_scenario(scenario, kind="tracked")
    run_scenario(scenario, kind="tracked")  # Another process.
    assert len(names) == len(set(names)) == 6


def test_a_keyed_request_is_sent_only_once_its_key_is_reserved() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        [(key, on_outcome)] = rig.reservations
        assert key == b"k" and not rig.sent
        on_outcome(Acquired())
        assert rig.sent[0][1].key == b"k" and rig.sent[0][1].owner == rig.reservation_ids[0]
        rig.reply(RequestOutcome.ANSWERED, OK)
        assert caller.answers[0][0] == 200 and not rig.released

    run_scenario(scenario, kind="tracked")


@pytest.mark.parametrize(
    ("how", "status"),
    [(AlreadyCompleted(OK), 200), (TakenByAnother(True), 409), (TakenByAnother(False), 503), (Undecided(), 503)],
)
def test_a_repeated_keyed_request_gets_the_first_response_or_the_state_of_the_key(
    how: ReservationOutcome, status: int
) -> None:
    def scenario(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.reservations[0][1](how)
        assert caller.answers[0][0] == status and not rig.sent

    run_scenario(scenario, kind="tracked")


def test_a_key_is_released_only_with_proof_that_nothing_ran() -> None:
    def proven(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.reservations[0][1](Acquired())
        for _ in range(3):
            rig.reply(RequestOutcome.NOT_RUN, was_sent=False)
        assert caller.answers[0][0] == 503 and rig.released == [b"k"]

    def unknown(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.reservations[0][1](Acquired())
        rig.reply(RequestOutcome.NOT_RUN, was_sent=False)
        rig.reply(RequestOutcome.UNKNOWN)
        assert caller.answers[0][0] == 502 and not rig.released

    def disconnected(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        assert caller.on_disconnect is not None
        caller.on_disconnect()
        assert rig.released == [b"k"]
        rig.reservations[0][1](Acquired())  # The reservation is granted after it was abandoned.
        assert rig.released == [b"k", b"k"] and not rig.sent

    for case in (proven, unknown, disconnected):
        run_scenario(case, kind="tracked")


def test_an_unused_key_is_released_also_after_the_caller_has_disconnected() -> None:
    def disconnected(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.reservations[0][1](Acquired())
        assert caller.on_disconnect is not None
        caller.on_disconnect()
        assert not rig.released  # The request may still run.
        rig.reply(RequestOutcome.NOT_RUN, was_sent=False)
        assert rig.released == [b"k"] and len(rig.sent) == 1

    async def late(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.reservations[0][1](Acquired())
        while not caller.answers:
            await asyncio.sleep(0.01)
        assert caller.answers[0][0] == 504 and not rig.released
        rig.reply(RequestOutcome.NOT_RUN, was_sent=False)
        assert rig.released == [b"k"] and len(rig.sent) == 1

    for case in (disconnected, late):
        run_scenario(case, kind="tracked")


def test_a_key_is_kept_if_the_request_may_have_run_after_the_caller_disconnected() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.reservations[0][1](Acquired())
        assert caller.on_disconnect is not None
        caller.on_disconnect()
        rig.reply(RequestOutcome.UNKNOWN)
        assert not rig.released

    run_scenario(scenario, kind="tracked")


def test_a_key_is_released_when_proof_comes_after_a_lost_connection() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.reservations[0][1](Acquired())
        _, forward, respond = rig.sent[0]
        respond(ForwardResponse(forward.number, RequestOutcome.UNKNOWN, cause=FailureCause.LINK_LOST))
        assert caller.answers[0][0] == 502 and not rig.released
        for outcome in (RequestOutcome.UNKNOWN, RequestOutcome.ANSWERED):
            respond(ForwardResponse(forward.number, outcome))
            assert not rig.released  # Neither outcome is a proof.
        for _ in range(2):
            respond(ForwardResponse(forward.number, RequestOutcome.NOT_RUN, cause=FailureCause.NEVER_RECEIVED))
        assert rig.released == [b"k"] and len(caller.answers) == 1 and len(rig.sent) == 1

    run_scenario(scenario, kind="tracked")


def test_a_proof_after_an_answer_does_not_release_the_key() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        rig.ask(lugspur_operation_key="k")
        rig.reservations[0][1](Acquired())
        _, forward, respond = rig.sent[0]
        respond(ForwardResponse(forward.number, RequestOutcome.ANSWERED, OK))
        respond(ForwardResponse(forward.number, RequestOutcome.NOT_RUN))
        assert not rig.released

    run_scenario(scenario, kind="tracked")


def acquire_and_answer(rig: SimulatedProxy, *, is_stored: bool) -> Caller:
    """Send a keyed request whose backend answers."""
    caller = rig.ask(lugspur_operation_key="k")
    rig.reservations[0][1](Acquired())
    rig.reply(RequestOutcome.ANSWERED, OK, is_stored=is_stored)
    return caller


def test_an_answer_that_is_not_stored_is_stored_before_the_caller_gets_it() -> None:
    """Guards against repeats that are rejected though their operation was answered with success (review/5)."""

    def scenario(rig: SimulatedProxy) -> None:
        assert acquire_and_answer(rig, is_stored=True).answers[0][0] == 200 and rig.stored == []

    def cut_off(rig: SimulatedProxy) -> None:
        caller = acquire_and_answer(rig, is_stored=False)
        [(key, response, on_stored)] = rig.stored
        assert (key, response) == (b"k", OK) and caller.answers == []
        on_stored(True)
        assert [answer[0] for answer in caller.answers] == [200] and not rig.proxy.open_requests

    run_scenario(scenario, kind="tracked")
    run_scenario(cut_off, kind="tracked")


def test_an_answer_that_can_not_be_stored_reaches_the_caller_in_time_all_the_same() -> None:
    async def scenario(rig: SimulatedProxy) -> None:
        caller = acquire_and_answer(rig, is_stored=False)
        for _ in range(100):
            await asyncio.sleep(0.01)
            if caller.answers:
                break
        assert [answer[0] for answer in caller.answers] == [200]  # at the deadline of 0.5 s, and no 504
        rig.stored[0][2](False)
        assert len(caller.answers) == 1

    def shutting_down(rig: SimulatedProxy) -> None:
        caller = acquire_and_answer(rig, is_stored=False)
        for request in list(rig.proxy.open_requests):
            request.abort()
        assert [answer[0] for answer in caller.answers] == [200]

    run_scenario(scenario, kind="tracked")
    run_scenario(shutting_down, kind="tracked")


def test_an_answer_is_stored_also_if_its_caller_has_left() -> None:
    def scenario(rig: SimulatedProxy) -> None:
        caller = rig.ask(lugspur_operation_key="k")
        rig.reservations[0][1](Acquired())
        assert caller.on_disconnect is not None
        caller.on_disconnect()
        rig.reply(RequestOutcome.ANSWERED, OK, is_stored=False)
        [(_, _, on_stored)] = rig.stored
        on_stored(True)
        assert caller.answers == [] and rig.released == []

    run_scenario(scenario, kind="tracked")
