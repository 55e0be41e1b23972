"""Settings of random histories: the number of control nodes, which losses are allowed, and for how long."""

from __future__ import annotations

from dataclasses import dataclass, replace

from lugspur.mesh.control.reservation_table import RETENTION_MARGIN_SECONDS
from lugspur.mesh.control.voter_membership import Tolerance

# Deduplication window of an idempotency key, in seconds. It is longer than a short history.
WINDOW_S = 60.0
# A deduplication window that is so short that reservations expire within a history, in seconds.
SHORT_WINDOW_S = 4.0


@dataclass(slots=True, frozen=True)
class Setting:
    """The size of a cluster and the faults and load of its random histories.

    Attributes:
        nodes: the number of control nodes.
        max_lost_machines: the number of machines that may be lost at once.
        max_lost_zones: the number of zones that may be lost at once.
        fault_period_s: the seconds during which faults are injected.
        mean_request_interval_s: the mean seconds between two change requests.
        deduplication_window_s: the deduplication window of an idempotency key, in seconds.
        absence_count: how often a control node is away for a long time.
        item_count: the number of different item names that requests change.
        item_bytes: the size of each value.
        delivers_reservation_pages: whether a new voter receives the reservations of other voters. Otherwise it becomes
            complete only after the deduplication window has passed.
        ignores_tolerance: whether the next disk may be lost as soon as the register has recovered from the previous
            loss, whatever the tolerance allows. Reservations may be lost then.
        overlaps_losses: whether any machine may be down, frozen or cut off at any time, while no more disks are lost
            than the tolerance allows. Service may rest then, and no reservation may be lost.
    """

    nodes: int
    max_lost_machines: int
    max_lost_zones: int
    fault_period_s: float = 14.0
    mean_request_interval_s: float = 0.12
    deduplication_window_s: float = WINDOW_S
    absence_count: int = 0
    item_count: int = 4
    item_bytes: int = 3
    delivers_reservation_pages: bool = True
    ignores_tolerance: bool = False
    overlaps_losses: bool = False

    @property
    def tolerance(self) -> Tolerance:
        """The losses that the cluster tolerates at once."""
        return Tolerance(self.max_lost_machines, self.max_lost_zones)

    @property
    def complete_by_time(self) -> float:
        """Seconds until a voter without reservations from others is complete, or 0 if no voter has to wait for that."""
        return (
            self.deduplication_window_s + RETENTION_MARGIN_SECONDS
            if self.ignores_tolerance or not self.delivers_reservation_pages
            else 0.0
        )


SETTINGS = [
    Setting(3, 1, 0),
    Setting(4, 1, 0),
    Setting(3, 1, 1),
    Setting(5, 2, 0),
    Setting(5, 1, 1),
    Setting(7, 2, 0),
    Setting(7, 2, 1),
    Setting(11, 2, 1),
]
"""Short histories in which losses follow each other as fast as the tolerance allows."""

MANY_CHANGES = [
    replace(
        setting, fault_period_s=70.0, mean_request_interval_s=0.08, absence_count=2, item_count=60, item_bytes=12_000
    )
    for setting in SETTINGS[:4]
]
"""Histories of hundreds of changes to a state of several pages, some of them while a control node is away."""

COMPLETE_BY_TIME = [
    replace(setting, fault_period_s=45.0, deduplication_window_s=SHORT_WINDOW_S, delivers_reservation_pages=False)
    for setting in SETTINGS[:4]
]
"""Histories in which pages of reservations are always lost, so that voters become complete by time alone."""

HASTY_LOSSES = [
    replace(setting, fault_period_s=45.0, deduplication_window_s=SHORT_WINDOW_S, ignores_tolerance=True)
    for setting in SETTINGS[:4]
]
"""Histories that lose one disk after another, faster than the tolerance allows: a majority has to recover by itself."""

OVERLAPPING_LOSSES = [replace(setting, fault_period_s=30.0, overlaps_losses=True) for setting in SETTINGS]
"""Histories in which machines that keep their disks are lost beyond the tolerance, while others lose theirs."""

KINDS = {
    "short": SETTINGS,
    "many changes": MANY_CHANGES,
    "complete by time": COMPLETE_BY_TIME,
    "hasty losses": HASTY_LOSSES,
    "overlapping losses": OVERLAPPING_LOSSES,
}
