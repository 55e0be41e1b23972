"""`python -m lugspur.emulator capacity`: docs/CAPACITY.md's tables and plot from the newest sweep in the journal."""

from __future__ import annotations

import sys
from pathlib import Path

from lugspur.emulator.capacity.page import put, tables
from lugspur.emulator.capacity.plot import draw
from lugspur.emulator.capacity.sweep import JOURNAL, NoSweep, newest

PAGE = Path(__file__).parent.parent.parent.parent / "docs" / "CAPACITY.md"
PLOT = "capacity.svg"


def made(journal: Path = JOURNAL, page: Path = PAGE) -> tuple[str, bytes]:
    """The page and its plot as the newest sweep gives them; raises NoSweep."""
    sweep = newest(journal)
    return put(page.read_text(), tables(sweep)), draw(sweep)


def main() -> int:
    """Write the page and its plot."""
    try:
        text, drawn = made()
    except (NoSweep, ValueError) as fault:
        print(f"lugspur: {fault}", file=sys.stderr)
        return 1
    PAGE.write_text(text)
    PAGE.with_name(PLOT).write_bytes(drawn)
    return 0
