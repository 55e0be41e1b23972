"""Sequence numbers of pings, by which acks find them."""

from __future__ import annotations

import random

SEQUENCE_NUMBERS = 1 << 32  # exclusive


class SequenceNumbers:
    """Counts up from a random number, and wraps around."""

    def __init__(self, rng: random.Random) -> None:
        self._latest = rng.randrange(SEQUENCE_NUMBERS)

    def next(self) -> int:
        """Return the next sequence number."""
        self._latest = (self._latest + 1) % SEQUENCE_NUMBERS
        return self._latest
