"""The duration of a lease for the voters and for its holder, and when the holder renews it.

A voter promises a role for the whole time of the lease, by its own clock. The holder counts from before it sent its
requests, by its own clock, and relies on a shorter time. Even if the holder's clock runs slow by `MAX_CLOCK_DRIFT` and
the voters' clocks run fast by as much, the holder has stopped acting before any of these voters promises the role to
another candidate. No clock has to show the right time; it only has to run at about the right rate.

Source: Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency"
(1989), which bounds the drift of clocks in the same way.
"""

from __future__ import annotations

#: By which fraction a clock may run fast or slow. The requirement is 5%; real clocks stay below 0.05%, NTP's bound.
MAX_CLOCK_DRIFT = 0.06

#: When the holder renews its lease, as a fraction of the time for which it relies on it: two more attempts fit into the
#: rest.
RENEWAL_FRACTION = 1 / 3
#: The average time between two attempts to renew, as a fraction of the time for which the holder relies on its lease.
RENEWAL_RETRY_FRACTION = 1 / 8

#: The timeout of a round of requests, as a fraction of a lease. A voter's disk may need some of this time.
ROUND_TIMEOUT_FRACTION = 1 / 10
#: The upper bound on the timeout of a round, which applies to long leases.
MAX_ROUND_TIMEOUT_SECONDS = 1.0


def holder_lease_seconds(lease_seconds: float) -> float:
    """Return for how long a holder relies on a lease, in seconds of its own clock from before it sent its requests."""
    return lease_seconds * (1.0 - MAX_CLOCK_DRIFT) / (1.0 + MAX_CLOCK_DRIFT)
