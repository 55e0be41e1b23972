"""One elector's promises, without I/O.

A promise names who, which epoch, and counts by this elector's clock from when it is given. A duty is promised to
another only once that has run out or has been given back, and only under a greater epoch. Two majorities share an
elector, so at most one process has a majority's promises at a time, and no epoch is used by two.

What has to survive a restart is written down before it is told: the highest epoch and whom it was promised to. What
does not survive is how long: so for a lease's time after its start an elector promises a duty to nobody, but to the
very process that its memory names. One without a memory cannot know even that; it begins above the epochs that the
wall clock stands for, which is as good as that clock is.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from lugspur.daemon.leases.messages import DenyLease, GrantLease, Message, ReleaseLease, RequestLease, RoleAvailable

DUTIES_MOST = 512  # remembered; a further one is not promised
SOON = 0.1  # of a lease: after which to ask again where a promise is fresh; a round is over by then
WRITING = 0.02  # seconds after which to ask again where another's promise is being written down: a disk takes some ms
WAITING_MOST = 8  # of those who were turned away, who are told when a duty is given back: enough for one to take it


@dataclass(slots=True, frozen=True)
class Who:
    """A process: its name in the fleet, and its life under that name."""

    name: str
    life: int


NOBODY = Who("", 0)


@dataclass(slots=True, frozen=True)
class Promise:
    """What has to be remembered of a duty."""

    duty: str
    epoch: int
    name: str
    life: int


@dataclass(slots=True)
class _Duty:
    epoch: int  # the highest that was promised, or was known to be used
    who: Who | None = None  # whom it was promised to
    until: float = float("-inf")  # by this elector's clock
    round: int = 0
    given: bool = False  # it was given back
    renewed: bool = False  # whoever it was promised to has asked again: it has come into office
    waiting: dict[str, None] = field(default_factory=dict)  # who was turned away, the latest last
    asked: tuple[Who, RequestLease] | None = None  # what is being written down, and then granted


class Elector:
    """Promises duties for `lease` seconds each, the longest that it ever promised.

    `memory`: what was written down; None: this one has no memory.

    `floor`: the epoch that one without a memory, or with an empty one, begins above.
    """

    def __init__(self, lease: float, now: float, memory: Iterable[Promise] | None, floor: int) -> None:
        self.lease = lease
        self.quiet_until = now + lease
        self.remembers = memory is not None
        self._floor = floor
        self._duties = {p.duty: _Duty(p.epoch, Who(p.name, p.life) if p.name else None) for p in memory or ()}
        self.unwritten: dict[str, Promise] = {}
        self._out: list[tuple[str, Message]] = []

    def take(self) -> list[tuple[str, Message]]:
        """What is to be told, and to whom by name."""
        out, self._out = self._out, []
        return out

    def promises(self) -> list[Promise]:
        """All that has to be remembered, with what is `unwritten`: its writer clears that first."""
        found = {
            name: Promise(name, duty.epoch, duty.who.name if duty.who else "", duty.who.life if duty.who else 0)
            for name, duty in self._duties.items()
        }
        return list((found | self.unwritten).values())

    def promised(self, duty: str, now: float) -> tuple[int, str, float]:
        """Its highest epoch, whom it is promised to now, and for how long yet."""
        known = self._duties.get(duty)
        if known is None or known.who is None or now >= known.until:
            return (0 if known is None else known.epoch), "", 0.0
        return known.epoch, known.who.name, known.until - now

    # ---- what others say ---------------------------------------------------------------------------

    def heard(self, now: float, who: Who, message: Message) -> None:
        """A message of a process that may want a duty."""
        if isinstance(message, RequestLease):
            self._want(now, who, message)
        elif isinstance(message, ReleaseLease):
            self._give(now, who, message)

    def _want(self, now: float, who: Who, want: RequestLease) -> None:
        duty = self._duties.get(want.role)
        if want.lease_seconds > self.lease:
            # Guards a holder that counts on more than this one's restarts wait for.
            self._no(who, want, 0 if duty is None else duty.epoch, "", self.lease)
            return
        if duty is None:
            if len(self._duties) >= DUTIES_MOST:
                self._no(who, want, 0, "", self.lease)
                return
            duty = self._duties[want.role] = _Duty(self._floor)
        if duty.asked is not None:
            if duty.asked[0] != who:  # what was asked first is being written down; whoever asks now asks again soon
                self._turn_away(now, duty, who, want, WRITING)
            return
        if duty.who == who and want.epoch == duty.epoch and not duty.given:
            # Nobody else was promised it since: whether that promise has run out or not, it may be given anew.
            if want.round_number >= duty.round:
                duty.renewed = duty.renewed or want.round_number > duty.round
                self._grant(now, duty, who, want)
            return
        left = max(0.0, self.quiet_until - now)
        if duty.who is not None and duty.who != who and not duty.given:
            left = max(left, duty.until - now)
        if left > 0.0:
            if not duty.renewed and now >= self.quiet_until:
                # Only a hint: whoever was promised it may never get a majority, and gives it back then.
                left = min(left, SOON * self.lease)
            self._turn_away(now, duty, who, want, left)
        elif want.epoch <= duty.epoch:
            self._no(who, want, duty.epoch, "", 0.0)
        elif self.remembers:
            # Until it is written down the former promise stands as it is.
            duty.asked = who, want
            self.unwritten[want.role] = Promise(want.role, want.epoch, who.name, who.life)
        else:
            self._grant(now, duty, who, want)

    def written(self, now: float, duties: Iterable[str]) -> None:
        """What was asked about these duties will survive a restart now."""
        for name in duties:
            duty = self._duties[name]
            asked, duty.asked = duty.asked, None
            if asked is not None:
                self._grant(now, duty, *asked)

    def unwritable(self, duties: Iterable[str]) -> None:
        """It could not be written down: nothing is promised. The epochs are used up: they may be on the disk or not."""
        for name in duties:
            duty = self._duties[name]
            asked, duty.asked = duty.asked, None
            if asked is not None:
                # The former promise still binds, but nobody renews it: the disk may name the one or the other.
                duty.epoch, duty.who = asked[1].epoch, NOBODY

    def _grant(self, now: float, duty: _Duty, who: Who, want: RequestLease) -> None:
        if want.epoch != duty.epoch or who != duty.who:
            duty.renewed = False
        duty.epoch, duty.who, duty.round, duty.given = want.epoch, who, want.round_number, False
        duty.until = now + self.lease
        duty.waiting.pop(who.name, None)
        self._out.append((who.name, GrantLease(want.role, want.epoch, want.round_number)))

    def _turn_away(self, now: float, duty: _Duty, who: Who, want: RequestLease, left: float) -> None:
        duty.waiting.pop(who.name, None)
        duty.waiting[who.name] = None
        if len(duty.waiting) > WAITING_MOST:
            del duty.waiting[next(iter(duty.waiting))]
        held = duty.who is not None and now < duty.until and not duty.given
        self._no(who, want, duty.epoch, duty.who.name if held and duty.who else "", left)

    def _no(self, who: Who, want: RequestLease, epoch: int, holder: str, left: float) -> None:
        self._out.append((who.name, DenyLease(want.role, epoch, want.round_number, holder, left)))

    def _give(self, now: float, who: Who, give: ReleaseLease) -> None:
        duty = self._duties.get(give.role)
        if duty is None or duty.who != who or give.epoch != duty.epoch or give.round_number < duty.round or duty.given:
            return
        duty.given = True
        waiting, duty.waiting = duty.waiting, {}
        for name in waiting:
            if name != who.name:
                self._out.append((name, RoleAvailable(give.role, give.epoch)))
