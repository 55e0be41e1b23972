"""A process that was paused draws no conclusions from what it did not receive in the meantime."""

from __future__ import annotations

from gossipprotocol import PEER, protocol_that_knows_a_peer

from lugspur.daemon.gossip.counters import GossipCounter
from lugspur.daemon.gossip.messages import Status
from lugspur.daemon.gossip.protocol import GossipProtocol

PAUSE_SECONDS = 30.0


def run_until_suspected(protocol: GossipProtocol) -> float:
    """Run without any reply of the peer, and return the time at which it was suspected."""
    now = 0.0
    while protocol.members[PEER.name].record.status is Status.ALIVE:
        assert now < 10.0
        now = protocol.due()
        protocol.tick(now)
    return now


def test_a_member_that_does_not_answer_is_suspected_and_declared_dead() -> None:
    protocol = protocol_that_knows_a_peer()
    now = run_until_suspected(protocol)
    while protocol.members[PEER.name].record.status is Status.SUSPECT:
        assert now < 10.0
        now = protocol.due()
        protocol.tick(now)
    assert protocol.members[PEER.name].record.status is Status.DEAD
    assert GossipCounter.PAUSED not in protocol.counters


def test_a_probe_that_a_pause_interrupted_is_dropped() -> None:
    protocol = protocol_that_knows_a_peer()
    protocol.tick(protocol.due())  # starts the probe
    protocol.tick(protocol.due() + PAUSE_SECONDS)
    assert protocol.members[PEER.name].record.status is Status.ALIVE
    assert protocol.counters[GossipCounter.PAUSED] == 1 and protocol.local_health_score == 1


def test_a_suspicion_lasts_longer_by_a_pause() -> None:
    protocol = protocol_that_knows_a_peer()
    run_until_suspected(protocol)
    protocol.tick(protocol.due() + PAUSE_SECONDS)
    assert protocol.members[PEER.name].record.status is Status.SUSPECT
    assert protocol.counters[GossipCounter.PAUSED] == 1
