"""Names of the protocol's counters, as operators see them under `counts` of `/fleet/members`.

Datagrams that are rejected by their form are counted under `datagrams.RejectionReason`.
"""

from __future__ import annotations

from enum import StrEnum


class GossipCounter(StrEnum):
    """What the protocol counts beside rejected datagrams."""

    SENT = "sent"
    BYTES_SENT = "bytes sent"
    NOT_SENT = "not sent"  # over the rate limit, or refused by the socket
    READ = "read"
    OVER_RATE_LIMIT = "too many"
    FOR_OTHER_RECIPIENT = "for another"
    OF_OTHER_INSTANCE = "of another life"  # from a former process under the sender's name, or a second one
    INCARNATION_TOO_HIGH = "from the future"
    TABLE_FULL = "too many members"
    PAUSED = "stood still"  # this process did not run for a part of a period
    REFUTED = "refuted"  # a suspicion of this process
