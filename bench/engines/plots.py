"""Plots of what ways of serving bring at each load."""

from collections.abc import Sequence
from pathlib import Path
from statistics import mean

import matplotlib

from bench.engines.figures import RunFigures

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402 - the backend comes first


def plot_goodput(rows: Sequence[RunFigures], folder: Path) -> list[Path]:
    """Draw worth a second and late first tokens by load, by deployment."""
    paths = []
    for deployment in sorted({row.deployment for row in rows}):
        chosen = [row for row in rows if row.deployment == deployment]
        figure, axes = pyplot.subplots(1, 2, figsize=(12, 5))
        for way in dict.fromkeys(row.way for row in chosen):
            _draw_way(axes, [row for row in chosen if row.way == way])
        axes[0].set_ylabel('worth to callers a second')
        axes[1].set_ylabel('share answered in time')
        for axis in axes:
            axis.set_xlabel('times the usual requests')
            axis.set_ylim(bottom=0)
        axes[1].legend(fontsize=8)
        figure.tight_layout()
        path = folder / f'{deployment}.png'
        figure.savefig(path, dpi=100)
        pyplot.close(figure)
        paths.append(path)
    return paths


def _draw_way(axes, rows: Sequence[RunFigures]) -> None:
    loads = sorted({row.load for row in rows})
    for axis, field in zip(axes, ('worth_per_s', 'in_time_share'), strict=True):
        heights = [
            mean(getattr(row, field) for row in rows if row.load == load)
            for load in loads
        ]
        axis.plot(loads, heights, marker='o', label=rows[0].way)
