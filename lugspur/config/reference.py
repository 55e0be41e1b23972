"""Generates the reference of all keys in docs/configuration.md from the declarations in model.py.

`python -m lugspur.config.reference docs/configuration.md` replaces the text between the two markers.
"""

from __future__ import annotations

import sys
from dataclasses import MISSING, Field, fields
from enum import Enum
from typing import Any

from lugspur.config import model
from lugspur.config.schema import key_of

BEGIN_MARKER, END_MARKER = "<!-- reference -->\n", "<!-- end of the reference -->\n"
SIZE_FIELDS = {"memory", "head", "body", "answer"}
TIME_FIELDS = {"read", "idle", "aim", "deadline", "window", "connect", "keep", "warm_after", "over", "span", "within"}


def _default(item: Field[Any], kind: type) -> str:
    if "rows" in item.metadata or "tables" in item.metadata:
        return "none"
    if "table" in item.metadata:
        return "none" if item.default is None else "as below"
    if item.default is MISSING and item.default_factory is MISSING:
        return "must be there"
    value = item.default if item.default_factory is MISSING else item.default_factory()
    return f"`{_format(item.name, value)}`" if value not in (None, "", (), {}) else "none"


def _format(name: str, value: Any) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, tuple):
        return "[" + ", ".join(f'"{part}"' for part in value) + "]"
    if name in SIZE_FIELDS:
        return f"{value >> 20}MiB" if value % (1 << 20) == 0 else f"{value >> 10}KiB"
    if name in TIME_FIELDS and isinstance(value, float):
        return f"{value:g}s"
    return f"{value:g}" if isinstance(value, float) else str(value)


def _table(kind: type, heading: str) -> list[str]:
    doc = (kind.__doc__ or "").strip()
    lines = [f"### {heading}", "", doc, "", "| key | default | meaning |", "| --- | --- | --- |"]
    nested: list[str] = []
    for item in fields(kind):
        meta = item.metadata
        lines.append(f"| `{key_of(item)}` | {_default(item, kind)} | {meta['doc']} |")
        inner = meta.get("table") or meta.get("rows")
        if inner:
            nested += _table(inner, f"{heading}, `{key_of(item)}`")
    return [*lines, "", *nested]


def reference() -> str:
    """Return the reference of all tables of the file, as Markdown."""
    lines: list[str] = []
    for item in fields(model.File):
        table_type = item.metadata.get("tables")
        heading = f"`[{key_of(item)}.NAME]`" if table_type else f"`[{key_of(item)}]`"
        lines += _table(table_type or item.metadata["table"], heading)
    return "\n".join(lines)


def main() -> None:
    """Replace the reference in the file that the command line names."""
    with open(sys.argv[1], encoding="utf-8") as file:
        text = file.read()
    before, _, rest = text.partition(BEGIN_MARKER)
    after = rest.partition(END_MARKER)[2]
    with open(sys.argv[1], "w", encoding="utf-8") as file:
        file.write(f"{before}{BEGIN_MARKER}{reference()}{END_MARKER}{after}")


if __name__ == "__main__":
    main()
