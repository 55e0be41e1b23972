"""What one replica keeps and promises, without I/O: items, claims of keys, the membership and ballots on the next.

Every method takes inputs and returns what to send at once, what to write, and what to send once that is on disk.
Nothing is promised before it is synced.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from lugspur.control.items import SOFT
from lugspur.control.messages import (
    ENTRIES_PAGE,
    Accept,
    Accepted,
    Answer,
    Ask,
    Claim,
    Done,
    Entry,
    Fetch,
    Kept,
    Membership,
    Message,
    Prepare,
    Promise,
    Put,
    Release,
    Said,
    State,
    Verdict,
    Voter,
)
from lugspur.control.store import Store

MARGIN = 10.0  # seconds that a claim is kept beyond its window: a first try may be long on its way to here
ANSWER_MOST = 64 << 10  # bytes of an answer that is kept for repeats
ANSWERS_PART = 0.15  # of the memory limit, for all of them: the oldest go first, their claims stay
CLAIMS_PART = 0.15  # of the memory limit, for claims, at CLAIM_BYTES each; beyond it none is granted
CLAIM_BYTES = 600
GENESIS = "genesis"  # the uid of a voter that the first membership has
NOBODY = b""  # holds a key of which others told two claimants: either may have won, so that neither is granted it

Peer = Any  # whoever a message came from; only handed back


@dataclass(slots=True)
class Effects:
    """What to do, in this order; `then` waits until `write` is on disk, and is dropped where that fails."""

    send: list[tuple[Peer, Message]] = field(default_factory=list)
    write: list[tuple[bytes, bytes | None]] = field(default_factory=list)
    then: list[tuple[Peer, Message]] = field(default_factory=list)


class Held:
    """One claim in memory; `at` and `until` by the steady clock."""

    __slots__ = ("answer", "at", "by", "until")

    def __init__(self, by: bytes, at: float, until: float, answer: Answer | None) -> None:
        self.by, self.at, self.until, self.answer = by, at, until, answer


_pack = msgspec.msgpack.Encoder().encode
_entry = msgspec.msgpack.Decoder(Entry)
_kept = msgspec.msgpack.Decoder(Kept)
_membership = msgspec.msgpack.Decoder(Membership)
_ballot = msgspec.msgpack.Decoder(tuple[int, tuple[int, str], tuple[int, str] | None, Membership | None])
_flag = msgspec.msgpack.Decoder(tuple[int, bool])

UID, ROSTER, FULL, BALLOT = b"muid", b"mroster", b"mfull", b"mballot"


def item_key(entry: Entry) -> bytes:
    """Where an entry lies on disk."""
    return b"i" + entry.kind.encode() + b"\0" + entry.name.encode()


def membership_entry(membership: Membership) -> Entry:
    """The membership as an entry like others: that is how all hear of it."""
    return Entry("membership", "", membership.epoch, _pack(membership))


def read_membership(value: bytes) -> Membership:
    """The membership of its entry."""
    return _membership.decode(value)


def majority(count: int) -> int:
    """How many of so many are more than half."""
    return count // 2 + 1


class Replica:
    """One replica's state. `window`: seconds for which a key runs once; `memory`: bytes that the process may use."""

    def __init__(self, ip: str, uid: str, zone: str, window: float, memory: int, store: Store) -> None:
        self.voter = Voter(ip, uid, zone)
        self.store = store
        self.membership: Membership | None = None
        self.full = False  # it has all that a voter of this epoch must have
        self._window = window + MARGIN
        self._claims: dict[bytes, Held] = {}  # the longest kept first
        self._claims_most = int(memory * CLAIMS_PART / CLAIM_BYTES)
        self._answers_most = int(memory * ANSWERS_PART)
        self._answers = 0  # bytes
        self._promised: tuple[int, str] = (0, "")
        self._accepted: tuple[int, str] | None = None
        self._value: Membership | None = None

    # ---- start ---------------------------------------------------------------------------

    def begin(self, seeds: Iterable[Voter]) -> Effects:
        """The very first start of the whole system: the seeds are the voters, and there is nothing to catch up with."""
        self.membership = Membership(1, sorted(seeds, key=lambda voter: voter.ip), 0)
        self.full = self.is_voter
        self.store.merge([membership_entry(self.membership)])
        return Effects(write=[(UID, self.voter.uid.encode()), *self._epoch_rows()])

    def restore(self, rows: Iterable[tuple[bytes, bytes]], now: float) -> None:
        """Take up what is on disk."""
        full: tuple[int, bool] = (0, False)
        entries: list[Entry] = []
        ballot = None
        for key, value in rows:
            if key.startswith(b"i"):
                entries.append(_entry.decode(value))
            elif key.startswith(b"c"):
                kept = _kept.decode(value)
                self._hold(key[1:], Held(kept.by, now, now + kept.left, kept.answer))
            elif key == ROSTER:
                self.membership = _membership.decode(value)
            elif key == FULL:
                full = _flag.decode(value)
            elif key == BALLOT:
                ballot = _ballot.decode(value)
            elif key == UID:
                self.voter = Voter(self.voter.ip, value.decode(), self.voter.zone)
        self.store.merge(entries)
        if self.membership is not None:
            self.store.merge([membership_entry(self.membership)])
            self.full = full == (self.membership.epoch, True) and self.is_voter
            if ballot is not None and ballot[0] == self.membership.epoch:
                _, self._promised, self._accepted, self._value = ballot

    @property
    def epoch(self) -> int:
        """The epoch of the membership that it goes by, 0 before any."""
        return 0 if self.membership is None else self.membership.epoch

    @property
    def is_voter(self) -> bool:
        """Whether this disk is in the membership."""
        return self.membership is not None and any(
            (s.ip, s.uid) == (self.voter.ip, self.voter.uid) for s in self.membership.voters
        )

    def _epoch_rows(self) -> list[tuple[bytes, bytes | None]]:
        assert self.membership is not None
        return [(ROSTER, _pack(self.membership)), (FULL, _pack((self.membership.epoch, self.full)))]

    # ---- what voters are asked --------------------------------------------------------------

    def judge(self, now: float, peer: Peer, message: Message) -> Effects:
        """Something for this replica as a voter; what changed has to go ahead of the answer to Ask."""
        if isinstance(message, Claim):
            return self.claim(now, peer, message)
        if isinstance(message, Done):
            return self.done(now, message)
        if isinstance(message, Release):
            return self.release(message)
        if isinstance(message, Ask):
            return self.ask(peer, message)
        if isinstance(message, Put):
            return self.put(peer, message)
        if isinstance(message, Prepare):
            return self.prepare(peer, message)
        if isinstance(message, Accept):
            return self.accept(peer, message)
        if isinstance(message, Fetch):
            return self.fetch(now, peer, message)
        return Effects()  # nothing that a voter is asked

    # ---- the membership ----------------------------------------------------------------------

    def adopt(self, membership: Membership) -> Effects:
        """Go by a newer membership. What it has stays good only from one epoch to the very next one."""
        if membership.epoch <= self.epoch:
            return Effects()
        follows = self.full and membership.epoch == self.epoch + 1
        self.membership = membership
        self.full = follows and self.is_voter
        self._promised, self._accepted, self._value = (0, ""), None, None
        self.store.merge([membership_entry(membership)])
        return Effects(write=[(UID, self.voter.uid.encode()), *self._epoch_rows()])

    def fetch(self, now: float, peer: Peer, message: Fetch) -> Effects:
        """A new voter wants all; nothing is granted under the older membership from here on."""
        effects = self.adopt(message.membership)
        if not self.full or message.membership.epoch != self.epoch:
            return effects
        entries = [entry for entry in self.store.all() if entry.kind not in SOFT]
        claims = [(key, Kept(h.by, max(0.0, h.until - now), h.answer)) for key, h in self._claims.items()]
        effects.then += [(peer, page) for page in _pages(self.epoch, entries, claims)]
        if not effects.write:
            effects.write = self._epoch_rows()  # Guards the fence: it has to be on disk before it is relied on
        return effects

    def caught_up(self, now: float, epoch: int, parts: Iterable[State]) -> Effects:
        """A majority of the epoch before has told all: from here on it counts as a voter."""
        if epoch != self.epoch or not self.is_voter or self.full:
            return Effects()
        effects = Effects()
        for part in parts:
            self.store.merge(part.entries)
            for key, kept in part.claims:
                mine = self._claims.get(key)
                if mine is not None and mine.answer is not None:
                    continue
                if mine is not None and kept.answer is None and mine.by != kept.by:
                    # Guards against a second run: one of the two may have won with voters of the epoch before.
                    kept = Kept(NOBODY, max(mine.until - now, kept.left, 0.0))
                self._hold(key, Held(kept.by, now, now + kept.left, kept.answer))
                effects.write.append((b"c" + key, _pack(kept)))
        effects.write += [(item_key(e), _pack(e)) for e in self.store.all() if e.kind not in SOFT]
        self.full = True
        effects.write += self._epoch_rows()
        return effects

    def prepare(self, peer: Peer, message: Prepare) -> Effects:
        """A ballot on the next membership opens."""
        if message.epoch != self.epoch or not self.full or message.ballot <= self._promised:
            higher = self._promised[0] if message.epoch == self.epoch else 0
            return Effects(send=[(peer, Promise(message.epoch, message.ballot, False, higher=higher))])
        self._promised = message.ballot
        return Effects(
            write=[self._ballot_row()],
            then=[(peer, Promise(message.epoch, message.ballot, True, self._accepted, self._value))],
        )

    def accept(self, peer: Peer, message: Accept) -> Effects:
        """The membership of a ballot, to be accepted unless a higher ballot has opened."""
        if message.epoch != self.epoch or not self.full or message.ballot < self._promised:
            return Effects(send=[(peer, Accepted(message.epoch, message.ballot, False))])
        self._promised = self._accepted = message.ballot
        self._value = message.value
        return Effects(write=[self._ballot_row()], then=[(peer, Accepted(message.epoch, message.ballot, True))])

    def _ballot_row(self) -> tuple[bytes, bytes]:
        return BALLOT, _pack((self.epoch, self._promised, self._accepted, self._value))

    # ---- items ---------------------------------------------------------------------------

    def ask(self, peer: Peer, message: Ask) -> Effects:
        """Whether what went ahead on this connection is all that a voter has."""
        return Effects(send=[(peer, Said(message.n, self.full and message.epoch == self.epoch, self.epoch))])

    def put(self, peer: Peer, message: Put) -> Effects:
        """Keep entries; the answer comes once they, or what overtook them, are on disk."""
        if not self.full or message.epoch != self.epoch:
            return Effects(send=[(peer, Said(message.n, False, self.epoch))])
        for entry in message.entries:
            standing = self.store.get(entry.kind, entry.name)
            if standing is not None and standing.edition == entry.edition and standing.value != entry.value:
                return Effects(send=[(peer, Said(message.n, False, self.epoch, True))])
        self.store.merge(message.entries)
        rows: list[tuple[bytes, bytes | None]] = []
        for entry in message.entries:
            standing = self.store.get(entry.kind, entry.name)
            assert standing is not None
            rows.append((item_key(standing), _pack(standing)))
        return Effects(write=rows, then=[(peer, Said(message.n, True, self.epoch))])

    def heard(self, entries: Iterable[Entry]) -> Effects:
        """What others told of came into the store: it is kept too, and the membership is gone by."""
        effects = Effects()
        for entry in entries:
            if entry.kind == "membership" and entry.value is not None:
                effects.write += self.adopt(read_membership(entry.value)).write
            elif entry.kind not in SOFT:
                effects.write.append((item_key(entry), _pack(entry)))
        return effects

    # ---- claims --------------------------------------------------------------------------

    def claim(self, now: float, peer: Peer, message: Claim) -> Effects:
        """One wants to run a key's operation."""
        key, by = message.key, message.by
        if not self.full or message.epoch != self.epoch:
            return Effects(send=[(peer, Verdict(key, by, self.epoch, False))])
        held = self._claims.get(key)
        if held is not None and (held.by != by or held.answer is not None):
            busy = held.answer is None and now < held.until
            return Effects(send=[(peer, Verdict(key, by, self.epoch, False, True, busy, held.answer))])
        if held is None and len(self._claims) >= self._claims_most:
            return Effects(send=[(peer, Verdict(key, by, self.epoch, False))])
        self._hold(key, Held(by, now, now + message.left, None))
        return Effects(
            write=[(b"c" + key, _pack(Kept(by, message.left)))], then=[(peer, Verdict(key, by, self.epoch, True))]
        )

    def done(self, now: float, message: Done) -> Effects:
        """A key's operation has run; others that hold it here never did and never will."""
        answer = message.answer if len(message.answer.body) <= ANSWER_MOST else None
        held = self._claims.get(message.key)
        if held is not None and held.by == message.by:
            self._drop_answer(held)
            held.answer, held.until = answer, now
            self._answers += 0 if answer is None else len(answer.body) + len(answer.head)
        elif self.full:
            self._hold(message.key, Held(message.by, now, now, answer))
        else:
            return Effects()
        self._trim()
        return Effects(write=[(b"c" + message.key, _pack(Kept(message.by, 0.0, answer)))])

    def release(self, message: Release) -> Effects:
        """A claim is given back: nothing ran under it."""
        held = self._claims.get(message.key)
        if held is None or held.by != message.by or held.answer is not None:
            return Effects()
        self._drop(message.key)
        return Effects(write=[(b"c" + message.key, None)])

    def sweep(self, now: float) -> Effects:
        """Forget claims whose window is over."""
        effects = Effects()
        for key, held in self._claims.items():
            if held.at + self._window > now:
                break
            effects.write.append((b"c" + key, None))
        for row, _ in effects.write:
            self._drop(row[1:])
        return effects

    @property
    def claims(self) -> int:
        """How many claims it keeps."""
        return len(self._claims)

    def _hold(self, key: bytes, held: Held) -> None:
        self._drop(key)
        self._claims[key] = held
        if held.answer is not None:
            self._answers += len(held.answer.body) + len(held.answer.head)

    def _drop(self, key: bytes) -> None:
        held = self._claims.pop(key, None)
        if held is not None:
            self._drop_answer(held)

    def _drop_answer(self, held: Held) -> None:
        if held.answer is not None:
            self._answers -= len(held.answer.body) + len(held.answer.head)
            held.answer = None

    def _trim(self) -> None:
        """Guards memory: the oldest answers go, and a repeat of theirs is told that it has run."""
        if self._answers <= self._answers_most:
            return
        for held in self._claims.values():
            self._drop_answer(held)
            if self._answers <= 0.8 * self._answers_most:
                break


def _pages(epoch: int, entries: list[Entry], claims: list[tuple[bytes, Kept]]) -> list[State]:
    """All of it in frames of a bounded size."""
    pages = [State(epoch, [], [], False)]
    size = 0
    for entry in entries:
        size += len(entry.name) + len(entry.value or b"") + 32
        if size > ENTRIES_PAGE:
            pages.append(State(epoch, [], [], False))
            size = 0
        pages[-1].entries.append(entry)
    for key, kept in claims:
        size += len(key) + 64 + (0 if kept.answer is None else len(kept.answer.body) + len(kept.answer.head))
        if size > ENTRIES_PAGE:
            pages.append(State(epoch, [], [], False))
            size = 0
        pages[-1].claims.append((key, kept))
    pages[-1].last = True
    return pages
