"""`python -m lugspur.emulator capacity`: writes the tables and plot of docs/CAPACITY.md from the newest sweep."""

from __future__ import annotations

import sys
from pathlib import Path

from lugspur.emulator.capacity.page import replace_parts, tables
from lugspur.emulator.capacity.plot import draw
from lugspur.emulator.capacity.sweep import JOURNAL, NoSweepError, newest_sweep

PAGE = Path(__file__).parent.parent.parent.parent / "docs" / "CAPACITY.md"
PLOT = "capacity.svg"


def generate(journal: Path = JOURNAL, page: Path = PAGE) -> tuple[str, bytes]:
    """Return the page and its plot as generated from the newest sweep in the journal; raises NoSweepError."""
    sweep = newest_sweep(journal)
    return replace_parts(page.read_text(), tables(sweep)), draw(sweep)


def main() -> int:
    """Write the page and its plot."""
    try:
        text, plot = generate()
    except (NoSweepError, ValueError) as error:
        print(f"lugspur: {error}", file=sys.stderr)
        return 1
    PAGE.write_text(text)
    PAGE.with_name(PLOT).write_bytes(plot)
    return 0
