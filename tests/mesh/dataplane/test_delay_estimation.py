"""The excess delay of messages between unsynchronised clocks, and freezes of this process."""

from __future__ import annotations

import pytest

from lugspur.mesh.dataplane.delay_estimation import CLOCK_JUMP_SECONDS, ExcessDelayEstimator, FreezeDetector


def test_delays_are_estimated_without_synchronised_clocks() -> None:
    delay, offset = ExcessDelayEstimator(), -4321.0
    assert delay.observe(10.0 + offset, 10.0 - 0.03) == 0.0
    assert delay.observe(11.0 + offset, 11.0 - 0.02) == 0.0  # The smallest delay so far defines the offset.
    assert delay.observe(12.0 + offset, 12.0 - 0.52) == pytest.approx(0.5, abs=0.01)
    assert delay.observe(50.0 + offset, 12.1 - 0.02) == pytest.approx(37.9, abs=0.05)


def test_clock_drift_makes_no_message_late() -> None:
    delay = ExcessDelayEstimator()
    assert max(delay.observe(t * 10.0, t * 10.0 * (1.0 - 5e-4)) for t in range(10_000)) < 0.01


def test_a_clock_jump_is_detected() -> None:
    delay = ExcessDelayEstimator()
    delay.observe(0.0, 0.0)
    estimates = [delay.observe(60.0 + t / 10.0, t / 10.0) for t in range(100)]
    assert estimates[0] == pytest.approx(60.0, abs=0.1) and estimates[-1] < 0.1
    assert sum(t > 1.0 for t in estimates) <= 10 * CLOCK_JUMP_SECONDS + 2


def test_bytes_read_after_a_freeze_may_have_arrived_at_its_beginning() -> None:
    freezes = FreezeDetector(1.0, 0.5)
    for step in range(10):
        freezes.record_turn(step / 10.0)
    assert freezes.earliest_arrival(1.8) == 1.8  # A loaded machine may be this slow without a freeze.
    assert freezes.earliest_arrival(30.0) == 1.8 and freezes.earliest_arrival(30.4) == 1.8
    assert freezes.earliest_arrival(40.0) == 30.4 and freezes.earliest_arrival(40.5) == 40.5
