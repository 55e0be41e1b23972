"""Rate limits: datagrams read per second, from one source and from all, and bytes sent per second."""

from __future__ import annotations

from collections import OrderedDict

from lugspur.daemon.gossip.messages import MAX_DATAGRAM_BYTES

# Limits for datagrams from one address. A member sends about 20 per second when everything fails at once.
MAX_SOURCE_DATAGRAMS_PER_SECOND, MAX_SOURCE_BURST_DATAGRAMS = 100.0, 200.0
# Limits for datagrams from all addresses together. One takes about 100 us, so this is at most a fifth of a core.
MAX_DATAGRAMS_PER_SECOND, MAX_BURST_DATAGRAMS = 2000.0, 2000.0
# Addresses whose rate is tracked: four times `MAX_MEMBERS`. Beyond them, the least recently active one is dropped.
MAX_TRACKED_SOURCES = 4096
# Limits for all sent bytes: a hundred times what a member sends in a quiet fleet.
MAX_SENT_BYTES_PER_SECOND, MAX_SENT_BURST_BYTES = 128 * 1024.0, 256 * 1024.0


class TokenBucket:
    """A rate limit per second that allows a burst.

    Args:
        rate: Tokens that are added per second.
        burst: The most tokens that the bucket holds; it starts full.
        now: Seconds of a monotonic clock.
    """

    __slots__ = ("_burst", "_rate", "_tokens", "_updated_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate, self._burst = rate, burst
        self._tokens, self._updated_at = burst, now

    def take(self, tokens: float, now: float) -> bool:
        """Remove this many tokens; if there are fewer, remove none and return False."""
        if now > self._updated_at:
            self._tokens = min(self._burst, self._tokens + self._rate * (now - self._updated_at))
            self._updated_at = now
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True


class DatagramRateLimiter:
    """Decides which datagrams one process reads and sends."""

    def __init__(self, now: float) -> None:
        self._source_buckets: OrderedDict[str, TokenBucket] = OrderedDict()  # the least recently active one first
        self._receive_bucket = TokenBucket(MAX_DATAGRAMS_PER_SECOND, MAX_BURST_DATAGRAMS, now)
        self._send_bucket = TokenBucket(MAX_SENT_BYTES_PER_SECOND, MAX_SENT_BURST_BYTES, now)

    def allows_receive(self, source: str, now: float) -> bool:
        """Return whether a datagram from this source may be read.

        The source's own limit is checked first, so that a flood from one address does not use up the limit for all.
        """
        bucket = self._source_buckets.get(source)
        if bucket is None:
            if len(self._source_buckets) >= MAX_TRACKED_SOURCES:
                self._source_buckets.popitem(last=False)
            bucket = TokenBucket(MAX_SOURCE_DATAGRAMS_PER_SECOND, MAX_SOURCE_BURST_DATAGRAMS, now)
            self._source_buckets[source] = bucket
        self._source_buckets.move_to_end(source)
        return bucket.take(1.0, now) and self._receive_bucket.take(1.0, now)

    def allows_send(self, size_bytes: int, now: float) -> bool:
        """Return whether a datagram of this size may be sent."""
        return self._send_bucket.take(min(size_bytes, MAX_DATAGRAM_BYTES), now)
