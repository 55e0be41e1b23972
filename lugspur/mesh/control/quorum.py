"""Majorities of voters."""

from __future__ import annotations


def majority(count: int) -> int:
    """Return the smallest number that is more than half of `count`."""
    return count // 2 + 1
