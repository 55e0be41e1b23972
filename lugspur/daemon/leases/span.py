"""How long a lease lasts, on either side of it.

Electors promise a duty for the whole lease, by their clocks. Its holder counts from before it asked, by its own clock,
and to less: even if its clock runs slow by DRIFT and theirs fast by DRIFT, it has given up before any of them promises
the duty to somebody else. No clock has to agree with another, only to run at about the right pace.
"""

from __future__ import annotations

DRIFT = 0.06  # by which a clock may run fast or slow: 5% are to be borne; real ones stay under 0.0005 (NTP's bound)
RENEW = 1 / 3  # part of its time after which a holder asks anew: two further tries fit in
AGAIN = 1 / 8  # part of it between two tries
ROUND = 1 / 10  # part of it that a round may take; at most...
ROUND_MOST = 1.0  # ...seconds: an elector's disk may take its time


def held_for(lease: float) -> float:
    """Seconds, by the holder's clock from before it asked, in which it is in office."""
    return lease * (1.0 - DRIFT) / (1.0 + DRIFT)
