"""What a drawn history is played with: how many control nodes, what may be lost, and for how long."""

from __future__ import annotations

from dataclasses import dataclass, replace

from lugspur.mesh.control.reservation_table import RETENTION_MARGIN_SECONDS
from lugspur.mesh.control.voter_membership import Tolerance

WINDOW_S = 60.0  # seconds for which a key runs once: longer than a short history
SHORT_WINDOW_S = 4.0  # so that claims end within a history


@dataclass(slots=True, frozen=True)
class Setting:
    """One kind of history.

    `machines`, `zones`: how many may be lost at once; `faults_s`: seconds in which faults happen; `order_every`:
    seconds between orders, on average; `window_s`: seconds for which a key runs once; `absences`: how often a control
    node is away for long; `items`: names that are ordered; `item_bytes`: of each value; `claims_heard`: whether a new
    voter hears the claims of others, else time alone makes it complete; `hasty`: whether the next disk may be lost as
    soon as the register has recovered from the loss before, whatever the settings allow, so that claims may be lost.
    """

    nodes: int
    machines: int
    zones: int
    faults_s: float = 14.0
    order_every: float = 0.12
    window_s: float = WINDOW_S
    absences: int = 0
    items: int = 4
    item_bytes: int = 3
    claims_heard: bool = True
    hasty: bool = False

    @property
    def tolerance(self) -> Tolerance:
        """What may be lost at once."""
        return Tolerance(self.machines, self.zones)

    @property
    def complete_by_time(self) -> float:
        """Seconds until a voter that hears nothing is complete, where that is to happen."""
        return self.window_s + RETENTION_MARGIN_SECONDS if self.hasty or not self.claims_heard else 0.0


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
"""Short histories of losses as fast as the settings tolerate."""

MANY_CHANGES = [
    replace(setting, faults_s=70.0, order_every=0.08, absences=2, items=60, item_bytes=12_000)
    for setting in SETTINGS[:4]
]
"""Hundreds of changes, of a state of several pages, while a control node is away for a part of them."""

COMPLETE_BY_TIME = [
    replace(setting, faults_s=45.0, window_s=SHORT_WINDOW_S, claims_heard=False) for setting in SETTINGS[:4]
]
"""What others tell of their claims is always lost: voters become complete by time alone."""

HASTY_LOSSES = [replace(setting, faults_s=45.0, window_s=SHORT_WINDOW_S, hasty=True) for setting in SETTINGS[:4]]
"""One disk after the other, faster than the settings allow: a majority comes back by itself."""

KINDS = {
    "short": SETTINGS,
    "many changes": MANY_CHANGES,
    "complete by time": COMPLETE_BY_TIME,
    "hasty losses": HASTY_LOSSES,
}
