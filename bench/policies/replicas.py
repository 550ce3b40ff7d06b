"""Measure the replica, admission and retry policies on queues of replicas.

Entries with the real policies send requests to replicas that are modelled as
queues with lagged load reports and late cache events. There is no network and
no process here, only a seeded event loop, so the same seed gives the same
figures. Run it with `python -m bench.policies.replicas --seed=1`; it prints a
table and, as the last line, one JSON object.
"""

import json
from collections import Counter

from absl import app, flags

from bench.policies.queue_cost import bench_cost
from bench.policies.queue_figures import (
    DRAIN_S,
    PHASE_S,
    STEADY_S,
    Row,
    first_token_ms,
    good_rate,
    measure_capacity,
    recovery,
)
from bench.policies.queue_fleet import Account, Fleet, Setup
from bench.policies.queues import REPORT_LAG_S

_SEED = flags.DEFINE_integer('seed', 1, 'Seed of all random numbers.')
_ONLY = flags.DEFINE_string('only', '', 'Run one part of the bench only.')

WARM_UP_S = 15.0
FAIRNESS_S = 120.0
OUTAGE_S = 5.0


def bench_choice(seed: int) -> list[Row]:
    """Compare the choices at 0.9 of what round robin gets through."""
    rows = []
    for shared in (True, False):
        rate = 0.9 * measure_capacity(seed, shared_prompts=shared)
        for entries in (6, 24):
            base_ms = 0.0
            for kind in ('round_robin', 'least_report', 'expected_wait'):
                setup = Setup(seed, kind, entries, shared_prompts=shared)
                fleet = Fleet(setup)
                fleet.run(rate, WARM_UP_S + STEADY_S + DRAIN_S)
                jobs = fleet.between(WARM_UP_S, WARM_UP_S + STEADY_S)
                p95_ms = first_token_ms(jobs)
                base_ms = base_ms or p95_ms
                row = Row('choice', f'{kind}, {entries} entries')
                row.name += ', shared prompts' if shared else ', unique'
                row.figures = {
                    'p50_ms': first_token_ms(jobs, 0.5),
                    'p95_ms': p95_ms,
                    'p99_ms': first_token_ms(jobs, 0.99),
                    'p95_to_round_robin': round(p95_ms / base_ms, 3),
                }
                rows.append(row)
    return rows


def fairness_accounts(entries: int, *, even: bool) -> tuple[Account, ...]:
    """Return a greedy account at ten times its due, the others at 1.3.

    They come to all entries evenly, or most of them to two entries only.
    """
    accounts = [Account('greedy', 1.0, 10.0)]
    for number in range(9):
        weight = 2.0 if number < 2 else 1.0
        at = (number % entries, (number + 3) % entries)
        if even or number == 0:
            at = ()
        account = Account(f'account-{number}', weight, 1.3 * weight, 1, at)
        accounts.append(account)
    return tuple(accounts)


def bench_fairness(seed: int) -> list[Row]:
    """Measure how far from its weighted share each account is served."""
    rows = []
    capacity = measure_capacity(seed, shared_prompts=True)
    for entries, even in ((6, True), (6, False), (24, True), (24, False)):
        accounts = fairness_accounts(entries, even=even)
        for admission, shares in ((False, False), (True, False), (True, True)):
            setup = Setup(
                seed,
                entries=entries,
                admission=admission,
                shares=shares,
                accounts=accounts,
            )
            ratios = served_ratios(setup, capacity)
            worst = max(abs(ratio - 1) for ratio in ratios.values())
            policy = 'none'
            if admission:
                policy = 'fleet shares' if shares else 'each entry alone'
            spread = 'even' if even else 'skewed'
            row = Row('fairness', f'{policy}, {entries} entries, {spread}')
            row.figures = {
                'worst_deviation': round(worst, 3),
                'greedy_ratio': round(ratios['greedy'], 3),
                'least_ratio': round(min(ratios.values()), 3),
                'most_ratio': round(max(ratios.values()), 3),
            }
            rows.append(row)
    return rows


def served_ratios(setup: Setup, capacity: float) -> dict[str, float]:
    """Return what each account is served, by its weighted share."""
    weights = sum(account.weight for account in setup.accounts)
    offered = sum(account.rate_share for account in setup.accounts) / weights
    fleet = Fleet(setup)
    fleet.run(offered * capacity, WARM_UP_S + FAIRNESS_S)
    served = Counter(
        job.account
        for job in fleet.jobs
        if job.end_s is not None and job.end_s > WARM_UP_S
    )
    total = served.total()
    return {
        account.name: served[account.name] / (total * account.weight / weights)
        for account in setup.accounts
    }


def bench_overload(seed: int) -> list[Row]:
    """Measure goodput at three times the capacity, and the recovery."""
    rows = []
    capacity = measure_capacity(seed, shared_prompts=True)
    accounts = (
        Account('captions', 1.0, 0.3, priority=0),
        Account('summaries', 1.0, 0.7, priority=2),
    )
    for entries in (6, 24):
        for admission, shares in ((False, False), (True, False), (True, True)):
            setup = Setup(
                seed,
                entries=entries,
                admission=admission,
                shares=shares,
                accounts=accounts,
            )
            fleet = Fleet(setup)
            for load in (0.7, 1.0, 3.0, 0.7):
                fleet.run(load * capacity, PHASE_S)
            settle_s = DRAIN_S
            full = fleet.between(PHASE_S + settle_s, 2 * PHASE_S)
            over = fleet.between(2 * PHASE_S + settle_s, 3 * PHASE_S)
            captions = [job for job in over if job.account == 'captions']
            captions = [job for job in captions if not job.refused]
            length_s = PHASE_S - settle_s
            at_capacity = good_rate(full, length_s)
            policy = 'no admission'
            if admission:
                policy = 'fleet shares' if shares else 'each entry alone'
            row = Row('overload', f'{policy}, {entries} entries')
            row.figures = {
                'goodput_at_capacity': round(at_capacity, 1),
                'goodput_ratio': round(
                    good_rate(over, length_s) / at_capacity, 3
                ),
                'caption_p95_ms': first_token_ms(captions),
            }
            row.figures |= recovery(
                fleet,
                (settle_s, PHASE_S),
                3 * PHASE_S,
            )
            rows.append(row)
    return rows


def bench_outage(seed: int) -> list[Row]:
    """Lose the whole pool for a while, with and without retry budget."""
    rows = []
    capacity = measure_capacity(seed, shared_prompts=True)
    for entries in (6, 24):
        for budget in (False, True):
            setup = Setup(seed, entries=entries, admission=True, budget=budget)
            fleet = Fleet(setup)
            fleet.run(0.7 * capacity, PHASE_S)
            fleet.break_pool()
            fleet.run(0.7 * capacity, OUTAGE_S)
            during = len(fleet.between(PHASE_S, PHASE_S + OUTAGE_S))
            during_retries = fleet.retries
            fleet.mend_pool()
            fleet.run(0.7 * capacity, PHASE_S)
            name = 'budget' if budget else 'three tries each'
            row = Row('pool lost', f'{name}, {entries} entries')
            row.figures = {
                'retry_share': round(fleet.retries / len(fleet.jobs), 4),
                'retry_share_while_lost': round(during_retries / during, 4),
            }
            row.figures |= recovery(
                fleet,
                (DRAIN_S, PHASE_S),
                PHASE_S + OUTAGE_S,
            )
            rows.append(row)
    return rows


def bench_signs(seed: int) -> list[Row]:
    """Tell overloads to all entries or not, with two slow replicas."""
    rows = []
    rate = 0.8 * measure_capacity(seed, shared_prompts=True)
    for lag_s in (REPORT_LAG_S, 3.0):
        for entries in (6, 24):
            for signs in (False, True):
                setup = Setup(
                    seed,
                    entries=entries,
                    signs=signs,
                    report_lag_s=lag_s,
                    slow_engines=2,
                )
                fleet = Fleet(setup)
                fleet.run(rate, WARM_UP_S + STEADY_S + DRAIN_S)
                jobs = fleet.between(WARM_UP_S, WARM_UP_S + STEADY_S)
                state = 'on' if signs else 'off'
                name = f'signs {state}, {entries} entries, lag {lag_s} s'
                row = Row('signs', name)
                row.figures = {
                    'p50_ms': first_token_ms(jobs, 0.5),
                    'p95_ms': first_token_ms(jobs),
                    'p99_ms': first_token_ms(jobs, 0.99),
                }
                rows.append(row)
    return rows


PARTS = {
    'choice': bench_choice,
    'fairness': bench_fairness,
    'overload': bench_overload,
    'outage': bench_outage,
    'signs': bench_signs,
    'cost': bench_cost,
}


def print_rows(rows: list[Row]) -> None:
    """Print a table, and all rows as one JSON object in the last line."""
    for row in rows:
        figures = ' '.join(
            f'{name}={figure}' for name, figure in row.figures.items()
        )
        print(f'{row.part:10} {row.name:45} {figures}')
    results = [
        {'part': row.part, 'name': row.name} | row.figures for row in rows
    ]
    print(json.dumps({'seed': _SEED.value, 'results': results}))


def main(_: list[str]) -> None:
    """Run all parts, or the one asked for."""
    rows = []
    if _ONLY.value not in {'', *PARTS}:
        allowed = ', '.join(PARTS)
        raise app.UsageError(
            f'--only: found {_ONLY.value!r}, allowed are {allowed}'
        )
    for name, bench in PARTS.items():
        if _ONLY.value in ('', name):
            rows.extend(bench(_SEED.value))
    print_rows(rows)


if __name__ == '__main__':
    app.run(main)
