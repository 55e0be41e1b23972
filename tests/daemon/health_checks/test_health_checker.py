"""Decisions of a health checker, its messages, and the reports that other daemons receive."""

from __future__ import annotations

import pytest

from lugspur.daemon.health_checks.health_checker import MAX_CHECKS_IN_FLIGHT, RECHECK_DELAY_SECONDS, HealthChecker
from lugspur.daemon.health_checks.messages import (
    MAX_UNHEALTHY_BACKENDS,
    ConnectionFailure,
    HealthReport,
    decode_message,
    encode_message,
    names_that_fit,
)
from lugspur.daemon.health_checks.received_reports import REPORT_LIFETIME_SECONDS, ReceivedReports
from lugspur.daemon.leases.messages import MalformedMessageError


def make_checker(*names: str) -> HealthChecker:
    checker = HealthChecker(1.0)
    checker.update_backends(names or ("a", "b"))
    return checker


def test_backend_that_nobody_reports_is_never_checked() -> None:
    checker = make_checker()
    assert checker.due() == float("inf") and checker.start_checks(100.0) == []
    checker.report_failure(0.0, "unknown")
    assert checker.due() == float("inf")


def test_two_failed_checks_make_unhealthy_and_two_passed_ones_healthy() -> None:
    checker = make_checker()
    checker.report_failure(5.0, "a")
    assert checker.due() == 5.0 and checker.start_checks(5.0) == ["a"] and checker.start_checks(5.0) == []
    assert not checker.finish_check(5.0, "a", False) and checker.unhealthy == []
    assert checker.due() == 5.0 + RECHECK_DELAY_SECONDS and checker.start_checks(5.0 + RECHECK_DELAY_SECONDS) == ["a"]
    assert checker.finish_check(5.2, "a", False) and checker.unhealthy == ["a"]
    assert checker.due() == 6.2 and checker.start_checks(6.1) == [] and checker.start_checks(6.2) == ["a"]
    assert not checker.finish_check(6.2, "a", True) and checker.unhealthy == ["a"]
    checker.start_checks(7.2)
    assert checker.finish_check(7.2, "a", True) and checker.unhealthy == []
    assert checker.due() == float("inf")


def test_a_check_of_the_other_result_restarts_the_count() -> None:
    checker = make_checker()
    checker.report_failure(0.0, "a")
    for now, has_passed in ((0.0, False), (1.0, True)):
        assert checker.start_checks(now) == ["a"]
        assert not checker.finish_check(now, "a", has_passed)
    assert checker.unhealthy == [] and checker.due() == float("inf")
    checker.take_over(2.0, ["a"])
    for now, has_passed in ((2.0, True), (3.0, False), (4.0, True), (5.0, False)):
        assert checker.start_checks(now) == ["a"]
        assert not checker.finish_check(now, "a", has_passed)
    assert checker.unhealthy == ["a"]


def test_healthy_backend_that_others_report_is_checked_at_the_interval() -> None:
    checker = make_checker()
    checker.report_failure(0.0, "a")
    checks = 0
    for tick in range(100):
        now = tick * 0.1
        checker.report_failure(now, "a")
        for name in checker.start_checks(now):
            checker.report_failure(now, name)  # another report while the check is in flight
            checker.finish_check(now, name, True)
            checks += 1
    assert checks == 10 and checker.unhealthy == []


def test_successor_takes_over_the_unhealthy_backends() -> None:
    checker = make_checker("a", "b", "c")
    checker.take_over(7.0, ["c", "gone", "a"])
    assert checker.unhealthy == ["c", "a"] and checker.start_checks(7.0) == ["c", "a"]
    assert not checker.finish_check(7.0, "a", False) and checker.unhealthy == ["c", "a"]  # still unhealthy: no change
    checker.update_backends(["a", "b"])
    assert checker.unhealthy == ["a"]


def test_checks_in_flight_are_bounded() -> None:
    names = [f"b{number}" for number in range(100)]
    checker = make_checker(*names)
    for name in names:
        checker.report_failure(0.0, name)
    started = checker.start_checks(0.0)
    assert len(started) == MAX_CHECKS_IN_FLIGHT and checker.start_checks(0.0) == [] and checker.due() == float("inf")
    checker.finish_check(0.0, started[0], True)
    assert len(checker.start_checks(0.0)) == 1


def test_latest_report_of_the_latest_health_checker_counts_until_it_expires() -> None:
    received = ReceivedReports("probe:p")
    listed = {"a", "b", "c", "d"}
    assert received.receive(0.0, HealthReport("p", 5, 2, ["a"]))
    assert not received.receive(0.0, HealthReport("p", 5, 1, ["b"]))  # out of order
    assert not received.receive(0.0, HealthReport("p", 4, 9, ["b"]))  # of a former health checker
    assert received.excluded(REPORT_LIFETIME_SECONDS - 0.1, listed) == {"a"}
    # Without a health checker, each daemon decides for itself.
    assert received.excluded(REPORT_LIFETIME_SECONDS, listed) == set()
    assert received.receive(REPORT_LIFETIME_SECONDS, HealthReport("p", 6, 0, ["b"]))
    assert received.excluded(REPORT_LIFETIME_SECONDS, listed) == {"b"}
    assert not received.receive(REPORT_LIFETIME_SECONDS, HealthReport("p", 5, 99, ["a"]))


def test_report_that_most_backends_are_unhealthy_excludes_none() -> None:
    received = ReceivedReports("probe:p")
    listed = {"a", "b", "c", "d"}
    received.receive(0.0, HealthReport("p", 1, 0, ["a", "b", "elsewhere"]))
    assert received.excluded(0.0, listed) == {"a", "b"}
    received.receive(0.0, HealthReport("p", 1, 1, ["a", "b", "c"]))
    assert received.excluded(0.0, listed) == set()


def test_messages_are_bounded_and_other_bodies_are_malformed() -> None:
    for message in (ConnectionFailure("p", "a"), HealthReport("p", 1, 2, ["a", "b"])):
        assert decode_message(encode_message(message)) == message
    for body in (
        b"",
        b"\xc1",
        encode_message(HealthReport("p", 1, 1, ["a"] * (MAX_UNHEALTHY_BACKENDS + 1))),
        encode_message(ConnectionFailure("p", "a" * 200)),
        encode_message(ConnectionFailure("", "a")),
        encode_message(HealthReport("p", -1, 1, [])),
    ):
        with pytest.raises(MalformedMessageError):
            decode_message(body)
    assert len(names_that_fit(["x" * 100] * 100)) == 7 and len(names_that_fit(["x"] * 1000)) == MAX_UNHEALTHY_BACKENDS
