"""Orders that are handed to the control node that proposes for all."""

from __future__ import annotations

import pytest

from lugspur.mesh.control.errors import Kind, MeshError
from lugspur.mesh.control.forwarding import ANSWER_WITHIN, Forwarder, answer_of, outcome_of
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.orders import Confirmed, NoQuorum, Order, Outcome, Refused, Unclear, fault_of

FIRST = "10.0.0.1"
REFUSED = Refused(MeshError(Kind.CONFLICT, "another content"))


def handed_over() -> tuple[Forwarder, list[Outcome], int]:
    """A forwarder with one order, how that ended, and its number."""
    forwarder, ends = Forwarder(), list[Outcome]()
    message = forwarder.hand_over(1.0, FIRST, Order([Entry("routes", "r", 7, b"{}")], 1.8, ends.append))
    assert message.seconds_left == pytest.approx(0.8)
    return forwarder, ends, message.number


@pytest.mark.parametrize("outcome", [Confirmed(), REFUSED, Unclear(), NoQuorum()])
def test_an_outcome_goes_back_as_it_is(outcome: Outcome) -> None:
    forwarder, ends, number = handed_over()
    forwarder.heard(FIRST, answer_of(number, outcome))
    [told] = ends
    assert type(told) is type(outcome)
    fault, sent = fault_of(told), fault_of(outcome)
    assert (fault and fault.kind) == (sent and sent.kind)
    assert len(forwarder) == 0


def test_another_control_nodes_answer_counts_for_nothing() -> None:
    forwarder, ends, number = handed_over()
    forwarder.heard("10.0.0.2", answer_of(number, Confirmed()))
    forwarder.heard(FIRST, answer_of(number + 1, Confirmed()))
    assert ends == [] and len(forwarder) == 1


@pytest.mark.parametrize("by", ["time", "connection"])
@pytest.mark.parametrize("outcome", [REFUSED, NoQuorum(), Unclear()])
def test_what_is_proposed_here_after_it_was_handed_over_is_never_refused(by: str, outcome: Outcome) -> None:
    forwarder, ends, number = handed_over()
    if by == "time":
        assert forwarder.overdue(1.0 + ANSWER_WITHIN - 0.01) == []
        [order] = forwarder.overdue(1.0 + ANSWER_WITHIN)
    else:
        assert forwarder.lost("10.0.0.2") == []
        [order] = forwarder.lost(FIRST)
    order.over(outcome)  # the other one may still propose it
    assert ends == [Unclear()]
    forwarder.heard(FIRST, answer_of(number, REFUSED))  # late
    assert ends == [Unclear()]


def test_a_confirmation_is_one_wherever_it_was_decided() -> None:
    forwarder, ends, _ = handed_over()
    [order] = forwarder.lost(FIRST)
    order.over(Confirmed())
    assert ends == [Confirmed()]


def test_an_order_that_nobody_waits_for_is_not_proposed_here() -> None:
    forwarder, ends, number = handed_over()
    [handed] = [h.order for h in forwarder._handed.values()]
    forwarder.withdraw(handed)
    assert forwarder.overdue(99.0) == []
    forwarder.heard(FIRST, answer_of(number, Confirmed()))
    assert ends == []


def test_a_refusal_keeps_its_kind_and_detail() -> None:
    outcome = outcome_of(answer_of(3, REFUSED))
    assert isinstance(outcome, Refused)
    assert (outcome.fault.kind, outcome.fault.detail) == (Kind.CONFLICT, "another content")
