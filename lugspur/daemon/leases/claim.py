"""When a process asks for a duty that it wants, and when again: without I/O, and without a herd.

All that want a duty are ordered by a draw that everybody makes alike, over those that are there. The first few stand
by: they ask when it becomes free. The others ask ever more rarely, for the case that those few can't.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, RoleAvailable
from lugspur.daemon.leases.span import AGAIN, RENEW, held_for
from lugspur.daemon.leases.term import Ended, Term

STANDBY = 3  # of those that want it, who ask as soon as it is free: as many as may die in one lease time
STEP = 0.05  # seconds between two of them: a round on one machine's network takes a few milliseconds
RARELY_MOST = 30  # leases between two tries of one that does not stand by
BACK_OFF = 0.3  # of a round's time, drawn, after two that asked at once have spoilt it for each other


@dataclass(slots=True, frozen=True)
class Turned:
    """The duty is this process's from now on, or no more; `why` is for the log."""

    duty: str
    epoch: int
    holds: bool
    why: str


@dataclass(slots=True, frozen=True)
class Won:
    """A majority has promised it, for the first time or anew."""

    duty: str
    epoch: int


def order(duty: str, names: Sequence[str]) -> list[str]:
    """Everybody's same draw of who comes first (rendezvous hashing): one that leaves moves no other past another."""
    return sorted(names, key=lambda name: blake2b(f"{duty}\0{name}".encode(), digest_size=8).digest())


class Claim:
    """A wish for one duty. `rank`: how many that are there come before this process."""

    def __init__(
        self,
        duty: str,
        electors: Sequence[str],
        lease: float,
        now: float,
        rng: random.Random,
        rank: Callable[[str], int],
    ) -> None:
        self.term = Term(duty, electors, lease, rng.randrange(1 << 40))
        self._rng, self._rank = rng, rank
        self._wanted = True
        self._free = now  # when it may be promised to somebody, by what is known
        self._next = now + self._patience()  # when it asks next
        self._freed = float("-inf")  # when it was last told that the duty is free
        self._in = 0  # the epoch under which its owner was told that it holds it; 0: it doesn't
        self._events: list[Turned | Won] = []

    @property
    def duty(self) -> str:
        """Its name."""
        return self.term.duty

    def take(self) -> list[tuple[str, Message]]:
        """What is to be told, and to which elector."""
        return self.term.take()

    def events(self) -> list[Turned | Won]:
        """What has turned since the last time."""
        events, self._events = self._events, []
        return events

    def epoch(self, now: float, needs: float = 0.0) -> int | None:
        """What an act has to carry that takes so many seconds; None: it must not begin. Ask right before each act."""
        return self._in if self._in and self.term.left(now) > needs else None

    # ---- time --------------------------------------------------------------------------------------

    def due(self) -> float:
        """When `tick` is wanted next."""
        times = [self.term.until] if self._in else []
        if self.term.asking:
            times += [self.term.round_ends, self.term.again_at()]
        elif self._wanted:
            times.append(self._next)
        return min(times, default=float("inf"))

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._look(now, "not renewed in time")
        if self.term.asking and now >= self.term.round_ends:
            self._after(now, self.term.give_up(now))
        elif self.term.asking:
            self.term.again(now)
        if self._wanted and not self.term.asking and now >= self._next:
            self.term.ask(now)

    def _look(self, now: float, why: str) -> None:
        epoch = self.term.epoch if self.term.holds(now) else 0
        if epoch == self._in:
            return
        self._events.append(Turned(self.duty, epoch or self._in, epoch > 0, why))
        self._in = epoch
        if not epoch:
            self._next = now

    # ---- what electors say ---------------------------------------------------------------------------

    def heard(self, now: float, name: str, message: GrantLease | DenyLease | RoleAvailable) -> None:
        """A word of an elector, or of the former holder that hands on."""
        if isinstance(message, RoleAvailable):
            self.term.heard = max(self.term.heard, message.epoch)
            self._freed = now
            if not self._in and not self.term.asking:
                self._next = min(self._next, now + STEP * self._rank(self.duty))
            return
        ended = self.term.reply(now, name, message)
        if ended is not None:
            self._after(now, ended)

    def _after(self, now: float, ended: Ended) -> None:
        if ended is Ended.WON:
            self._next = now + RENEW * held_for(self.term.lease)
            self._events.append(Won(self.duty, self.term.epoch))
            self._look(now, "promised by a majority")
            return
        self._look(now, "not renewed in time")
        if self._in:
            self._next = now + AGAIN * held_for(self.term.lease) * (0.5 + self._rng.random())
            return
        # Guards who is next against a round that began before the promises had come back: refusals are out of date.
        self._free = now if self._freed >= self.term.began else self.term.free_at(now)
        if self._free <= now:  # an epoch that was used already, or two that have asked at once
            self._next = now + BACK_OFF * self.term.round_within * self._rng.random()
        else:
            self._next = self._free + self._patience()

    def _patience(self) -> float:
        """Seconds that this one lets others go first."""
        rank = self._rank(self.duty)
        if rank < STANDBY:
            return STEP * rank
        return self.term.lease * (min(rank, RARELY_MOST) + self._rng.random())

    def others_changed(self, now: float) -> None:
        """Somebody came or went: this one may stand by now."""
        if not self._in and not self.term.asking and self._rank(self.duty) < STANDBY:
            self._next = min(self._next, max(now, self._free) + self._patience())

    # ---- its owner -----------------------------------------------------------------------------------

    def want(self, now: float) -> None:
        """Ask for it again."""
        self._wanted = True
        self._next = max(now, self._free) + self._patience()

    def hand_on(self, now: float) -> bool:
        """Give it back and want it no more; whether it was held."""
        held = self.term.holds(now)
        if held or self.term.asking:
            self.term.lay_down()
        self._wanted = False
        self._look(now, "handed on")
        return held
