"""The check of fencing tokens at the receivers of a role's actions.

A lease alone does not stop a former leader whose action is delayed on its way. Each action therefore carries the epoch
of its leader, and a receiver rejects one with a lower epoch than the highest it has seen, as with the sequencers of
Chubby (Burrows, 2006).
"""

from __future__ import annotations

from collections import OrderedDict

#: The number of roles whose epoch is kept; beyond it, the role that was seen least recently is forgotten.
MAX_ROLES = 1024


class FencingTokenValidator:
    """Keeps the highest epoch of each role, and counts in `rejected` the actions that came with a lower one."""

    def __init__(self) -> None:
        self._highest: OrderedDict[str, int] = OrderedDict()
        self.rejected = 0

    def accepts(self, role: str, epoch: int) -> bool:
        """Return whether an action under this epoch counts. If it does, no action under a lower epoch will."""
        if epoch < self._highest.get(role, 0):
            self.rejected += 1
            return False
        self._highest[role] = epoch
        self._highest.move_to_end(role)
        if len(self._highest) > MAX_ROLES:
            self._highest.popitem(last=False)
        return True
