"""What a request, a chunk of a stream and an open stream cost an entry."""

import asyncio
import dataclasses
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from bench.capacity.fits import fit_rows
from bench.capacity.samples import resident_bytes, take_sample, usage_between
from bench.cluster import Cluster, ClusterOptions
from bench.figures import percentiles
from bench.layouts import SMALL, SMALL_LAYOUT, EngineSpeed, TaskMix
from bench.load import Caller, Target
from bench.plans import chat_request
from bench.records import Outcome, PlannedRequest

_WINDOW_S = 8.0
_SETTLE_S = 2.0
_US_PER_S = 1_000_000
_OPEN_STREAMS = (0, 50, 100, 200)
_OPEN_TOKENS = 30
_OPEN_WAIT_S = 7.0

_FAST = dataclasses.replace(
    SMALL_LAYOUT,
    name='relay',
    entry_count=1,
    service_replicas=1,
    engine=EngineSpeed(
        slots=64, decode_ms_per_token=10.0, batch_growth=0.0, large_factor=1.0
    ),
)
_SLOW = dataclasses.replace(
    _FAST,
    name='open-streams',
    engine=EngineSpeed(
        slots=256, decode_ms_per_token=500.0, batch_growth=0.0, large_factor=1.0
    ),
)


@dataclass(frozen=True, slots=True)
class Load:
    """A steady load of streamed requests of one length."""

    requests_per_s: float
    tokens: int


_LOADS = (Load(4, 16), Load(16, 16), Load(4, 200), Load(10, 100))


async def measure_relay(folder: Path, seed: int) -> dict[str, Any]:
    """Load one entry with real engines behind it."""
    options = ClusterOptions(seed=seed)
    async with Cluster(_FAST, folder / 'fast', options) as cluster:
        await cluster.start()
        rows = [await _measure_load(cluster, one) for one in _LOADS]
    async with Cluster(_SLOW, folder / 'slow', options) as cluster:
        await cluster.start()
        streams = [await _measure_open(cluster, n) for n in _OPEN_STREAMS]
    return {
        'loads': rows,
        'open_streams': streams,
        'cost': _fit_cost(rows),
        'fits': [fit_rows(streams, 'streams', 'resident_bytes')],
    }


async def _measure_load(cluster: Cluster, load: Load) -> dict[str, Any]:
    caller = _make_caller(cluster)
    count = int(load.requests_per_s * (_WINDOW_S + 2 * _SETTLE_S))
    requests = _plan(f'{load.requests_per_s}-{load.tokens}', count, load.tokens)
    for number, request in enumerate(requests):
        request.at_s = number / load.requests_per_s
    running = asyncio.create_task(caller.run(requests, resends=0))
    await asyncio.sleep(_SETTLE_S)
    pid = cluster.entries['entry-1'].process.pid
    ended, chunks = _counts(caller)
    before = take_sample(pid)
    await asyncio.sleep(_WINDOW_S)
    usage = usage_between(before, take_sample(pid))
    ended_after, chunks_after = _counts(caller)
    await running
    caller.close()
    answered = [
        call for call in caller.calls if call.outcome == Outcome.ANSWERED
    ]
    row = {
        'tokens': load.tokens,
        'sent': len(caller.calls),
        'answered': len(answered),
        'requests_per_s': (ended_after - ended) / _WINDOW_S,
        'chunks_per_s': (chunks_after - chunks) / _WINDOW_S,
        'cpu_share': usage.cpu_share,
        'resident_bytes': usage.resident_bytes,
        'first_token_ms': percentiles(
            [call.first_token_ms for call in answered]
        ),
    }
    print(row, flush=True)
    return row


async def _measure_open(cluster: Cluster, count: int) -> dict[str, Any]:
    caller = _make_caller(cluster)
    requests = _plan(f'open-{count}', count, _OPEN_TOKENS)
    running = asyncio.create_task(caller.run(requests, resends=0))
    await asyncio.sleep(_OPEN_WAIT_S)
    pid = cluster.entries['entry-1'].process.pid
    begun = [call for call in caller.calls if call.first_token_ms]
    row = {
        'asked': count,
        'streams': len([call for call in begun if not call.ended_at_ms]),
        'resident_bytes': resident_bytes(pid),
    }
    await running
    caller.close()
    print(row, flush=True)
    return row


def _make_caller(cluster: Cluster) -> Caller:
    entry = cluster.entries['entry-1']
    return Caller(cluster.keys, [Target(entry.name, entry.url)])


def _plan(name: str, count: int, tokens: int) -> list[PlannedRequest]:
    task = TaskMix('memo', 1.0, 200, tokens, 1, 0.98)
    accounts = SMALL_LAYOUT.accounts
    return [
        chat_request(
            f'{name}-{number}',
            accounts[number % len(accounts)],
            task,
            model=SMALL,
        )
        for number in range(count)
    ]


def _counts(caller: Caller) -> tuple[int, int]:
    ended = sum(1 for call in caller.calls if call.ended_at_ms)
    return ended, sum(call.token_events for call in caller.calls)


def _fit_cost(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the cost of a request and of a chunk."""
    rates = [[1, row['requests_per_s'], row['chunks_per_s']] for row in rows]
    shares = [row['cpu_share'] for row in rows]
    idle, request, chunk = np.linalg.lstsq(
        np.asarray(rates), np.asarray(shares), rcond=None
    )[0]
    return [
        {
            'role': 'entry',
            'idle_cpu_share': round(float(idle), 4),
            'us_per_request': round(float(request) * _US_PER_S, 1),
            'us_per_chunk': round(float(chunk) * _US_PER_S, 1),
        }
    ]
