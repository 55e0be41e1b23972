"""What receivers of a duty's acts keep: the highest epoch of each, so that a former holder's acts count for nothing."""

from __future__ import annotations

from collections import OrderedDict

DUTIES_MOST = 1024  # remembered; the one that was heard of longest ago is forgotten


class Fence:
    """`refused` counts acts that came under an epoch that was not the highest any more."""

    def __init__(self) -> None:
        self._highest: OrderedDict[str, int] = OrderedDict()
        self.refused = 0

    def accepts(self, duty: str, epoch: int) -> bool:
        """Whether an act under this epoch counts; from then on none under a lesser one does."""
        if epoch < self._highest.get(duty, 0):
            self.refused += 1
            return False
        self._highest[duty] = epoch
        self._highest.move_to_end(duty)
        if len(self._highest) > DUTIES_MOST:
            self._highest.popitem(last=False)
        return True
