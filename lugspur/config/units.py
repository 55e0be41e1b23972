"""Values with units, and the other small values of the file; each reader says what to write instead."""

from __future__ import annotations

import difflib
import math
import re
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any, TypeVar

from lugspur.discovery.endpoints import Address, read_address

E = TypeVar("E", bound=Enum)
SECONDS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0}
BYTES = {"B": 1, "kB": 1000, "KB": 1000, "MB": 1000**2, "GB": 1000**3, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
MEASURE = re.compile(r"(\d+(?:\.\d+)?) ?([A-Za-z]*)")


class Wrong(Exception):
    """A value that can't be used; its text says what to write instead."""


def nearest(word: str, known: Iterable[str]) -> str:
    """A hint at the known word that was probably meant, or at all of them where they are few."""
    known = sorted(known)
    close = difflib.get_close_matches(word, known, 1, 0.6)
    if close:
        return f'; did you mean "{close[0]}"?'
    return f"; known are {', '.join(known)}" if 0 < len(known) <= 12 else ""


def shown(value: object) -> str:
    """A value as a message shows it, cut where it is long."""
    text = f'"{value}"' if isinstance(value, str) else str(value).lower() if isinstance(value, bool) else str(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _measure(value: object, units: dict[str, Any], example: str) -> float:
    if not isinstance(value, str):
        raise Wrong(f"{shown(value)} has no unit; write a text such as {example}")
    found = MEASURE.fullmatch(value)
    if found is None:
        raise Wrong(f"{shown(value)} is no amount; write one such as {example}")
    if found[2] not in units:
        said = f'unit "{found[2]}" is unknown' if found[2] else "it has no unit"
        raise Wrong(f"{shown(value)}: {said}; write one of {', '.join(units)}, as in {example}")
    return float(found[1]) * float(units[found[2]])


def duration(low: float = 0.0, high: float = 86400.0) -> Callable[[object], float]:
    """A reader of times, in seconds."""

    def read(value: object) -> float:
        seconds = _measure(value, SECONDS, '"410ms" or "1.5s"')
        if not low <= seconds <= high:
            raise Wrong(f"{shown(value)} is not from {low:g}s to {high:g}s")
        return seconds

    return read


def size(low: int = 0, high: int = 1 << 40) -> Callable[[object], int]:
    """A reader of sizes, in bytes."""

    def read(value: object) -> int:
        count = int(_measure(value, BYTES, '"64KiB" or "1MiB"'))
        if not low <= count <= high:
            raise Wrong(f"{shown(value)} is not from {low} B to {high} B")
        return count

    return read


def number(low: float = 0.0, high: float = math.inf) -> Callable[[object], float]:
    """A reader of numbers without a unit."""

    def read(value: object) -> float:
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise Wrong(f"{shown(value)} is no number; write one without quotes, such as 2.5")
        if not (low <= value <= high and math.isfinite(value)):
            raise Wrong(f"{shown(value)} is not from {low:g} to {high:g}")
        return float(value)

    return read


def whole(low: int = 0, high: int = 1 << 31) -> Callable[[object], int]:
    """A reader of whole numbers."""

    def read(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise Wrong(f"{shown(value)} is no whole number; write one without quotes, such as {max(low, 3)}")
        if not low <= value <= high:
            raise Wrong(f"{shown(value)} is not from {low} to {high}")
        return value

    return read


def flag(value: object) -> bool:
    """true or false."""
    if not isinstance(value, bool):
        raise Wrong(f"{shown(value)} is neither true nor false; write one of them without quotes")
    return value


def text(value: object) -> str:
    """A text on one line."""
    if not isinstance(value, str):
        raise Wrong(f'{shown(value)} is no text; write it in quotes, as in "{value}"')
    if any(ord(c) < 32 or ord(c) == 127 for c in value):
        raise Wrong(f"{shown(value)!r} has control characters; leave them out")
    return value


def words(value: object) -> tuple[str, ...]:
    """A list of texts, each once."""
    if not isinstance(value, list):
        raise Wrong(f"{shown(value)} is no list; write [{shown(value)}]")
    found = tuple(text(item) for item in value)
    if len(set(found)) < len(found):
        raise Wrong(f"{shown(value)} names one thing twice; name it once")
    return found


def one_of(*known: str) -> Callable[[object], str]:
    """A reader of one of a few words that stay texts."""

    def read(value: object) -> str:
        if value not in known:
            hint = nearest(value, known) if isinstance(value, str) else ""
            raise Wrong(f"{shown(value)} is none of {', '.join(known)}{hint if 'mean' in hint else ''}")
        return str(value)

    return read


def choice(kind: type[E]) -> Callable[[object], E]:
    """A reader of one of a few words."""

    def read(value: object) -> E:
        return kind(one_of(*(str(item.value) for item in kind))(value))

    return read


def addresses(value: object) -> tuple[Address, ...]:
    """A list of `host:port`, each once."""
    if value == []:
        raise Wrong('the list is empty; write one address or more, as in ["127.0.0.1:2181"]')
    return tuple(address(item) for item in words(value))


def folder(value: object) -> str:
    """The path of a registry's folder."""
    path = text(value)
    if not path.startswith("/") or path == "/" or path.endswith("/") or {"", ".", ".."} & set(path[1:].split("/")):
        raise Wrong(f'{shown(value)} is no folder of a registry; write one such as "/services/channel"')
    return path


def node(value: object) -> str:
    """The name of a registry's node."""
    name = text(value)
    if "/" in name or name in ("", ".", ".."):
        raise Wrong(f'{shown(value)} is no name of a node; write one such as "channel-1"')
    return name


MARK = re.compile(r"[!-~]{1,48}")


def mark(value: object) -> str:
    """A name that goes along in datagrams, or none: printable ASCII without spaces."""
    found = text(value)
    if found and not MARK.fullmatch(found):
        raise Wrong(f'{shown(value)} is no name here; write up to 48 letters, digits and marks, such as "edge-1"')
    return found


def credentials(value: object) -> str:
    """`user:password`, or nothing."""
    found = text(value)
    if found and not all(found.partition(":")[::2]):
        raise Wrong('it has no user and password; write one such as "user:password"')
    return found


def address(value: object) -> Address:
    """`host:port`."""
    try:
        host, port = read_address(text(value))
    except ValueError as fault:
        raise Wrong(f'{fault}; write one such as "127.0.0.1:8080"') from fault
    return host.removeprefix("[").removesuffix("]"), port
