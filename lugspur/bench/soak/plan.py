"""Draws troubles by a seed: when each begins, how long it lasts, and so that two or three overlap."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from random import Random


class Kind(enum.Enum):
    """What goes wrong."""

    KILL_CONTROL = "kill a control node"
    WIPE_CONTROL = "kill and wipe a control node"
    WIPE_AFTER_ACK = "kill and wipe the control node that has just proposed an order"
    FREEZE_CONTROL = "freeze a control node"
    KILL_ALL_CONTROL = "kill all control nodes"
    KILL_AFTER_ACK = "kill all control nodes right after one has confirmed an order"
    TERMINATE_CONTROL = "stop a control node and start it"
    KILL_PROXY = "kill a proxy"
    TERMINATE_PROXY = "stop a proxy and start it"
    FREEZE_PROXY = "freeze a proxy"
    CUT = "cut a machine off"
    CUT_ONE_WAY = "cut a machine off, one way"
    RESETS = "reset all connections"
    SLOW = "slow links"
    RELOAD = "reload"
    RELOAD_DAMAGED = "reload a damaged file"
    RELOAD_UNDECODABLE = "reload a file that is no text"
    RELOAD_MISSING = "reload a file that is gone"
    SEEDS = "exchange seeds"
    SPOILT_BACKEND = "a backend misbehaves"
    LOST_ANSWERS = "one of two backends loses its answers"
    DRAIN_BACKEND = "a backend leaves in order"
    RESTART_BACKEND = "a backend crashes and starts anew"
    SPOILT_CALLERS = "callers misbehave"


@dataclass(frozen=True)
class Trouble:
    """One trouble; whom it hits is drawn when it comes."""

    kind: Kind
    at: float  # seconds from the start
    seconds: float  # how long it lasts


#: How often each kind is drawn, for a mesh...
MESH_WEIGHTS = {
    Kind.KILL_CONTROL: 8,
    Kind.WIPE_CONTROL: 2,
    Kind.WIPE_AFTER_ACK: 4,
    Kind.FREEZE_CONTROL: 5,
    Kind.KILL_ALL_CONTROL: 2,
    Kind.KILL_AFTER_ACK: 4,
    Kind.TERMINATE_CONTROL: 4,
    Kind.KILL_PROXY: 6,
    Kind.TERMINATE_PROXY: 5,
    Kind.FREEZE_PROXY: 5,
    Kind.CUT: 6,
    Kind.CUT_ONE_WAY: 6,
    Kind.RESETS: 5,
    Kind.SLOW: 3,
    Kind.RELOAD: 4,
    Kind.RELOAD_DAMAGED: 2,
    Kind.RELOAD_UNDECODABLE: 2,
    Kind.RELOAD_MISSING: 2,
    Kind.SEEDS: 2,
    Kind.SPOILT_BACKEND: 14,
    Kind.LOST_ANSWERS: 8,
    Kind.DRAIN_BACKEND: 5,
    Kind.RESTART_BACKEND: 5,
    Kind.SPOILT_CALLERS: 14,
}
#: ...and for one daemon before backends.
DAEMON_WEIGHTS = {
    Kind.KILL_PROXY: 2,
    Kind.TERMINATE_PROXY: 3,
    Kind.FREEZE_PROXY: 3,
    Kind.RELOAD: 6,
    Kind.RELOAD_DAMAGED: 2,
    Kind.RELOAD_UNDECODABLE: 2,
    Kind.RELOAD_MISSING: 2,
    Kind.SPOILT_BACKEND: 14,
    Kind.RESTART_BACKEND: 6,
    Kind.SPOILT_CALLERS: 12,
}
LASTS = (0.2, 3.5)  # seconds of one trouble
GAP = (0.1, 1.2)  # seconds from the beginning of one to that of the next: two or three overlap


def draw(rng: Random, seconds: float, weights: dict[Kind, int]) -> list[Trouble]:
    """Troubles that begin within so many seconds."""
    found: list[Trouble] = []
    at = rng.uniform(*GAP)
    while at < seconds:
        (kind,) = rng.choices(list(weights), list(weights.values()))
        found.append(Trouble(kind, at, rng.uniform(*LASTS)))
        at += rng.uniform(*GAP)
    return found


def overlapping(troubles: list[Trouble]) -> float:
    """How many troubles last at once, on average over the time in which any does."""
    edges = sorted([(t.at, 1) for t in troubles] + [(t.at + t.seconds, -1) for t in troubles])
    under_way, total, busy, before = 0, 0.0, 0.0, 0.0
    for at, step in edges:
        total += under_way * (at - before)
        busy += (at - before) if under_way else 0.0
        under_way, before = under_way + step, at
    return total / busy if busy else 0.0
