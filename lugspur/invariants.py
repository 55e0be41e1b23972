"""Invariants that are checked while the program runs. A violation is counted and logged; it never stops the process.

A check costs one comparison if its invariant holds. The counts are read by `/metrics`, by the soak test, and by the
fixture in tests/conftest.py that fails any test in whose process an invariant was violated.
"""

from __future__ import annotations

import enum
import sys
from collections import Counter
from collections.abc import Callable


class Invariant(enum.Enum):
    """Conditions that hold at all times; the value is the name of the invariant in logs and metrics."""

    # ---- requests --------------------------------------------------------------------------

    #: A request gets exactly one final response.
    ONE_ANSWER = "one-answer"
    #: An attempt is sent only for a request that has no final response yet.
    SENT_WHILE_OPEN = "sent-while-open"
    #: A request that must not be repeated is not sent again after an attempt that may have run.
    RUN_ONCE = "run-once"
    #: A request is sent to no more backends than its route allows.
    ATTEMPTS_WITHIN_LIMIT = "tries"
    #: A request with an idempotency key is sent only if its reservation of the key was granted.
    RESERVATION_GRANTED = "claim-won"
    #: A reservation is released only if no attempt has run under it.
    RELEASED_ONLY_UNRUN = "released-unrun"
    #: Counts of requests in flight are never negative.
    IN_FLIGHT_NOT_NEGATIVE = "in-flight"
    #: A concurrency limiter passes a request to its backend only once.
    OFFERED_ONCE = "offered-once"
    #: A request that was written completely to a backend does not count as proven not to have run.
    PROVEN_NOT_RUN = "proven-unrun"
    #: A connection to a backend carries one exchange at a time.
    ONE_EXCHANGE = "one-exchange"

    # ---- consensus and configuration -------------------------------------------------------

    #: Configuration changes are decided one after another, each with the next index.
    INDEX_RISES = "index-rises"
    #: A configuration item is replaced only by one of a later edition.
    EDITIONS_RISE = "editions-rise"
    #: Each voter membership has a higher epoch than the one before.
    EPOCHS_RISE = "epochs-rise"
    #: Two consecutive memberships differ in at most one voter.
    ONE_VOTER_AT_A_TIME = "one-voter-at-a-time"
    #: A change that was confirmed to an operator is kept, or has been replaced by a later one.
    CONFIRMED_IS_KEPT = "confirmed-stands"
    #: No row is written whose key is longer than lmdb allows.
    ROW_KEY_FITS = "row-fits"
    #: An idempotency key has one owner until its retention time is over.
    ONE_KEY_OWNER = "one-holder"

    # ---- coordination ----------------------------------------------------------------------

    #: Each grant of a lock has a higher fencing token than all before it.
    FENCES_RISE = "fences-rise"
    #: Each number is greater than all numbers that were issued before under its name.
    NUMBERS_RISE = "numbers-rise"
    #: Each put in a group of keys has a higher revision than all before it.
    REVISIONS_RISE = "revisions-rise"
    #: Two replicas have the same change under one index.
    ONE_CHANGE_PER_INDEX = "one-change"


#: Called with a violated invariant and details of the violation.
ViolationListener = Callable[[Invariant, dict[str, object]], None]

#: Reported violations of one invariant: a fault in the processing of every request must not flood the log.
MAX_REPORTED_VIOLATIONS = 20

#: How often each invariant was violated since the process started.
violations: Counter[Invariant] = Counter()
_listeners: list[ViolationListener] = []


def check(holds: bool, invariant: Invariant, **details: object) -> None:
    """Count a violation if `holds` is false, and report the first ones to the listeners with the details."""
    if holds:
        return
    violations[invariant] += 1
    if violations[invariant] <= MAX_REPORTED_VIOLATIONS:
        for listener in _listeners:
            listener(invariant, details)


def add_listener(listener: ViolationListener) -> None:
    """Report violations to `listener` from now on."""
    _listeners.append(listener)


def log_to_standard_error(invariant: Invariant, details: dict[str, object]) -> None:
    """Write one line to the log of the daemon or the platform proxy."""
    fields = " ".join(f"{key}={value}" for key, value in details.items())
    print(f"lugspur: invariant violated: {invariant.value} {fields}", file=sys.stderr, flush=True)
