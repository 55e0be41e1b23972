"""What the processes' logs tell of exceptions that nobody caught."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

TRACEBACK = "Traceback (most recent call last):"
OWN = "/lugspur/"


def exceptions(folder: Path) -> Counter[str]:
    """How often each uncaught exception was told in a folder's logs, by its kind and the last own line of code."""
    found: Counter[str] = Counter()
    for path in sorted(folder.glob("*.log")):
        place, inside = "", False
        for line in path.read_text(errors="replace").splitlines():
            if line == TRACEBACK:
                place, inside = "", True
            elif inside and line.startswith("  "):
                if line.startswith("  File ") and OWN in line:
                    place = line.rpartition(OWN)[2].replace('"', "")
            elif inside:
                kind, _, text = line.partition(": ")
                found[f"{kind} ({text.split('<')[0].strip()}) in {place}"] += 1
                inside = False
    return found
