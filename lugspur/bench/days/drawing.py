"""Draws a random day: its length, its entries with their times, and its closing fault."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from lugspur.bench.days.trouble import KINDS, Kind, Range

Value = float | int | str
Entry = dict[str, Value]

LENGTHS = (24.0, 34.0, 48.0)  # lengths of a day in seconds
ENTRIES_PER_SECOND = 0.5  # entries for each second of a day
START_SECONDS = 2.0  # length of the start of a day, which gets entries of its own
START_SHARE = 0.12  # share of the entries that are drawn from the start of the day alone
AFTER_CLOSING = 14.0  # seconds after the closing fault in which entries may still come
FOCUS_KINDS = 4  # number of kinds that a day has more of than of others
FOCUS_SHARE = 0.6  # share of the entries that are drawn from the focus kinds alone
RACES = (15, 60)  # fewest and most pairs of changes, so that a change is under way at each fault
# The closing faults, each with the values that its field `how` may take.
CLOSINGS = (
    ("power_off_all", ("", "timed", "taken")),
    ("wipe_after_ack", ("", "timed", "taken", "oldest", "aimed")),
    ("kill_all", ("", "timed")),
)


@dataclass(slots=True)
class Day:
    """One day; times are in seconds from the start of traffic."""

    name: str
    length_s: float
    closing: Entry
    plan: list[Entry] = field(default_factory=list)
    faults: list[Entry] = field(default_factory=list)


def draw_day(seed: int) -> Day:
    """Draw the day of a seed; the same seed always gives the same day."""
    rng = Random(seed)
    length = rng.choice(LENGTHS)
    kind, variants = rng.choice(CLOSINGS)
    closing: Entry = {"kind": kind, "down_s": round(rng.uniform(0.4, 1.5), 2)}
    how = rng.choice(variants)
    if how:
        closing["how"] = how
    day = Day(f"drawn-{seed}", length, closing)
    races = rng.randint(*RACES)
    day.plan.append({"at": 0.2, "kind": "config_race", "count": races, "gap_s": round(length / races, 2)})
    focus = rng.sample(KINDS, FOCUS_KINDS)
    for _ in range(int(length * ENTRIES_PER_SECOND)):
        entry_kind = rng.choice(focus if rng.random() < FOCUS_SHARE else KINDS)
        at = rng.uniform(0.0, START_SECONDS) if rng.random() < START_SHARE else rng.uniform(0.0, length + AFTER_CLOSING)
        (day.plan if entry_kind.planned else day.faults).append(_draw_entry(entry_kind, at, rng))
    day.plan.sort(key=_start_time)
    day.faults.sort(key=_start_time)
    return day


def _start_time(entry: Entry) -> float:
    return float(entry["at"])


def _draw_entry(kind: Kind, at: float, rng: Random) -> Entry:
    entry: Entry = {"at": round(at, 2), "kind": kind.name}
    if kind.core:
        entry["on"] = "core"
    if kind.count is not None:
        entry["count"] = rng.randint(*kind.count)
    for name in ("for_s", "share", "x", "gap_s"):
        value_range: Range | None = getattr(kind, name)
        if value_range is not None:
            entry[name] = round(rng.uniform(*value_range), 2)
    words = " ".join(word for word in (rng.choice(choices) for choices in kind.how) if word)
    if words:
        entry["how"] = words
    return entry


def write_day(day: Day) -> str:
    """Return the day as the content of a file for the bench."""
    lines = ["[[day]]", f'name = "{day.name}"', f"length_s = {day.length_s}", f"closing = {_write_entry(day.closing)}"]
    for name, entries in (("plan", day.plan), ("faults", day.faults)):
        lines += [f"{name} = [", *(f"  {_write_entry(entry)}," for entry in entries), "]"]
    return "\n".join(lines) + "\n"


def _write_entry(entry: Entry) -> str:
    fields = (f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}" for name, value in entry.items())
    return "{ " + ", ".join(fields) + " }"
