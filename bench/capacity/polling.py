"""One entry against more and more replicas that report their load."""

import asyncio
import time
from pathlib import Path
from typing import Any

from bench.capacity.fits import fit_rows
from bench.capacity.machine import many_upstreams
from bench.capacity.replicas import replica_host
from bench.capacity.samples import take_sample, usage_between
from bench.capacity.system import CONTROLS_ONLY
from bench.cluster import Cluster, ClusterOptions
from bench.processes import ChildProcess, cpu_seconds, fetch_json, free_ports

_COUNTS = (10, 50, 150, 340, 690)
_POLLS_PER_REPLICA_S = 8.0
_SETTLE_S = 4.0
_WINDOW_S = 6.0
# Below this share of the polls that are due, the entry is at its limit.
_KEPT_UP_SHARE = 0.9


async def measure_polling(folder: Path, seed: int) -> dict[str, Any]:
    """Add replicas by patches; measure the entry after each."""
    options = ClusterOptions(seed=seed)
    async with Cluster(CONTROLS_ONLY, folder, options) as cluster:
        await cluster.start()
        port = free_ports(1)[0]
        process = cluster.processes.add(
            'replicas',
            [
                '-m',
                'bench.capacity.replicas',
                f'--replicas={max(_COUNTS)}',
                f'--port={port}',
            ],
        )
        process.start()
        await process.first_line()
        rows = [
            await _measure_count(cluster, process, port, n) for n in _COUNTS
        ]
    steady = [row for row in rows if row['kept_up']]
    fitted = steady if len(steady) > 1 else rows[:2]
    return {
        'polling': rows,
        'fits': [
            fit_rows(fitted, 'replicas', 'cpu_share'),
            fit_rows(rows, 'polls_per_s', 'cpu_share'),
            fit_rows(rows, 'replicas', 'resident_bytes'),
            fit_rows(rows, 'replicas', 'patch_s'),
            fit_rows(rows, 'replicas', 'small_change_in_force_s'),
        ],
    }


async def _measure_count(
    cluster: Cluster, replicas: ChildProcess, port: int, count: int
) -> dict[str, Any]:
    operator = cluster.operator
    upstreams = many_upstreams(count)
    for number, upstream in enumerate(upstreams.values()):
        upstream['url'] = f'http://{replica_host(number)}:{port}'
    begun_s = time.monotonic()
    patched = await operator.must_patch({'upstreams': upstreams})
    patch_s = time.monotonic() - begun_s
    await operator.wait_in_force(patched)
    in_force_s = time.monotonic() - begun_s
    small_s = await _small_change(cluster, count)
    await asyncio.sleep(_SETTLE_S)
    pid = cluster.entries['entry-1'].process.pid
    url = f'http://{replica_host(0)}:{port}/count'
    _, counted = await fetch_json(url)
    before = take_sample(pid)
    stand_in_s = cpu_seconds(replicas.pid)
    await asyncio.sleep(_WINDOW_S)
    usage = usage_between(before, take_sample(pid))
    stand_in_s = cpu_seconds(replicas.pid) - stand_in_s
    polls = (await fetch_json(url))[1]['answered'] - counted['answered']
    polls_per_s = round(polls / _WINDOW_S, 1)
    due_per_s = _POLLS_PER_REPLICA_S * count
    row = {
        'replicas': count,
        'polls_per_s': polls_per_s,
        'due_polls_per_s': due_per_s,
        'kept_up': polls_per_s >= due_per_s * _KEPT_UP_SHARE,
        'cpu_share': usage.cpu_share,
        'cpu_us_per_poll': round(usage.cpu_share / polls_per_s * 1e6),
        'stand_in_cpu_share': round(stand_in_s / _WINDOW_S, 3),
        'resident_bytes': usage.resident_bytes,
        'patch_s': round(patch_s, 3),
        'patch_in_force_s': round(in_force_s, 3),
        'small_change_in_force_s': round(small_s, 3),
    }
    print(row, flush=True)
    return row


async def _small_change(cluster: Cluster, count: int) -> float:
    operator = cluster.operator
    begun_s = time.monotonic()
    weight = 1.0 + count / 1000
    number = await operator.must_patch(
        {'accounts': {'account-01': {'weight': weight}}}
    )
    await operator.wait_in_force(number)
    return time.monotonic() - begun_s
