"""Promises that are checked while the program runs. A violation is counted and told, and never stops the process.

Each check costs one comparison where it holds. What is counted is read by `/metrics`, by the soak, and by the fixture
in tests/conftest.py, which fails any test in whose process an invariant was violated.
"""

from __future__ import annotations

import enum
import sys
from collections import Counter
from collections.abc import Callable

TOLD_MOST = 20  # violations of one invariant that are told: a fault on the path of each request must not fill the log

Teller = Callable[["Invariant", dict[str, object]], None]


class Invariant(enum.Enum):
    """What must hold at all times; the value names it in logs and metrics."""

    ONE_ANSWER = "one-answer"  # a request gets one final answer
    SENT_WHILE_OPEN = "sent-while-open"  # nothing is sent for a request whose answer is not owed any more
    RUN_ONCE = "run-once"  # what may not be repeated is not sent again while it may have run
    TRIES = "tries"  # a request is offered to no more backends than its route allows
    CLAIM_WON = "claim-won"  # an operation key is sent under a claim that was won
    RELEASED_UNRUN = "released-unrun"  # a claim is given back only where nothing ran under it
    IN_FLIGHT = "in-flight"  # counts of what is under way are never below nothing
    OFFERED_ONCE = "offered-once"  # a gate offers a request to its backend once
    PROVEN_UNRUN = "proven-unrun"  # what was written whole to a backend does not count as never run
    ONE_EXCHANGE = "one-exchange"  # a connection to a backend carries one exchange at a time
    INDEX_RISES = "index-rises"  # changes of the configuration are decided one after another
    EDITIONS_RISE = "editions-rise"  # an item's place is taken by a later edition alone
    EPOCHS_RISE = "epochs-rise"  # memberships follow each other
    ONE_VOTER_AT_A_TIME = "one-voter-at-a-time"  # two memberships in a row differ in one voter at most
    CONFIRMED_STANDS = "confirmed-stands"  # what is confirmed stands, or something later does
    ROW_FITS = "row-fits"  # no row is written whose key no disk takes
    ONE_HOLDER = "one-holder"  # an operation key has one holder until its window is over


violations: Counter[Invariant] = Counter()
_tellers: list[Teller] = []


def check(holds: bool, invariant: Invariant, **details: object) -> None:
    """Count a violation unless it holds, and tell of it; `details` say of what."""
    if holds:
        return
    violations[invariant] += 1
    if violations[invariant] <= TOLD_MOST:
        for tell in _tellers:
            tell(invariant, details)


def tell_standard_error(invariant: Invariant, details: dict[str, object]) -> None:
    """One line of the daemon's and the platform's proxy's log."""
    told = " ".join(f"{key}={value}" for key, value in details.items())
    print(f"lugspur: invariant violated: {invariant.value} {told}", file=sys.stderr, flush=True)


def tell_to(teller: Teller) -> None:
    """Have violations told, as by a line in the log."""
    _tellers.append(teller)
