"""Measures the slopes that docs/CAPACITY.md is worked out from.

    make capacity
    python -m bench.capacity --parts=control,polling --seed=1

Real processes on loopback where they reach, and the pure machines beyond.
Each part writes `build/capacity/<part>.json`; `results.json` holds the parts
of all runs so far, `table.txt` the lines fitted through them and, when all
parts are there, the figures at the size of letter 1.
"""

import asyncio
import json
import os
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from absl import app, flags

from bench.capacity.changes import measure_changes
from bench.capacity.control import measure_control
from bench.capacity.heartbeats import measure_heartbeats
from bench.capacity.log import measure_log
from bench.capacity.machine import measure_machine
from bench.capacity.policy import measure_policy
from bench.capacity.polling import measure_polling
from bench.capacity.relay import measure_relay
from bench.capacity.routed import measure_routed
from bench.capacity.slopes import Slopes
from bench.capacity.target import work_out

_FOLDER = Path('build/capacity')
_Part = Callable[[Path, int], Awaitable[Any]]
_PARTS: dict[str, _Part] = {
    'machine': measure_machine,
    'policy': measure_policy,
    'heartbeats': measure_heartbeats,
    'routed': measure_routed,
    'log': measure_log,
    'polling': measure_polling,
    'relay': measure_relay,
    'control': measure_control,
    'changes': measure_changes,
}
_CHOSEN = flags.DEFINE_list('parts', list(_PARTS), 'Parts to measure.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of all random numbers.')
_WORK = flags.DEFINE_string('work', '', 'Folder of settings, logs and data.')


def measure(part: str, seed: int) -> dict[str, Any]:
    """Measure one part and write its file."""
    work = Path(_WORK.value) if _WORK.value else _FOLDER / 'work'
    folder = work / part
    folder.mkdir(parents=True, exist_ok=True)
    load = os.getloadavg()
    begun_s = time.monotonic()
    found = asyncio.run(_PARTS[part](folder, seed))
    run = {
        'part': part,
        'seed': seed,
        'at': time.strftime('%Y-%m-%dT%H:%M:%S'),
        'duration_s': round(time.monotonic() - begun_s, 1),
        'cores': os.cpu_count(),
        'load_before': load[0],
        'load_after': os.getloadavg()[0],
        **found,
    }
    path = _FOLDER / f'{part}.json'
    path.write_text(json.dumps(run, indent=2), encoding='utf-8')
    return run


def merge() -> list[str]:
    """Write the results of all parts, return the lines of the table."""
    runs = [
        json.loads(path.read_text(encoding='utf-8'))
        for part in _PARTS
        if (path := _FOLDER / f'{part}.json').exists()
    ]
    text = json.dumps(runs, indent=2)
    (_FOLDER / 'results.json').write_text(text, encoding='utf-8')
    lines = [
        '{part:10} {field:34} = {start:>12g} + {slope:>12g} x {size}'
        '  (r2 {r_squared})'.format(part=run['part'], **fit)
        for run in runs
        for fit in run['fits']
    ]
    lines.extend(
        f'{run["part"]:10} {cost}'
        for run in runs
        for cost in run.get('cost', ())
    )
    if len(runs) == len(_PARTS):
        lines.extend(figure.line() for figure in work_out(Slopes(runs)))
    table = '\n'.join(lines)
    (_FOLDER / 'table.txt').write_text(f'{table}\n', encoding='utf-8')
    return lines


def main(_arguments: list[str]) -> int:
    """Measure the parts that are asked for."""
    unknown = set(_CHOSEN.value) - set(_PARTS)
    if unknown:
        print(f'--parts: allowed are {", ".join(_PARTS)}')
        return 2
    _FOLDER.mkdir(parents=True, exist_ok=True)
    for part in _CHOSEN.value:
        run = measure(part, _SEED.value)
        print(f'{part}: {run["duration_s"]} s', flush=True)
    for line in merge():
        print(line)
    return 0


if __name__ == '__main__':
    sys.exit(app.run(main))
