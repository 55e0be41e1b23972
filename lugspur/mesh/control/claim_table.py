"""A voter's side of operation keys, without I/O: who holds a key, and the answer of the operation that has run.

A key is granted to one claimant at a time and kept until its window is over, so that whoever holds the grants of a
majority is the only one. Nothing that was granted is taken back for lack of room: beyond the bound no new key is
granted. Answers may be dropped, the oldest first; a repeat of theirs hears that the operation has run.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from lugspur.invariants import Invariant, check
from lugspur.mesh.control.effects import Effects, Peer, Rows
from lugspur.mesh.control.messages import (
    MAX_PAGE_BYTES,
    BackendResponse,
    CompleteKey,
    ReleaseKey,
    ReservationsPage,
    ReserveKey,
    ReserveKeyReply,
    StoredReservation,
)

MARGIN = 10.0  # seconds that a claim is kept beyond its window: a first try may be long on its way to here
ANSWER_MOST = 64 << 10  # bytes of an answer that is kept for repeats
ANSWERS_PART = 0.15  # of the memory limit, for all of them: the oldest go first, their claims stay
ANSWERS_LEFT = 0.8  # of that, once they are too many
CLAIMS_PART = 0.15  # of the memory limit, for claims, at CLAIM_BYTES each; beyond it none is granted
CLAIM_BYTES = 600
NOBODY = b""  # holds a key of which others told two claimants: either may have won, so that neither is granted it
CLAIM_PREFIX = b"c"

_pack = msgspec.msgpack.Encoder().encode
_kept = msgspec.msgpack.Decoder(StoredReservation)


class HeldClaim:
    """One claim in memory; `at` and `until` by the steady clock."""

    __slots__ = ("answer", "at", "by", "until")

    def __init__(self, by: bytes, at: float, until: float, answer: BackendResponse | None) -> None:
        self.by, self.at, self.until, self.answer = by, at, until, answer


def _size(answer: BackendResponse | None) -> int:
    return 0 if answer is None else len(answer.body) + len(answer.head)


class ClaimTable:
    """Claims by key, the longest kept first. `window`: seconds in which a key runs once; `memory`: of the process."""

    def __init__(self, window: float, memory: int) -> None:
        self.kept_for = window + MARGIN
        self._claims: dict[bytes, HeldClaim] = {}
        self._claims_most = int(memory * CLAIMS_PART / CLAIM_BYTES)
        self._answers_most = int(memory * ANSWERS_PART)
        self._answers = 0  # bytes

    def __len__(self) -> int:
        return len(self._claims)

    def items(self) -> Iterator[tuple[bytes, HeldClaim]]:
        """All claims, by key."""
        return iter(self._claims.items())

    def restore(self, rows: Iterable[tuple[bytes, bytes]], now: float) -> None:
        """Take up what is on disk; rows of others are passed over."""
        for key, value in rows:
            if key.startswith(CLAIM_PREFIX):
                kept = _kept.decode(value)
                self._hold(key[1:], HeldClaim(kept.owner, now, now + kept.seconds_left, kept.response))

    # ---- claimants -----------------------------------------------------------------------

    def claim(self, now: float, peer: Peer, message: ReserveKey, epoch: int) -> Effects:
        """One wants to run a key's operation."""
        key, by = message.key, message.owner
        held = self._claims.get(key)
        if held is not None and (held.by != by or held.answer is not None):
            busy = held.answer is None and now < held.until
            return Effects(send=[(peer, ReserveKeyReply(key, by, epoch, False, True, busy, held.answer))])
        if held is None and len(self._claims) >= self._claims_most:
            return Effects(send=[(peer, ReserveKeyReply(key, by, epoch, False))])
        check(held is None or held.by == by, Invariant.ONE_HOLDER, by=by)
        self._hold(key, HeldClaim(by, now, now + message.seconds_left, None))
        row = (CLAIM_PREFIX + key, _pack(StoredReservation(by, message.seconds_left)))
        return Effects(write=[row], after_sync=[(peer, ReserveKeyReply(key, by, epoch, True))])

    def done(self, now: float, message: CompleteKey, complete: bool) -> Effects:
        """A key's operation has run; others that hold it here never did and never will."""
        answer = message.response if len(message.response.body) <= ANSWER_MOST else None
        held = self._claims.get(message.key)
        if held is not None and held.by == message.owner:
            self._drop_answer(held)
            held.answer, held.until = answer, now
            self._answers += _size(answer)
        elif complete:
            self._hold(message.key, HeldClaim(message.owner, now, now, answer))
        else:
            return Effects()
        self._trim()
        return Effects(write=[(CLAIM_PREFIX + message.key, _pack(StoredReservation(message.owner, 0.0, answer)))])

    def release(self, message: ReleaseKey) -> Effects:
        """A claim is given back: nothing ran under it."""
        held = self._claims.get(message.key)
        if held is None or held.by != message.owner or held.answer is not None:
            return Effects()
        self._drop(message.key)
        return Effects(write=[(CLAIM_PREFIX + message.key, None)])

    def sweep(self, now: float) -> Effects:
        """Forget claims whose window is over."""
        effects = Effects()
        for key, held in self._claims.items():
            if held.at + self.kept_for > now:
                break
            effects.write.append((CLAIM_PREFIX + key, None))
        for row, _ in effects.write:
            self._drop(row[1:])
        return effects

    # ---- other voters --------------------------------------------------------------------

    def pages(self, now: float, epoch: int) -> list[ReservationsPage]:
        """All claims, in frames of a bounded size."""
        pages = [ReservationsPage(epoch, 0, [], False)]
        size = 0
        for key, held in self._claims.items():
            size += len(key) + 64 + _size(held.answer)
            if size > MAX_PAGE_BYTES:
                pages.append(ReservationsPage(epoch, len(pages), [], False))
                size = 0
            pages[-1].reservations.append((key, StoredReservation(held.by, max(0.0, held.until - now), held.answer)))
        pages[-1].is_last = True
        return pages

    def merge(self, now: float, claims: Iterable[tuple[bytes, StoredReservation]]) -> Rows:
        """Take what another voter holds; returns what to write."""
        rows: Rows = []
        for key, kept in claims:
            mine = self._claims.get(key)
            if mine is not None and mine.answer is not None:
                continue
            if mine is not None and kept.response is None and mine.by != kept.owner:
                # Guards against a second run: one of the two may have won with voters of the epoch before.
                kept = StoredReservation(NOBODY, max(mine.until - now, kept.seconds_left, 0.0))
            self._hold(key, HeldClaim(kept.owner, now, now + kept.seconds_left, kept.response))
            rows.append((CLAIM_PREFIX + key, _pack(kept)))
        self._trim()
        return rows

    # ---- memory --------------------------------------------------------------------------

    def _hold(self, key: bytes, held: HeldClaim) -> None:
        self._drop(key)
        self._claims[key] = held
        self._answers += _size(held.answer)

    def _drop(self, key: bytes) -> None:
        held = self._claims.pop(key, None)
        if held is not None:
            self._drop_answer(held)

    def _drop_answer(self, held: HeldClaim) -> None:
        self._answers -= _size(held.answer)
        held.answer = None

    def _trim(self) -> None:
        """Guards memory: the oldest answers go, and a repeat of theirs is told that it has run."""
        if self._answers <= self._answers_most:
            return
        for held in self._claims.values():
            self._drop_answer(held)
            if self._answers <= ANSWERS_LEFT * self._answers_most:
                break
