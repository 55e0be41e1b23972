"""Health of a backend as derived from the results of its checks."""

from __future__ import annotations

from lugspur.discovery.health_check import UNHEALTHY_THRESHOLD, BackendHealth, CheckResult


def test_a_backend_is_unhealthy_after_some_failed_checks_and_at_once_after_a_refused_connection() -> None:
    health = BackendHealth()
    health.record(CheckResult.UNHEALTHY, 1)
    assert not health.is_healthy
    health.record(CheckResult.HEALTHY, 2)
    for _ in range(UNHEALTHY_THRESHOLD - 1):
        health.record(CheckResult.UNHEALTHY, 3)
    assert health.is_healthy
    health.record(CheckResult.UNHEALTHY, 4)
    assert not health.is_healthy
    health.record(CheckResult.HEALTHY, 5)
    assert (health.is_healthy, health.started_ms) == (True, 2)  # the same process: as warm as before
    health.record(CheckResult.REFUSED, 6)
    assert not health.is_healthy
    health.record(CheckResult.HEALTHY, 7)
    assert health.started_ms == 7  # another process, which has to warm up
