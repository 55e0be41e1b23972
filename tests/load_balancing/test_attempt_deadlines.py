"""Attempt deadlines for clients whose requests have different lengths."""

from __future__ import annotations

from math import exp

from lugspur.load_balancing.attempt_deadlines import MAX_LENGTHS, AttemptDeadlines
from lugspur.load_balancing.model import RequestClass, Settings


def test_more_lengths_than_are_counted_shorten_no_deadline_wrongly() -> None:
    deadlines = AttemptDeadlines(
        Settings(classes=(RequestClass(name="read", latency_target=0.5, deadline=2.0),), tier=0)
    )
    for step in range(2 * MAX_LENGTHS):
        until = exp(step / 50.0) / 1000.0
        assert deadlines.useful_until(0.0, 0, until, is_retry=False) <= until


def test_usual_length_is_remembered_among_many_rare_ones() -> None:
    deadlines = AttemptDeadlines(
        Settings(classes=(RequestClass(name="read", latency_target=0.5, deadline=2.0),), tier=0)
    )
    for _ in range(64):
        deadlines.useful_until(0.0, 0, 2.0, is_retry=False)
    for step in range(MAX_LENGTHS + 1):
        deadlines.useful_until(0.0, 0, exp(step / 50.0) / 1000.0, is_retry=False)
    assert (
        deadlines.useful_until(0.0, 0, 0.4, is_retry=False) < 0.0
    )  # taken for a client's last attempt, whose request began long before
