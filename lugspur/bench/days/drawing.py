"""Draws a day: how long it is, which troubles come when, and how it closes."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from lugspur.bench.days.trouble import KINDS, Kind, Range

Value = float | int | str
Entry = dict[str, Value]

LENGTHS = (24.0, 34.0, 48.0)  # seconds
PER_SECOND = 0.5  # entries for each second of a day
FIRST_SECONDS = 2.0
FIRST_PART = 0.12  # of the entries come within the first seconds
AFTER = 14.0  # seconds past the closing fault in which entries may still come
FOCUS = 4  # kinds that a day has more of than of others
FOCUS_PART = 0.6  # of its entries are of those
RACES = (15, 60)  # pairs of changes, so that something is under way at each fault
CLOSINGS = (
    ("power_off_all", ("", "timed", "taken")),
    ("wipe_after_ack", ("", "timed", "taken", "oldest", "aimed")),
    ("kill_all", ("", "timed")),
)


@dataclass(slots=True)
class Day:
    """One day; times in seconds from the start of traffic."""

    name: str
    length_s: float
    closing: Entry
    plan: list[Entry] = field(default_factory=list)
    faults: list[Entry] = field(default_factory=list)


def draw_day(seed: int) -> Day:
    """The day of a seed: the same one each time."""
    rng = Random(seed)
    length = rng.choice(LENGTHS)
    kind, ways = rng.choice(CLOSINGS)
    closing: Entry = {"kind": kind, "down_s": round(rng.uniform(0.4, 1.5), 2)}
    how = rng.choice(ways)
    if how:
        closing["how"] = how
    day = Day(f"drawn-{seed}", length, closing)
    races = rng.randint(*RACES)
    day.plan.append({"at": 0.2, "kind": "config_race", "count": races, "gap_s": round(length / races, 2)})
    focus = rng.sample(KINDS, FOCUS)
    for _ in range(int(length * PER_SECOND)):
        drawn = rng.choice(focus if rng.random() < FOCUS_PART else KINDS)
        at = rng.uniform(0.0, FIRST_SECONDS) if rng.random() < FIRST_PART else rng.uniform(0.0, length + AFTER)
        (day.plan if drawn.planned else day.faults).append(_draw_entry(drawn, at, rng))
    day.plan.sort(key=_time)
    day.faults.sort(key=_time)
    return day


def _time(entry: Entry) -> float:
    return float(entry["at"])


def _draw_entry(kind: Kind, at: float, rng: Random) -> Entry:
    entry: Entry = {"at": round(at, 2), "kind": kind.name}
    if kind.core:
        entry["on"] = "core"
    if kind.count is not None:
        entry["count"] = rng.randint(*kind.count)
    for name in ("for_s", "share", "x", "gap_s"):
        span: Range | None = getattr(kind, name)
        if span is not None:
            entry[name] = round(rng.uniform(*span), 2)
    words = " ".join(word for word in (rng.choice(choice) for choice in kind.how) if word)
    if words:
        entry["how"] = words
    return entry


def write_day(day: Day) -> str:
    """The day as a file of the bench."""
    lines = ["[[day]]", f'name = "{day.name}"', f"length_s = {day.length_s}", f"closing = {_write_entry(day.closing)}"]
    for name, entries in (("plan", day.plan), ("faults", day.faults)):
        lines += [f"{name} = [", *(f"  {_write_entry(entry)}," for entry in entries), "]"]
    return "\n".join(lines) + "\n"


def _write_entry(entry: Entry) -> str:
    fields = (f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}" for name, value in entry.items())
    return "{ " + ", ".join(fields) + " }"
