"""One process and one duty, without I/O: rounds of asking the electors, and what it may count on after them.

A round asks all electors for one epoch. With a majority of promises the process holds the duty, counted from before it
asked. To renew is another round under the same epoch. A round that fails is taken back at those that had promised.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, auto

from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, ReleaseLease, RequestLease
from lugspur.daemon.leases.timing import MAX_ROUND_TIMEOUT_SECONDS, ROUND_TIMEOUT_FRACTION, holder_lease_seconds

MIN_RETRY_DELAY_SECONDS = (
    0.01  # seconds between two questions to one elector in one round: clocks that run apart may need a few
)


class RoundResult(Enum):
    """How a round ended."""

    WON = auto()
    LOST = auto()


class LeaseTerm:
    """`now` is in seconds of this process's own clock, which counts the time that a machine is suspended too."""

    def __init__(self, role: str, voters: Sequence[str], lease_seconds: float, round_number: int) -> None:
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
        """How many promises are needed."""
        return len(self.voters) // 2 + 1

    @property
    def has_open_round(self) -> bool:
        """Whether a round goes on."""
        return self._requested_epoch > 0

    @property
    def round_timeout(self) -> float:
        """Seconds that a round may take."""
        return min(ROUND_TIMEOUT_FRACTION * self.lease_seconds, MAX_ROUND_TIMEOUT_SECONDS)

    @property
    def round_deadline(self) -> float:
        """When the round that goes on is given up."""
        return self.round_started_at + self.round_timeout

    def take_messages(self) -> list[tuple[str, Message]]:
        """What is to be told, and to which elector."""
        outbox, self._outbox = self._outbox, []
        return outbox

    def is_held(self, now: float) -> bool:
        """Whether it is in office: to be asked right before each act."""
        return now < self.expires_at

    def remaining(self, now: float) -> float:
        """Seconds in office yet."""
        return max(0.0, self.expires_at - now)

    # ---- rounds ------------------------------------------------------------------------------------

    def start_round(self, now: float) -> None:
        """Begin a round: for the epoch that is held, or for a new one."""
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
        """An elector's word; how the round ended by it, if it did. What is of another round counts for nothing."""
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

    def retry_at(self) -> float:
        """When an elector is to be asked once more in the round that goes on."""
        return min(self._retry_times.values(), default=float("inf")) if self._requested_epoch else float("inf")

    def retry(self, now: float) -> None:
        """Ask those once more that had promised it to somebody until now.

        Guards a round that comes a moment too soon for one elector's clock: what others have promised is not wasted.
        """
        for voter in [voter for voter, when in self._retry_times.items() if when <= now]:
            del self._retry_times[voter]
            self._outbox.append(
                (voter, RequestLease(self.role, self._requested_epoch, self.round_number, self.lease_seconds))
            )

    def _record_majority(self, now: float) -> RoundResult:
        expires_at = self.round_started_at + holder_lease_seconds(self.lease_seconds)
        if now >= expires_at:
            # Guards others: the promises came later than they last.
            return self.abandon_round(now)
        self.epoch, self.expires_at, self._requested_epoch = self._requested_epoch, expires_at, 0
        self.highest_epoch = max(self.highest_epoch, self.epoch)
        return RoundResult.WON

    def abandon_round(self, now: float) -> RoundResult:
        """The round is over without a majority; promises that it brought are given back, but while in office."""
        requested_epoch, self._requested_epoch = self._requested_epoch, 0
        if not self.is_held(now):
            # Else never: what is given back here may be a part of the majority that this office stands on.
            self._send_release(requested_epoch)
        return RoundResult.LOST

    def available_at(self, now: float) -> float:
        """When so many electors may promise it as are needed, by what the latest round has told."""
        # One that said nothing is not counted on: it may be gone.
        times = sorted([*self._denied_until.values(), *[now] * len(self._granted_by)])
        return times[self.majority - 1] if len(times) >= self.majority else now

    def release(self) -> None:
        """Out of office from now on, and the electors may promise it to others."""
        self.expires_at = float("-inf")
        self._send_release(*{self._requested_epoch, self.epoch} - {0})
        self._requested_epoch = 0

    def _send_release(self, *epochs: int) -> None:
        self._outbox += [
            (name, ReleaseLease(self.role, epoch, self.round_number)) for epoch in epochs for name in self.voters
        ]
