"""A sweep of the operators' bench as its journal entry has it: one day at several sizes, and each role's load there."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

import msgspec

JOURNAL = Path(__file__).parent.parent.parent.parent / "journal"
HEAD = "middle / busiest or longest, by own machines"
_PAIR = re.compile(r"(\S+) / (\S+)")


class Day(msgspec.Struct):
    """One size: its day, how many processes of ours it used, and how that ended."""

    name: str
    score: float
    used: int
    served: float
    gate: bool


class _Kind(msgspec.Struct):
    """What tells a sweep from the other entries, whose fields differ."""

    cmd: str
    why: str = ""
    ok: bool = False


class Entry(msgspec.Struct):
    """What is read of a journal entry; `at`: its beginning and end."""

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
    """One quantity of one role: by machines, the middle and the busiest process."""

    role: str
    quantity: str
    middle: tuple[float, ...]
    busiest: tuple[float, ...]


@dataclass(frozen=True)
class Sweep:
    """A whole sweep."""

    entry: Entry
    machines: tuple[int, ...]
    rows: tuple[Row, ...]


class NoSweep(Exception):
    """The journal has no sweep that ran to its end."""


def newest(folder: Path = JOURNAL) -> Sweep:
    """The latest sweep that is no trial; raises NoSweep."""
    for path in sorted(folder.glob("*.json"), reverse=True):
        content = path.read_bytes()
        kind = msgspec.json.decode(content, type=_Kind)
        if kind.cmd == "sweep" and kind.ok and not kind.why.startswith("trial"):
            return read(msgspec.json.decode(content, type=Entry))
    raise NoSweep(f"no sweep in {folder}: fleetbench sweep SITE")


def read(entry: Entry) -> Sweep:
    """The table of an entry's digest; raises ValueError where it has none."""
    lines = entry.digest.split(HEAD, 1)
    if len(lines) < 2:
        raise ValueError(f"sweep {entry.id} has no table")
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
