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
