"""The queue of datagrams to be sent, which applies the rate limit."""

from __future__ import annotations

from collections import Counter

from lugspur.daemon.gossip.counters import GossipCounter
from lugspur.daemon.gossip.datagrams import DatagramCodec
from lugspur.daemon.gossip.events import Address
from lugspur.daemon.gossip.messages import MemberRecord, Message, Packet
from lugspur.daemon.gossip.rate_limits import DatagramRateLimiter


class Outbox:
    """Encodes this process's messages and queues the datagrams until the transport takes them.

    Attributes:
        codec: The fleet's datagram format.
        silent_until: The time before which nothing is sent, in seconds of the local clock.
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
        """The largest size of an encoded packet that fits into a datagram."""
        return self.codec.max_packet_bytes

    def send(self, now: float, address: Address, message: Message, recipient: str) -> None:
        """Queue a message, unless this process is silent or exceeds its rate limit.

        Args:
            now: Seconds of the local clock.
            address: The address to which the datagram is sent.
            message: The message.
            recipient: The name of the member that has to handle it; empty if any process at that address may.
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
