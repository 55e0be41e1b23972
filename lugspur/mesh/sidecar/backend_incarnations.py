"""Which incarnation of a machine's backend is the present one: heartbeats may come seconds late. No I/O.

Every start of a backend has a new id, and its heartbeats bear rising sequence numbers. A heartbeat with another id than
the present one's is either the first of a new incarnation or a late one of a former incarnation. The first heartbeat of
a new one is known by its sequence number. Any other has to be confirmed by a second one, with nothing of the present
incarnation in between: a former incarnation, which has ended, sends no second one.
"""

from __future__ import annotations

from dataclasses import dataclass

from cachetools import LRUCache

MAX_INCARNATIONS = 64  # that are remembered, those heard last
MAX_FIRST_SEQUENCE = 1  # the highest sequence number of a first heartbeat
CONFIRMATION_FRACTION = 0.5  # of the time between two heartbeats: late ones may come together


@dataclass(slots=True)
class _Incarnation:
    """What was heard of one incarnation."""

    highest_sequence: int = -1
    heartbeats: int = 0  # whose sequence number was higher than those before
    has_signed_off: bool = False
    is_replaced: bool = False  # another incarnation has taken its place


class BackendIncarnations:
    """The incarnations of one machine's backend that have been heard of.

    `interval`: seconds between two heartbeats of one incarnation.
    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._incarnations: LRUCache[str, _Incarnation] = LRUCache(MAX_INCARNATIONS)
        self._present_id = ""
        self._candidate_id = ""  # of the incarnation heard since the present one's latest heartbeat
        self._candidate_since = 0.0

    def signed_off(self, ident: str) -> None:
        """An incarnation has ended, whether it was heard of or not: what else comes of it is late."""
        self._incarnation(ident).has_signed_off = True

    def is_present(self, now: float, ident: str, sequence: int, has_ended: bool) -> bool:
        """Record a heartbeat, and return whether it is of the incarnation that is present from now on.

        `has_ended`: whether the one that has been present is silent or has signed off. Guards a backend against being
        rejected, and its drain against requests after its end, by a late heartbeat of the incarnation before it.
        """
        incarnation = self._incarnation(ident)
        is_newer = sequence > incarnation.highest_sequence
        incarnation.highest_sequence = max(incarnation.highest_sequence, sequence)
        incarnation.heartbeats += is_newer
        if ident == self._present_id:
            if is_newer:
                self._candidate_id = ""
            return True
        if not is_newer or incarnation.has_signed_off or not self._takes_over(now, ident, incarnation, has_ended):
            return False
        if self._present_id:
            self._incarnation(self._present_id).is_replaced = True
        self._present_id, self._candidate_id = ident, ""
        incarnation.is_replaced = False
        return True

    def _takes_over(self, now: float, ident: str, incarnation: _Incarnation, has_ended: bool) -> bool:
        if not self._present_id:
            return True
        if not incarnation.is_replaced and (has_ended or incarnation.highest_sequence <= MAX_FIRST_SEQUENCE):
            return True
        # A present incarnation that was heard once, and not from its start, may itself be the late one: it has no more
        # to show than the candidate.
        present = self._incarnation(self._present_id)
        if present.heartbeats <= 1 and present.highest_sequence > MAX_FIRST_SEQUENCE:
            return True
        if self._candidate_id != ident:
            self._candidate_id, self._candidate_since = ident, now
            return False
        return now - self._candidate_since >= CONFIRMATION_FRACTION * self._interval

    def _incarnation(self, ident: str) -> _Incarnation:
        found = self._incarnations.get(ident)
        if found is None:
            found = self._incarnations[ident] = _Incarnation()
        return found
