"""The page of the size says what the measurements gave."""

from __future__ import annotations

from pathlib import Path

import pytest

from lugspur.emulator.capacity.command import PAGE, PLOT, made
from lugspur.emulator.capacity.fit import fit, percentile
from lugspur.emulator.capacity.measurement import FOLDER, load, newest, save
from lugspur.emulator.capacity.verdicts import holds


def test_the_page_and_its_plot_are_what_the_newest_measurements_give() -> None:
    text, drawn = made(FOLDER, PAGE)
    assert PAGE.read_text() == text, "python -m lugspur.emulator capacity report"
    assert PAGE.with_name(PLOT).read_bytes() == drawn


def test_a_figure_that_was_changed_by_hand_or_in_a_measurement_shows(tmp_path: Path) -> None:
    text, drawn = made(FOLDER, PAGE)
    page = tmp_path / "page.md"
    page.write_text(text.replace("| proxy | memory, no traffic | ", "| proxy | memory, no traffic | 1"))
    assert page.read_text() != text
    assert made(FOLDER, page)[0] == text
    path = newest("capacity")
    assert path is not None
    measurement = load(path)
    measurement.runs[-1].footprint.real_memory_mb += 1.0
    save(measurement, tmp_path / path.name)
    other_text, other_drawn = made(tmp_path, PAGE)
    assert other_text != text and other_drawn != drawn


def test_a_line_goes_through_exact_points_and_says_how_well_it_fits_others() -> None:
    exact = fit([(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])
    assert (exact.slope, exact.intercept, exact.r2, exact.at(10.0)) == pytest.approx((2.0, 3.0, 1.0, 23.0))
    spread = fit([(0.0, 0.0), (1.0, 2.0), (2.0, 0.0)])
    assert (spread.slope, spread.r2) == pytest.approx((0.0, 0.0))
    with pytest.raises(ValueError):
        fit([(1.0, 1.0), (1.0, 2.0)])


def test_a_verdict_says_by_what_factor() -> None:
    told = [holds(2.0, 8.0), holds(8.0, 2.0), holds(2.0, 8.0, True), holds(8.0, 2.0, True), holds(0.0, 2.0, True)]
    assert told == ["yes, 4 times", "**no**, 4 times over", "**no**, 4 times too few", "yes, 4 times", "**no**, none"]
    assert (holds(0.0, 2.0), holds(3.0, 0.0)) == ("yes", "no budget set")


def test_percentiles_are_by_nearest_rank() -> None:
    values = [float(n) for n in range(1, 101)]
    assert [percentile(values, part) for part in (0.0, 0.5, 0.99, 1.0)] == [1.0, 50.0, 99.0, 100.0]
    assert (percentile([], 0.5), percentile([7.0], 0.01)) == (0.0, 7.0)
