"""One candidate's lease on one role, without I/O: rounds of requests to the voters, and what they lead to.

A round requests one epoch of all voters. With the promises of a majority the candidate holds the lease, counted from
before it sent the requests. A renewal is another round under the same epoch. The promises of a failed round are
released.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, auto

from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, ReleaseLease, RequestLease
from lugspur.daemon.leases.timing import MAX_ROUND_TIMEOUT_SECONDS, ROUND_TIMEOUT_FRACTION, holder_lease_seconds

#: The shortest time between two requests to one voter in one round. More than two may be needed where clocks drift
#: apart.
MIN_RETRY_DELAY_SECONDS = 0.01


class RoundResult(Enum):
    """How a round ended."""

    WON = auto()
    LOST = auto()


class LeaseTerm:
    """A candidate's lease on one role, and the round that is open, if any.

    Every `now` is in seconds of a clock that also counts the time for which the machine is suspended (CLOCK_BOOTTIME).
    """

    def __init__(self, role: str, voters: Sequence[str], lease_seconds: float, round_number: int) -> None:
        """Start without the lease, and count rounds from `round_number`, which has to differ after a restart."""
        self.role, self.voters, self.lease_seconds = role, tuple(voters), lease_seconds
        self.epoch = 0  # that it holds, or held last
        self.expires_at = float("-inf")  # in office before then
        self.highest_epoch = 0  # the highest epoch that was heard of
        self.holder = ""  # who holds it, as electors said last
        self.round_number = round_number  # the latest
        self._requested_epoch = 0  # the epoch of the round that goes on; 0: none does
        self.round_started_at = 0.0  # when the latest round did
        self._granted_by: set[str] = set()
        self._denied_until: dict[str, float] = {}  # by whom, and when it is free there
        self._retry_times: dict[str, float] = {}  # who can promise it before the round is over, and when
        self._outbox: list[tuple[str, Message]] = []

    @property
    def majority(self) -> int:
        """The number of promises that are needed."""
        return len(self.voters) // 2 + 1

    @property
    def has_open_round(self) -> bool:
        """Whether requests are waiting for answers."""
        return self._requested_epoch > 0

    @property
    def round_timeout(self) -> float:
        """The longest time that a round may take, in seconds."""
        return min(ROUND_TIMEOUT_FRACTION * self.lease_seconds, MAX_ROUND_TIMEOUT_SECONDS)

    @property
    def round_deadline(self) -> float:
        """When the open round is abandoned."""
        return self.round_started_at + self.round_timeout

    def take_messages(self) -> list[tuple[str, Message]]:
        """Return the messages to be sent, each with the name of its voter, and forget them."""
        outbox, self._outbox = self._outbox, []
        return outbox

    def is_held(self, now: float) -> bool:
        """Whether the lease is held. This has to be asked right before each action under the lease."""
        return now < self.expires_at

    def remaining(self, now: float) -> float:
        """Return for how many seconds the lease is still held."""
        return max(0.0, self.expires_at - now)

    # ---- rounds ------------------------------------------------------------------------------------

    def start_round(self, now: float) -> None:
        """Request the lease of all voters: under its epoch if it is held, otherwise under a new one."""
        is_renewal = self.is_held(now) and self.highest_epoch <= self.epoch
        self._requested_epoch = self.epoch if is_renewal else max(self.highest_epoch, self.epoch) + 1
        self.round_number += 1
        self.round_started_at = now
        self._granted_by.clear()
        self._denied_until.clear()
        self._retry_times.clear()
        self._outbox += [
            (name, RequestLease(self.role, self._requested_epoch, self.round_number, self.lease_seconds))
            for name in self.voters
        ]

    def receive(self, now: float, voter: str, message: GrantLease | DenyLease) -> RoundResult | None:
        """Handle a voter's answer; return how the round ended if this answer ended it.

        Answers to former rounds are ignored, but for the epoch that a denial names.
        """
        if isinstance(message, DenyLease):
            self.highest_epoch = max(self.highest_epoch, message.epoch)
        if not self._requested_epoch or message.round_number != self.round_number or voter not in self.voters:
            return None
        if isinstance(message, GrantLease):
            if message.epoch == self._requested_epoch:
                self._granted_by.add(voter)
                self._denied_until.pop(voter, None)
        elif voter in self._granted_by:
            return None
        elif message.epoch < self._requested_epoch and 0.0 < message.available_in_seconds < self.round_deadline - now:
            self._retry_times[voter] = now + max(message.available_in_seconds, MIN_RETRY_DELAY_SECONDS)
        else:
            self._denied_until[voter] = now + message.available_in_seconds
            self.holder = message.holder or self.holder
        if len(self._granted_by) >= self.majority:
            return self._record_majority(now)
        if len(self._denied_until) > len(self.voters) - self.majority:
            return self.abandon_round(now)
        return None

    def _record_majority(self, now: float) -> RoundResult:
        expires_at = self.round_started_at + holder_lease_seconds(self.lease_seconds)
        if now >= expires_at:
            # Guards others: the promises came later than they last.
            return self.abandon_round(now)
        self.epoch, self.expires_at, self._requested_epoch = self._requested_epoch, expires_at, 0
        self.highest_epoch = max(self.highest_epoch, self.epoch)
        return RoundResult.WON

    def retry_at(self) -> float:
        """Return when a voter has to be asked again within the open round; infinity if none has to."""
        return min(self._retry_times.values(), default=float("inf")) if self._requested_epoch else float("inf")

    def retry(self, now: float) -> None:
        """Ask those voters again whose promise to another candidate has expired by now.

        Guards a round that comes a moment too early for one voter's clock: the promises of the others are not wasted.
        """
        for voter in [voter for voter, when in self._retry_times.items() if when <= now]:
            del self._retry_times[voter]
            self._outbox.append(
                (voter, RequestLease(self.role, self._requested_epoch, self.round_number, self.lease_seconds))
            )

    def abandon_round(self, now: float) -> RoundResult:
        """End the open round without a majority, and release its promises unless the lease is held."""
        requested_epoch, self._requested_epoch = self._requested_epoch, 0
        if not self.is_held(now):
            # Else never: what is given back here may be a part of the majority that this office stands on.
            self._send_release(requested_epoch)
        return RoundResult.LOST

    def available_at(self, now: float) -> float:
        """Return when a majority of the voters can promise the role, by their answers in the latest round."""
        # One that said nothing is not counted on: it may be gone.
        times = sorted([*self._denied_until.values(), *[now] * len(self._granted_by)])
        return times[self.majority - 1] if len(times) >= self.majority else now

    def release(self) -> None:
        """Stop holding the lease at once, and let the voters promise the role to others."""
        self.expires_at = float("-inf")
        self._send_release(*{self._requested_epoch, self.epoch} - {0})
        self._requested_epoch = 0

    def _send_release(self, *epochs: int) -> None:
        self._outbox += [
            (name, ReleaseLease(self.role, epoch, self.round_number)) for epoch in epochs for name in self.voters
        ]
