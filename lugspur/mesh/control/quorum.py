"""Majorities of voters."""

from __future__ import annotations


def majority(count: int) -> int:
    """How many of so many are more than half."""
    return count // 2 + 1
