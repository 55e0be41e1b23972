"""Outlier ejection: a server that accepts no requests gets none for a time, which grows with each failure."""

from random import Random

FIRST_EJECTION_SECONDS = 0.5  # mean length of the first ejection; further ones double it
MAX_EJECTION_SECONDS = 4.0  # greatest mean length; each is drawn from half to one and a half times its mean


class OutlierEjection:
    """Ejection state of one server; `ejected_until` is the end of its ejection, 0 if there is none.

    Guards requests against a dead or full server that is still listed. With nothing in flight the server
    looks idle whenever the others are busy, and a breaker that sees few requests lets dozens of attempts
    pass, each at the cost of a connection attempt.
    """

    def __init__(self) -> None:
        self.consecutive_rejections = 0
        self.ejected_until = 0.0

    def eject(self, now: float, rng: Random) -> None:
        """Eject the server, which accepted no connection or rejected a request."""
        self.consecutive_rejections += 1
        seconds = FIRST_EJECTION_SECONDS * 2.0 ** (self.consecutive_rejections - 1)
        # Drawn at random each time: instances must not all return to the server at the same moment.
        self.ejected_until = now + min(MAX_EJECTION_SECONDS, seconds) * (0.5 + rng.random())

    def end_ejection(self) -> None:
        """End the ejection: the server responded. A hung or broken attempt may predate the server's death."""
        self.consecutive_rejections, self.ejected_until = 0, 0.0
