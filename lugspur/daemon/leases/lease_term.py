"""One candidate's lease on one role, without I/O: the rounds of requests to the voters, and their results.

In a round, the candidate requests one epoch from all voters. With the promises of a majority it holds the lease, whose
time counts from before the requests were sent. A renewal is another round under the same epoch. The promises of a
failed round are released.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, auto

from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, ReleaseLease, RequestLease
from lugspur.daemon.leases.timing import MAX_ROUND_TIMEOUT_SECONDS, ROUND_TIMEOUT_FRACTION, holder_lease_seconds

#: The shortest time between two requests to one voter in one round. More than two requests may be needed where clocks
#: drift apart.
MIN_RETRY_DELAY_SECONDS = 0.01


class RoundResult(Enum):
    """How a round ended."""

    WON = auto()
    LOST = auto()


class LeaseTerm:
    """A candidate's lease on one role, and the open round, if any.

    Every `now` is in seconds of a clock that keeps counting while the machine is suspended (CLOCK_BOOTTIME).
    """

    def __init__(self, role: str, voters: Sequence[str], lease_seconds: float, round_number: int) -> None:
        """Start without the lease, and count rounds from `round_number`, which has to differ after a restart."""
        self.role = role
        self.voters = tuple(voters)
        self.lease_seconds = lease_seconds
        self.epoch = 0  # the epoch under which the lease is held, or was held last
        self.expires_at = float("-inf")
        self.highest_epoch = 0  # the highest epoch known from messages and own rounds
        self.holder = ""  # the lease holder named by the latest denial that named one
        self.round_number = round_number  # the number of the latest round
        self.round_started_at = 0.0
        self._requested_epoch = 0  # the epoch requested in the open round; 0 if no round is open
        self._granted_by: set[str] = set()
        self._denied_until: dict[str, float] = {}  # when the voters that denied the role can promise it
        self._retry_times: dict[str, float] = {}  # when to ask voters again that can grant before the round ends
        self._outbox: list[tuple[str, Message]] = []

    @property
    def majority(self) -> int:
        """The number of promises that a round needs."""
        return len(self.voters) // 2 + 1

    @property
    def has_open_round(self) -> bool:
        """Whether a round is open, so that requests may be waiting for replies."""
        return self._requested_epoch > 0

    @property
    def round_timeout(self) -> float:
        """The longest time that a round may take, in seconds."""
        return min(ROUND_TIMEOUT_FRACTION * self.lease_seconds, MAX_ROUND_TIMEOUT_SECONDS)

    @property
    def round_deadline(self) -> float:
        """When the open round times out."""
        return self.round_started_at + self.round_timeout

    def take_messages(self) -> list[tuple[str, Message]]:
        """Remove and return the messages to be sent, each with the name of the voter to which it is sent."""
        messages, self._outbox = self._outbox, []
        return messages

    def is_held(self, now: float) -> bool:
        """Return whether the lease is held. This has to be called right before each action under the lease."""
        return now < self.expires_at

    def remaining_seconds(self, now: float) -> float:
        """Return for how many seconds the lease is still held."""
        return max(0.0, self.expires_at - now)

    # ---- rounds ------------------------------------------------------------------------------------

    def start_round(self, now: float) -> None:
        """Request the lease from all voters, under its current epoch if it is held, otherwise under a new one."""
        is_renewal = self.is_held(now) and self.highest_epoch <= self.epoch
        self._requested_epoch = self.epoch if is_renewal else max(self.highest_epoch, self.epoch) + 1
        self.round_number += 1
        self.round_started_at = now
        self._granted_by.clear()
        self._denied_until.clear()
        self._retry_times.clear()
        self._outbox += [(voter, self._request()) for voter in self.voters]

    def receive(self, now: float, voter: str, message: GrantLease | DenyLease) -> RoundResult | None:
        """Handle a voter's reply; return how the round ended if this reply ended it.

        Replies to former rounds are ignored, except for the epoch in a denial.
        """
        if isinstance(message, DenyLease):
            self.highest_epoch = max(self.highest_epoch, message.epoch)
        if not self.has_open_round or message.round_number != self.round_number or voter not in self.voters:
            return None
        if isinstance(message, GrantLease):
            self._record_grant(voter, message)
        elif voter in self._granted_by:
            return None
        else:
            self._record_denial(now, voter, message)
        if len(self._granted_by) >= self.majority:
            return self._record_majority(now)
        if len(self._denied_until) > len(self.voters) - self.majority:
            return self.abandon_round(now)
        return None

    def _record_grant(self, voter: str, grant: GrantLease) -> None:
        if grant.epoch == self._requested_epoch:
            self._granted_by.add(voter)
            self._denied_until.pop(voter, None)

    def _record_denial(self, now: float, voter: str, denial: DenyLease) -> None:
        if denial.epoch < self._requested_epoch and 0.0 < denial.available_in_seconds < self.round_deadline - now:
            self._retry_times[voter] = now + max(denial.available_in_seconds, MIN_RETRY_DELAY_SECONDS)
            return
        self._denied_until[voter] = now + denial.available_in_seconds
        self.holder = denial.holder or self.holder

    def _record_majority(self, now: float) -> RoundResult:
        expires_at = self.round_started_at + holder_lease_seconds(self.lease_seconds)
        if now >= expires_at:
            # Protects other candidates: the majority was reached after the time of its promises had passed.
            return self.abandon_round(now)
        self.epoch = self._requested_epoch
        self.expires_at = expires_at
        self._requested_epoch = 0
        self.highest_epoch = max(self.highest_epoch, self.epoch)
        return RoundResult.WON

    def retry_at(self) -> float:
        """Return when the next request has to be repeated within the open round; infinity if none has to."""
        return min(self._retry_times.values(), default=float("inf")) if self.has_open_round else float("inf")

    def retry(self, now: float) -> None:
        """Repeat the requests to voters whose promise to another candidate has expired by now.

        Otherwise a round that starts a moment too early for one voter's clock would waste the promises of the others.
        """
        for voter in [voter for voter, retry_at in self._retry_times.items() if retry_at <= now]:
            del self._retry_times[voter]
            self._outbox.append((voter, self._request()))

    def abandon_round(self, now: float) -> RoundResult:
        """End the open round without a majority, and release its promises unless the lease is held."""
        abandoned_epoch, self._requested_epoch = self._requested_epoch, 0
        if not self.is_held(now):
            # While the lease is held, these promises may belong to the majority that it depends on.
            self._send_release(abandoned_epoch)
        return RoundResult.LOST

    def available_at(self, now: float) -> float:
        """Return when a majority of the voters can promise the role, by their replies in the latest round."""
        # A voter that did not reply is not counted, since it may be down.
        times = sorted([*self._denied_until.values(), *[now] * len(self._granted_by)])
        return times[self.majority - 1] if len(times) >= self.majority else now

    def release(self) -> None:
        """Give up the lease at once, and let the voters promise the role to other candidates."""
        self.expires_at = float("-inf")
        self._send_release(*{self._requested_epoch, self.epoch} - {0})
        self._requested_epoch = 0

    def _request(self) -> RequestLease:
        return RequestLease(self.role, self._requested_epoch, self.round_number, self.lease_seconds)

    def _send_release(self, *epochs: int) -> None:
        self._outbox += [
            (voter, ReleaseLease(self.role, epoch, self.round_number)) for epoch in epochs for voter in self.voters
        ]
