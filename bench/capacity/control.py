"""Control against the number of entries, the changes and a lost leader."""

import asyncio
import dataclasses
import time
from pathlib import Path
from typing import Any

from bench.capacity.fits import fit_rows
from bench.capacity.light import LightEntries
from bench.capacity.samples import Usage, take_sample, usage_between
from bench.capacity.system import CONTROLS_ONLY, leader_and_follower
from bench.cluster import Cluster, ClusterOptions
from bench.processes import BenchError, poll_until

_SIZES = (3, 6, 12, 24, 50, 150, 340)
_REAL_SIZES = (3, 6, 12)
_SETTLE_S = 2.0
_IDLE_S = 8.0
_CHANGE_INTERVAL_S = 10.0
_FAILOVER_SIZES = (24, 340)
_FAILOVERS = 3
_MS_PER_S = 1000
_HEARTBEATS_PER_S = 2.0
# With fewer of the heartbeats that are due, a size does not enter the lines.
_STEADY_SHARE = 0.95
_FAILOVER_TIMEOUT_S = 30.0


async def measure_control(folder: Path, seed: int) -> dict[str, Any]:
    """Grow light entries, then kill the leader three times."""
    real = await _measure_real(folder, seed)
    options = ClusterOptions(seed=seed)
    async with Cluster(CONTROLS_ONLY, folder / 'light', options) as cluster:
        await cluster.start()
        addresses = [node.rpc_address for node in cluster.controls.values()]
        light = LightEntries(addresses)
        try:
            rows = []
            failovers = []
            for count in _SIZES:
                rows.append(await _measure_size(cluster, light, count))
                if count in _FAILOVER_SIZES:
                    failovers.extend(await _measure_failovers(cluster, light))
        finally:
            await light.close()
    steady = [row for row in rows if row['steady']]
    return {
        'real_entries': real,
        'light_entries': rows,
        'failovers': failovers,
        'fits': [
            fit_rows(steady, 'entries', name)
            for name in (
                'leader_cpu_share',
                'leader_cpu_share_changing',
                'follower_cpu_share',
                'leader_resident_bytes',
                'leader_sent_bytes_per_s',
                'leader_received_bytes_per_s',
                'light_entry_ms_per_heartbeat',
                'reply_bytes',
                'entry_bytes_per_s',
                'change_seen_by_all_s',
            )
        ],
    }


async def _measure_real(folder: Path, seed: int) -> list[dict[str, Any]]:
    rows = []
    for count in _REAL_SIZES:
        layout = dataclasses.replace(CONTROLS_ONLY, entry_count=count)
        options = ClusterOptions(seed=seed)
        place = folder / f'real-{count}'
        async with Cluster(layout, place, options) as cluster:
            await cluster.start()
            await asyncio.sleep(_SETTLE_S)
            entry = cluster.entries['entry-1'].process.pid
            before = take_sample(entry)
            usages = await _use(cluster, _IDLE_S)
            after = usage_between(before, take_sample(entry))
        rows.append(
            {
                'entries': count,
                **_describe(usages, ''),
                'idle_entry_cpu_share': after.cpu_share,
                'idle_entry_resident_bytes': after.resident_bytes,
            }
        )
        print(rows[-1], flush=True)
    return rows


async def _measure_size(
    cluster: Cluster, light: LightEntries, count: int
) -> dict[str, Any]:
    await light.grow(count)
    await asyncio.sleep(_SETTLE_S)
    traffic = light.traffic
    before = dataclasses.replace(traffic)
    own_s = time.process_time()
    idle = await _use(cluster, _IDLE_S)
    own_s = time.process_time() - own_s
    beats = traffic.heartbeats - before.heartbeats
    sent = traffic.request_bytes - before.request_bytes
    got = traffic.reply_bytes - before.reply_bytes
    changing_task = asyncio.create_task(_use(cluster, _CHANGE_INTERVAL_S))
    try:
        change = await _change(cluster, light, count)
    except BenchError as error:
        change = {'fault': str(error)}
    changing = await changing_task
    lost = traffic.term - before.term
    due = count * _HEARTBEATS_PER_S * _IDLE_S
    row = {
        'entries': count,
        'leaders_lost': lost,
        'steady': not lost and beats >= due * _STEADY_SHARE,
        'light_cpu_share': round(own_s / _IDLE_S, 3),
        'heartbeats_per_s': round(beats / _IDLE_S, 1),
        'request_bytes': round(sent / beats),
        'reply_bytes': round(got / beats),
        'light_entry_ms_per_heartbeat': round(own_s / beats * _MS_PER_S, 3),
        'entry_bytes_per_s': round((sent + got) / _IDLE_S / count),
        **_describe(idle, ''),
        **_describe(changing, '_changing'),
        **change,
    }
    print(row, flush=True)
    return row


async def _change(
    cluster: Cluster, light: LightEntries, count: int
) -> dict[str, Any]:
    operator = cluster.operator
    begun_s = time.monotonic()
    weight = 1.0 + 1 / count
    number = await operator.must_patch(
        {'accounts': {'account-01': {'weight': weight}}}
    )
    patched_s = time.monotonic()
    await poll_until(
        lambda: len(light.seen(number)) >= count, 20.0, f'{number} at all'
    )
    seen_s = max(light.seen(number))
    await operator.wait_in_force(number)
    in_force_s = time.monotonic()
    spent_s = time.monotonic() - begun_s
    await asyncio.sleep(max(0, _CHANGE_INTERVAL_S - spent_s))
    return {
        'patch_s': round(patched_s - begun_s, 3),
        'change_seen_by_all_s': round(seen_s - begun_s, 3),
        'change_in_force_s': round(in_force_s - begun_s, 3),
    }


async def _measure_failovers(
    cluster: Cluster, light: LightEntries
) -> list[dict[str, float]]:
    return [await _measure_failover(cluster, light) for _ in range(_FAILOVERS)]


async def _measure_failover(
    cluster: Cluster, light: LightEntries
) -> dict[str, float]:
    leader = await cluster.leader()
    term = light.traffic.term
    killed_s = time.monotonic()
    leader.process.kill()
    await poll_until(
        lambda: light.traffic.term > term,
        _FAILOVER_TIMEOUT_S,
        'a lease by a new leader',
    )
    granted_s = time.monotonic()
    await leader.restart()
    found = {
        'entries': light.count,
        'first_lease_of_new_leader_s': round(granted_s - killed_s, 3),
        'restart_until_ready_s': round(time.monotonic() - granted_s, 3),
    }
    await asyncio.sleep(_SETTLE_S)
    print(found, flush=True)
    return found


async def _use(cluster: Cluster, duration_s: float) -> dict[str, Usage]:
    """Return the use of the leader, then of one follower."""
    nodes = await leader_and_follower(cluster)
    pids = [node.process.pid for node in nodes]
    before = [take_sample(pid) for pid in pids]
    await asyncio.sleep(duration_s)
    usages = [
        usage_between(sample, take_sample(pid))
        for sample, pid in zip(before, pids, strict=True)
    ]
    return dict(zip(('leader', 'follower'), usages, strict=True))


def _describe(usages: dict[str, Usage], suffix: str) -> dict[str, float]:
    return {
        f'{role}_{name}{suffix}': figure
        for role, usage in usages.items()
        for name, figure in dataclasses.asdict(usage).items()
    }
