"""Requests whose deadline is extended because another client has joined them."""

from __future__ import annotations

from lugspur.load_balancing import (
    Balancer,
    ListUpdateKind,
    Outcome,
    Reject,
    RequestClass,
    RetrySafety,
    Send,
    ServerRow,
    Settings,
)

PATIENT = RequestClass("read", latency_target=0.4, deadline=5.0, retry_safety=RetrySafety.SAFE, late_value=1.0)
EAGER = RequestClass("read", latency_target=0.4, deadline=5.0, retry_safety=RetrySafety.SAFE, late_value=0.0)


def balancer(row: RequestClass) -> Balancer:
    one = Balancer(Settings(classes=(row,)), seed=1)
    one.update_servers(0.0, ListUpdateKind.COMPLETE, [ServerRow(1), ServerRow(2)])
    return one


def test_retry_is_sent_within_the_extended_deadline() -> None:
    one = balancer(PATIENT)
    one.request(1.0, "a", deadline=1.1)
    one.extend_deadline(1.05, "a", 3.0)
    [again] = one.finish_attempt(1.2, "a", 0, Outcome.TIMEOUT, 0.2)
    assert isinstance(again, Send) and again.timeout == 0.0  # until the caller gives up


def test_without_an_extension_the_deadline_ends_the_request() -> None:
    one = balancer(PATIENT)
    one.request(1.0, "a", deadline=1.1)
    assert one.finish_attempt(1.2, "a", 0, Outcome.TIMEOUT, 0.2) == [Reject("a")]


def test_latency_target_of_the_joining_client_counts_where_late_responses_have_little_value() -> None:
    one = balancer(EAGER)
    [first] = one.request(1.0, "a", deadline=4.0)
    assert isinstance(first, Send) and abs(first.timeout - 0.392) < 1e-6
    one.extend_deadline(1.1, "a", 4.5)
    [again] = one.finish_attempt(1.4, "a", 0, Outcome.TIMEOUT, 0.4)
    assert isinstance(again, Send) and abs(again.timeout - 0.092) < 1e-6


def test_deadline_is_never_shortened_and_ended_requests_stay_ended() -> None:
    one = balancer(PATIENT)
    one.request(1.0, "a", deadline=3.0)
    assert one.extend_deadline(1.1, "a", 2.0) == [] and one.requests["a"].deadline == 3.0
    assert one.extend_deadline(1.1, "b", 2.0) == []
    one.finish_attempt(1.2, "a", 0, Outcome.OK, 0.2, is_final=True)
    assert one.extend_deadline(1.3, "a", 9.0) == [] and not one.requests
