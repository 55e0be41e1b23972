"""Sequence numbers of pings, by which acks are matched to them."""

from __future__ import annotations

import random

SEQUENCE_NUMBER_LIMIT = 1 << 32  # exclusive


class SequenceNumbers:
    """Counts up from a random number, and wraps around at `SEQUENCE_NUMBER_LIMIT`."""

    def __init__(self, rng: random.Random) -> None:
        self._latest = rng.randrange(SEQUENCE_NUMBER_LIMIT)

    def next(self) -> int:
        """Return the next sequence number."""
        self._latest = (self._latest + 1) % SEQUENCE_NUMBER_LIMIT
        return self._latest
