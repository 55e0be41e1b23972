"""Least squares: a straight line through measured points, and how much of their spread it explains."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import fmean


@dataclass(frozen=True)
class Line:
    """y = intercept + slope * x; `r2`: part of the spread of y that it explains, 1 where it is exact."""

    slope: float
    intercept: float
    r2: float

    def at(self, x: float) -> float:
        """The line's value."""
        return self.intercept + self.slope * x


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """The line with the least sum of squares; raises ValueError where the points don't give one."""
    if len({x for x, _ in points}) < 2:
        raise ValueError("a line needs two points apart")
    mean_x, mean_y = fmean(x for x, _ in points), fmean(y for _, y in points)
    spread_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread_x
    intercept = mean_y - slope * mean_x
    left = sum((y - intercept - slope * x) ** 2 for x, y in points)
    spread_y = sum((y - mean_y) ** 2 for _, y in points)
    return Line(slope, intercept, 1.0 if spread_y == 0.0 else 1.0 - left / spread_y)
