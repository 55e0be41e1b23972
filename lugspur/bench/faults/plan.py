"""Draws random faults and defines the scripted scenarios."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from random import Random

from lugspur.bench.faults.links import LinkState


class Kind(enum.Enum):
    """A kind of fault."""

    KILL_ONE = "kill one"
    KILL_SOME = "kill some"
    KILL_ALL = "kill all"
    KILL_AFTER_ACK = "kill after an acknowledgement"
    WIPE = "kill and wipe"
    WIPE_AFTER_ACK = "wipe after an acknowledgement"
    REPLACE = "replace for good"
    LEAVE = "leave, with a replacement"
    FREEZE = "freeze one"
    FREEZE_MANY = "freeze a majority"
    ISOLATE = "cut off from all"
    ISOLATE_CONTROL = "cut off from control machines"
    ISOLATE_MOST = "cut off from all but one"
    SPLIT = "split in two"
    RESET_ONCE = "reset all connections"
    SLOW = "slow links"
    REFUSE = "refuse new connections"
    SEEDS = "exchange seeds"


class Direction(enum.Enum):
    """The direction of the traffic that a cut stops, as seen from the machine that is cut off."""

    BOTH = "both ways"
    OUT = "outwards"
    IN = "inwards"


@dataclass(frozen=True)
class Fault:
    """One fault; the machines that it hits are drawn when it is injected."""

    kind: Kind
    seconds: float = 0.0  # duration of the fault
    link_state: LinkState = LinkState.SILENT
    direction: Direction = Direction.BOTH

    @property
    def name(self) -> str:
        """The kind of fault, and for cuts also the way and the direction."""
        if self.kind in CUTS:
            return f"{self.kind.value}, {self.link_state.value}, {self.direction.value}"
        return self.kind.value


CUTS = frozenset({Kind.ISOLATE, Kind.ISOLATE_CONTROL, Kind.ISOLATE_MOST, Kind.SPLIT})
#: Relative weights with which kinds are drawn.
WEIGHTS = {
    Kind.KILL_ONE: 12,
    Kind.KILL_SOME: 8,
    Kind.KILL_ALL: 8,
    Kind.KILL_AFTER_ACK: 14,
    Kind.WIPE: 4,
    Kind.WIPE_AFTER_ACK: 3,
    Kind.REPLACE: 3,
    Kind.LEAVE: 3,
    Kind.FREEZE: 5,
    Kind.FREEZE_MANY: 2,
    Kind.ISOLATE: 4,
    Kind.ISOLATE_CONTROL: 3,
    Kind.ISOLATE_MOST: 3,
    Kind.SPLIT: 2,
    Kind.RESET_ONCE: 14,
    Kind.SLOW: 2,
    Kind.REFUSE: 3,
    Kind.SEEDS: 5,
}
DOWNTIME = (0.0, 1.0)  # range of the seconds for which a killed machine stays down
SHORT, LONG, LONGEST = (0.3, 2.0), (2.5, 6.0), (12.0, 20.0)  # ranges of the seconds for which a cut or a freeze lasts
WEIGHTED_DURATIONS = ((12, SHORT), (6, LONG), (1, LONGEST))  # relative weight and range


def draw(rng: Random, count: int) -> list[Fault]:
    """Draw `count` random faults."""
    kinds = rng.choices(list(WEIGHTS), list(WEIGHTS.values()), k=count)
    return [_draw_fault(rng, kind) for kind in kinds]


def _draw_fault(rng: Random, kind: Kind) -> Fault:
    (duration,) = rng.choices(
        [duration for _, duration in WEIGHTED_DURATIONS], [weight for weight, _ in WEIGHTED_DURATIONS]
    )
    if kind in CUTS:
        link_state = rng.choice((LinkState.SILENT, LinkState.SILENT, LinkState.RESET))
        direction = rng.choice(list(Direction)) if link_state is LinkState.SILENT else Direction.BOTH
        return Fault(kind, rng.uniform(*duration), link_state, direction)
    if kind in (Kind.FREEZE, Kind.FREEZE_MANY):
        return Fault(kind, max(2.0, rng.uniform(*duration)))
    if kind in (Kind.SLOW, Kind.REFUSE):
        return Fault(kind, rng.uniform(*SHORT))
    return Fault(kind, rng.uniform(*DOWNTIME))


#: One scenario for each of the five requirements on the control machines.
SCENARIOS: dict[str, list[Fault]] = {
    "cut": [
        *(Fault(Kind.ISOLATE, 20.0, LinkState.SILENT, direction) for direction in Direction),
        Fault(Kind.ISOLATE, 20.0, LinkState.RESET),
        *(Fault(Kind.ISOLATE_CONTROL, 20.0, LinkState.SILENT, direction) for direction in Direction),
        *(Fault(Kind.ISOLATE_MOST, 20.0, LinkState.SILENT, direction) for direction in Direction),
        Fault(Kind.FREEZE, 20.0),
    ],
    "race": [
        Fault(Kind.SPLIT, 5.0),
        Fault(Kind.KILL_ALL),
        Fault(Kind.KILL_AFTER_ACK),
        Fault(Kind.ISOLATE_CONTROL, 5.0, LinkState.SILENT, Direction.IN),
        Fault(Kind.KILL_SOME),
        Fault(Kind.SPLIT, 5.0, LinkState.RESET),
        Fault(Kind.RESET_ONCE),
    ],
    "losses": [
        Fault(Kind.WIPE),
        Fault(Kind.WIPE_AFTER_ACK),
        Fault(Kind.REPLACE),
        Fault(Kind.WIPE),
        Fault(Kind.LEAVE),
        Fault(Kind.REPLACE),
        Fault(Kind.SEEDS),
        Fault(Kind.WIPE_AFTER_ACK),
        Fault(Kind.REPLACE),
        Fault(Kind.WIPE),
    ],
    "catch-up": [
        Fault(Kind.FREEZE, 15.0),
        Fault(Kind.KILL_ONE, 15.0),
        Fault(Kind.WIPE, 10.0),
        Fault(Kind.KILL_AFTER_ACK),
        Fault(Kind.KILL_ALL),
        Fault(Kind.REPLACE, 10.0),
        Fault(Kind.KILL_SOME, 3.0),
    ],
    "answers": [
        *(Fault(Kind.RESET_ONCE) for _ in range(10)),
        Fault(Kind.REFUSE, 2.0),
        Fault(Kind.SLOW, 3.0),
        *(Fault(Kind.FREEZE, 2.0) for _ in range(3)),
        Fault(Kind.KILL_SOME),
        Fault(Kind.KILL_ALL),
    ],
}
