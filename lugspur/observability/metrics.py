"""Metrics of one process in the text format of Prometheus.

Processes count in plain integers. Only when the metrics are asked for are they put into the form of the library, which
is imported then: a process that is never asked pays neither for its memory nor for its start.
"""

from __future__ import annotations

import enum
from bisect import bisect_left
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lugspur.invariants import Invariant, violations

if TYPE_CHECKING:
    from prometheus_client.core import Metric as LibraryMetric

PREFIX = "lugspur_"
CONTENT_TYPE = b"Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n"
#: Upper bounds of the buckets of a histogram.
BUCKET_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class MetricKind(enum.Enum):
    """What a metric does over time."""

    COUNTER = "counter"  # it rises as long as the process runs
    GAUGE = "gauge"  # it is a present value


@dataclass(slots=True, frozen=True)
class Metric:
    """One metric and its values: by the values of one label, or a single one under the empty text."""

    name: str  # without the prefix
    help: str
    kind: MetricKind
    values: Mapping[str, float]
    label: str = ""


def gauge(name: str, help: str, value: float) -> Metric:
    """Return a metric that is a present value."""
    return Metric(name, help, MetricKind.GAUGE, {"": value})


def counter(name: str, help: str, value: float) -> Metric:
    """Return a metric that rises."""
    return Metric(name, help, MetricKind.COUNTER, {"": value})


def labelled_counter(name: str, help: str, label: str, values: Mapping[str, float]) -> Metric:
    """Return a metric that rises, with a value for each value of a label."""
    return Metric(name, help, MetricKind.COUNTER, values, label)


@dataclass(slots=True)
class Histogram:
    """How long something took."""

    name: str  # without the prefix
    help: str
    #: Observations by bucket, each counted once; the last bucket has no upper bound.
    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKET_BOUNDS_SECONDS) + 1))
    total: float = 0.0  # seconds

    def add(self, seconds: float) -> None:
        """Count one observation."""
        self.counts[bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total += seconds


def invariant_metrics() -> list[Metric]:
    """Return the violations of each invariant; those that were never violated are there with 0."""
    values = {invariant.value: float(violations[invariant]) for invariant in Invariant}
    help_text = "Invariants that were found violated; anything above 0 is a fault of the program."
    return [labelled_counter("invariant_violations", help_text, "invariant", values)]


def render(metrics: Iterable[Metric], histograms: Iterable[Histogram] = ()) -> bytes:
    """Return the text that a scraper reads; raises ImportError where `prometheus_client` is not installed."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.registry import Collector

    class ProcessCollector(Collector):
        def collect(self) -> Iterable[LibraryMetric]:
            for metric in metrics:
                yield _library_metric(metric)
            for histogram in histograms:
                yield _library_histogram(histogram)

    registry = CollectorRegistry(auto_describe=False)
    registry.register(ProcessCollector())
    return generate_latest(registry)


def _library_metric(metric: Metric) -> LibraryMetric:
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

    family = CounterMetricFamily if metric.kind is MetricKind.COUNTER else GaugeMetricFamily
    converted = family(PREFIX + metric.name, metric.help, labels=[metric.label] if metric.label else [])
    for label, value in metric.values.items():
        converted.add_metric([label] if metric.label else [], value)
    return converted


def _library_histogram(histogram: Histogram) -> LibraryMetric:
    from prometheus_client.core import HistogramMetricFamily

    buckets, so_far = [], 0
    for bound, count in zip((*map(str, BUCKET_BOUNDS_SECONDS), "+Inf"), histogram.counts, strict=True):
        so_far += count
        buckets.append((bound, so_far))
    converted = HistogramMetricFamily(PREFIX + histogram.name, histogram.help)
    converted.add_metric([], buckets, histogram.total)
    return converted
