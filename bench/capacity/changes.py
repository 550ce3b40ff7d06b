"""A change of a configuration of the size of letter 1, at many entries."""

import asyncio
import time
from pathlib import Path
from typing import Any

from bench.capacity.fits import fit_rows
from bench.capacity.light import LightEntries
from bench.capacity.machine import many_upstreams
from bench.capacity.samples import take_sample, usage_between
from bench.capacity.system import CONTROLS_ONLY
from bench.cluster import Cluster, ClusterOptions
from bench.processes import BenchError, poll_until

_SIZES = (24, 50, 150, 340)
_UPSTREAMS = 690
_CHANGES = 2
_SETTLE_S = 2.0
_WAIT_LIMIT_S = 30.0


async def measure_changes(folder: Path, seed: int) -> dict[str, Any]:
    """Send small patches of a large configuration to light entries."""
    options = ClusterOptions(seed=seed)
    async with Cluster(CONTROLS_ONLY, folder, options) as cluster:
        await cluster.start()
        # It would poll upstreams that nobody stands for.
        cluster.entries['entry-1'].process.kill()
        await cluster.operator.must_patch(
            {'upstreams': many_upstreams(_UPSTREAMS)}
        )
        addresses = [node.rpc_address for node in cluster.controls.values()]
        light = LightEntries(addresses)
        try:
            rows = [await _measure_size(cluster, light, n) for n in _SIZES]
        finally:
            await light.close()
    return {
        'large_changes': rows,
        'fits': [
            fit_rows(rows, 'entries', 'seen_by_all_s'),
            fit_rows(rows, 'entries', 'in_force_s'),
        ],
    }


async def _measure_size(
    cluster: Cluster, light: LightEntries, count: int
) -> dict[str, Any]:
    await light.grow(count)
    await asyncio.sleep(_SETTLE_S)
    leader = (await cluster.leader()).process.pid
    term = light.traffic.term
    before = take_sample(leader)
    changes = [await _change(cluster, light, n) for n in range(_CHANGES)]
    usage = usage_between(before, take_sample(leader))
    row = {
        'entries': count,
        'leaders_lost': light.traffic.term - term,
        'leader_cpu_share': usage.cpu_share,
        'leader_resident_bytes': usage.resident_bytes,
        'leader_sent_bytes_per_s': usage.sent_bytes_per_s,
        'changes': changes,
        **{
            name: max(change[name] for change in changes)
            for name in ('patch_s', 'seen_by_all_s', 'in_force_s')
            if all(name in change for change in changes)
        },
    }
    print(row, flush=True)
    return row


async def _change(
    cluster: Cluster, light: LightEntries, turn: int
) -> dict[str, Any]:
    operator = cluster.operator
    begun_s = time.monotonic()
    weight = 1.0 + (turn + 1) / light.count
    number = await operator.must_patch(
        {'accounts': {'account-01': {'weight': weight}}}
    )
    patch_s = time.monotonic() - begun_s
    found = {'patch_s': round(patch_s, 3)}
    try:
        await poll_until(
            lambda: len(light.seen(number)) >= light.count,
            _WAIT_LIMIT_S,
            f'{number} at all entries',
        )
    except BenchError:
        return {**found, 'seen_by': len(light.seen(number))}
    seen_s = max(light.seen(number)) - begun_s
    await operator.wait_in_force(number)
    in_force_s = time.monotonic() - begun_s
    return {
        **found,
        'seen_by_all_s': round(seen_s, 3),
        'in_force_s': round(in_force_s, 3),
    }
