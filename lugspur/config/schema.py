"""Reads tables into dataclasses, by what their fields say, and finds every fault on the way.

A field made with `option` states its reader, its default and what it is for, once; the reference in
docs/configuration.md is written from that.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable, Mapping
from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any, TypeVar

from lugspur.config.lines import Path
from lugspur.config.units import Wrong, nearest, shown

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Fault:
    """What is wrong at one place of the file, and what to write instead."""

    path: Path
    message: str


class Place:
    """A place of the file while it is read: where faults are noted."""

    def __init__(self, path: Path = (), faults: list[Fault] | None = None) -> None:
        self.path = path
        self.faults: list[Fault] = [] if faults is None else faults

    def at(self, *keys: str | int) -> Place:
        """A place within it."""
        return Place((*self.path, *keys), self.faults)

    def wrong(self, message: str) -> None:
        """Note a fault here."""
        self.faults.append(Fault(self.path, message))


Reader = Callable[[Any], Any]


def option(read: Reader, doc: str, default: Any = MISSING, *, key: str = "") -> Any:
    """A field of a table: how it is read, what it is for, and its default; none: it must be there.

    `key` is its name in the file where Python has no such name.
    """
    meta = {"read": read, "doc": doc, "key": key}
    if isinstance(default, (dict, list)):
        return field(default_factory=lambda: type(default)(default), metadata=meta)
    return field(default=default, metadata=meta)


def part(kind: type[T], doc: str, default: Any = MISSING) -> Any:
    """A field that holds a table of its own."""
    chosen = {"default_factory": kind} if default is MISSING else {"default": default}
    return field(metadata={"table": kind, "doc": doc, "key": ""}, **chosen)


def parts(kind: type[T], doc: str) -> Any:
    """A field that holds tables by names of the writer's choice."""
    return field(default_factory=dict, metadata={"tables": kind, "doc": doc, "key": ""})


def rows(kind: type[T], doc: str) -> Any:
    """A field that holds a list of tables."""
    return field(default_factory=list, metadata={"rows": kind, "doc": doc, "key": ""})


def key_of(item: Field[Any]) -> str:
    """A field's name in the file."""
    return item.metadata["key"] or item.name.replace("_", "-")


def read_table(kind: type[T], raw: object, place: Place) -> T | None:
    """The table as that dataclass; None where a value can't be read or is missing. All faults are noted.

    What can be read around a fault is read, so that one run of the check names what it can.
    """
    if not isinstance(raw, Mapping):
        place.wrong(f"{shown(raw)} is no table; write its keys in braces or under a heading in brackets")
        return None
    known = {key_of(item): item for item in fields(kind)}  # type: ignore[arg-type]
    sound = True
    meant: set[str] = set()  # keys that are misspelt, not missing
    values: dict[str, Any] = {}
    for key, value in raw.items():
        item = known.get(key)
        if item is None:
            place.at(key).wrong(f'key "{key}" is unknown here{nearest(key, known)}')
            meant.update(difflib.get_close_matches(key, known, 1, 0.6))
            continue
        before = len(place.faults)
        found = _read(item, value, place.at(key))
        if found is not None:
            values[item.name] = found
        elif len(place.faults) > before:  # a part that can't be read counts as left out, where that can be
            sound = sound and "table" in item.metadata and item.default_factory is not MISSING
    for key, item in known.items():
        if key not in raw and item.default is MISSING and item.default_factory is MISSING:
            sound = False
            if key not in meant:
                place.wrong(f'key "{key}" is missing; write it: {item.metadata["doc"]}')
    return kind(**values) if sound else None


def _read(item: Field[Any], value: object, place: Place) -> Any:
    meta = item.metadata
    if "table" in meta:
        return read_table(meta["table"], value, place)
    if "tables" in meta:
        return _read_tables(meta["tables"], value, place)
    if "rows" in meta:
        return _read_rows(meta["rows"], value, place)
    try:
        return meta["read"](value)
    except Wrong as fault:
        place.wrong(str(fault))
        return None


def _read_tables(kind: type[T], value: object, place: Place) -> dict[str, T]:
    if not isinstance(value, Mapping):
        place.wrong(f"{shown(value)} is no table; write a heading such as [{place.path[-1]}.a-name]")
        return {}
    found = {name: read_table(kind, raw, place.at(name)) for name, raw in value.items()}
    return {name: table for name, table in found.items() if table is not None}


def _read_rows(kind: type[T], value: object, place: Place) -> list[T] | None:
    if not isinstance(value, list):
        place.wrong(f"{shown(value)} is no list; write tables in brackets, as in [{{ ... }}, {{ ... }}]")
        return None
    found = [read_table(kind, raw, place.at(at)) for at, raw in enumerate(value)]
    kept = [row for row in found if row is not None]
    return kept if len(kept) == len(found) else None
