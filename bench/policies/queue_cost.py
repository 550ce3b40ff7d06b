"""The processor time of one decision on the books of a loaded run."""

import time

from bench.policies.event_loop import Action
from bench.policies.queue_figures import Row
from bench.policies.queue_fleet import (
    POOL,
    REPLICAS,
    VERSION,
    Account,
    Entry,
    Fleet,
    Setup,
)
from bench.policies.queues import SLOTS
from snipebridge.policy.admission import AdmissionRequest
from snipebridge.policy.replica_selection import ReplicaRequest

TIMED_RUNS = 20
_LOADED_S = 15.0


def best_time_s(action: Action) -> float:
    """Return the least processor time of several runs.

    On a shared machine the other runs tell of what else it does.
    """
    times_s = []
    for _ in range(TIMED_RUNS):
        start_s = time.process_time()
        action()
        times_s.append(time.process_time() - start_s)
    return min(times_s)


def decision_times_s(
    entry: Entry,
    requests: list[ReplicaRequest],
    accounts: int,
) -> tuple[float, float]:
    """Return the processor time of one choice and of one offer."""
    now_s = entry.loop.now_s
    offers = [
        AdmissionRequest(f'account-{turn % accounts}', 1.0, POOL)
        for turn in range(len(requests))
    ]

    def choose() -> None:
        for request in requests:
            entry.book.choose(request, now_s, entry.rng)

    def offer() -> None:
        for item in offers:
            entry.admission.offer(item, now_s)

    count = len(requests)
    return best_time_s(choose) / count, best_time_s(offer) / count


def bench_cost(seed: int) -> list[Row]:
    """Time one choice and one offer on the books of a loaded run."""
    rows = []
    for accounts in (10, 100):
        setup = Setup(
            seed,
            admission=True,
            shares=True,
            accounts=tuple(
                Account(f'account-{number}') for number in range(accounts)
            ),
        )
        fleet = Fleet(setup)
        fleet.run(1.5 * REPLICAS * SLOTS, _LOADED_S)
        entry = fleet.entries[0]
        requests = [
            ReplicaRequest(VERSION, job.prompt_tokens, job.prefixes)
            for job in fleet.jobs[-500:]
        ]
        choose_s, offer_s = decision_times_s(entry, requests, accounts)
        row = Row('cost', f'{accounts} accounts, {REPLICAS} replicas')
        row.figures = {
            'choose_us': round(choose_s * 1e6, 1),
            'offer_us': round(offer_s * 1e6, 1),
        }
        rows.append(row)
    return rows
