"""Log lines of the hot restart, which operators read on standard error."""

from __future__ import annotations

import sys


def log_line(line: str) -> None:
    """Write one line to standard error."""
    print(f"lugspur: replacement: {line}", file=sys.stderr, flush=True)
