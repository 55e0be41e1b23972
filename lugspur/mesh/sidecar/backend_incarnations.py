"""Detection of the current incarnation of a machine's backend from heartbeats that may be seconds late. No I/O.

Each incarnation of a backend has a new id, and its heartbeats carry increasing sequence numbers. A heartbeat whose id
differs from that of the current incarnation is either the first of a new incarnation or a late one of a former one. The
first heartbeat of a new incarnation is recognised by its sequence number. Any other has to be confirmed by a second
heartbeat, with none of the current incarnation in between: a former incarnation has ended and sends no second one.

A process that has just started knows no incarnation. It learns which one the process before it announced, and looks up
whether the one of a heartbeat has ended. If it has not, it is trusted at once, unless another one was announced.
"""

from __future__ import annotations

from dataclasses import dataclass

from cachetools import LRUCache

MAX_INCARNATIONS = 64  # number of incarnations that are remembered, the most recently seen ones
MAX_FIRST_SEQUENCE = 1  # highest sequence number at which a heartbeat counts as the first of its incarnation
# Minimum time between a heartbeat and the one that confirms it, as a fraction of the heartbeat interval. Late
# heartbeats may arrive together, so without a minimum they would confirm each other.
CONFIRMATION_FRACTION = 0.5


@dataclass(slots=True)
class _Incarnation:
    """The recorded state of one incarnation."""

    highest_sequence: int = -1
    heartbeats: int = 0  # number of heartbeats with a higher sequence number than all before
    has_signed_off: bool = False
    is_replaced: bool = False  # another incarnation has taken its place


class BackendIncarnations:
    """The known incarnations of one machine's backend.

    `interval`: heartbeat interval in seconds.
    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._incarnations: LRUCache[str, _Incarnation] = LRUCache(MAX_INCARNATIONS)
        self._current_id = ""
        self._announced_id = ""  # the incarnation that the process before this one announced
        self._candidate_id = ""  # an unconfirmed incarnation, seen since the latest heartbeat of the current one
        self._candidate_since = 0.0

    def record_sign_off(self, ident: str) -> None:
        """Record that an incarnation, known or not, has ended; its later heartbeats are late ones."""
        self._incarnation(ident).has_signed_off = True

    def record_sequence(self, ident: str, sequence: int) -> None:
        """Record a heartbeat that makes its incarnation no other than before; those with lower numbers are late."""
        incarnation = self._incarnation(ident)
        incarnation.highest_sequence = max(incarnation.highest_sequence, sequence)

    def learn_announced(self, ident: str) -> None:
        """Record which incarnation the process before this one announced; an empty id stands for none."""
        self._announced_id = ident

    def record_heartbeat(
        self,
        now: float,
        ident: str,
        sequence: int,
        has_ended: bool,
        *,
        is_doubtful: bool = False,
    ) -> bool:
        """Record a heartbeat, and return whether its incarnation is the current one from now on.

        `is_doubtful`: whether the heartbeat has to be confirmed if no incarnation is known yet.
        `has_ended`: whether the incarnation that was current is silent or has signed off.

        The check prevents a late heartbeat of a former incarnation from replacing the current one, which would get its
        requests rejected, and from undoing a drain, which would send requests to a backend that has ended.
        """
        incarnation = self._incarnation(ident)
        is_newer = sequence > incarnation.highest_sequence
        incarnation.highest_sequence = max(incarnation.highest_sequence, sequence)
        incarnation.heartbeats += is_newer
        if ident == self._current_id:
            if is_newer:
                self._candidate_id = ""
            return True
        if not is_newer or incarnation.has_signed_off:
            return False
        if not self._takes_over(now, ident, incarnation, has_ended, is_doubtful):
            return False
        if self._current_id:
            self._incarnation(self._current_id).is_replaced = True
        self._current_id, self._candidate_id = ident, ""
        incarnation.is_replaced = False
        return True

    def _takes_over(
        self, now: float, ident: str, incarnation: _Incarnation, has_ended: bool, is_doubtful: bool
    ) -> bool:
        if not self._current_id:
            is_expected = self._announced_id in ("", ident) or incarnation.highest_sequence <= MAX_FIRST_SEQUENCE
            return (is_expected and not is_doubtful) or self._is_confirmed(now, ident)
        if not incarnation.is_replaced and (has_ended or incarnation.highest_sequence <= MAX_FIRST_SEQUENCE):
            return True
        # A current incarnation that was seen once, and not from its start, may itself be a former one: there is no more
        # evidence for it than for the candidate, unless the process before this one has announced it.
        current = self._incarnation(self._current_id)
        was_announced = self._current_id == self._announced_id
        if current.heartbeats <= 1 and current.highest_sequence > MAX_FIRST_SEQUENCE and not was_announced:
            return True
        return self._is_confirmed(now, ident)

    def _is_confirmed(self, now: float, ident: str) -> bool:
        """Whether this heartbeat confirms an earlier one of its incarnation; else it has to be confirmed itself."""
        if self._candidate_id != ident:
            self._candidate_id, self._candidate_since = ident, now
            return False
        return now - self._candidate_since >= CONFIRMATION_FRACTION * self._interval

    def _incarnation(self, ident: str) -> _Incarnation:
        incarnation = self._incarnations.get(ident)
        if incarnation is None:
            incarnation = self._incarnations[ident] = _Incarnation()
        return incarnation
