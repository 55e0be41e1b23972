"""Staleness of a replica's state, by the times at which voters sent their updates."""

from __future__ import annotations

import pytest
from controlparts import FIRST, IPS

from lugspur.mesh.control.freshness import MAX_FIRST_DELAY_SECONDS, NEVER, DelayEstimate, Freshness
from lugspur.mesh.control.messages import Delta

A, B, C = IPS
CLOCK_OFFSET = 500.0  # seconds by which the senders' clocks are ahead


def delta(sent: float, index: int = 5, pending: bool = False, is_voter: bool = True, echo: float = 0.0) -> Delta:
    return Delta("life", 1, sent + CLOCK_OFFSET, 0.0, index, pending, is_voter, 1, False, [], echo)


def subscribed_to(*ips: str, echo_timeout: float = 1e9) -> Freshness:
    freshness = Freshness(echo_timeout)
    for ip in ips:
        freshness.subscribed(10.0, ip)
        freshness.receive(10.01, ip, delta(10.005))
    return freshness


def known_up_to(freshness: Freshness, now: float, index: int = 5, own: str = "") -> float:
    return freshness.known_up_to(now, FIRST, index, own)


def test_the_state_is_as_fresh_as_the_oldest_update_of_a_majority() -> None:
    freshness = subscribed_to(B, C)
    freshness.receive(12.0, B, delta(11.995))
    assert known_up_to(freshness, 12.0) == pytest.approx(10.01, abs=0.02)
    assert known_up_to(freshness, 12.0, own=A) == pytest.approx(12.0, abs=0.02)
    assert known_up_to(subscribed_to(B), 12.0) == NEVER


def test_a_delayed_message_is_dated_by_when_it_was_sent() -> None:
    freshness = subscribed_to(B, C)
    for ip in (B, C):
        freshness.receive(40.0, ip, delta(11.0))  # 29 seconds in a buffer
    assert known_up_to(freshness, 40.0) == pytest.approx(11.0, abs=0.05)


def test_the_first_message_of_a_connection_is_no_newer_than_the_subscription_allows() -> None:
    delay = DelayEstimate(10.0)
    assert delay.sent_at(40.0, 500.0) <= 10.0 + MAX_FIRST_DELAY_SECONDS
    prompt = DelayEstimate(10.0)
    assert prompt.sent_at(10.02, 500.0) == pytest.approx(10.02)


def test_a_voter_that_was_paused_before_its_first_update_is_fresh_again_soon() -> None:
    # Guards against a node that calls its state old for good once it has subscribed to voters that were frozen.
    freshness = Freshness(1e9)
    for ip in (B, C):
        freshness.subscribed(10.0, ip)
        freshness.receive(13.0, ip, delta(12.99))
        freshness.receive(13.25, ip, delta(13.24))
    assert known_up_to(freshness, 13.25) < 11.0  # the first update may have been under way for 3 seconds
    for ip in (B, C):
        freshness.receive(13.5, ip, delta(13.49, echo=13.26))
        freshness.receive(13.75, ip, delta(13.74, echo=13.51))
    assert known_up_to(freshness, 13.75) >= 13.5
    for ip in (B, C):
        freshness.receive(40.0, ip, delta(14.0, echo=13.76))  # the echo of an update that was held up is old too
    assert known_up_to(freshness, 40.0) < 14.3


def test_clocks_may_drift_slowly_and_a_faster_message_corrects_the_estimate() -> None:
    delay = DelayEstimate(0.0)
    delay.sent_at(0.1, 100.0)
    assert delay.sent_at(1.01, 101.0) == pytest.approx(1.01)
    assert delay.sent_at(2.2, 102.0) < 2.02  # the message is 0.19 s late, and the clocks drift by less than that


def test_an_update_with_a_later_or_pending_change_does_not_count() -> None:
    freshness = subscribed_to(B, C)
    freshness.receive(11.0, C, delta(11.0, index=6))
    assert known_up_to(freshness, 11.0) == NEVER and known_up_to(freshness, 11.0, index=6) != NEVER
    pending = subscribed_to(B, C)
    pending.receive(11.0, C, delta(11.0, pending=True))
    assert known_up_to(pending, 11.0) == NEVER and known_up_to(pending, 11.0, index=6) != NEVER


def test_updates_without_a_vote_or_a_connection_do_not_count() -> None:
    wiped = subscribed_to(B, C)
    wiped.receive(11.0, C, delta(11.0, is_voter=False))
    assert known_up_to(wiped, 11.0) == NEVER and wiped.latest_update_at(C) == NEVER
    lost = subscribed_to(B, C)
    lost.disconnected(C)
    assert known_up_to(lost, 11.0) == NEVER
    reconnected = subscribed_to(B, C)
    reconnected.subscribed(12.0, C)
    assert known_up_to(reconnected, 12.0) == NEVER  # until C has replied on the new connection
    stranger = subscribed_to(B, "10.0.0.9")
    assert known_up_to(stranger, 11.0) == NEVER


def test_an_update_without_a_subscription_on_this_connection_has_no_date() -> None:
    freshness = subscribed_to(B, C)
    for ip in (B, C):
        freshness.disconnected(ip)
        assert freshness.receive(40.0, ip, delta(11.0)) == NEVER  # the update was in a buffer when the connection ended
    assert known_up_to(freshness, 40.0) == NEVER and freshness.latest_update_at(B) == NEVER


def test_subscribing_again_on_a_connection_makes_no_delayed_update_newer() -> None:
    freshness = subscribed_to(B, C)
    freshness.subscribed(30.0, B)  # the subscription was ended, and starts again
    assert freshness.receive(31.0, B, delta(11.0)) == pytest.approx(11.0, abs=0.02)
    freshness.disconnected(B)
    freshness.subscribed(32.0, B)
    assert freshness.receive(33.0, B, delta(32.5)) <= 32.0 + MAX_FIRST_DELAY_SECONDS


def test_updates_of_a_voter_that_receives_nothing_from_here_do_not_count() -> None:
    freshness = subscribed_to(B, C, echo_timeout=1.0)
    for n in range(8):  # a one-way partition: updates arrive, but replies don't reach the voters
        now = 10.25 * 1.0 + 0.25 * n
        for ip in (B, C):
            freshness.receive(now + 0.005, ip, delta(now, echo=10.1))
        assert (known_up_to(freshness, now + 0.01) > NEVER) is (now + 0.01 <= 11.1)
    for ip in (B, C):
        freshness.receive(13.0, ip, delta(12.995, echo=12.8))  # the partition has healed
    assert known_up_to(freshness, 13.0) == pytest.approx(13.0, abs=0.02)
