"""Linear regression by least squares."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import fmean


@dataclass(frozen=True)
class Line:
    """y = intercept + slope * x; `r2` is the fraction of the variance of y that the line explains (1: exact fit)."""

    slope: float
    intercept: float
    r2: float

    def at(self, x: float) -> float:
        """Return the line's value at x."""
        return self.intercept + self.slope * x


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line by least squares; raises ValueError for fewer than two different values of x."""
    if len({x for x, _ in points}) < 2:
        raise ValueError("fitting a line needs at least two different values of x")
    mean_x, mean_y = fmean(x for x, _ in points), fmean(y for _, y in points)
    x_sum = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_sum
    intercept = mean_y - slope * mean_x
    residual_sum = sum((y - intercept - slope * x) ** 2 for x, y in points)
    total_sum = sum((y - mean_y) ** 2 for _, y in points)
    return Line(slope, intercept, 1.0 if total_sum == 0.0 else 1.0 - residual_sum / total_sum)
