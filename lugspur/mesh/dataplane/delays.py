"""How old a message is when it is read, without I/O and without clocks that agree.

Times that requests have left are told as spans, so that machines need no common time of day. A span that lay in a
socket while its reader was frozen, or a link was cut, is wrong by as long. The sender stamps each message with its
steady clock: the difference to the reader's is the clocks' offset and the message's delay; the least difference seen
on a connection is taken for the offset, and what a message has above it is its excess delay.
"""

from __future__ import annotations

DRIFT_MOST = 1e-3  # seconds a second by which two steady clocks may run apart: ten times what crystals do
LATE_FOR = 2.0  # seconds of late messages alone after which the clocks themselves must have moved
LATE = 0.25  # seconds of delay from which a message counts as late for that


class ExcessDelay:
    """Estimates the excess delay of each message of one connection."""

    def __init__(self) -> None:
        self._offset: float | None = None
        self._read_at = 0.0
        self._late_since: float | None = None

    def excess(self, now: float, sent: float) -> float:
        """Seconds for which a message that was stamped `sent` was held up; the first of a connection counts as prompt.

        It is never over the true delay, but for DRIFT_MOST: what is told as too late is.
        """
        difference = now - sent
        if self._offset is None:
            self._offset = difference
        else:
            self._offset = min(difference, self._offset + DRIFT_MOST * max(0.0, now - self._read_at))
        self._read_at = now
        excess = difference - self._offset
        if excess < LATE:
            self._late_since = None
        elif self._late_since is None:
            self._late_since = now
        elif now - self._late_since > LATE_FOR:
            # Guards all requests against a steady clock that was moved: without this nothing would be taken again.
            self._offset, self._late_since = difference, None
        return excess


class FreezeDetector:
    """Finds out that this process did not run for a while (SIGSTOP, a paused machine, a starved processor).

    What is read right after may have come at any time since the process last ran.
    """

    def __init__(self, least: float, settle: float) -> None:
        """`least`: seconds without a turn that count as a freeze; `settle`: seconds until all that waited is read."""
        self._least, self._settle = least, settle
        self._ran_at: float | None = None
        self._frozen_from = 0.0
        self._settled_at = float("-inf")

    def ran(self, now: float) -> None:
        """The process runs; to be told several times in `least`."""
        before, self._ran_at = self._ran_at, now
        if before is not None and now - before > self._least:
            if now > self._settled_at:  # else what waited before is not all read: it may be as old as it was
                self._frozen_from = before
            self._settled_at = now + self._settle

    def came(self, now: float) -> float:
        """The earliest time at which bytes that are read now can have come."""
        self.ran(now)
        return self._frozen_from if now < self._settled_at else now
