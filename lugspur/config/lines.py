"""Where in a TOML file a value stands: `tomllib` tells of values only what they are.

It reads text that `tomllib` has accepted, so it need not check anything; what it can't follow has no line of
its own, and the line of what holds it is told instead.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Mapping
from contextlib import suppress

Path = tuple[str | int, ...]
SPACE = re.compile(r"(?:[ \t\r]|\\\n|#[^\n]*)*")
GAP = re.compile(r"(?:[ \t\r\n,]|#[^\n]*)*")
KEY = re.compile(r"""[A-Za-z0-9_-]+|"(?:[^"\\\n]|\\.)*"|'[^'\n]*'""")
DOT = re.compile(r"[ \t]*\.[ \t]*")
SCALAR = re.compile(
    r'"""(?:[^"\\]|\\[\s\S]|"(?!""))*"{3,5}'
    r"|'''[\s\S]*?'{3,5}"
    r'|"(?:[^"\\\n]|\\.)*"'
    r"|'[^'\n]*'"
    r"|[^\s,\]}#]+(?: \d[^\s,\]}#]*)?"
)


class Lines:
    """The line of each table and key of one file."""

    def __init__(self, text: str) -> None:
        self._text = text.replace("\r\n", "\n")
        self._at = 0
        self._line = 1  # of the place up to which lines were counted
        self._counted = 0
        self._known: dict[Path, int] = {}
        self._arrays: dict[Path, int] = {}  # how often [[this]] has come
        with suppress(IndexError, RecursionError):  # Guards a message against text that can't be followed.
            self._read()

    def line(self, path: Path) -> int:
        """The line of a value, or of the nearest thing around it; 1 for the file as a whole."""
        for end in range(len(path), 0, -1):
            if path[:end] in self._known:
                return self._known[path[:end]]
        return 1

    def _read(self) -> None:
        table: Path = ()
        while True:
            self._skip(GAP)
            if self._at >= len(self._text):
                return
            if self._text[self._at] == "[":
                table = self._header()
            else:
                self._pair(table)

    def _header(self) -> Path:
        double = self._text.startswith("[[", self._at)
        self._at += 2 if double else 1
        self._skip(SPACE)
        path: Path = ()
        names = self._key()
        for at, name in enumerate(names):
            path = (*path, name)
            if path in self._arrays and not (double and at == len(names) - 1):
                path = (*path, self._arrays[path])
        if double:
            self._arrays[path] = self._arrays.get(path, -1) + 1
            self._note(path)
            path = (*path, self._arrays[path])
        self._note(path)
        self._skip(SPACE)
        self._at += 2 if double else 1
        return path

    def _pair(self, table: Path) -> None:
        start = self._at
        path = (*table, *self._key())
        for end in range(len(table) + 1, len(path) + 1):
            self._note(path[:end], start)
        self._skip(SPACE)
        self._at += 1  # the equals sign
        self._skip(SPACE)
        self._value(path)

    def _value(self, path: Path) -> None:
        opened = self._text[self._at]
        if opened not in "[{":
            found = SCALAR.match(self._text, self._at)
            self._at = found.end() if found else self._at + 1
            return
        self._at += 1
        count = 0
        while True:
            self._skip(GAP)
            if self._text[self._at] in "]}":
                self._at += 1
                return
            if opened == "{":
                self._pair(path)
            else:
                self._note((*path, count))
                self._value((*path, count))
                count += 1

    def _key(self) -> list[str]:
        names: list[str] = []
        while True:
            found = KEY.match(self._text, self._at)
            if found is None:
                raise IndexError
            word, self._at = found[0], found.end()
            names.append(_unquoted(word))
            dot = DOT.match(self._text, self._at)
            if dot is None:
                return names
            self._at = dot.end()

    def _skip(self, what: re.Pattern[str]) -> None:
        found = what.match(self._text, self._at)
        self._at = found.end() if found else self._at

    def _note(self, path: Path, at: int | None = None) -> None:
        at = self._at if at is None else at
        if at > self._counted:
            self._line += self._text.count("\n", self._counted, at)
            self._counted = at
        self._known.setdefault(path, self._line)


def _unquoted(word: str) -> str:
    if word[0] == "'":
        return word[1:-1]
    if word[0] == '"':
        read: Mapping[str, str] = tomllib.loads(f"k = {word}")
        return read["k"]
    return word
