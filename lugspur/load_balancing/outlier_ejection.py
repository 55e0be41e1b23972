"""Outlier ejection: a server that takes no requests is left out for a while, longer each time."""

from random import Random

FIRST_EJECTION_SECONDS = 0.5  # of a server that took no connection, or no request...
MAX_EJECTION_SECONDS = 4.0  # ...doubling up to this, each drawn anew from half to one and a half times that


class OutlierEjection:
    """Whether one server is ejected: `ejected_until` is a time, 0 where it is not.

    Guards requests against a dead or full server that is still listed. With nothing in flight it looks idle
    whenever the others are busy, and a breaker that sees few requests passes it dozens of times, each at
    the cost of a connection attempt.
    """

    def __init__(self) -> None:
        self.consecutive_rejections = 0
        self.ejected_until = 0.0

    def eject(self, now: float, rng: Random) -> None:
        """Eject the server: it took no connection, or no request."""
        self.consecutive_rejections += 1
        seconds = FIRST_EJECTION_SECONDS * 2.0 ** (self.consecutive_rejections - 1)
        # Drawn anew each time: instances must not all come back at the same moment.
        self.ejected_until = now + min(MAX_EJECTION_SECONDS, seconds) * (0.5 + rng.random())

    def end_ejection(self) -> None:
        """It answered. What hangs or breaks proves nothing: it may have begun before the server died."""
        self.consecutive_rejections, self.ejected_until = 0, 0.0
