"""Finds the line numbers of tables and keys in a TOML file, which `tomllib` does not report.

The scanner reads text that `tomllib` has accepted, so it does not validate. A value that it can't follow has no line of
its own; the line of the enclosing table or list is reported instead.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping
from contextlib import suppress

Path = tuple[str | int, ...]
WHITESPACE = re.compile(r"(?:[ \t\r]|\\\n|#[^\n]*)*")
SEPARATORS = re.compile(r"(?:[ \t\r\n,]|#[^\n]*)*")
KEY = re.compile(r"""[A-Za-z0-9_-]+|"(?:[^"\\\n]|\\.)*"|'[^'\n]*'""")
KEY_SEPARATOR = re.compile(r"[ \t]*\.[ \t]*")
SCALAR = re.compile(
    r'"""(?:[^"\\]|\\[\s\S]|"(?!""))*"{3,5}'
    r"|'''[\s\S]*?'{3,5}"
    r'|"(?:[^"\\\n]|\\.)*"'
    r"|'[^'\n]*'"
    r"|[^\s,\]}#]+(?: \d[^\s,\]}#]*)?"
)


class LineNumbers:
    """The line numbers of the tables and keys of one file."""

    def __init__(self, text: str) -> None:
        self._text = text.replace("\r\n", "\n")
        self._offset = 0
        self._line = 1  # the line of the offset `_counted`
        self._counted = 0  # the offset up to which lines are counted
        self._lines: dict[Path, int] = {}
        self._arrays: dict[Path, int] = {}  # index of the latest element of each array of tables, [[name]]
        with suppress(IndexError, RecursionError):  # An error message must not fail on unsupported text.
            self._read()

    def line(self, path: Path) -> int:
        """Return the line of a value or of the innermost known table or list around it; 1 for the whole file."""
        for end in range(len(path), 0, -1):
            if path[:end] in self._lines:
                return self._lines[path[:end]]
        return 1

    def _read(self) -> None:
        table: Path = ()
        while True:
            self._skip(SEPARATORS)
            if self._offset >= len(self._text):
                return
            if self._text[self._offset] == "[":
                table = self._read_header()
            else:
                self._read_pair(table)

    def _read_header(self) -> Path:
        is_array = self._text.startswith("[[", self._offset)
        self._offset += 2 if is_array else 1
        self._skip(WHITESPACE)
        path: Path = ()
        names = self._read_key()
        for index, name in enumerate(names):
            path = (*path, name)
            if path in self._arrays and not (is_array and index == len(names) - 1):
                path = (*path, self._arrays[path])
        if is_array:
            self._arrays[path] = self._arrays.get(path, -1) + 1
            self._record(path)
            path = (*path, self._arrays[path])
        self._record(path)
        self._skip(WHITESPACE)
        self._offset += 2 if is_array else 1
        return path

    def _read_pair(self, table: Path) -> None:
        start = self._offset
        path = (*table, *self._read_key())
        for end in range(len(table) + 1, len(path) + 1):
            self._record(path[:end], start)
        self._skip(WHITESPACE)
        self._offset += 1  # the equals sign
        self._skip(WHITESPACE)
        self._read_value(path)

    def _read_value(self, path: Path) -> None:
        opening = self._text[self._offset]
        if opening not in "[{":
            match = SCALAR.match(self._text, self._offset)
            self._offset = match.end() if match else self._offset + 1
            return
        self._offset += 1
        count = 0
        while True:
            self._skip(SEPARATORS)
            if self._text[self._offset] in "]}":
                self._offset += 1
                return
            if opening == "{":
                self._read_pair(path)
            else:
                self._record((*path, count))
                self._read_value((*path, count))
                count += 1

    def _read_key(self) -> list[str]:
        names: list[str] = []
        while True:
            match = KEY.match(self._text, self._offset)
            if match is None:
                raise IndexError
            word, self._offset = match[0], match.end()
            names.append(_unquoted(word))
            dot = KEY_SEPARATOR.match(self._text, self._offset)
            if dot is None:
                return names
            self._offset = dot.end()

    def _skip(self, pattern: re.Pattern[str]) -> None:
        match = pattern.match(self._text, self._offset)
        self._offset = match.end() if match else self._offset

    def _record(self, path: Path, offset: int | None = None) -> None:
        offset = self._offset if offset is None else offset
        if offset > self._counted:
            self._line += self._text.count("\n", self._counted, offset)
            self._counted = offset
        self._lines.setdefault(path, self._line)


def _unquoted(word: str) -> str:
    if word[0] == "'":
        return word[1:-1]
    if word[0] == '"':
        parsed: Mapping[str, str] = tomllib.loads(f"k = {word}")
        return parsed["k"]
    return word
