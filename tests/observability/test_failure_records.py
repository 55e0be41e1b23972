"""Records of failed requests: bounded in number, and logged at a bounded rate."""

from __future__ import annotations

import time

import pytest

from lugspur.observability.failures import (
    MAX_KEPT_RECORDS,
    MAX_LOGGED_PER_SECOND,
    ConfigurationState,
    FailedRequest,
    FailureLog,
)

STATE = ConfigurationState(7, 3, 0.25)


def failure_log() -> tuple[FailureLog, list[tuple[FailedRequest, int]]]:
    logged: list[tuple[FailedRequest, int]] = []
    return FailureLog(lambda: STATE, lambda failed, unlogged: logged.append((failed, unlogged))), logged


def test_the_latest_records_are_kept_with_the_configuration_of_the_process() -> None:
    failures, _ = failure_log()
    for number in range(MAX_KEPT_RECORDS + 5):
        failures.add(b"t%d" % number, "no-backend", route="r")
    latest = failures.latest()
    assert (
        len(latest) == MAX_KEPT_RECORDS
        and latest[0].attempt == "t5"
        and latest[-1].attempt == f"t{MAX_KEPT_RECORDS + 4}"
    )
    assert (latest[0].index, latest[0].epoch, latest[0].news_age_s, latest[0].route) == (7, 3, 0.25, "r")


def test_a_few_records_a_second_are_logged_with_the_count_of_those_before(monkeypatch: pytest.MonkeyPatch) -> None:
    failures, logged = failure_log()
    monkeypatch.setattr(time, "time", lambda: 1000.2)
    for number in range(9):
        failures.add(b"a%d" % number, "too-late")
    assert [unlogged for _, unlogged in logged] == [0] * MAX_LOGGED_PER_SECOND
    monkeypatch.setattr(time, "time", lambda: 1001.0)
    failures.add(b"b", "too-late")
    assert logged[-1][0].attempt == "b" and logged[-1][1] == 9 - MAX_LOGGED_PER_SECOND
