"""The capacity page contains the results of the newest sweep in the journal."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from lugspur.emulator.capacity.command import PAGE, PLOT, generate
from lugspur.emulator.capacity.fit import fit
from lugspur.emulator.capacity.page import Slope, replace_parts, slopes, tables
from lugspur.emulator.capacity.sweep import TABLE_HEADING, Day, Entry, NoSweepError, Row, newest_sweep, parse_sweep

DIGEST = f"""seen: 26 of 254 calls of servers to the control address failed
sweep-10                16/0   0.87  0.872  0.968   0.001  0.018  worst windows 0.89; prices 0.088

{TABLE_HEADING}
                                                          10             100  power  at 620
control: processor %                               2.5 / 3.0       2.5 / 4.0  -0.07  -
sidecar: memory MB                               19.7 / 21.5     19.5 / 31.5  -0.01  -
sidecar: kB a second                               119 / 188     63.3 / 1,120  -0.47  -
config acked, ms                                  27.0 / 280      26.0 / 271  -0.03  -
power: the busiest grows as machines to this power
"""

# pygal writes the day of drawing into the comment at the head of a plot. It is no part of the sweep, so it alone isn't
# compared; what stands around it, the name and the version of the library too, is.
DAY_OF_DRAWING = re.compile(
    rb"(?<=<!--Generated with pygal )(?P<before>[^<>]* on )(?P<day>[0-9]{4}-[0-9]{2}-[0-9]{2})(?=-->)"
)


def without_the_day(plot: bytes) -> bytes:
    left, count = DAY_OF_DRAWING.subn(rb"\g<before>", plot)
    assert count == 1, "the comment with the day of drawing stands once in a plot"
    return left


def entry(ident: str = "a", why: str = "slopes", ok: bool = True, digest: str = DIGEST) -> Entry:
    days = [Day("sweep-10", 0.87, 16, 0.968, True), Day("sweep-100", 0.5, 100, 0.4, False)]
    return Entry(ident, "sweep", ["then", "later"], why, "0123456789abcdef", ok, "site", days, digest)


def write(folder: Path, name: str, found: Entry) -> None:
    (folder / name).write_bytes(msgspec.json.encode(found))


def test_page_and_plot_match_the_newest_sweep() -> None:
    text, drawn = generate()
    assert PAGE.read_text() == text, "python -m lugspur.emulator capacity"
    assert without_the_day(PAGE.with_name(PLOT).read_bytes()) == without_the_day(drawn)


def test_a_sweep_is_parsed_from_its_journal_entry() -> None:
    sweep = parse_sweep(entry())
    assert sweep.machines == (10, 100) and len(sweep.rows) == 4
    assert sweep.rows[0] == Row("control", "processor %", (2.5, 2.5), (3.0, 4.0))
    assert sweep.rows[2].busiest == (188.0, 1120.0)
    assert (sweep.rows[3].role, sweep.rows[3].quantity) == ("operator", "config acked, ms")
    with pytest.raises(ValueError, match="no table"):
        parse_sweep(entry(digest="nothing"))


def test_the_newest_complete_sweep_that_is_no_trial_is_selected(tmp_path: Path) -> None:
    with pytest.raises(NoSweepError):
        newest_sweep(tmp_path)
    write(tmp_path, "1.json", entry("old"))
    write(tmp_path, "2.json", entry("right"))
    write(tmp_path, "3.json", entry("broken", ok=False))
    write(tmp_path, "4.json", entry("trial", why="trial: the form of an entry"))
    other = entry("score")
    other.cmd = "score"
    write(tmp_path, "5.json", other)
    assert newest_sweep(tmp_path).entry.id == "right"


def test_each_row_has_a_slope_and_a_verdict() -> None:
    found = {(one.row.role, one.row.quantity): one for one in slopes(parse_sweep(entry()))}
    cpu = found["control", "processor %"]
    assert cpu.line.slope == pytest.approx(1 / 90) and cpu.at_size == pytest.approx(9.78, abs=0.01)
    assert cpu.holds.startswith("yes, 10.2")
    memory = found["sidecar", "memory MB"]
    assert memory.at_size == pytest.approx(89.3, abs=0.1) and memory.holds == "**no**, 2.79 times over"
    assert found["sidecar", "kB a second"].holds.startswith("**not shown**")
    falling = Slope(Row("x", "y", (), (5.0, 1.0)), fit([(10.0, 5.0), (100.0, 1.0)]), 3.0)
    assert falling.at_size == 1.0 and falling.holds == "yes, 3 times"  # no measurement shows that it continues to fall
    assert Slope(memory.row, memory.line, 0.0).holds == "no budget set"


def test_manual_edits_are_overwritten_and_failed_days_are_marked(tmp_path: Path) -> None:
    parts = tables(parse_sweep(entry()))
    assert "| sweep-100 | 100 | 0.50 | 0.400 | **failed** |" in parts["days"] and "`a`" in parts["source"]
    page = "before\n<!-- capacity:begin days -->\nby hand\n<!-- capacity:end days -->\nbehind\n"
    assert replace_parts(page, parts).splitlines()[-1] == "behind" and "by hand" not in replace_parts(page, parts)
    with pytest.raises(KeyError):
        replace_parts(page.replace("days", "nights"), parts)


def test_a_fitted_line_has_slope_intercept_and_r2() -> None:
    exact = fit([(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)])
    assert (exact.slope, exact.intercept, exact.r2, exact.at(10.0)) == pytest.approx((2.0, 3.0, 1.0, 23.0))
    spread = fit([(0.0, 0.0), (1.0, 2.0), (2.0, 0.0)])
    assert (spread.slope, spread.r2) == pytest.approx((0.0, 0.0))
    with pytest.raises(ValueError):
        fit([(1.0, 1.0), (1.0, 2.0)])
