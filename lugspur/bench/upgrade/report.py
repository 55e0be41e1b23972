"""Formats the outcomes as a table."""

from __future__ import annotations

from collections.abc import Iterator
from statistics import median

from lugspur.bench.upgrade.cluster import CONTROL_NODES, TwoBuildCluster
from lugspur.bench.upgrade.plan import Outcome

HEADINGS = ("direction", "replaced", "useful again: median, max", "changes", "keyed operations", "requests", "findings")


def table(outcomes: list[Outcome]) -> Iterator[str]:
    """Yield a table with one row for each direction, and the findings below it."""
    yield f"| {' | '.join(HEADINGS)} |"
    yield "|---" * len(HEADINGS) + "|"
    for outcome in outcomes:
        counts = outcome.verdict.counts
        seconds = [replaced.seconds for replaced in outcome.replacements] or [0.0]
        cells = (
            outcome.direction.value,
            f"{len(outcome.replacements)} of {CONTROL_NODES + len(TwoBuildCluster.proxy_services)}",
            f"{median(seconds):.1f} s, {max(seconds):.1f} s",
            f"{counts['changes confirmed']}, {counts['changes confirmed while mixed']} while mixed",
            f"{counts['keyed operations served']}, {counts['keyed operations served while mixed']} while mixed",
            _request_counts(outcome),
            str(len(outcome.verdict.findings)),
        )
        yield f"| {' | '.join(cells)} |"
    for outcome in outcomes:
        for kind, detail in outcome.verdict.findings:
            yield f"FOUND {outcome.direction.value}: {kind}: {detail}"


def _request_counts(outcome: Outcome) -> str:
    """Count requests by outcome; a 404 is the right response on a route that operators have withdrawn."""
    served, withdrawn = (sum(call.status == status for call in outcome.history.calls) for status in (200, 404))
    others = len(outcome.history.calls) - served - withdrawn
    return f"{served} served, {withdrawn} on withdrawn routes, {others} not"
