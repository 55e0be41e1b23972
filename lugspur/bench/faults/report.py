"""A run as a table, and what led to each violation."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterator

from lugspur.bench.faults.checker import Rule
from lugspur.bench.faults.run import Outcome

BEFORE, AFTER = 6.0, 2.0  # seconds before and after a violation that are shown
SHOWN = 3  # violations of one rule that are shown with their history
LINES = 60  # of the history of one


def table(outcome: Outcome) -> Iterator[str]:
    """Faults, recoveries, counts of what was done, and violations by rule."""
    seconds: dict[str, list[float]] = defaultdict(list)
    for recovery in outcome.history.recoveries:
        seconds[recovery.kind].append(recovery.seconds)
    yield f"{'fault':<48} {'times':>5}   useful again: median, most (s)"
    for name, times in sorted(outcome.injected.items()):
        found = sorted(seconds.get(name, []))
        shown = f"{found[len(found) // 2]:.2f} {found[-1]:.2f}" if found else "-"
        yield f"{name:<48} {times:>5}   {shown}"
    yield f"{'all':<48} {outcome.injected.total():>5}"
    history = outcome.history
    tries = Counter(
        "confirmed" if t.confirmed else "refused" if t.refused else "unclear" for t in history.tries if t.order.valid
    )
    yield (
        f"orders {len({t.order.ident for t in history.tries})}, sent {len(history.tries)} times "
        f"({', '.join(f'{n} {how}' for how, n in sorted(tries.items()))}); reads answered "
        f"{sum(read.status == 200 for read in history.reads)} of {len(history.reads)}"
    )
    statuses = Counter("none" if c.status is None else str(c.status) for c in history.calls)
    yield (
        f"requests {len(history.calls)} ({', '.join(f'{n} x {status}' for status, n in sorted(statuses.items()))}); "
        f"keyed operations {len({c.key for c in history.calls if c.key})}, runs {len(history.runs)}"
    )
    never = sum(not math.isfinite(recovery.seconds) for recovery in history.recoveries)
    yield f"machines not useful again at all: {never}; processes that ended by themselves: {len(outcome.exits)}"
    yield f"exceptions that nobody caught: {outcome.exceptions.total()}"
    yield from (f"    {times:>5} {told}" for told, times in outcome.exceptions.most_common())
    yield f"{'rule':<48} violations"
    counts = Counter(violation.rule for violation in outcome.violations)
    for rule in Rule:
        yield f"{rule.value:<48} {counts[rule]:>5}"
    yield f"{'all':<48} {len(outcome.violations):>5}"


def details(outcome: Outcome) -> Iterator[str]:
    """The first violations of each rule, with the history around them."""
    shown: Counter[Rule] = Counter()
    for violation in outcome.violations:
        shown[violation.rule] += 1
        if shown[violation.rule] > SHOWN:
            continue
        yield f"--- {violation.rule.value}: {violation.subject} at {violation.at:.3f}"
        yield f"    {violation.detail} {violation.where}".rstrip()
        yield from outcome.history.around(violation.subject, violation.at - BEFORE, violation.at + AFTER)[-LINES:]
