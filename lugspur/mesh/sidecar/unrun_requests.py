"""Which keyed requests are proven not to have run, although the reply may have been lost with its connection.

No I/O. The sender of such a request has a reservation of its key, and may give it back only with proof that nothing
ran. Requests of one incarnation of a process arrive here with rising numbers, so that a number above the highest one
that has arrived never arrived.
"""

from __future__ import annotations

from cachetools import LRUCache

MAX_INCARNATIONS = 2048  # of other processes, those heard last
MAX_UNRUN_REQUESTS = 4096  # that are known not to have run, the latest


class UnrunRequests:
    """By the incarnation of the process that sent a request, and the request's number there."""

    def __init__(self) -> None:
        self._highest_number: LRUCache[str, int] = LRUCache(MAX_INCARNATIONS)
        self._unrun: LRUCache[tuple[str, int], None] = LRUCache(MAX_UNRUN_REQUESTS)

    def received(self, incarnation: str, number: int) -> None:
        """A keyed request has arrived; it may run from now on."""
        self._highest_number[incarnation] = max(number, self._highest_number.get(incarnation, 0))

    def did_not_run(self, incarnation: str, number: int) -> None:
        """A request that has arrived has not run and never will."""
        self._unrun[incarnation, number] = None

    def is_proven_unrun(self, incarnation: str, number: int) -> bool:
        """Whether a request has not run and never will, provided that nothing more arrives of what was sent before.

        What is not remembered is not proven: of an incarnation whose requests are forgotten, none counts as never
        arrived.
        """
        if (incarnation, number) in self._unrun:
            return True
        highest = self._highest_number.get(incarnation)
        return highest is not None and number > highest
