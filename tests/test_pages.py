"""Modules that the pages name exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))]  # incidents tell of the code as it was then


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_every_module_that_a_page_names_exists(page: Path) -> None:
    modules = [
        f"/{path.relative_to(ROOT).as_posix()}" for top in ("lugspur", "tests") for path in (ROOT / top).rglob("*.py")
    ]
    named = set(re.findall(r"`((?:[\w.-]+/)*\w+\.py)`", page.read_text()))
    assert sorted(name for name in named if not any(module.endswith(f"/{name}") for module in modules)) == []
