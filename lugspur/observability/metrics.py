"""Figures of one process in the text format of Prometheus.

Processes count in plain integers; only when the figures are asked for are they put into the form of the library, which
is imported then: a process that is never asked pays neither its memory nor its start.
"""

from __future__ import annotations

import enum
from bisect import bisect_left
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lugspur.invariants import Invariant, violations

if TYPE_CHECKING:
    from prometheus_client.core import Metric

PREFIX = "lugspur_"
CONTENT_TYPE = b"Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n"
#: Seconds up to which an answer counts into each part of a histogram.
BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Kind(enum.Enum):
    """What a figure does over time."""

    COUNTER = "counter"  # it rises for the whole life of the process
    GAUGE = "gauge"  # it is what it is now


@dataclass(slots=True, frozen=True)
class Figure:
    """One name with its values; by the values of one label, or one without any."""

    name: str
    help: str
    kind: Kind
    values: Mapping[str, float]
    label: str = ""


def gauge(name: str, help: str, value: float) -> Figure:
    """A figure that is what it is now."""
    return Figure(name, help, Kind.GAUGE, {"": value})


def counter(name: str, help: str, value: float) -> Figure:
    """A figure that rises."""
    return Figure(name, help, Kind.COUNTER, {"": value})


def counters(name: str, help: str, label: str, values: Mapping[str, float]) -> Figure:
    """Figures that rise, by a label."""
    return Figure(name, help, Kind.COUNTER, values, label)


@dataclass(slots=True)
class Histogram:
    """How long something took, in seconds."""

    name: str
    help: str
    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS) + 1))
    total: float = 0.0

    def add(self, seconds: float) -> None:
        """One more."""
        self.counts[bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds


def invariant_figures() -> list[Figure]:
    """Violations of each invariant; all are named, so that one that was never violated shows as 0."""
    values = {invariant.value: float(violations[invariant]) for invariant in Invariant}
    help_text = "Invariants that were found violated; anything above 0 is a fault of the program."
    return [counters("invariant_violations", help_text, "invariant", values)]


def render(figures: Iterable[Figure], histograms: Iterable[Histogram] = ()) -> bytes:
    """The text that a scraper reads."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.registry import Collector

    class Figures(Collector):
        def collect(self) -> Iterable[Metric]:
            for figure in figures:
                yield _metric(figure)
            for histogram in histograms:
                yield _histogram(histogram)

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Figures())
    return generate_latest(registry)


def _metric(figure: Figure) -> Metric:
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    family = CounterMetricFamily if figure.kind is Kind.COUNTER else GaugeMetricFamily
    metric = family(PREFIX + figure.name, figure.help, labels=[figure.label] if figure.label else [])
    for label, value in figure.values.items():
        metric.add_metric([label] if figure.label else [], value)
    return metric


def _histogram(histogram: Histogram) -> Metric:
    from prometheus_client.core import HistogramMetricFamily

    buckets, so_far = [], 0
    for bound, count in zip((*map(str, BUCKETS), "+Inf"), histogram.counts, strict=True):
        so_far += count
        buckets.append((bound, so_far))
    metric = HistogramMetricFamily(PREFIX + histogram.name, histogram.help)
    metric.add_metric([], buckets, histogram.total)
    return metric
