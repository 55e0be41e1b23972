"""What the processes' logs tell of exceptions that nobody caught."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

TRACEBACK = "Traceback (most recent call last):"
CHAINED = "During handling of the above exception, another exception occurred:"  # the next one is the one that counts
OWN = "/lugspur/"


def exceptions(folder: Path) -> Counter[str]:
    """How often each uncaught exception was told in a folder's logs, by its kind and the last own line of code."""
    found: Counter[str] = Counter()
    for path in sorted(folder.glob("*.log")):
        place, inside, latest = "", False, ""
        for line in path.read_text(errors="replace").splitlines():
            if line == TRACEBACK:
                place, inside = "", True
            elif inside and line.startswith("  "):
                if line.startswith("  File ") and OWN in line:
                    place = line.rpartition(OWN)[2].replace('"', "")
            elif inside:
                kind, _, text = line.partition(": ")
                latest = f"{kind} ({text.split('<')[0].strip()}) in {place}"
                found[latest] += 1
                inside = False
            elif line == CHAINED:
                found[latest] -= 1
    return +found
