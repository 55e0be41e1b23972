"""A gossip protocol that knows one other member, for tests of its parts without a network."""

from __future__ import annotations

from random import Random

from lugspur.daemon.gossip.datagrams import DatagramCodec
from lugspur.daemon.gossip.messages import MemberMetadata, MemberRecord, Packet, Ping
from lugspur.daemon.gossip.protocol import GossipProtocol

PEER = MemberRecord("m1", 7, 1, "10.0.0.2", 7946)


def protocol_that_knows_a_peer() -> GossipProtocol:
    codec = DatagramCodec("edge")
    protocol = GossipProtocol(
        codec=codec,
        name="m0",
        address=("10.0.0.1", 7946),
        metadata=MemberMetadata(),
        seeds=[],
        now=0.0,
        wall_clock=lambda: 1e9,
        rng=Random(1),
    )
    ping = codec.encode(Packet(PEER.name, PEER.instance_id, "m0", Ping(1, protocol.digest, [PEER])))
    protocol.receive(0.0, ping, PEER.address)
    return protocol
