"""Writes the reference of all keys into docs/configuration.md, from what the tables themselves state.

`python -m lugspur.config.reference docs/configuration.md` replaces what stands between the two marks.
"""

from __future__ import annotations

import sys
from dataclasses import MISSING, Field, fields
from enum import Enum
from typing import Any

from lugspur.config import model
from lugspur.config.schema import key_of

BEGIN, END = "<!-- reference -->\n", "<!-- end of the reference -->\n"
SIZES = {"memory", "head", "body", "answer"}
TIMES = {"read", "idle", "aim", "deadline", "window", "connect", "keep", "warm_after", "over", "span", "within"}


def _default(item: Field[Any], kind: type) -> str:
    if "rows" in item.metadata or "tables" in item.metadata:
        return "none"
    if "table" in item.metadata:
        return "none" if item.default is None else "as below"
    if item.default is MISSING and item.default_factory is MISSING:
        return "must be there"
    value = item.default if item.default_factory is MISSING else item.default_factory()
    return f"`{_shown(item.name, value)}`" if value not in (None, "", (), {}) else "none"


def _shown(name: str, value: Any) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, tuple):
        return "[" + ", ".join(f'"{part}"' for part in value) + "]"
    if name in SIZES:
        return f"{value >> 20}MiB" if value % (1 << 20) == 0 else f"{value >> 10}KiB"
    if name in TIMES and isinstance(value, float):
        return f"{value:g}s"
    return f"{value:g}" if isinstance(value, float) else str(value)


def _table(kind: type, heading: str) -> list[str]:
    doc = (kind.__doc__ or "").strip()
    lines = [f"### {heading}", "", doc, "", "| key | default | meaning |", "| --- | --- | --- |"]
    below: list[str] = []
    for item in fields(kind):
        meta = item.metadata
        lines.append(f"| `{key_of(item)}` | {_default(item, kind)} | {meta['doc']} |")
        inner = meta.get("table") or meta.get("rows")
        if inner:
            below += _table(inner, f"{heading}, `{key_of(item)}`")
    return [*lines, "", *below]


def reference() -> str:
    """All tables of the file, as Markdown."""
    lines: list[str] = []
    for item in fields(model.File):
        named = item.metadata.get("tables")
        heading = f"`[{key_of(item)}.NAME]`" if named else f"`[{key_of(item)}]`"
        lines += _table(named or item.metadata["table"], heading)
    return "\n".join(lines)


def main() -> None:
    """Replace the reference in the file that is named."""
    with open(sys.argv[1], encoding="utf-8") as file:
        text = file.read()
    before, _, rest = text.partition(BEGIN)
    after = rest.partition(END)[2]
    with open(sys.argv[1], "w", encoding="utf-8") as file:
        file.write(f"{before}{BEGIN}{reference()}{END}{after}")


if __name__ == "__main__":
    main()
