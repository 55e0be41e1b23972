"""Validation of fencing tokens at the receivers of a role's actions.

A lease alone does not stop an action of a former leader that was delayed on its way. Each action therefore carries the
epoch of its leader as a fencing token, and a receiver rejects an action whose epoch is lower than the highest one it
has seen, as with the sequencers of Chubby (Burrows, 2006).
"""

from __future__ import annotations

from collections import OrderedDict

#: The number of roles whose epoch is kept; beyond it, the least recently seen role is dropped.
MAX_ROLES = 1024


class FencingTokenValidator:
    """Keeps the highest epoch of each role; `rejected_count` is the number of actions with a lower one."""

    def __init__(self) -> None:
        self._highest: OrderedDict[str, int] = OrderedDict()
        self.rejected_count = 0

    def accepts(self, role: str, epoch: int) -> bool:
        """Return whether to accept an action under this epoch; if so, actions under lower epochs will be rejected."""
        if epoch < self._highest.get(role, 0):
            self.rejected_count += 1
            return False
        self._highest[role] = epoch
        self._highest.move_to_end(role)
        if len(self._highest) > MAX_ROLES:
            self._highest.popitem(last=False)
        return True
