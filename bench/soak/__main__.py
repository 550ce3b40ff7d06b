"""Runs the soak.

    make soak SEED=1 MINUTES=0.5
    python -m bench.soak --seeds=1,2,3 --minutes=0.5 --entries=2

Prints one line a seed, and each promise that was broken with what is known
of it; logs and settings of a seed that broke one stay in `build/soak`. Exits
with 1 when a promise was broken. docs/design/soak.md has faults and checks.
"""

import asyncio
import shutil
import sys
from pathlib import Path

from absl import app, flags

from bench.soak.run import SoakResult, soak
from bench.soak.schedule import Fleet

_FOLDER = Path('build/soak')
_SEEDS = flags.DEFINE_list('seeds', ['1'], 'Seeds of the faults.')
_MINUTES = flags.DEFINE_float(
    'minutes', 0.5, 'Minutes of faults a seed.', lower_bound=0.05
)
_ENTRIES = flags.DEFINE_integer(
    'entries', 2, 'Entries before the replicas.', lower_bound=1, upper_bound=200
)
_SHOWN = 12


def run_seed(seed: int) -> SoakResult:
    """Run one seed, and keep its folder if it broke a promise."""
    folder = _FOLDER / f'seed-{seed}'
    shutil.rmtree(folder, ignore_errors=True)
    fleet = Fleet(entries=_ENTRIES.value)
    result = asyncio.run(soak(seed, 60 * _MINUTES.value, folder, fleet))
    if result.broken:
        lines = [str(one) for one in (*result.faults, *result.broken)]
        (folder / 'report.txt').write_text('\n'.join(lines), encoding='utf-8')
    else:
        shutil.rmtree(folder)
    return result


def main(_arguments: list[str]) -> int:
    """Run all seeds; tell by the exit status whether a promise broke."""
    try:
        seeds = [int(text) for text in _SEEDS.value]
    except ValueError as error:
        print(f'--seeds: {error}')
        return 2
    is_broken = False
    for seed in seeds:
        result = run_seed(seed)
        print(result.line(), flush=True)
        for broken in result.broken[:_SHOWN]:
            print(f'    {broken}', flush=True)
        is_broken = is_broken or bool(result.broken)
    return int(is_broken)


if __name__ == '__main__':
    sys.exit(app.run(main))
