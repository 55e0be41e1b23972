"""The datagrams that wait to be sent, within the rate limit."""

from __future__ import annotations

from collections import Counter

from lugspur.daemon.gossip.counters import GossipCounter
from lugspur.daemon.gossip.datagrams import DatagramCodec
from lugspur.daemon.gossip.events import Address
from lugspur.daemon.gossip.messages import MemberRecord, Message, Packet
from lugspur.daemon.gossip.rate_limits import DatagramRateLimiter


class Outbox:
    """Encodes this process's messages and holds them until the transport takes them.

    Attributes:
        codec: The fleet's datagram format.
        silent_until: Until when nothing is sent, in seconds of the local clock.
    """

    def __init__(
        self,
        codec: DatagramCodec,
        sender: MemberRecord,
        rate_limiter: DatagramRateLimiter,
        counters: Counter[str],
        now: float,
    ) -> None:
        self.codec = codec
        self.silent_until = now
        self._sender, self._sender_instance_id = sender.name, sender.instance_id
        self._rate_limiter, self._counters = rate_limiter, counters
        self._datagrams: list[tuple[Address, bytes]] = []

    @property
    def max_packet_bytes(self) -> int:
        """Bytes that a packet may take."""
        return self.codec.max_packet_bytes

    def send(self, now: float, address: Address, message: Message, recipient: str) -> None:
        """Queue a message, unless this process is silent or over its rate limit.

        Args:
            now: Seconds of the local clock.
            address: Where the datagram goes.
            message: What it says.
            recipient: The member that it is meant for; empty: whoever receives at that address.
        """
        if now < self.silent_until:
            return
        data = self.codec.encode(Packet(self._sender, self._sender_instance_id, recipient, message))
        if not self._rate_limiter.allows_send(len(data), now):
            self._counters[GossipCounter.NOT_SENT] += 1
            return
        self._counters[GossipCounter.SENT] += 1
        self._counters[GossipCounter.BYTES_SENT] += len(data)
        self._datagrams.append((address, data))

    def take(self) -> list[tuple[Address, bytes]]:
        """Remove and return the queued datagrams, each with its address."""
        datagrams, self._datagrams = self._datagrams, []
        return datagrams
