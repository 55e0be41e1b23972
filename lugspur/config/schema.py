"""Reads TOML tables into dataclasses as their fields declare, and collects all faults.

A field made with `option` declares its reader, its default and its description in one place; the reference in
docs/configuration.md is generated from these declarations.
"""

from __future__ import annotations

import difflib
from collections.abc import Callable, Mapping
from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any, TypeVar

from lugspur.config.lines import Path
from lugspur.config.units import InvalidValueError, format_value, suggestion

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault at one location in the file; the message says what to write instead."""

    path: Path
    message: str


class Location:
    """A location in the file that is being read; collects the faults found there."""

    def __init__(self, path: Path = (), faults: list[Fault] | None = None) -> None:
        self.path = path
        self.faults: list[Fault] = [] if faults is None else faults

    def at(self, *keys: str | int) -> Location:
        """Return a location below this one; both collect faults in the same list."""
        return Location((*self.path, *keys), self.faults)

    def report(self, message: str) -> None:
        """Record a fault at this location."""
        self.faults.append(Fault(self.path, message))


Reader = Callable[[Any], Any]


def option(read: Reader, doc: str, default: Any = MISSING, *, key: str = "") -> Any:
    """Declare a field of a table by its reader, its description and its default; without a default it is required.

    `key` is its name in the file if that differs from the attribute's name, for example because it is a keyword.
    """
    meta = {"read": read, "doc": doc, "key": key}
    if isinstance(default, (dict, list)):
        return field(default_factory=lambda: type(default)(default), metadata=meta)
    return field(default=default, metadata=meta)


def table(kind: type[T], doc: str, default: Any = MISSING) -> Any:
    """Declare a field that holds a nested table."""
    default_argument = {"default_factory": kind} if default is MISSING else {"default": default}
    return field(metadata={"table": kind, "doc": doc, "key": ""}, **default_argument)


def named_tables(kind: type[T], doc: str) -> Any:
    """Declare a field that holds tables by user-defined names."""
    return field(default_factory=dict, metadata={"tables": kind, "doc": doc, "key": ""})


def table_list(kind: type[T], doc: str) -> Any:
    """Declare a field that holds a list of tables."""
    return field(default_factory=list, metadata={"rows": kind, "doc": doc, "key": ""})


def key_of(item: Field[Any]) -> str:
    """Return the name of a field in the file."""
    return item.metadata["key"] or item.name.replace("_", "-")


def read_table(kind: type[T], raw: object, location: Location) -> T | None:
    """Read a table into the dataclass; return None if a value is invalid or missing. All faults are recorded.

    Reading goes on after a fault, so that one run of `lugspur check` reports as many faults as possible.
    """
    if not isinstance(raw, Mapping):
        location.report(f"{format_value(raw)} is not a table; write its keys in braces or under a heading in brackets")
        return None
    known = {key_of(item): item for item in fields(kind)}  # type: ignore[arg-type]
    is_valid = True
    misspelt: set[str] = set()  # known keys that the file probably misspells; these are not reported as missing
    values: dict[str, Any] = {}
    for key, value in raw.items():
        item = known.get(key)
        if item is None:
            location.at(key).report(f'key "{key}" is unknown here{suggestion(key, known)}')
            misspelt.update(difflib.get_close_matches(key, known, 1, 0.6))
            continue
        before = len(location.faults)
        found = _read(item, value, location.at(key))
        if found is not None:
            values[item.name] = found
        elif len(location.faults) > before:  # an invalid table counts as left out if it may be left out
            is_valid = is_valid and "table" in item.metadata and item.default_factory is not MISSING
    for key, item in known.items():
        if key not in raw and item.default is MISSING and item.default_factory is MISSING:
            is_valid = False
            if key not in misspelt:
                location.report(f'key "{key}" is missing; write it: {item.metadata["doc"]}')
    return kind(**values) if is_valid else None


def _read(item: Field[Any], value: object, location: Location) -> Any:
    meta = item.metadata
    if "table" in meta:
        return read_table(meta["table"], value, location)
    if "tables" in meta:
        return _read_tables(meta["tables"], value, location)
    if "rows" in meta:
        return _read_rows(meta["rows"], value, location)
    try:
        return meta["read"](value)
    except InvalidValueError as fault:
        location.report(str(fault))
        return None


def _read_tables(kind: type[T], value: object, location: Location) -> dict[str, T]:
    if not isinstance(value, Mapping):
        location.report(f"{format_value(value)} is not a table; write a heading such as [{location.path[-1]}.a-name]")
        return {}
    found = {name: read_table(kind, raw, location.at(name)) for name, raw in value.items()}
    return {name: table for name, table in found.items() if table is not None}


def _read_rows(kind: type[T], value: object, location: Location) -> list[T] | None:
    if not isinstance(value, list):
        location.report(f"{format_value(value)} is not a list; write tables in brackets, as in [{{ ... }}, {{ ... }}]")
        return None
    found = [read_table(kind, raw, location.at(index)) for index, raw in enumerate(value)]
    kept = [row for row in found if row is not None]
    return kept if len(kept) == len(found) else None
