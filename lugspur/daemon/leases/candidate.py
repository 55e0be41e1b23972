"""When a process asks for a duty that it wants, and when again: without I/O, and without a herd.

All that want a duty are ordered by a draw that everybody makes alike, over those that are there. The first few stand
by: they ask when it becomes free. The others ask ever more rarely, for the case that those few can't.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from lugspur.daemon.leases.lease_term import LeaseTerm, RoundResult
from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, RoleAvailable
from lugspur.daemon.leases.timing import RENEWAL_FRACTION, RENEWAL_RETRY_FRACTION, holder_lease_seconds

STANDBY_CANDIDATES = 3  # of those that want it, who ask as soon as it is free: as many as may die in one lease time
STANDBY_STAGGER_SECONDS = 0.05  # seconds between two of them: a round on one machine's network takes a few milliseconds
MAX_RETRY_DELAY_LEASES = 30  # leases between two tries of one that does not stand by
CONTENTION_BACKOFF_FRACTION = (
    0.3  # of a round's time, drawn, after two that asked at once have spoilt it for each other
)


@dataclass(slots=True, frozen=True)
class LeadershipChanged:
    """The duty is this process's from now on, or no more; `why` is for the log."""

    role: str
    epoch: int
    is_leader: bool
    reason: str


@dataclass(slots=True, frozen=True)
class LeaseAcquired:
    """A majority has promised it, for the first time or anew."""

    role: str
    epoch: int


def rendezvous_order(role: str, names: Sequence[str]) -> list[str]:
    """Everybody's same draw of who comes first (rendezvous hashing): one that leaves moves no other past another."""
    return sorted(names, key=lambda name: blake2b(f"{role}\0{name}".encode(), digest_size=8).digest())


class Candidate:
    """A wish for one duty. `rank`: how many that are there come before this process."""

    def __init__(
        self,
        role: str,
        voters: Sequence[str],
        lease_seconds: float,
        now: float,
        rng: random.Random,
        rank: Callable[[str], int],
    ) -> None:
        self.term = LeaseTerm(role, voters, lease_seconds, rng.randrange(1 << 40))
        self._rng, self._rank = rng, rank
        self._is_campaigning = True
        self._available_at = now  # when it may be promised to somebody, by what is known
        self._next_round_at = now + self._standby_delay()  # when it asks next
        self._last_release_at = float("-inf")  # when it was last told that the duty is free
        self._led_epoch = 0  # the epoch under which its owner was told that it holds it; 0: it doesn't
        self._events: list[LeadershipChanged | LeaseAcquired] = []

    @property
    def role(self) -> str:
        """Its name."""
        return self.term.role

    def take_messages(self) -> list[tuple[str, Message]]:
        """What is to be told, and to which elector."""
        return self.term.take_messages()

    def take_events(self) -> list[LeadershipChanged | LeaseAcquired]:
        """What has turned since the last time."""
        events, self._events = self._events, []
        return events

    def fencing_token(self, now: float, needs: float = 0.0) -> int | None:
        """What an act has to carry that takes so many seconds; None: it must not begin. Ask right before each act."""
        return self._led_epoch if self._led_epoch and self.term.remaining(now) > needs else None

    # ---- time --------------------------------------------------------------------------------------

    def due(self) -> float:
        """When `tick` is wanted next."""
        times = [self.term.expires_at] if self._led_epoch else []
        if self.term.has_open_round:
            times += [self.term.round_deadline, self.term.retry_at()]
        elif self._is_campaigning:
            times.append(self._next_round_at)
        return min(times, default=float("inf"))

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._update_leadership(now, "not renewed in time")
        if self.term.has_open_round and now >= self.term.round_deadline:
            self._finish_round(now, self.term.abandon_round(now))
        elif self.term.has_open_round:
            self.term.retry(now)
        if self._is_campaigning and not self.term.has_open_round and now >= self._next_round_at:
            self.term.start_round(now)

    def _update_leadership(self, now: float, reason: str) -> None:
        epoch = self.term.epoch if self.term.is_held(now) else 0
        if epoch == self._led_epoch:
            return
        self._events.append(LeadershipChanged(self.role, epoch or self._led_epoch, epoch > 0, reason))
        self._led_epoch = epoch
        if not epoch:
            self._next_round_at = now

    # ---- what electors say ---------------------------------------------------------------------------

    def receive(self, now: float, name: str, message: GrantLease | DenyLease | RoleAvailable) -> None:
        """A word of an elector, or of the former holder that hands on."""
        if isinstance(message, RoleAvailable):
            self.term.highest_epoch = max(self.term.highest_epoch, message.epoch)
            self._last_release_at = now
            if not self._led_epoch and not self.term.has_open_round:
                self._next_round_at = min(self._next_round_at, now + STANDBY_STAGGER_SECONDS * self._rank(self.role))
            return
        result = self.term.receive(now, name, message)
        if result is not None:
            self._finish_round(now, result)

    def _finish_round(self, now: float, result: RoundResult) -> None:
        if result is RoundResult.WON:
            self._next_round_at = now + RENEWAL_FRACTION * holder_lease_seconds(self.term.lease_seconds)
            self._events.append(LeaseAcquired(self.role, self.term.epoch))
            self._update_leadership(now, "promised by a majority")
            return
        self._update_leadership(now, "not renewed in time")
        if self._led_epoch:
            self._next_round_at = now + RENEWAL_RETRY_FRACTION * holder_lease_seconds(self.term.lease_seconds) * (
                0.5 + self._rng.random()
            )
            return
        # Guards who is next against a round that began before the promises had come back: refusals are out of date.
        self._available_at = now if self._last_release_at >= self.term.round_started_at else self.term.available_at(now)
        if self._available_at <= now:  # an epoch that was used already, or two that have asked at once
            self._next_round_at = now + CONTENTION_BACKOFF_FRACTION * self.term.round_timeout * self._rng.random()
        else:
            self._next_round_at = self._available_at + self._standby_delay()

    def _standby_delay(self) -> float:
        """Seconds that this one lets others go first."""
        rank = self._rank(self.role)
        if rank < STANDBY_CANDIDATES:
            return STANDBY_STAGGER_SECONDS * rank
        return self.term.lease_seconds * (min(rank, MAX_RETRY_DELAY_LEASES) + self._rng.random())

    def members_changed(self, now: float) -> None:
        """Somebody came or went: this one may stand by now."""
        if not self._led_epoch and not self.term.has_open_round and self._rank(self.role) < STANDBY_CANDIDATES:
            self._next_round_at = min(self._next_round_at, max(now, self._available_at) + self._standby_delay())

    # ---- its owner -----------------------------------------------------------------------------------

    def campaign(self, now: float) -> None:
        """Ask for it again."""
        self._is_campaigning = True
        self._next_round_at = max(now, self._available_at) + self._standby_delay()

    def resign(self, now: float) -> bool:
        """Give it back and want it no more; whether it was held."""
        was_held = self.term.is_held(now)
        if was_held or self.term.has_open_round:
            self.term.release()
        self._is_campaigning = False
        self._update_leadership(now, "handed on")
        return was_held
