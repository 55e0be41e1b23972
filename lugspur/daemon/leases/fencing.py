"""What receivers of a duty's acts keep: the highest epoch of each, so that a former holder's acts count for nothing."""

from __future__ import annotations

from collections import OrderedDict

MAX_ROLES = 1024  # remembered; the one that was heard of longest ago is forgotten


class FencingTokenValidator:
    """`refused` counts acts that came under an epoch that was not the highest any more."""

    def __init__(self) -> None:
        self._highest: OrderedDict[str, int] = OrderedDict()
        self.rejected = 0

    def accepts(self, role: str, epoch: int) -> bool:
        """Whether an act under this epoch counts; from then on none under a lesser one does."""
        if epoch < self._highest.get(role, 0):
            self.rejected += 1
            return False
        self._highest[role] = epoch
        self._highest.move_to_end(role)
        if len(self._highest) > MAX_ROLES:
            self._highest.popitem(last=False)
        return True
