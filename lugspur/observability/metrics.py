"""Metrics of one process in the text format of Prometheus.

Processes count in plain integers. The counts are converted to the types of `prometheus_client` only when a scraper
requests the metrics. The library is imported at that time, so that a process that is never scraped saves its memory and
the time of the import.
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
    """The type of a metric."""

    COUNTER = "counter"  # a value that only increases while the process runs
    GAUGE = "gauge"  # the current value


@dataclass(slots=True, frozen=True)
class Metric:
    """One metric, with values by the values of its label; without a label it has one value, under the empty string."""

    name: str  # without the prefix
    help: str
    kind: MetricKind
    values: Mapping[str, float]
    label: str = ""


def gauge(name: str, help: str, value: float) -> Metric:
    """Return a gauge without a label."""
    return Metric(name, help, MetricKind.GAUGE, {"": value})


def counter(name: str, help: str, value: float) -> Metric:
    """Return a counter without a label."""
    return Metric(name, help, MetricKind.COUNTER, {"": value})


def labelled_counter(name: str, help: str, label: str, values: Mapping[str, float]) -> Metric:
    """Return a counter with one label; `values` are by the label's values."""
    return Metric(name, help, MetricKind.COUNTER, values, label)


@dataclass(slots=True)
class Histogram:
    """A histogram of durations."""

    name: str  # without the prefix
    help: str
    #: Observations by bucket, each counted once; the last bucket has no upper bound.
    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKET_BOUNDS_SECONDS) + 1))
    total: float = 0.0  # seconds

    def add(self, seconds: float) -> None:
        """Record one observation."""
        self.counts[bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total += seconds


def invariant_metrics() -> list[Metric]:
    """Return the number of violations of each invariant; invariants without a violation have the value 0."""
    values = {invariant.value: float(violations[invariant]) for invariant in Invariant}
    help_text = "Invariants that were found violated; anything above 0 is a fault of the program."
    return [labelled_counter("invariant_violations", help_text, "invariant", values)]


def render(metrics: Iterable[Metric], histograms: Iterable[Histogram] = ()) -> bytes:
    """Return the metrics as text for a scraper; raises ImportError if `prometheus_client` is not installed."""
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

    buckets, cumulative_count = [], 0
    for bound, count in zip((*map(str, BUCKET_BOUNDS_SECONDS), "+Inf"), histogram.counts, strict=True):
        cumulative_count += count
        buckets.append((bound, cumulative_count))
    converted = HistogramMetricFamily(PREFIX + histogram.name, histogram.help)
    converted.add_metric([], buckets, histogram.total)
    return converted
