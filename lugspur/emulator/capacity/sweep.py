"""A sweep of the operators' bench, read from its journal entry: one day at several sizes, with each role's load."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import msgspec

JOURNAL = Path(__file__).parent.parent.parent.parent / "journal"
TABLE_HEADING = "middle / busiest or longest, by own machines"
_PAIR = re.compile(r"(\S+) / (\S+)")


class Day(msgspec.Struct):
    """The day at one size: the number of own processes that it used, and its results."""

    name: str
    score: float
    used: int
    served: float
    gate: bool


class _EntryHeader(msgspec.Struct):
    """The fields that distinguish a sweep from other journal entries, whose other fields differ."""

    cmd: str
    why: str = ""
    ok: bool = False


class Entry(msgspec.Struct):
    """The fields of a journal entry that are read; `at` contains the times of its start and end."""

    id: str
    cmd: str
    at: list[str]
    why: str
    head: str
    ok: bool = False
    site: str | None = None
    days: list[Day] = []
    digest: str = ""


@dataclass(frozen=True)
class Row:
    """One quantity of one role: the median and the busiest process at each number of machines."""

    role: str
    quantity: str
    middle: tuple[float, ...]
    busiest: tuple[float, ...]


@dataclass(frozen=True)
class Sweep:
    """A complete sweep: its journal entry, its numbers of machines and the rows of its table."""

    entry: Entry
    machines: tuple[int, ...]
    rows: tuple[Row, ...]


class NoSweepError(Exception):
    """The journal has no complete sweep."""


def newest_sweep(folder: Path = JOURNAL) -> Sweep:
    """Return the latest complete sweep that is no trial; raises NoSweepError."""
    for path in sorted(folder.glob("*.json"), reverse=True):
        content = path.read_bytes()
        header = msgspec.json.decode(content, type=_EntryHeader)
        if header.cmd == "sweep" and header.ok and not header.why.startswith("trial"):
            return parse_sweep(msgspec.json.decode(content, type=Entry))
    raise NoSweepError(f"no complete sweep in {folder}; run `fleetbench sweep SITE`")


def parse_sweep(entry: Entry) -> Sweep:
    """Parse the table in an entry's digest; raises ValueError if there is none."""
    lines = entry.digest.split(TABLE_HEADING, 1)
    if len(lines) < 2:
        raise ValueError(f"the digest of sweep {entry.id} has no table")
    sizes, *rest = lines[1].strip("\n").split("\n")
    machines = tuple(int(word) for word in sizes.partition("power")[0].split())
    rows = []
    for line in rest:
        pairs = _PAIR.findall(line)
        if len(pairs) != len(machines) or not line.strip():
            continue
        name = line[: line.index(pairs[0][0] + " / ")].strip()
        role, _, quantity = name.rpartition(": ")
        middle, busiest = zip(*((_number(a), _number(b)) for a, b in pairs), strict=True)
        rows.append(Row(role or "operator", quantity, middle, busiest))
    return Sweep(entry, machines, tuple(rows))


def _number(text: str) -> float:
    return float(text.replace(",", ""))
