"""Forwarding of change requests to the control node that proposes on behalf of all."""

from __future__ import annotations

import pytest

from lugspur.mesh.control.change_forwarding import (
    RESULT_TIMEOUT_SECONDS,
    ChangeForwarder,
    outcome_from_result,
    result_from_outcome,
)
from lugspur.mesh.control.change_requests import (
    ChangeRequest,
    Confirmed,
    NoQuorum,
    Outcome,
    Refused,
    Unclear,
    error_from_outcome,
)
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.messages import Entry

FIRST = "10.0.0.1"
REFUSED = Refused(MeshError(ErrorKind.CONFLICT, "another content"))


def forward_one() -> tuple[ChangeForwarder, list[Outcome], int]:
    """Return a forwarder with one forwarded request, a list that gets the request's outcome, and its number."""
    forwarder, outcomes = ChangeForwarder(), list[Outcome]()
    message = forwarder.forward(1.0, FIRST, ChangeRequest([Entry("routes", "r", 7, b"{}")], 1.8, outcomes.append))
    assert message.seconds_left == pytest.approx(0.8)
    return forwarder, outcomes, message.number


@pytest.mark.parametrize("outcome", [Confirmed(), REFUSED, Unclear(), NoQuorum()])
def test_an_outcome_is_returned_unchanged(outcome: Outcome) -> None:
    forwarder, outcomes, number = forward_one()
    forwarder.receive(FIRST, result_from_outcome(number, outcome))
    [received] = outcomes
    assert type(received) is type(outcome)
    received_error, sent_error = error_from_outcome(received), error_from_outcome(outcome)
    assert (received_error and received_error.kind) == (sent_error and sent_error.kind)
    assert len(forwarder) == 0


def test_a_result_of_another_control_node_is_ignored() -> None:
    forwarder, outcomes, number = forward_one()
    forwarder.receive("10.0.0.2", result_from_outcome(number, Confirmed()))
    forwarder.receive(FIRST, result_from_outcome(number + 1, Confirmed()))
    assert outcomes == [] and len(forwarder) == 1


@pytest.mark.parametrize("by", ["time", "connection"])
@pytest.mark.parametrize("outcome", [REFUSED, NoQuorum(), Unclear()])
def test_a_request_proposed_locally_after_it_was_forwarded_is_never_rejected(by: str, outcome: Outcome) -> None:
    forwarder, outcomes, number = forward_one()
    if by == "time":
        assert forwarder.pop_overdue(1.0 + RESULT_TIMEOUT_SECONDS - 0.01) == []
        [request] = forwarder.pop_overdue(1.0 + RESULT_TIMEOUT_SECONDS)
    else:
        assert forwarder.disconnected("10.0.0.2") == []
        [request] = forwarder.disconnected(FIRST)
    request.on_outcome(outcome)  # the other control node may still propose the request
    assert outcomes == [Unclear()]
    forwarder.receive(FIRST, result_from_outcome(number, REFUSED))  # a late result is ignored
    assert outcomes == [Unclear()]


def test_a_confirmation_counts_wherever_it_was_decided() -> None:
    forwarder, outcomes, _ = forward_one()
    [request] = forwarder.disconnected(FIRST)
    request.on_outcome(Confirmed())
    assert outcomes == [Confirmed()]


def test_a_withdrawn_request_is_not_proposed_locally() -> None:
    forwarder, outcomes, number = forward_one()
    [request] = [forwarded.request for forwarded in forwarder._forwarded.values()]
    forwarder.withdraw(request)
    assert forwarder.pop_overdue(99.0) == []
    forwarder.receive(FIRST, result_from_outcome(number, Confirmed()))
    assert outcomes == []


def test_a_rejection_keeps_its_error_kind_and_detail() -> None:
    outcome = outcome_from_result(result_from_outcome(3, REFUSED))
    assert isinstance(outcome, Refused)
    assert (outcome.error.kind, outcome.error.detail) == (ErrorKind.CONFLICT, "another content")
