"""Names of the protocol's counters, as operators see them under `counts` of `/fleet/members`.

Datagrams that can't be decoded are counted under the values of `datagrams.RejectionReason`.
"""

from __future__ import annotations

from enum import StrEnum


class GossipCounter(StrEnum):
    """What the protocol counts, apart from datagrams that can't be decoded."""

    SENT = "sent"
    BYTES_SENT = "bytes sent"
    NOT_SENT = "not sent"  # datagrams that exceeded the rate limit or that the socket refused
    READ = "read"  # datagrams that were accepted
    OVER_RATE_LIMIT = "too many"
    FOR_OTHER_RECIPIENT = "for another"
    OF_OTHER_INSTANCE = "of another life"  # datagrams of a former or a second process under the sender's name
    INCARNATION_TOO_HIGH = "from the future"
    TABLE_FULL = "too many members"
    PAUSED = "stood still"  # pauses, in which this process did not run for a part of a protocol period
    REFUTED = "refuted"  # reports that suspect this process or declare it dead or departed
