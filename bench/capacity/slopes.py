"""Measured slopes by name, and the figures that are made of them."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from bench.capacity.fits import Fit


@dataclass(slots=True)
class Figure:
    """One worked-out number, how it came about, and its budget if any."""

    role: str
    name: str
    amount: float
    formula: str
    budget: float | None = None

    def line(self) -> str:
        """Return the figure as a line of the table."""
        text = f'{self.role:9} {self.name:32} {self.amount:>14.5g}'
        if self.budget is not None:
            verdict = 'EXCEEDS' if self.amount > self.budget else 'within'
            text = f'{text}  {verdict} {self.budget:g}'
        return f'{text}  = {self.formula}'


class Slopes:
    """The fits and rows of all parts by name."""

    __slots__ = ('_runs',)

    def __init__(self, runs: Sequence[dict[str, Any]]) -> None:
        """Keep the runs by part."""
        self._runs = {run['part']: run for run in runs}

    def fit(self, part: str, field: str, size: str) -> Fit:
        """Return the line of a field over a size."""
        for one in self._runs[part]['fits']:
            if one['field'] == field and one['size'] == size:
                return Fit(one['slope'], one['start'], one['r_squared'])
        raise KeyError(f'{part}: {field} over {size}')

    def rows(self, part: str, name: str) -> list[dict[str, Any]]:
        """Return the measured rows."""
        return self._runs[part][name]

    def cost(self, part: str, position: int = 0) -> dict[str, Any]:
        """Return the solved costs of a role."""
        return self._runs[part]['cost'][position]
