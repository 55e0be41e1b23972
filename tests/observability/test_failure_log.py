"""Accounts of failed requests: bounded, told at a bounded rate, and enough to explain what happened."""

from __future__ import annotations

import time

import pytest

from lugspur.observability.failures import KEPT, TOLD_EACH_SECOND, FailedRequest, FailureLog, Standing

STANDING = Standing(7, 3, 0.25)


def log() -> tuple[FailureLog, list[tuple[FailedRequest, int]]]:
    told: list[tuple[FailedRequest, int]] = []
    return FailureLog(lambda: STANDING, lambda failed, untold: told.append((failed, untold))), told


def test_the_latest_are_kept_with_what_the_process_went_by() -> None:
    failures, _ = log()
    for number in range(KEPT + 5):
        failures.add(b"t%d" % number, "no-backend", route="r")
    latest = failures.latest()
    assert len(latest) == KEPT and latest[0].attempt == "t5" and latest[-1].attempt == f"t{KEPT + 4}"
    assert (latest[0].index, latest[0].epoch, latest[0].news_age_s, latest[0].route) == (7, 3, 0.25, "r")


def test_the_log_is_told_of_a_few_each_second_and_how_many_it_was_not(monkeypatch: pytest.MonkeyPatch) -> None:
    failures, told = log()
    monkeypatch.setattr(time, "time", lambda: 1000.2)
    for number in range(9):
        failures.add(b"a%d" % number, "too-late")
    assert [untold for _, untold in told] == [0] * TOLD_EACH_SECOND
    monkeypatch.setattr(time, "time", lambda: 1001.0)
    failures.add(b"b", "too-late")
    assert told[-1][0].attempt == "b" and told[-1][1] == 9 - TOLD_EACH_SECOND
