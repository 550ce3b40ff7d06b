"""Plays ways of serving on the model of engines.

    make experiment
    python -m bench.engines --deployments=consortium --loads=1,1.6,2.5 \\
        --ways='product,fixed tiers' --seeds=1,2

Prints a table and writes `build/engines/results.json` and one plot a
deployment. The same seed gives the same figures. docs/design/engine-model.md
says what the model leaves out and how far it agrees with the users' bench.
"""

import json
import sys
from collections.abc import Iterator
from dataclasses import asdict, fields
from pathlib import Path

from absl import app, flags

from bench.engines.callers import make_requests
from bench.engines.deployments import DEPLOYMENTS, Deployment
from bench.engines.figures import RunFigures, measure
from bench.engines.plots import plot_goodput
from bench.engines.serving import Serving
from bench.engines.ways import WAYS, Way

_FOLDER = Path('build/engines')
_DEPLOYMENTS = flags.DEFINE_list(
    'deployments', ['consortium', 'union'], 'Deployments to play.'
)
_WAYS = flags.DEFINE_list('ways', list(WAYS), 'Ways of serving to play.')
_LOADS = flags.DEFINE_list(
    'loads', ['1.0', '1.6', '2.5'], 'Times the usual requests a second.'
)
_SEEDS = flags.DEFINE_list('seeds', ['1'], 'Seeds of all random numbers.')
_DURATION_S = flags.DEFINE_float('duration_s', 34.0, 'Seconds of traffic.')


def play(
    deployment: Deployment, way: Way, load: float, seed: int, duration_s: float
) -> RunFigures:
    """Play one run and return its figures."""
    requests = make_requests(deployment, load, seed, duration_s)
    serving = Serving(deployment, way, seed)
    outcomes = serving.run(requests)
    figures = measure(
        outcomes, deployment.name, way.name, load, seed, duration_s
    )
    read = sum(one.read_tokens for one in serving.engines.values())
    again = sum(one.read_again_tokens for one in serving.engines.values())
    figures.read_again_share = round(again / max(1, read), 3)
    return figures


def play_all() -> Iterator[RunFigures]:
    """Play each combination that is asked for."""
    for name in _DEPLOYMENTS.value:
        for load in _LOADS.value:
            for way in _WAYS.value:
                for seed in _SEEDS.value:
                    yield play(
                        DEPLOYMENTS[name],
                        WAYS[way],
                        float(load),
                        int(seed),
                        _DURATION_S.value,
                    )


def print_row(row: RunFigures) -> None:
    """Print one line of the table."""
    cells = [f'{value:>15}' for value in asdict(row).values()]
    print(' '.join(cells), flush=True)


def find_fault() -> str:
    """Return what is wrong with the flags, empty if nothing is."""
    for flag, known in ((_DEPLOYMENTS, DEPLOYMENTS), (_WAYS, WAYS)):
        unknown = set(flag.value) - set(known)
        if unknown:
            allowed = ', '.join(known)
            return f'--{flag.name}: found {unknown}, allowed are {allowed}'
    try:
        numbers = [float(text) for text in _LOADS.value + _SEEDS.value]
    except ValueError as error:
        return f'--loads, --seeds: {error}'
    if min(numbers, default=0) < 0 or not _LOADS.value:
        return '--loads, --seeds: allowed are numbers above 0'
    return ''


def main(_arguments: list[str]) -> int:
    """Play, print, write and draw."""
    fault = find_fault()
    if fault:
        print(fault)
        return 2
    _FOLDER.mkdir(parents=True, exist_ok=True)
    print(' '.join(f'{field.name:>15}' for field in fields(RunFigures)))
    rows = []
    for row in play_all():
        rows.append(row)
        print_row(row)
    text = json.dumps([asdict(row) for row in rows], indent=2)
    path = _FOLDER / 'results.json'
    path.write_text(text, encoding='utf-8')
    for drawn in (path, *plot_goodput(rows, _FOLDER)):
        print(drawn)
    return 0


if __name__ == '__main__':
    sys.exit(app.run(main))
