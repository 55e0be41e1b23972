"""Readers for the scalar values of the configuration file; each error says what to write instead."""

from __future__ import annotations

import difflib
import math
import re
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any, TypeVar

from lugspur.discovery.endpoints import Address, read_address

E = TypeVar("E", bound=Enum)
SECONDS_PER_UNIT = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3600.0}
BYTES_PER_UNIT = {
    "B": 1,
    "kB": 1000,
    "KB": 1000,
    "MB": 1000**2,
    "GB": 1000**3,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
}
QUANTITY = re.compile(r"(\d+(?:\.\d+)?) ?([A-Za-z]*)")


class InvalidValueError(Exception):
    """A value is invalid; the message says what to write instead."""


def suggestion(word: str, known: Iterable[str]) -> str:
    """Return a hint: the known word that was probably meant, or all known words if there are at most 12."""
    known = sorted(known)
    close = difflib.get_close_matches(word, known, 1, 0.6)
    if close:
        return f'; did you mean "{close[0]}"?'
    return f"; known are {', '.join(known)}" if 0 < len(known) <= 12 else ""


def format_value(value: object) -> str:
    """Return a value as error messages show it, truncated to 60 characters."""
    text = f'"{value}"' if isinstance(value, str) else str(value).lower() if isinstance(value, bool) else str(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _parse_quantity(value: object, units: dict[str, Any], example: str) -> float:
    if not isinstance(value, str):
        raise InvalidValueError(f"{format_value(value)} has no unit; write a string such as {example}")
    found = QUANTITY.fullmatch(value)
    if found is None:
        raise InvalidValueError(f"{format_value(value)} is not a quantity; write one such as {example}")
    if found[2] not in units:
        problem = f'unit "{found[2]}" is unknown' if found[2] else "it has no unit"
        raise InvalidValueError(f"{format_value(value)}: {problem}; write one of {', '.join(units)}, as in {example}")
    return float(found[1]) * float(units[found[2]])


def duration(low: float = 0.0, high: float = 86400.0) -> Callable[[object], float]:
    """Return a reader for durations, in seconds."""

    def read(value: object) -> float:
        seconds = _parse_quantity(value, SECONDS_PER_UNIT, '"410ms" or "1.5s"')
        if not low <= seconds <= high:
            raise InvalidValueError(f"{format_value(value)} is out of range; the range is {low:g}s to {high:g}s")
        return seconds

    return read


def size(low: int = 0, high: int = 1 << 40) -> Callable[[object], int]:
    """Return a reader for sizes, in bytes."""

    def read(value: object) -> int:
        count = int(_parse_quantity(value, BYTES_PER_UNIT, '"64KiB" or "1MiB"'))
        if not low <= count <= high:
            raise InvalidValueError(f"{format_value(value)} is out of range; the range is {low} B to {high} B")
        return count

    return read


def number(low: float = 0.0, high: float = math.inf) -> Callable[[object], float]:
    """Return a reader for numbers without a unit."""

    def read(value: object) -> float:
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise InvalidValueError(f"{format_value(value)} is not a number; write one without quotes, such as 2.5")
        if not (low <= value <= high and math.isfinite(value)):
            raise InvalidValueError(f"{format_value(value)} is out of range; the range is {low:g} to {high:g}")
        return float(value)

    return read


def integer(low: int = 0, high: int = 1 << 31) -> Callable[[object], int]:
    """Return a reader for integers."""

    def read(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise InvalidValueError(
                f"{format_value(value)} is not an integer; write one without quotes, such as {max(low, 3)}"
            )
        if not low <= value <= high:
            raise InvalidValueError(f"{format_value(value)} is out of range; the range is {low} to {high}")
        return value

    return read


def boolean(value: object) -> bool:
    """Return a boolean."""
    if not isinstance(value, bool):
        raise InvalidValueError(f"{format_value(value)} is neither true nor false; write one of them without quotes")
    return value


def text(value: object) -> str:
    """Return a string without control characters."""
    if not isinstance(value, str):
        raise InvalidValueError(f'{format_value(value)} is not a string; write it in quotes, as in "{value}"')
    if any(ord(c) < 32 or ord(c) == 127 for c in value):
        raise InvalidValueError(f"{format_value(value)!r} contains control characters; remove them")
    return value


def strings(value: object) -> tuple[str, ...]:
    """Return a list of distinct strings."""
    if not isinstance(value, list):
        raise InvalidValueError(f"{format_value(value)} is not a list; write [{format_value(value)}]")
    found = tuple(text(item) for item in value)
    if len(set(found)) < len(found):
        raise InvalidValueError(f"{format_value(value)} contains a duplicate; remove it")
    return found


def one_of(*known: str) -> Callable[[object], str]:
    """Return a reader for one of the given words, which is returned as a string."""

    def read(value: object) -> str:
        if value not in known:
            hint = suggestion(value, known) if isinstance(value, str) else ""
            raise InvalidValueError(
                f"{format_value(value)} is none of {', '.join(known)}{hint if 'mean' in hint else ''}"
            )
        return str(value)

    return read


def choice(kind: type[E]) -> Callable[[object], E]:
    """Return a reader for the values of an enum."""

    def read(value: object) -> E:
        return kind(one_of(*(str(item.value) for item in kind))(value))

    return read


def addresses(value: object) -> tuple[Address, ...]:
    """Return a non-empty list of distinct addresses, each written as `host:port`."""
    if value == []:
        raise InvalidValueError('the list is empty; write at least one address, as in ["127.0.0.1:2181"]')
    return tuple(address(item) for item in strings(value))


def registry_path(value: object) -> str:
    """Return the path of a node in a registry under which backends register."""
    path = text(value)
    if not path.startswith("/") or path == "/" or path.endswith("/") or {"", ".", ".."} & set(path[1:].split("/")):
        raise InvalidValueError(
            f'{format_value(value)} is not a path of a registry node; write one such as "/services/channel"'
        )
    return path


def registry_node(value: object) -> str:
    """Return the name of a registry node."""
    name = text(value)
    if "/" in name or name in ("", ".", ".."):
        raise InvalidValueError(
            f'{format_value(value)} is not the name of a registry node; write one such as "channel-1"'
        )
    return name


DATAGRAM_NAME = re.compile(r"[!-~]{1,48}")


def datagram_name(value: object) -> str:
    """Return a name that is sent in datagrams, or an empty string: printable ASCII without spaces."""
    found = text(value)
    if found and not DATAGRAM_NAME.fullmatch(found):
        raise InvalidValueError(
            f'{format_value(value)} is not a valid name; write up to 48 ASCII characters without spaces, as "edge-1"'
        )
    return found


def credentials(value: object) -> str:
    """Return credentials as `user:password`, or an empty string."""
    found = text(value)
    if found and not all(found.partition(":")[::2]):
        raise InvalidValueError('user or password is missing; write both, as in "user:password"')
    return found


def address(value: object) -> Address:
    """Return an address that is written as `host:port`."""
    try:
        host, port = read_address(text(value))
    except ValueError as fault:
        raise InvalidValueError(f'{fault}; write one such as "127.0.0.1:8080"') from fault
    return host.removeprefix("[").removesuffix("]"), port
