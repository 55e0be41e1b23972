"""What one comb keeps and promises, without I/O: items, claims of keys, the roster and the ballots on the next one.

Every method takes inputs and returns what to send at once, what to write, and what to send once that is on disk.
Nothing is promised before it is synced.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from lugspur.hive.items import SOFT
from lugspur.hive.ledger import Ledger
from lugspur.hive.wire import (
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
    Message,
    Prepare,
    Promise,
    Put,
    Release,
    Roster,
    Said,
    Seat,
    State,
    Verdict,
)

MARGIN = 10.0  # seconds that a claim is kept beyond its window: a first try may be long on its way to here
ANSWER_MOST = 64 << 10  # bytes of an answer that is kept for repeats
ANSWERS_PART = 0.15  # of the memory limit, for all of them: the oldest go first, their claims stay
CLAIMS_PART = 0.15  # of the memory limit, for claims, at CLAIM_BYTES each; beyond it none is granted
CLAIM_BYTES = 600
GENESIS = "genesis"  # the uid of a seat that the first roster has
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
_roster = msgspec.msgpack.Decoder(Roster)
_ballot = msgspec.msgpack.Decoder(tuple[int, tuple[int, str], tuple[int, str] | None, Roster | None])
_flag = msgspec.msgpack.Decoder(tuple[int, bool])

UID, ROSTER, FULL, BALLOT = b"muid", b"mroster", b"mfull", b"mballot"


def item_key(entry: Entry) -> bytes:
    """Where an entry lies on disk."""
    return b"i" + entry.kind.encode() + b"\0" + entry.name.encode()


def roster_entry(roster: Roster) -> Entry:
    """The roster as an entry like others: that is how all hear of it."""
    return Entry("roster", "", roster.epoch, _pack(roster))


def read_roster(value: bytes) -> Roster:
    """The roster of its entry."""
    return _roster.decode(value)


def majority(count: int) -> int:
    """How many of so many are more than half."""
    return count // 2 + 1


class Comb:
    """One comb's state. `window`: seconds for which a key runs once; `memory`: bytes that the process may use."""

    def __init__(self, ip: str, uid: str, zone: str, window: float, memory: int, ledger: Ledger) -> None:
        self.seat = Seat(ip, uid, zone)
        self.ledger = ledger
        self.roster: Roster | None = None
        self.full = False  # it has all that a seat of this epoch must have
        self._window = window + MARGIN
        self._claims: dict[bytes, Held] = {}  # the longest kept first
        self._claims_most = int(memory * CLAIMS_PART / CLAIM_BYTES)
        self._answers_most = int(memory * ANSWERS_PART)
        self._answers = 0  # bytes
        self._promised: tuple[int, str] = (0, "")
        self._accepted: tuple[int, str] | None = None
        self._value: Roster | None = None

    # ---- start ---------------------------------------------------------------------------

    def begin(self, seeds: Iterable[Seat]) -> Effects:
        """The very first start of the whole system: the seeds are the roster, and there is nothing to catch up with."""
        self.roster = Roster(1, sorted(seeds, key=lambda seat: seat.ip), 0)
        self.full = self.seated
        self.ledger.merge([roster_entry(self.roster)])
        return Effects(write=[(UID, self.seat.uid.encode()), *self._epoch_rows()])

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
                self.roster = _roster.decode(value)
            elif key == FULL:
                full = _flag.decode(value)
            elif key == BALLOT:
                ballot = _ballot.decode(value)
            elif key == UID:
                self.seat = Seat(self.seat.ip, value.decode(), self.seat.zone)
        self.ledger.merge(entries)
        if self.roster is not None:
            self.ledger.merge([roster_entry(self.roster)])
            self.full = full == (self.roster.epoch, True) and self.seated
            if ballot is not None and ballot[0] == self.roster.epoch:
                _, self._promised, self._accepted, self._value = ballot

    @property
    def epoch(self) -> int:
        """The epoch of the roster that it goes by, 0 before any."""
        return 0 if self.roster is None else self.roster.epoch

    @property
    def seated(self) -> bool:
        """Whether this disk is in the roster."""
        return self.roster is not None and any(
            (s.ip, s.uid) == (self.seat.ip, self.seat.uid) for s in self.roster.seats
        )

    def _epoch_rows(self) -> list[tuple[bytes, bytes | None]]:
        assert self.roster is not None
        return [(ROSTER, _pack(self.roster)), (FULL, _pack((self.roster.epoch, self.full)))]

    # ---- what seats are asked --------------------------------------------------------------

    def judge(self, now: float, peer: Peer, message: Message) -> Effects:
        """Something for this comb as a seat; what changed has to go ahead of the answer to Ask."""
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
        return Effects()  # nothing that a seat is asked

    # ---- the roster ----------------------------------------------------------------------

    def adopt(self, roster: Roster) -> Effects:
        """Go by a newer roster. What it has stays good only from one epoch to the very next one."""
        if roster.epoch <= self.epoch:
            return Effects()
        follows = self.full and roster.epoch == self.epoch + 1
        self.roster = roster
        self.full = follows and self.seated
        self._promised, self._accepted, self._value = (0, ""), None, None
        self.ledger.merge([roster_entry(roster)])
        return Effects(write=[(UID, self.seat.uid.encode()), *self._epoch_rows()])

    def fetch(self, now: float, peer: Peer, message: Fetch) -> Effects:
        """One who has a seat and nothing else wants all; nothing is granted under the older roster from here on."""
        effects = self.adopt(message.roster)
        if not self.full or message.roster.epoch != self.epoch:
            return effects
        entries = [entry for entry in self.ledger.all() if entry.kind not in SOFT]
        claims = [(key, Kept(h.by, max(0.0, h.until - now), h.answer)) for key, h in self._claims.items()]
        effects.then += [(peer, page) for page in _pages(self.epoch, entries, claims)]
        if not effects.write:
            effects.write = self._epoch_rows()  # Guards the fence: it has to be on disk before it is relied on
        return effects

    def caught_up(self, now: float, epoch: int, parts: Iterable[State]) -> Effects:
        """A majority of the epoch before has told all: from here on it counts as a seat."""
        if epoch != self.epoch or not self.seated or self.full:
            return Effects()
        effects = Effects()
        for part in parts:
            self.ledger.merge(part.entries)
            for key, kept in part.claims:
                mine = self._claims.get(key)
                if mine is not None and mine.answer is not None:
                    continue
                if mine is not None and kept.answer is None and mine.by != kept.by:
                    # Guards against a second run: one of the two may have won with seats of the epoch before.
                    kept = Kept(NOBODY, max(mine.until - now, kept.left, 0.0))
                self._hold(key, Held(kept.by, now, now + kept.left, kept.answer))
                effects.write.append((b"c" + key, _pack(kept)))
        effects.write += [(item_key(e), _pack(e)) for e in self.ledger.all() if e.kind not in SOFT]
        self.full = True
        effects.write += self._epoch_rows()
        return effects

    def prepare(self, peer: Peer, message: Prepare) -> Effects:
        """A ballot on the next roster opens."""
        if message.epoch != self.epoch or not self.full or message.ballot <= self._promised:
            higher = self._promised[0] if message.epoch == self.epoch else 0
            return Effects(send=[(peer, Promise(message.epoch, message.ballot, False, higher=higher))])
        self._promised = message.ballot
        return Effects(
            write=[self._ballot_row()],
            then=[(peer, Promise(message.epoch, message.ballot, True, self._accepted, self._value))],
        )

    def accept(self, peer: Peer, message: Accept) -> Effects:
        """The roster of a ballot, to be accepted unless a higher ballot has opened."""
        if message.epoch != self.epoch or not self.full or message.ballot < self._promised:
            return Effects(send=[(peer, Accepted(message.epoch, message.ballot, False))])
        self._promised = self._accepted = message.ballot
        self._value = message.value
        return Effects(write=[self._ballot_row()], then=[(peer, Accepted(message.epoch, message.ballot, True))])

    def _ballot_row(self) -> tuple[bytes, bytes]:
        return BALLOT, _pack((self.epoch, self._promised, self._accepted, self._value))

    # ---- items ---------------------------------------------------------------------------

    def ask(self, peer: Peer, message: Ask) -> Effects:
        """Whether what went ahead on this connection is all that a seat has."""
        return Effects(send=[(peer, Said(message.n, self.full and message.epoch == self.epoch, self.epoch))])

    def put(self, peer: Peer, message: Put) -> Effects:
        """Keep entries; the answer comes once they, or what overtook them, are on disk."""
        if not self.full or message.epoch != self.epoch:
            return Effects(send=[(peer, Said(message.n, False, self.epoch))])
        for entry in message.entries:
            standing = self.ledger.get(entry.kind, entry.name)
            if standing is not None and standing.edition == entry.edition and standing.value != entry.value:
                return Effects(send=[(peer, Said(message.n, False, self.epoch, True))])
        self.ledger.merge(message.entries)
        rows: list[tuple[bytes, bytes | None]] = []
        for entry in message.entries:
            standing = self.ledger.get(entry.kind, entry.name)
            assert standing is not None
            rows.append((item_key(standing), _pack(standing)))
        return Effects(write=rows, then=[(peer, Said(message.n, True, self.epoch))])

    def heard(self, entries: Iterable[Entry]) -> Effects:
        """What others told of came into the ledger: it is kept too, and the roster is gone by."""
        effects = Effects()
        for entry in entries:
            if entry.kind == "roster" and entry.value is not None:
                effects.write += self.adopt(read_roster(entry.value)).write
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
