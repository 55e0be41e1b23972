"""What is proven of keyed requests whose reply may have been lost with its connection, without I/O.

The sender of such a request holds a claim on its key and may give it back only with proof that nothing ran. Requests of
one life of a process come here by rising numbers, so that a number above the highest that came has never come.
"""

from __future__ import annotations

from cachetools import LRUCache

MAX_INCARNATIONS = 2048  # lives of other processes, those heard last
MAX_UNRUN_REQUESTS = 4096  # requests that are known not to have run, the latest


class RequestOutcomes:
    """By the life of the process that sent a request, and its number there."""

    def __init__(self) -> None:
        self._latest: LRUCache[str, int] = LRUCache(MAX_INCARNATIONS)
        self._unrun: LRUCache[tuple[str, int], None] = LRUCache(MAX_UNRUN_REQUESTS)

    def came(self, life: str, number: int) -> None:
        """A keyed request has come; it may run from now on."""
        self._latest[life] = max(number, self._latest.get(life, 0))

    def did_not_run(self, life: str, number: int) -> None:
        """One that came has not run and never will."""
        self._unrun[life, number] = None

    def proven_unrun(self, life: str, number: int) -> bool:
        """Whether a request has not run and never will, provided that nothing more comes of what was sent before.

        What is not remembered is not proven: a life whose requests are forgotten has none that never came.
        """
        if (life, number) in self._unrun:
            return True
        latest = self._latest.get(life)
        return latest is not None and number > latest
