"""The keyed requests that provably have not run, for senders that lost the connection before the reply. No I/O.

The sender of such a request holds a reservation of its key, and may release it only with proof that nothing ran.
Requests of one incarnation of a process arrive with increasing numbers, so a request with a number above the highest
one received has not arrived.
"""

from __future__ import annotations

from cachetools import LRUCache

MAX_INCARNATIONS = 2048  # most recently seen incarnations of other processes that are remembered
MAX_UNRUN_REQUESTS = 4096  # latest requests known not to have run that are remembered


class UnrunRequests:
    """The requests that have not run, by the incarnation of their sender and their number."""

    def __init__(self) -> None:
        self._highest_number: LRUCache[str, int] = LRUCache(MAX_INCARNATIONS)
        self._unrun: LRUCache[tuple[str, int], None] = LRUCache(MAX_UNRUN_REQUESTS)

    def record_received(self, incarnation: str, number: int) -> None:
        """Record that a keyed request has arrived; it may run from now on."""
        self._highest_number[incarnation] = max(number, self._highest_number.get(incarnation, 0))

    def record_unrun(self, incarnation: str, number: int) -> None:
        """Record that a request that has arrived has not run and never will."""
        self._unrun[incarnation, number] = None

    def is_proven_unrun(self, incarnation: str, number: int) -> bool:
        """Whether a request has not run and never will, provided that nothing sent earlier can still arrive.

        Nothing is proven about requests of an incarnation that is no longer remembered: none of them counts as never
        arrived.
        """
        if (incarnation, number) in self._unrun:
            return True
        highest = self._highest_number.get(incarnation)
        return highest is not None and number > highest
