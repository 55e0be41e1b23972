"""Until when an answer is of use, for clients whose requests last differently long."""

from __future__ import annotations

from math import exp

from lugspur.load_balancing.attempt_deadlines import MAX_LENGTHS, AttemptDeadlines
from lugspur.load_balancing.model import RequestClass, Settings


def test_more_lengths_than_are_told_apart_harm_no_request() -> None:
    deadlines = AttemptDeadlines(
        Settings(classes=(RequestClass(name="read", latency_target=0.5, deadline=2.0),), tier=0)
    )
    for step in range(2 * MAX_LENGTHS):
        until = exp(step / 50.0) / 1000.0
        assert deadlines.useful_until(0.0, 0, until, is_retry=False) <= until


def test_the_usual_length_stays_known_among_many_that_are_seen_once() -> None:
    deadlines = AttemptDeadlines(
        Settings(classes=(RequestClass(name="read", latency_target=0.5, deadline=2.0),), tier=0)
    )
    for _ in range(64):
        deadlines.useful_until(0.0, 0, 2.0, is_retry=False)
    for step in range(MAX_LENGTHS + 1):
        deadlines.useful_until(0.0, 0, exp(step / 50.0) / 1000.0, is_retry=False)
    assert deadlines.useful_until(0.0, 0, 0.4, is_retry=False) < 0.0  # a client's last attempt, begun long before
