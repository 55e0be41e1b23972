"""Which life of a machine's backend is the present one, without I/O: heartbeats may come seconds late.

Every start of a backend has a new id, and its heartbeats bear rising sequences. A heartbeat of another id than the
present one's is either the first of a new life or a late one of a former life. A new life's first heartbeat is told by
its sequence. Any other has to be confirmed by a second one, with nothing of the present life in between: a former life
that has ended sends no second one.
"""

from __future__ import annotations

from dataclasses import dataclass

from cachetools import LRUCache

MAX_INCARNATIONS = 64  # lives that are remembered, those heard last
MAX_FIRST_SEQUENCE = 1  # the highest that a life's first heartbeat bears
CONFIRMATION_FRACTION = 0.5  # of the time between two heartbeats: late ones may come together


@dataclass(slots=True)
class _Life:
    """What was heard of one life."""

    sequence: int = -1  # the highest
    heartbeats: int = 0  # whose sequence rose
    signed_off: bool = False
    replaced: bool = False  # another life has taken its place


class BackendIncarnations:
    """The lives that one machine has heard of. `interval`: seconds between two heartbeats of one life."""

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._lives: LRUCache[str, _Life] = LRUCache(MAX_INCARNATIONS)
        self._present = ""
        self._claimant = ""  # the life whose heartbeats have come since the present one's latest
        self._claims_since = 0.0

    def signed_off(self, ident: str) -> None:
        """A life has said its last word, whether it was heard of or not: what else comes of it is late."""
        self._life(ident).signed_off = True

    def is_present(self, now: float, ident: str, sequence: int, silent: bool) -> bool:
        """Whether a heartbeat is of the present life, once it has been heard; `silent`: the present one has ended.

        Guards a backend against being turned away, and its drain against work that comes after its end, by a late
        heartbeat of the life before it.
        """
        life = self._life(ident)
        rises = sequence > life.sequence
        life.sequence = max(life.sequence, sequence)
        life.heartbeats += rises
        if ident == self._present:
            if rises:
                self._claimant = ""
            return True
        if not rises or life.signed_off or not self._takes_over(now, ident, life, silent):
            return False
        if self._present:
            self._life(self._present).replaced = True
        self._present, self._claimant = ident, ""
        life.replaced = False
        return True

    def _takes_over(self, now: float, ident: str, life: _Life, silent: bool) -> bool:
        if not self._present:
            return True
        if not life.replaced and (silent or life.sequence <= MAX_FIRST_SEQUENCE):
            return True
        # A present life that was heard once, in its middle, may itself be the late one: it has no more to show than
        # its claimant.
        present = self._life(self._present)
        if present.heartbeats <= 1 and present.sequence > MAX_FIRST_SEQUENCE:
            return True
        if self._claimant != ident:
            self._claimant, self._claims_since = ident, now
            return False
        return now - self._claims_since >= CONFIRMATION_FRACTION * self._interval

    def _life(self, ident: str) -> _Life:
        found = self._lives.get(ident)
        if found is None:
            found = self._lives[ident] = _Life()
        return found
