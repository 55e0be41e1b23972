"""A file from the disk to a plan, or to every fault in it, each with its line and what to write instead."""

from __future__ import annotations

import os
import re
import tomllib
from pathlib import Path
from typing import Any

from lugspur.config import model
from lugspur.config.build import Plan, build
from lugspur.config.lines import Lines
from lugspur.config.schema import Place, read_table

FILE_MOST = 8 << 20  # bytes: ten thousand routes take about one MiB; a wrong path may be a disk image
READS = 5  # tries at a file that changes while it is read
WHERE = re.compile(r" ?\(at (?:line (\d+), column \d+|end of document)\)")
HINTS = (  # what tomllib says, and what to do
    ("Cannot overwrite", "this key stands above already; keep one of the two"),
    ("Cannot declare", "this table stands above already; keep one of the two"),
    ("Cannot mutate immutable", "this adds to a table that is closed already; write all of it in one place"),
    ("Expected newline", "a value ends with its line; texts are written in quotes"),
    ("Invalid value", "texts are written in quotes"),
    ("Expected '='", 'a key is followed by = and a value, as in aim = "410ms"'),
    ("Invalid statement", 'write a key and a value, as in aim = "410ms", or a heading, as in [pools.name]'),
    ("Unescaped", "write \\\\ for a backslash, or put the text in single quotes"),
    ("Illegal character", "it holds a control character, which TOML forbids"),
    ("Unclosed", "a bracket or brace is never closed"),
)


class FileFaults(Exception):
    """All that is wrong with a file: one line each, with the file's name and the line's number."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def load(path: str) -> Plan:
    """Read, check and build; raises FileFaults."""
    text = read_text(path)
    try:
        raw = parse(text)
    except ValueError as fault:
        raise FileFaults([f"{path}:{fault}"]) from fault
    place = Place()
    file = read_table(model.File, raw, place)
    if file is not None:
        plan = build(file, raw, place)
        if not place.faults:
            return plan
    lines = Lines(text)
    found = [(lines.line(fault.path), ".".join(map(str, fault.path)), fault.message) for fault in place.faults]
    raise FileFaults(
        [
            f"{path}:{line}: {where}: {said}" if where else f"{path}:{line}: {said}"
            for line, where, said in sorted(set(found))
        ]
    )


def parse(text: str) -> dict[str, Any]:
    """TOML as plain values; raises ValueError with the line, a colon and what to do."""
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as fault:
        said = str(fault)
        found = WHERE.search(said)
        line = int(found[1]) if found and found[1] else text.count("\n") + 1
        hint = next((hint for start, hint in HINTS if said.startswith(start)), "")
        said = WHERE.sub("", said)
        raise ValueError(f"{line}: {said}; {hint}" if hint else f"{line}: {said}") from fault
    except RecursionError as fault:
        raise ValueError("1: brackets are nested too deeply; a few levels are all that any key takes") from fault


def read_text(path: str) -> str:
    """The file's text, as it was at one moment; raises FileFaults.

    Guards against half of a file that is being written: one that changes while it is read is read again.
    """
    try:
        for _ in range(READS):
            with open(path, "rb") as file:
                before = os.fstat(file.fileno())
                data = file.read(FILE_MOST + 1)
                after = os.fstat(file.fileno())
            still = (before.st_mtime_ns, before.st_size) == (after.st_mtime_ns, after.st_size)
            if len(data) > FILE_MOST or (still and len(data) == after.st_size):
                break
        else:
            raise FileFaults([f"{path}: it changes while it is read; write it elsewhere and rename it to here"])
    except OSError as fault:
        raise FileFaults([f"{path}: {fault.strerror or fault}"]) from fault
    if len(data) > FILE_MOST:
        raise FileFaults([f"{path}: it holds more than {FILE_MOST >> 20} MiB; is it the right file?"])
    try:
        return data.decode()
    except UnicodeDecodeError as fault:
        line = data.count(b"\n", 0, fault.start) + 1
        said = f"byte {data[fault.start]:#04x} is no UTF-8; save the file as UTF-8"
        raise FileFaults([f"{path}:{line}: {said}"]) from fault


def resolved(path: str, beside: str) -> str:
    """A path that a file names, taken from where that file is."""
    return str(Path(beside).parent / path)
