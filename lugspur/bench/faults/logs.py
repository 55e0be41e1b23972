"""Finds uncaught exceptions in the logs of processes."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

TRACEBACK = "Traceback (most recent call last):"
# Precedes the traceback of a later exception in a chain: only the last one of a chain counts.
CHAINED = "During handling of the above exception, another exception occurred:"
PACKAGE = "/lugspur/"


def count_uncaught_exceptions(folder: Path) -> Counter[str]:
    """Count the uncaught exceptions in a folder's logs, by type and last line of this package in the traceback."""
    counts: Counter[str] = Counter()
    for path in sorted(folder.glob("*.log")):
        location, in_traceback, description = "", False, ""
        for line in path.read_text(errors="replace").splitlines():
            if line == TRACEBACK:
                location, in_traceback = "", True
            elif in_traceback and line.startswith("  "):
                if line.startswith("  File ") and PACKAGE in line:
                    location = line.rpartition(PACKAGE)[2].replace('"', "")
            elif in_traceback:
                kind, _, text = line.partition(": ")
                description = f"{kind} ({text.split('<')[0].strip()}) in {location}"
                counts[description] += 1
                in_traceback = False
            elif line == CHAINED:
                counts[description] -= 1
    return +counts
