"""Loads a configuration file into a plan; reports all faults with their lines and with what to write instead."""

from __future__ import annotations

import os
import re
import tomllib
from pathlib import Path
from typing import Any

from lugspur.config import model
from lugspur.config.build import Plan, build
from lugspur.config.lines import LineNumbers
from lugspur.config.schema import Location, read_table

MAX_FILE_BYTES = 8 << 20  # 10,000 routes take about 1 MiB; a wrong path may name a disk image
MAX_READS = 5  # attempts to read a file that changes while it is read
TOML_ERROR_POSITION = re.compile(r" ?\(at (?:line (\d+), column \d+|end of document)\)")
TOML_ERROR_HINTS = (  # the beginning of a message of tomllib, and what to do
    ("Cannot overwrite", "this key is already defined above; remove one of the two"),
    ("Cannot declare", "this table is already defined above; remove one of the two"),
    ("Cannot mutate immutable", "an inline table or array can't be extended; write all of it in one place"),
    ("Expected newline", "only one value is allowed on a line; strings are written in quotes"),
    ("Invalid value", "strings are written in quotes"),
    ("Expected '='", 'a key is followed by = and a value, as in aim = "410ms"'),
    ("Invalid statement", 'write a key and a value, as in aim = "410ms", or a heading, as in [pools.name]'),
    ("Unescaped", "write \\\\ for a backslash, or put the string in single quotes"),
    ("Illegal character", "the file contains a control character, which TOML forbids"),
    ("Unclosed", "a bracket or brace is never closed"),
)


class ConfigFileError(Exception):
    """The file can't be used; has one line for each fault, with the file's name and the line number."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def load(path: str) -> Plan:
    """Read, validate and build the configuration of a file; raises ConfigFileError."""
    text = read_text(path)
    try:
        raw = parse(text)
    except ValueError as fault:
        raise ConfigFileError([f"{path}:{fault}"]) from fault
    location = Location()
    file = read_table(model.File, raw, location)
    if file is not None:
        plan = build(file, raw, location)
        if not location.faults:
            return plan
    lines = LineNumbers(text)
    found = [(lines.line(fault.path), ".".join(map(str, fault.path)), fault.message) for fault in location.faults]
    raise ConfigFileError(
        [
            f"{path}:{line}: {key}: {message}" if key else f"{path}:{line}: {message}"
            for line, key, message in sorted(set(found))
        ]
    )


def parse(text: str) -> dict[str, Any]:
    """Parse TOML; raises ValueError, whose message starts with the line number and a colon."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        message = str(fault)
        found = TOML_ERROR_POSITION.search(message)
        line = int(found[1]) if found and found[1] else text.count("\n") + 1
        hint = next((hint for start, hint in TOML_ERROR_HINTS if message.startswith(start)), "")
        message = TOML_ERROR_POSITION.sub("", message)
        raise ValueError(f"{line}: {message}; {hint}" if hint else f"{line}: {message}") from fault
    except RecursionError as fault:
        raise ValueError("1: brackets are nested too deeply; no key takes more than a few levels") from fault


def read_text(path: str) -> str:
    """Return a consistent copy of the file's text; raises ConfigFileError.

    A file that changes while it is read is read again, so that a partly written file is never used.
    """
    try:
        for _ in range(MAX_READS):
            with open(path, "rb") as file:
                before = os.fstat(file.fileno())
                data = file.read(MAX_FILE_BYTES + 1)
                after = os.fstat(file.fileno())
            is_unchanged = (before.st_mtime_ns, before.st_size) == (after.st_mtime_ns, after.st_size)
            if len(data) > MAX_FILE_BYTES or (is_unchanged and len(data) == after.st_size):
                break
        else:
            raise ConfigFileError(
                [f"{path}: the file changes while it is read; write a new file and rename it to this path"]
            )
    except OSError as fault:
        raise ConfigFileError([f"{path}: {fault.strerror or fault}"]) from fault
    if len(data) > MAX_FILE_BYTES:
        raise ConfigFileError([f"{path}: the file has more than {MAX_FILE_BYTES >> 20} MiB; check the path"])
    try:
        return data.decode()
    except UnicodeDecodeError as fault:
        line = data.count(b"\n", 0, fault.start) + 1
        message = f"byte {data[fault.start]:#04x} is not valid UTF-8; save the file as UTF-8"
        raise ConfigFileError([f"{path}:{line}: {message}"]) from fault


def resolve_path(path: str, config_path: str) -> str:
    """Return a path from a configuration file, relative to the directory of that file, `config_path`."""
    return str(Path(config_path).parent / path)
