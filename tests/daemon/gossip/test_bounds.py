"""State that other members can make a process allocate is bounded."""

from __future__ import annotations

from gossipprotocol import PEER, protocol_that_knows_a_peer

from lugspur.daemon.gossip.failure_detector import MAX_INDIRECT_PINGS
from lugspur.daemon.gossip.messages import Message, Packet, PingRequest
from lugspur.daemon.gossip.rate_limits import (
    MAX_SOURCE_BURST_DATAGRAMS,
    MAX_TRACKED_SOURCES,
    DatagramRateLimiter,
)


def test_pings_on_behalf_of_others_are_bounded() -> None:
    protocol = protocol_that_knows_a_peer()
    protocol.take_datagrams()
    for number in range(MAX_INDIRECT_PINGS + 50):
        request: Message = PingRequest(number, "m2", "10.0.0.3", 7946)
        data = protocol.codec.encode(Packet(PEER.name, PEER.instance_id, "m0", request))
        protocol.receive(0.0, data, ("10.0.0.2", 1 + number))  # from different ports, each with its own rate limit
    sent_to = [address for address, _ in protocol.take_datagrams()]
    assert sent_to.count(("10.0.0.3", 7946)) == MAX_INDIRECT_PINGS


def test_the_sources_with_a_rate_limit_of_their_own_are_bounded() -> None:
    limiter = DatagramRateLimiter(0.0)
    for _ in range(int(MAX_SOURCE_BURST_DATAGRAMS)):
        assert limiter.allows_receive("first", 0.0)
    assert not limiter.allows_receive("first", 0.0)
    for number in range(MAX_TRACKED_SOURCES - 1):
        limiter.allows_receive(f"other {number}", 0.0)
    assert not limiter.allows_receive("first", 1e-6)  # the source is still tracked
    for number in range(MAX_TRACKED_SOURCES):
        limiter.allows_receive(f"further {number}", 1e-6)
    # The first source's bucket was dropped, so it has a full one again; the limit for all sources recovers in a second.
    burst = [limiter.allows_receive("first", 1.0 + 1e-6) for _ in range(int(MAX_SOURCE_BURST_DATAGRAMS))]
    assert all(burst)
