"""Selection of the control node that a proxy follows: local zone first, others if stale, seeds if cut off."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from lugspur.mesh.control.messages import Membership, Message, Unsubscribe, Voter
from lugspur.mesh.sidecar.update_source import AVOID_SECONDS, UpdateSource

NEAR, FAR, FARTHER, SEED = "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.9"
MAX_STALENESS = 0.8


class Follower:
    """A proxy of zone `a` with a manual clock; all its peers are connected."""

    def __init__(self, seed: int) -> None:
        self.now = 100.0
        self.loop: Any = SimpleNamespace(time=lambda: self.now)
        self.rng = Random(seed)
        self.settings: Any = SimpleNamespace(seeds=[SEED], own=SimpleNamespace(zone="a"))
        self.max_staleness = MAX_STALENESS
        self.membership: Membership | None = Membership(
            1, [Voter(NEAR, "u", "a"), Voter(FAR, "u", "b"), Voter(FARTHER, "u", "c")]
        )
        self.peers: dict[str, Any] = {ip: SimpleNamespace(ip=ip, link=object()) for ip in (NEAR, FAR, FARTHER, SEED)}
        self.subscribed: list[str] = []
        self.sent: list[tuple[str, Message]] = []
        self.source = UpdateSource(cast(Any, self))

    def subscribe(self, dialer: Any) -> None:
        self.subscribed.append(dialer.ip)

    def send_to(self, ip: str, message: Message) -> None:
        self.sent.append((ip, message))

    def receive_update(self) -> None:
        """Receive a fresh update from the source."""
        self.source.update_merged(self.now, self.source.ip, self.now)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.source.tick(self.now)


@pytest.mark.parametrize("seed", range(10))
def test_a_voter_of_the_local_zone_is_followed_first_and_given_up_once_its_updates_are_stale(seed: int) -> None:
    follower = Follower(seed)
    source = follower.source
    source.confirmed_at = follower.now  # The known membership is up to date.
    source.select()
    assert source.ip == NEAR and not source.has_configuration
    follower.receive_update()
    assert source.has_configuration
    follower.advance(MAX_STALENESS - 0.1)
    assert source.ip == NEAR and follower.subscribed == [NEAR]
    follower.advance(0.2)
    assert source.ip in (FAR, FARTHER) and source.selections == 2
    assert [(ip, type(message)) for ip, message in follower.sent] == [(NEAR, Unsubscribe)]


@pytest.mark.parametrize("seed", range(10))
def test_a_source_that_was_given_up_is_avoided_for_a_while(seed: int) -> None:
    follower = Follower(seed)
    source = follower.source
    source.confirmed_at = follower.now
    source.select()
    follower.receive_update()
    follower.advance(MAX_STALENESS + 0.1)
    follower.receive_update()
    del follower.peers[source.ip]
    source.disconnected(source.ip)
    assert source.ip in (FAR, FARTHER)  # The voter of the local zone is still avoided.
    follower.receive_update()
    follower.now += AVOID_SECONDS
    follower.receive_update()
    source.disconnected(source.ip)
    assert source.ip == NEAR


def test_seeds_are_followed_only_where_no_voter_can_be_reached_or_the_membership_may_be_old() -> None:
    follower = Follower(1)
    source = follower.source
    source.confirmed_at = follower.now
    for ip in (NEAR, FAR, FARTHER):
        follower.peers[ip].link = None
    source.select()
    assert source.ip == SEED
    for ip in (NEAR, FAR, FARTHER):
        follower.peers[ip].link = object()
    source.select()
    assert source.ip == NEAR
    chosen = set()
    for seed in range(30):
        cut_off = Follower(seed)
        del cut_off.peers[NEAR]
        assert cut_off.source.may_be_cut_off()
        cut_off.source.select()
        chosen.add(cut_off.source.ip)
    assert chosen == {FAR, FARTHER, SEED}


def test_no_source_is_selected_while_none_can_be_reached() -> None:
    follower = Follower(1)
    for peer in follower.peers.values():
        peer.link = None
    follower.source.tick(follower.now)
    assert follower.source.ip == "" and follower.source.selections == 0 and follower.subscribed == []
    follower.peers[FAR].link = object()
    follower.source.tick(follower.now)
    assert follower.source.ip == FAR
