"""Parses source files of the project."""

from __future__ import annotations

import ast
import gc
from pathlib import Path


def parse_source(path: Path) -> ast.Module:
    """Parse a source file with the cyclic collector off.

    A finalizer that fails during a collection is reported with a traceback, for which source text is parsed too. Before
    CPython 3.11.10 that ends a parse under way with a SystemError (CPython issue 106905).
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return ast.parse(path.read_text())
    finally:
        if was_enabled:
            gc.enable()
