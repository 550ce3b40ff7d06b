"""Straight lines through measured points."""

from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

import numpy as np

Point = tuple[float, float]


@dataclass(slots=True)
class Fit:
    """A line `start + slope * size` and how much of the spread it explains."""

    slope: float
    start: float
    r_squared: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.start + self.slope * size


def fit_line(points: Sequence[Point]) -> Fit:
    """Return the line of least squares.

    >>> fit_line([(0, 1), (1, 3), (2, 5)]).at(10)
    21.0
    """
    sizes, found = np.asarray(points, dtype=float).T
    slope, start = np.polyfit(sizes, found, 1)
    rest = found - (start + slope * sizes)
    spread = float(((found - found.mean()) ** 2).sum())
    share = 1 - float((rest**2).sum()) / spread if spread else 1.0
    return Fit(_rounded(slope), _rounded(start), round(share, 4))


def fit_rows(rows: Sequence[dict[str, Any]], size: str, field: str) -> dict:
    """Return the line through one field of result rows, as JSON types."""
    points = [(row[size], row[field]) for row in rows if field in row]
    return {'size': size, 'field': field, **asdict(fit_line(points))}


def _rounded(figure: float) -> float:
    return float(f'{figure:.5g}')
