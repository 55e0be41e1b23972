"""One process and one duty, without I/O: rounds of asking the electors, and what it may count on after them.

A round asks all electors for one epoch. With a majority of promises the process holds the duty, counted from before it
asked. To renew is another round under the same epoch. A round that fails is taken back at those that had promised.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, auto

from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, ReleaseLease, RequestLease
from lugspur.daemon.leases.span import ROUND, ROUND_MOST, held_for

SOONEST = 0.01  # seconds between two questions to one elector in one round: clocks that run apart may need a few


class Ended(Enum):
    """How a round ended."""

    WON = auto()
    LOST = auto()


class Term:
    """`now` is in seconds of this process's own clock, which counts the time that a machine is suspended too."""

    def __init__(self, duty: str, electors: Sequence[str], lease: float, round_: int) -> None:
        self.duty, self.electors, self.lease = duty, tuple(electors), lease
        self.epoch = 0  # that it holds, or held last
        self.until = float("-inf")  # in office before then
        self.heard = 0  # the highest epoch that was heard of
        self.holder = ""  # who holds it, as electors said last
        self.round = round_  # the latest
        self._asked = 0  # the epoch of the round that goes on; 0: none does
        self.began = 0.0  # when the latest round did
        self._granted: set[str] = set()
        self._refused: dict[str, float] = {}  # by whom, and when it is free there
        self._later: dict[str, float] = {}  # who can promise it before the round is over, and when
        self._out: list[tuple[str, Message]] = []

    @property
    def majority(self) -> int:
        """How many promises are needed."""
        return len(self.electors) // 2 + 1

    @property
    def asking(self) -> bool:
        """Whether a round goes on."""
        return self._asked > 0

    @property
    def round_within(self) -> float:
        """Seconds that a round may take."""
        return min(ROUND * self.lease, ROUND_MOST)

    @property
    def round_ends(self) -> float:
        """When the round that goes on is given up."""
        return self.began + self.round_within

    def take(self) -> list[tuple[str, Message]]:
        """What is to be told, and to which elector."""
        out, self._out = self._out, []
        return out

    def holds(self, now: float) -> bool:
        """Whether it is in office: to be asked right before each act."""
        return now < self.until

    def left(self, now: float) -> float:
        """Seconds in office yet."""
        return max(0.0, self.until - now)

    # ---- rounds ------------------------------------------------------------------------------------

    def ask(self, now: float) -> None:
        """Begin a round: for the epoch that is held, or for a new one."""
        renews = self.holds(now) and self.heard <= self.epoch
        self._asked = self.epoch if renews else max(self.heard, self.epoch) + 1
        self.round += 1
        self.began = now
        self._granted.clear()
        self._refused.clear()
        self._later.clear()
        self._out += [(name, RequestLease(self.duty, self._asked, self.round, self.lease)) for name in self.electors]

    def reply(self, now: float, elector: str, message: GrantLease | DenyLease) -> Ended | None:
        """An elector's word; how the round ended by it, if it did. What is of another round counts for nothing."""
        if isinstance(message, DenyLease):
            self.heard = max(self.heard, message.epoch)
        if not self._asked or message.round_number != self.round or elector not in self.electors:
            return None
        if isinstance(message, GrantLease):
            if message.epoch == self._asked:
                self._granted.add(elector)
                self._refused.pop(elector, None)
        elif elector in self._granted:
            return None
        elif message.epoch < self._asked and 0.0 < message.available_in_seconds < self.round_ends - now:
            self._later[elector] = now + max(message.available_in_seconds, SOONEST)
        else:
            self._refused[elector] = now + message.available_in_seconds
            self.holder = message.holder or self.holder
        if len(self._granted) >= self.majority:
            return self._won(now)
        if len(self._refused) > len(self.electors) - self.majority:
            return self.give_up(now)
        return None

    def again_at(self) -> float:
        """When an elector is to be asked once more in the round that goes on."""
        return min(self._later.values(), default=float("inf")) if self._asked else float("inf")

    def again(self, now: float) -> None:
        """Ask those once more that had promised it to somebody until now.

        Guards a round that comes a moment too soon for one elector's clock: what others have promised is not wasted.
        """
        for elector in [elector for elector, when in self._later.items() if when <= now]:
            del self._later[elector]
            self._out.append((elector, RequestLease(self.duty, self._asked, self.round, self.lease)))

    def _won(self, now: float) -> Ended:
        until = self.began + held_for(self.lease)
        if now >= until:
            # Guards others: the promises came later than they last.
            return self.give_up(now)
        self.epoch, self.until, self._asked = self._asked, until, 0
        self.heard = max(self.heard, self.epoch)
        return Ended.WON

    def give_up(self, now: float) -> Ended:
        """The round is over without a majority; promises that it brought are given back, but while in office."""
        asked, self._asked = self._asked, 0
        if not self.holds(now):
            # Else never: what is given back here may be a part of the majority that this office stands on.
            self._tell(asked)
        return Ended.LOST

    def free_at(self, now: float) -> float:
        """When so many electors may promise it as are needed, by what the latest round has told."""
        # One that said nothing is not counted on: it may be gone.
        times = sorted([*self._refused.values(), *[now] * len(self._granted)])
        return times[self.majority - 1] if len(times) >= self.majority else now

    def lay_down(self) -> None:
        """Out of office from now on, and the electors may promise it to others."""
        self.until = float("-inf")
        self._tell(*{self._asked, self.epoch} - {0})
        self._asked = 0

    def _tell(self, *epochs: int) -> None:
        self._out += [(name, ReleaseLease(self.duty, epoch, self.round)) for epoch in epochs for name in self.electors]
