"""Change requests that are forwarded to the control node that proposes for all."""

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


def handed_over() -> tuple[ChangeForwarder, list[Outcome], int]:
    """A forwarder with one order, how that ended, and its number."""
    forwarder, ends = ChangeForwarder(), list[Outcome]()
    message = forwarder.forward(1.0, FIRST, ChangeRequest([Entry("routes", "r", 7, b"{}")], 1.8, ends.append))
    assert message.seconds_left == pytest.approx(0.8)
    return forwarder, ends, message.number


@pytest.mark.parametrize("outcome", [Confirmed(), REFUSED, Unclear(), NoQuorum()])
def test_an_outcome_is_returned_unchanged(outcome: Outcome) -> None:
    forwarder, ends, number = handed_over()
    forwarder.receive(FIRST, result_from_outcome(number, outcome))
    [told] = ends
    assert type(told) is type(outcome)
    fault, sent = error_from_outcome(told), error_from_outcome(outcome)
    assert (fault and fault.kind) == (sent and sent.kind)
    assert len(forwarder) == 0


def test_a_result_of_another_control_node_is_ignored() -> None:
    forwarder, ends, number = handed_over()
    forwarder.receive("10.0.0.2", result_from_outcome(number, Confirmed()))
    forwarder.receive(FIRST, result_from_outcome(number + 1, Confirmed()))
    assert ends == [] and len(forwarder) == 1


@pytest.mark.parametrize("by", ["time", "connection"])
@pytest.mark.parametrize("outcome", [REFUSED, NoQuorum(), Unclear()])
def test_a_request_proposed_here_after_it_was_forwarded_is_never_refused(by: str, outcome: Outcome) -> None:
    forwarder, ends, number = handed_over()
    if by == "time":
        assert forwarder.pop_overdue(1.0 + RESULT_TIMEOUT_SECONDS - 0.01) == []
        [order] = forwarder.pop_overdue(1.0 + RESULT_TIMEOUT_SECONDS)
    else:
        assert forwarder.disconnected("10.0.0.2") == []
        [order] = forwarder.disconnected(FIRST)
    order.on_outcome(outcome)  # the other one may still propose it
    assert ends == [Unclear()]
    forwarder.receive(FIRST, result_from_outcome(number, REFUSED))  # late
    assert ends == [Unclear()]


def test_a_confirmation_counts_wherever_it_was_decided() -> None:
    forwarder, ends, _ = handed_over()
    [order] = forwarder.disconnected(FIRST)
    order.on_outcome(Confirmed())
    assert ends == [Confirmed()]


def test_a_request_that_nobody_waits_for_is_not_proposed_here() -> None:
    forwarder, ends, number = handed_over()
    [handed] = [h.request for h in forwarder._forwarded.values()]
    forwarder.withdraw(handed)
    assert forwarder.pop_overdue(99.0) == []
    forwarder.receive(FIRST, result_from_outcome(number, Confirmed()))
    assert ends == []


def test_a_refusal_keeps_its_kind_and_detail() -> None:
    outcome = outcome_from_result(result_from_outcome(3, REFUSED))
    assert isinstance(outcome, Refused)
    assert (outcome.error.kind, outcome.error.detail) == (ErrorKind.CONFLICT, "another content")
