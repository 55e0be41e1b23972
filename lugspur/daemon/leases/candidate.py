"""Decides when a candidate requests the lease of a role and when it retries, so that no thundering herd arises. No I/O.

All candidates for a role are ordered by rendezvous hashing over the present members, so that all of them compute the
same order. The first few are standby candidates, which request the lease as soon as it becomes available. The others
request it at intervals that grow with their rank, in case none of the standby candidates can.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from lugspur.daemon.leases.lease_term import LeaseTerm, RoundResult
from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, RoleAvailable
from lugspur.daemon.leases.timing import RENEWAL_FRACTION, RENEWAL_RETRY_FRACTION, holder_lease_seconds

#: The number of standby candidates: as many as may fail within the time of one lease.
STANDBY_CANDIDATES = 3
#: The delay from one standby candidate to the next. A round takes a few milliseconds within one network.
STANDBY_STAGGER_SECONDS = 0.05
#: The longest time between two attempts of a candidate that is not a standby candidate, as a multiple of a lease.
MAX_RETRY_DELAY_LEASES = 30
#: The longest random backoff after two candidates kept each other from a majority, as a fraction of a round's timeout.
CONTENTION_BACKOFF_FRACTION = 0.3


@dataclass(slots=True, frozen=True)
class LeadershipChanged:
    """This process has become the leader of a role, or has ceased to be. `reason` is a text for the log."""

    role: str
    epoch: int
    is_leader: bool
    reason: str


@dataclass(slots=True, frozen=True)
class LeaseAcquired:
    """A majority of the voters has promised the role to this process, for the first time or as a renewal."""

    role: str
    epoch: int


def rendezvous_order(role: str, names: Sequence[str]) -> list[str]:
    """Return the order in which members are candidates for a role; all processes compute the same order.

    The method is rendezvous hashing (Thaler and Ravishankar, 1998): a member that leaves does not change the order of
    the others.
    """
    return sorted(names, key=lambda name: blake2b(f"{role}\0{name}".encode(), digest_size=8).digest())


class Candidate:
    """One process that campaigns for one role, and leads it while it holds the lease.

    Times are in seconds of a clock that keeps counting while the machine is suspended (CLOCK_BOOTTIME). The caller
    calls `tick` when it is `due`, sends what `take_messages` returns, and reads `take_events`.
    """

    def __init__(
        self,
        role: str,
        voters: Sequence[str],
        lease_seconds: float,
        now: float,
        rng: random.Random,
        rank: Callable[[str], int],
    ) -> None:
        """Start campaigning. `rank` returns how many present members precede this one in the order of a role."""
        self.term = LeaseTerm(role, voters, lease_seconds, rng.randrange(1 << 40))
        self._rng, self._rank = rng, rank
        self._is_campaigning = True
        self._available_at = now  # when the lease becomes available, as far as this candidate knows
        self._next_round_at = now + self._standby_delay()
        self._last_release_at = float("-inf")  # when a message last announced the release of the role
        self._led_epoch = 0  # the epoch under which this process leads, by its events; 0 if it does not lead
        self._events: list[LeadershipChanged | LeaseAcquired] = []

    @property
    def role(self) -> str:
        """The name of the role."""
        return self.term.role

    def take_messages(self) -> list[tuple[str, Message]]:
        """Remove and return the messages to be sent, each with the name of the voter to which it is sent."""
        return self.term.take_messages()

    def take_events(self) -> list[LeadershipChanged | LeaseAcquired]:
        """Remove and return the events since the last call."""
        events, self._events = self._events, []
        return events

    def fencing_token(self, now: float, duration_seconds: float = 0.0) -> int | None:
        """Return the epoch that an action of this duration has to carry, or None if the action must not start.

        This has to be called right before each action. The receiver rejects an action whose epoch is lower than one
        that it has seen.
        """
        return self._led_epoch if self._led_epoch and self.term.remaining_seconds(now) > duration_seconds else None

    # ---- time --------------------------------------------------------------------------------------

    def due(self) -> float:
        """Return when `tick` has to be called next; infinity if nothing will become due."""
        times = [self.term.expires_at] if self._led_epoch else []
        if self.term.has_open_round:
            times += [self.term.round_deadline, self.term.retry_at()]
        elif self._is_campaigning:
            times.append(self._next_round_at)
        return min(times, default=float("inf"))

    def tick(self, now: float) -> None:
        """Run what is due: step down, end a round that timed out, repeat requests to voters, or start a round."""
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

    # ---- received messages -------------------------------------------------------------------------

    def receive(self, now: float, name: str, message: GrantLease | DenyLease | RoleAvailable) -> None:
        """Handle a message of a voter, or of a lease holder that resigns."""
        if isinstance(message, RoleAvailable):
            self._handle_release(now, message)
            return
        result = self.term.receive(now, name, message)
        if result is not None:
            self._finish_round(now, result)

    def _handle_release(self, now: float, message: RoleAvailable) -> None:
        self.term.highest_epoch = max(self.term.highest_epoch, message.epoch)
        self._last_release_at = now
        if not self._led_epoch and not self.term.has_open_round:
            self._next_round_at = min(self._next_round_at, now + STANDBY_STAGGER_SECONDS * self._rank(self.role))

    def _finish_round(self, now: float, result: RoundResult) -> None:
        holder_seconds = holder_lease_seconds(self.term.lease_seconds)
        if result is RoundResult.WON:
            self._next_round_at = now + RENEWAL_FRACTION * holder_seconds
            self._events.append(LeaseAcquired(self.role, self.term.epoch))
            self._update_leadership(now, "promised by a majority")
            return
        self._update_leadership(now, "not renewed in time")
        if self._led_epoch:
            self._next_round_at = now + RENEWAL_RETRY_FRACTION * holder_seconds * (0.5 + self._rng.random())
        else:
            self._schedule_campaign(now)

    def _schedule_campaign(self, now: float) -> None:
        # The denials of a round that started before a release are out of date and must not delay the next candidate.
        was_released_since = self._last_release_at >= self.term.round_started_at
        self._available_at = now if was_released_since else self.term.available_at(now)
        if self._available_at <= now:  # The epoch was already used, or two candidates sent requests at the same time.
            self._next_round_at = now + CONTENTION_BACKOFF_FRACTION * self.term.round_timeout * self._rng.random()
        else:
            self._next_round_at = self._available_at + self._standby_delay()

    def _standby_delay(self) -> float:
        """Return for how many seconds this candidate waits for those that precede it in the order."""
        rank = self._rank(self.role)
        if rank < STANDBY_CANDIDATES:
            return STANDBY_STAGGER_SECONDS * rank
        return self.term.lease_seconds * (min(rank, MAX_RETRY_DELAY_LEASES) + self._rng.random())

    def handle_membership_change(self, now: float) -> None:
        """Handle a change of the membership, by which this candidate may have become a standby candidate."""
        if not self._led_epoch and not self.term.has_open_round and self._rank(self.role) < STANDBY_CANDIDATES:
            self._next_round_at = min(self._next_round_at, max(now, self._available_at) + self._standby_delay())

    # ---- requests of the program -------------------------------------------------------------------

    def campaign(self, now: float) -> None:
        """Start campaigning again after `resign`."""
        self._is_campaigning = True
        self._next_round_at = max(now, self._available_at) + self._standby_delay()

    def resign(self, now: float) -> bool:
        """Release the lease and stop campaigning; return whether the lease was held."""
        was_held = self.term.is_held(now)
        if was_held or self.term.has_open_round:
            self.term.release()
        self._is_campaigning = False
        self._update_leadership(now, "resigned")
        return was_held
