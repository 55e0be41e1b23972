"""How long a lease lasts, on either side of it.

Electors promise a duty for the whole lease, by their clocks. Its holder counts from before it asked, by its own clock,
and to less: even if its clock runs slow by DRIFT and theirs fast by DRIFT, it has given up before any of them promises
the duty to somebody else. No clock has to agree with another, only to run at about the right pace.
"""

from __future__ import annotations

MAX_CLOCK_DRIFT = (
    0.06  # by which a clock may run fast or slow: 5% are to be borne; real ones stay under 0.0005 (NTP's bound)
)
RENEWAL_FRACTION = 1 / 3  # part of its time after which a holder asks anew: two further tries fit in
RENEWAL_RETRY_FRACTION = 1 / 8  # part of it between two tries
ROUND_TIMEOUT_FRACTION = 1 / 10  # part of it that a round may take; at most...
MAX_ROUND_TIMEOUT_SECONDS = 1.0  # ...seconds: an elector's disk may take its time


def holder_lease_seconds(lease: float) -> float:
    """Seconds, by the holder's clock from before it asked, in which it is in office."""
    return lease * (1.0 - MAX_CLOCK_DRIFT) / (1.0 + MAX_CLOCK_DRIFT)
