"""Metrics as a scraper reads them; a process that is never scraped does not load the library."""

from __future__ import annotations

import subprocess
import sys

from prometheus_client.parser import text_string_to_metric_families

from lugspur.invariants import Invariant
from lugspur.observability.metrics import (
    BUCKET_BOUNDS_SECONDS,
    Histogram,
    Metric,
    counter,
    gauge,
    invariant_metrics,
    labelled_counter,
    render,
)


def samples(metrics: list[Metric], histograms: tuple[Histogram, ...] = ()) -> dict[tuple[str, str], float]:
    """Return the values by name and the value of the only label."""
    text = render(metrics, histograms).decode()
    return {
        (sample.name, next(iter(sample.labels.values()), "")): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_metrics_have_their_names_labels_and_values() -> None:
    found = samples(
        [
            gauge("open", "Open.", 3),
            counter("commits_total", "Commits.", 7),
            labelled_counter("requests_total", "Requests.", "how", {"answered": 5, 'a "quoted"\nway': 1}),
        ]
    )
    assert found["lugspur_open", ""] == 3 and found["lugspur_commits_total", ""] == 7
    assert found["lugspur_requests_total", "answered"] == 5
    assert found["lugspur_requests_total", 'a "quoted"\nway'] == 1


def test_the_buckets_of_a_histogram_are_cumulative() -> None:
    histogram = Histogram("seconds", "Seconds.")
    for seconds in (0.001, BUCKET_BOUNDS_SECONDS[0], 0.3, 99.0):
        histogram.add(seconds)
    found = samples([], (histogram,))
    assert found["lugspur_seconds_bucket", str(BUCKET_BOUNDS_SECONDS[0])] == 2
    assert found["lugspur_seconds_bucket", "0.5"] == 3 and found["lugspur_seconds_bucket", "+Inf"] == 4
    assert found["lugspur_seconds_count", ""] == 4 and found["lugspur_seconds_sum", ""] == sum((0.001, 0.005, 0.3, 99))


def test_each_invariant_is_exported_even_without_a_violation() -> None:
    found = samples(invariant_metrics())
    assert found == {("lugspur_invariant_violations_total", invariant.value): 0.0 for invariant in Invariant}


def test_a_process_that_is_never_scraped_does_not_load_the_library() -> None:
    modules = "lugspur.mesh.sidecar.process, lugspur.mesh.control_node.process"
    code = f"import sys, {modules}; print('prometheus_client' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stdout == "False\n"
