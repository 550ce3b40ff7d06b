"""Measures the policies for versions against baselines, without a cluster.

Run ``python -m bench.policies.versions --seed=1``. It prints tables and, as the
last line, one JSON object with all figures.
"""

from collections.abc import Sequence
from dataclasses import asdict

import orjson
from absl import app, flags

from bench.policies.choice import (
    ChoiceFigures,
    ChoiceStream,
    choice_settings,
    time_choice_us,
)
from bench.policies.exposure import (
    LIMIT_REQUESTS,
    LONGEST_S,
    DriftSetting,
    DriftStream,
    RolloutFigures,
    RolloutSetting,
    RolloutStream,
    VersionHealth,
    count_false_stops,
)

_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the first stream.')
_REQUESTS = flags.DEFINE_integer('requests', 20000, 'Requests of a choice.')
_CHEAP_COST = flags.DEFINE_float(
    'cheap_cost_share',
    0.2,
    'Cost of a token of the cheap version, as a share of the strong one.',
)
_HEALTHY_RUNS = flags.DEFINE_integer('healthy_runs', 20, 'Healthy roll-outs.')
_BAD_RUNS = flags.DEFINE_integer('bad_runs', 3, 'Roll-outs of each bad kind.')

TIMED_VERSIONS = 14
TIMED_CALLS = 5000
ENTRY_COUNTS = (3, 6, 12, 24)
# Streams of one seed have numbers of their own below this.
SEED_STRIDE = 1000
FALSE_STOP_RATINGS = 20000
FALSE_STOP_SEEDS = 8
FALSE_STOP_SHARES = (0.03, 0.2)

BAD_HEALTH = {
    'poor 0.1': VersionHealth(poor_share=0.1),
    'poor 0.25': VersionHealth(poor_share=0.25),
    'poor 0.5': VersionHealth(poor_share=0.5),
    'poor 1.0': VersionHealth(poor_share=1.0),
    'errors 0.2': VersionHealth(error_share=0.2),
    'errors 1.0': VersionHealth(error_share=1.0),
    'three times slower': VersionHealth(first_token_s=1.2),
}
DRIFTS = (
    DriftSetting('poor 0.2', poor_share=0.2),
    DriftSetting('poor 0.5', poor_share=0.5),
    DriftSetting('poor 1.0', poor_share=1.0),
    DriftSetting('errors 0.3', error_share=0.3),
    DriftSetting('poor 0.2, no control', poor_share=0.2, has_control=False),
    DriftSetting('poor 0.5, no control', poor_share=0.5, has_control=False),
)


def measure_choice(seed: int) -> list[ChoiceFigures]:
    """Compare the ways to choose on the same stream."""
    print(
        'choice                    good  worst account  cost  cheap  explored'
    )
    results = []
    for setting in choice_settings():
        stream = ChoiceStream(setting, seed, _CHEAP_COST.value)
        figures = stream.run(_REQUESTS.value)
        results.append(figures)
        print(
            f'{figures.label:24s} {figures.good_share:.4f}',
            f'        {figures.worst_account_share:.4f} ',
            f'{figures.cost_share:.3f}  {figures.cheap_share:.3f} ',
            f'  {figures.explored_share:.4f}',
        )
    return results


def measure_healthy(seed: int) -> list[RolloutFigures]:
    """Run healthy roll-outs; every other one is interrupted."""
    results = []
    for number in range(_HEALTHY_RUNS.value):
        setting = RolloutSetting(
            'healthy',
            VersionHealth(),
            entries=ENTRY_COUNTS[number % len(ENTRY_COUNTS)],
            leader_interval_s=45.0 if number % 2 else 0.0,
        )
        results.append(
            RolloutStream(setting, SEED_STRIDE * seed + number).run()
        )
    ends = [one.action for one in results]
    lasted_s = sorted(one.lasted_s for one in results)
    print(
        f'\nhealthy roll-outs: {len(ends)}, complete {ends.count("complete")},',
        f'stopped {ends.count("stop")}, held {ends.count("hold")};',
        f'median {lasted_s[len(lasted_s) // 2]:.0f} s,',
        f'longest {lasted_s[-1]:.0f} s',
    )
    return results


def measure_bad(seed: int) -> dict[str, list[RolloutFigures]]:
    """Run bad roll-outs with few and many entries."""
    print(
        '\nbad roll-out        entries  end       stage  lasted_s  sent  share'
    )
    results: dict[str, list[RolloutFigures]] = {}
    for label, health in BAD_HEALTH.items():
        for entries in (ENTRY_COUNTS[0], ENTRY_COUNTS[-1]):
            setting = RolloutSetting(label, health, entries)
            for number in range(_BAD_RUNS.value):
                figures = RolloutStream(
                    setting, SEED_STRIDE * seed + number
                ).run()
                results.setdefault(label, []).append(figures)
                print(
                    f'{label:20s} {entries:6d}  {figures.action:8s} ',
                    f'{figures.stage:5d}  {figures.lasted_s:8.1f} ',
                    f'{figures.sent:4d}  {figures.sent_share:.4f}',
                )
    print(
        f'(held: the exposure limit of {LIMIT_REQUESTS} requests ended',
        f'the exposure; watched for {LONGEST_S:.0f} s)',
    )
    return results


def measure_drift(seed: int) -> dict[str, float]:
    """Compare the exposure to a version turned bad with no guard."""
    unguarded = DriftSetting('no guard', poor_share=0.5, guarded=False)
    without = DriftStream(unguarded, seed, ENTRY_COUNTS[1]).run().exposed
    print(
        '\nturned bad             exposed  share of no guard  withdrawn after'
    )
    print(f'{unguarded.label:22s} {without:7d}')
    results = {}
    for setting in DRIFTS:
        figures = DriftStream(setting, seed, ENTRY_COUNTS[1]).run()
        results[setting.label] = figures.exposed / without
        print(
            f'{setting.label:22s} {figures.exposed:7d}',
            f'            {results[setting.label]:.4f} ',
            f'{figures.withdrawn_after_s} s',
        )
    return results


def measure_false_stops(seed: int) -> int:
    """Count stops of steady versions."""
    first = SEED_STRIDE * seed
    seeds = range(first, first + FALSE_STOP_SEEDS)
    stops = count_false_stops(FALSE_STOP_SHARES, FALSE_STOP_RATINGS, seeds)
    ratings = FALSE_STOP_RATINGS * FALSE_STOP_SEEDS * len(FALSE_STOP_SHARES)
    print(f'\nfalse stops of steady versions: {stops} in {ratings} ratings')
    return stops


def main(arguments: Sequence[str]) -> None:
    """Run all measurements."""
    if len(arguments) > 1:
        raise app.UsageError('unexpected arguments')
    seed = _SEED.value
    choice = measure_choice(seed)
    mean_us, high_us = time_choice_us(TIMED_VERSIONS, TIMED_CALLS)
    print(
        f'one choice of {TIMED_VERSIONS}: {mean_us:.0f} us, p99 {high_us:.0f}'
    )
    healthy = measure_healthy(seed)
    bad = measure_bad(seed)
    drift = measure_drift(seed)
    figures = {
        'seed': seed,
        'choice': [asdict(one) for one in choice],
        'choice_mean_us': mean_us,
        'choice_p99_us': high_us,
        'healthy_stopped': sum(one.action == 'stop' for one in healthy),
        'healthy_complete': sum(one.action == 'complete' for one in healthy),
        'bad_highest_share': {
            label: max(one.sent_share for one in runs)
            for label, runs in bad.items()
        },
        'drift_exposed_share': drift,
        'false_stops': measure_false_stops(seed),
    }
    print(orjson.dumps(figures).decode())


if __name__ == '__main__':
    app.run(main)
