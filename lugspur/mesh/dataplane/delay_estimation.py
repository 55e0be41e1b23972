"""Estimation of how long a message was delayed before it was read, without synchronised clocks. No I/O.

Requests carry their remaining time as a duration, so that machines need no common wall clock. A message that waited in
a socket buffer while its reader was frozen, or while the network was partitioned, overstates its remaining time by that
wait. The sender therefore stamps each message with its monotonic clock. The difference between the reader's clock and
the stamp is the offset of the two clocks plus the delay of the message. The smallest difference seen on a connection is
taken as the offset; what a message has above it is its excess delay. LEDBAT estimates queuing delay above a base delay
in the same way (RFC 6817).
"""

from __future__ import annotations

MAX_CLOCK_DRIFT = 1e-3  # seconds per second between two monotonic clocks; ten times the drift of a quartz crystal
LATE_THRESHOLD_SECONDS = 0.25  # excess delay from which a message counts as late
CLOCK_JUMP_SECONDS = 2.0  # if all messages are late for this long, one of the clocks must have jumped


class ExcessDelayEstimator:
    """Estimates the excess delay of each message of one connection."""

    def __init__(self) -> None:
        self._offset: float | None = None
        self._read_at = 0.0
        self._late_since: float | None = None

    def observe(self, now: float, sent_at: float) -> float:
        """Return the excess delay in seconds of a message that is read at `now` and was stamped with `sent_at`.

        The first message of a connection is assumed to be undelayed. Apart from clock drift the estimate never
        exceeds the true delay, so a message that is reported as too late is too late.
        """
        difference = now - sent_at
        if self._offset is None:
            self._offset = difference
        else:
            self._offset = min(difference, self._offset + MAX_CLOCK_DRIFT * max(0.0, now - self._read_at))
        self._read_at = now
        excess = difference - self._offset
        if excess < LATE_THRESHOLD_SECONDS:
            self._late_since = None
        elif self._late_since is None:
            self._late_since = now
        elif now - self._late_since > CLOCK_JUMP_SECONDS:
            # A monotonic clock has jumped: without a new offset every later request would be rejected as late.
            self._offset, self._late_since = difference, None
        return excess


class FreezeDetector:
    """Detects that this process did not run for a while (SIGSTOP, a paused machine, a starved processor).

    Bytes that are read right after a freeze may have arrived at any time since the process last ran.
    """

    def __init__(self, threshold_seconds: float, settle_seconds: float) -> None:
        """`threshold_seconds`: time without an iteration of the event loop that counts as a freeze.

        `settle_seconds`: time after a freeze by which all bytes that arrived during it have been read.
        """
        self._threshold_seconds = threshold_seconds
        self._settle_seconds = settle_seconds
        self._ran_at: float | None = None
        self._frozen_since = 0.0
        self._settled_at = float("-inf")

    def record_turn(self, now: float) -> None:
        """Record that the process is running; must be called several times within `threshold_seconds`."""
        previous, self._ran_at = self._ran_at, now
        if previous is None or now - previous <= self._threshold_seconds:
            return
        # If a second freeze starts before the first has settled, unread bytes may still date from the first one.
        if now > self._settled_at:
            self._frozen_since = previous
        self._settled_at = now + self._settle_seconds

    def earliest_arrival(self, now: float) -> float:
        """Return the earliest time at which bytes that are read at `now` can have arrived."""
        self.record_turn(now)
        return self._frozen_since if now < self._settled_at else now
