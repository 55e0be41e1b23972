"""Draws faults from a seed: their kinds, start times and durations, so that two or three overlap."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from random import Random


class FaultKind(enum.Enum):
    """The kinds of faults; the values are the names in the report."""

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
    RESET_CONNECTIONS = "reset all connections"
    SLOW_LINKS = "slow links"
    RELOAD = "reload"
    RELOAD_DAMAGED = "reload a damaged file"
    RELOAD_UNDECODABLE = "reload a file that is no text"
    RELOAD_MISSING = "reload a file that is gone"
    CHANGE_SEEDS = "exchange seeds"
    FAULTY_BACKEND = "a backend misbehaves"
    LOST_RESPONSES = "one of two backends loses its answers"
    DRAIN_BACKEND = "a backend leaves in order"
    RESTART_BACKEND = "a backend crashes and starts anew"
    MISBEHAVING_CALLERS = "callers misbehave"


@dataclass(frozen=True)
class Fault:
    """One scheduled fault; its target is drawn when it is injected."""

    kind: FaultKind
    at: float  # seconds from the start
    seconds: float  # how long it lasts


#: Relative frequency of each kind of fault in the soak of a mesh.
MESH_WEIGHTS = {
    FaultKind.KILL_CONTROL: 8,
    FaultKind.WIPE_CONTROL: 2,
    FaultKind.WIPE_AFTER_ACK: 4,
    FaultKind.FREEZE_CONTROL: 5,
    FaultKind.KILL_ALL_CONTROL: 2,
    FaultKind.KILL_AFTER_ACK: 4,
    FaultKind.TERMINATE_CONTROL: 4,
    FaultKind.KILL_PROXY: 6,
    FaultKind.TERMINATE_PROXY: 5,
    FaultKind.FREEZE_PROXY: 5,
    FaultKind.CUT: 6,
    FaultKind.CUT_ONE_WAY: 6,
    FaultKind.RESET_CONNECTIONS: 5,
    FaultKind.SLOW_LINKS: 3,
    FaultKind.RELOAD: 4,
    FaultKind.RELOAD_DAMAGED: 2,
    FaultKind.RELOAD_UNDECODABLE: 2,
    FaultKind.RELOAD_MISSING: 2,
    FaultKind.CHANGE_SEEDS: 2,
    FaultKind.FAULTY_BACKEND: 14,
    FaultKind.LOST_RESPONSES: 8,
    FaultKind.DRAIN_BACKEND: 5,
    FaultKind.RESTART_BACKEND: 5,
    FaultKind.MISBEHAVING_CALLERS: 14,
}
#: Relative frequency of each kind of fault in the soak of one daemon with its backends.
DAEMON_WEIGHTS = {
    FaultKind.KILL_PROXY: 2,
    FaultKind.TERMINATE_PROXY: 3,
    FaultKind.FREEZE_PROXY: 3,
    FaultKind.RELOAD: 6,
    FaultKind.RELOAD_DAMAGED: 2,
    FaultKind.RELOAD_UNDECODABLE: 2,
    FaultKind.RELOAD_MISSING: 2,
    FaultKind.FAULTY_BACKEND: 14,
    FaultKind.RESTART_BACKEND: 6,
    FaultKind.MISBEHAVING_CALLERS: 12,
}
# Range of the duration of one fault.
FAULT_SECONDS = (0.2, 3.5)
# Range of the time from the start of one fault to that of the next, short enough that two or three overlap.
GAP_SECONDS = (0.1, 1.2)


def draw_faults(rng: Random, seconds: float, weights: dict[FaultKind, int]) -> list[Fault]:
    """Return random faults that start within `seconds`, in the order of their starts."""
    drawn: list[Fault] = []
    at = rng.uniform(*GAP_SECONDS)
    while at < seconds:
        (kind,) = rng.choices(list(weights), list(weights.values()))
        drawn.append(Fault(kind, at, rng.uniform(*FAULT_SECONDS)))
        at += rng.uniform(*GAP_SECONDS)
    return drawn


def average_overlap(faults: list[Fault]) -> float:
    """Return the average number of faults in progress at once, over the time in which there is any."""
    edges = sorted([(fault.at, 1) for fault in faults] + [(fault.at + fault.seconds, -1) for fault in faults])
    active_count, fault_seconds, busy_seconds, previous_at = 0, 0.0, 0.0, 0.0
    for at, change in edges:
        fault_seconds += active_count * (at - previous_at)
        busy_seconds += (at - previous_at) if active_count else 0.0
        active_count, previous_at = active_count + change, at
    return fault_seconds / busy_seconds if busy_seconds else 0.0
