"""Formats the outcome of a run as a table, and the events around each violation."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterator

from lugspur.bench.faults.checker import Rule
from lugspur.bench.faults.run import Outcome

BEFORE, AFTER = 6.0, 2.0  # seconds of history shown before and after a violation
SHOWN_PER_RULE = 3  # violations of one rule that are shown with their history
HISTORY_LINES = 60  # lines of history shown for one violation


def table(outcome: Outcome) -> Iterator[str]:
    """Yield the lines of a table of faults, recoveries, counts of operations and violations by rule."""
    seconds: dict[str, list[float]] = defaultdict(list)
    for recovery in outcome.history.recoveries:
        seconds[recovery.kind].append(recovery.seconds)
    yield f"{'fault':<48} {'times':>5}   useful again: median, most (s)"
    for name, times in sorted(outcome.injected.items()):
        recovery_times = sorted(seconds.get(name, []))
        shown = f"{recovery_times[len(recovery_times) // 2]:.2f} {recovery_times[-1]:.2f}" if recovery_times else "-"
        yield f"{name:<48} {times:>5}   {shown}"
    yield f"{'all':<48} {outcome.injected.total():>5}"
    history = outcome.history
    outcomes = Counter(
        "confirmed" if attempt.confirmed else "refused" if attempt.refused else "unclear"
        for attempt in history.order_attempts
        if attempt.order.valid
    )
    yield (
        f"orders {len({attempt.order.number for attempt in history.order_attempts})}, "
        f"sent {len(history.order_attempts)} times "
        f"({', '.join(f'{count} {name}' for name, count in sorted(outcomes.items()))}); reads answered "
        f"{sum(read.status == 200 for read in history.reads)} of {len(history.reads)}"
    )
    statuses = Counter("none" if call.status is None else str(call.status) for call in history.calls)
    yield (
        f"requests {len(history.calls)} ({', '.join(f'{n} x {status}' for status, n in sorted(statuses.items()))}); "
        f"keyed operations {len({call.key for call in history.calls if call.key})}, runs {len(history.runs)}"
    )
    unrecovered = sum(not math.isfinite(recovery.seconds) for recovery in history.recoveries)
    yield f"machines not useful again at all: {unrecovered}; processes that ended by themselves: {len(outcome.exits)}"
    yield f"exceptions that nobody caught: {outcome.exceptions.total()}"
    yield from (f"    {times:>5} {exception}" for exception, times in outcome.exceptions.most_common())
    yield f"{'rule':<48} violations"
    counts = Counter(violation.rule for violation in outcome.violations)
    for rule in Rule:
        yield f"{rule.value:<48} {counts[rule]:>5}"
    yield f"{'all':<48} {len(outcome.violations):>5}"


def details(outcome: Outcome) -> Iterator[str]:
    """Yield the first violations of each rule with the history around them."""
    shown: Counter[Rule] = Counter()
    for violation in outcome.violations:
        shown[violation.rule] += 1
        if shown[violation.rule] > SHOWN_PER_RULE:
            continue
        yield f"--- {violation.rule.value}: {violation.subject} at {violation.at:.3f}"
        yield f"    {violation.detail} {violation.where}".rstrip()
        yield from outcome.history.events_around(violation.subject, violation.at - BEFORE, violation.at + AFTER)[
            -HISTORY_LINES:
        ]
