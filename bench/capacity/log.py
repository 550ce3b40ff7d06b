"""The replicated log: bills of many entries, and recovery by its length."""

import asyncio
import itertools
import os
import random
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from bench.capacity.fits import fit_rows
from bench.capacity.machine import make_bill
from bench.capacity.samples import take_sample, usage_between
from bench.capacity.system import (
    CONTROLS_ONLY,
    leader_and_follower,
    set_wall_time,
)
from bench.cluster import Cluster, ClusterOptions
from bench.nodes import Node
from snipebridge.consensus.replica import make_replica
from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.rpc.channels import make_channel
from snipebridge.rpc.control_pb2 import SubmitRequest
from snipebridge.rpc.control_pb2_grpc import ControlStub
from snipebridge.settings.models import (
    ControlSettings,
    PeerTlsSettings,
    ProcessSettings,
    Settings,
)

_RECOVERED_ENTRIES = (1000, 10_000, 50_000)
_RECOVERY_BATCH = 500
_MANY_ENTRIES = 10_000_000
_WINDOW_S = 5.0
_SUBMIT_TIMEOUT_S = 10.0
_US_PER_S = 1_000_000
_MS_PER_S = 1000
_SYNCS = 15
_SYNCED_BYTES = 512


@dataclass(frozen=True, slots=True)
class Rate:
    """An open load of submissions, or a closed one without a pause."""

    submits_per_s: float
    bills_per_submit: int
    callers: int = 0


_RATES = (
    Rate(50, 1),
    Rate(200, 1),
    Rate(50, 10),
    Rate(50, 40),
    Rate(200, 10),
    Rate(0, 1, callers=64),
    Rate(0, 100, callers=8),
)


async def measure_log(folder: Path, seed: int) -> dict[str, Any]:
    """Send bills to a log of three members, then recover logs alone."""
    bills = _BillSource(seed)
    options = ClusterOptions(seed=seed)
    async with Cluster(CONTROLS_ONLY, folder / 'log', options) as cluster:
        await cluster.start()
        rows = [await _measure_rate(cluster, bills, one) for one in _RATES]
    recovery = [
        await _measure_recovery(folder / f'recovery-{count}', bills, count)
        for count in _RECOVERED_ENTRIES
    ]
    return {
        'rates': rows,
        'recovery': recovery,
        'cost': [_fit_cost(rows, role) for role in ('leader', 'follower')],
        'fits': [
            fit_rows(recovery, 'log_entries', 'recovery_s'),
            fit_rows(recovery, 'log_entries', 'log_bytes'),
        ],
    }


class _BillSource:
    """Makes submissions of bills that were never sent before."""

    __slots__ = ('_numbers', '_rng')

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._numbers = itertools.count()

    def request(self, count: int) -> SubmitRequest:
        """Return a submission of new bills."""
        commands = [
            set_wall_time(make_bill(self._rng, next(self._numbers)))
            for _ in range(count)
        ]
        return SubmitRequest(entry='entry-1', commands=commands)


class _Load:
    """Sends submissions to the leader and counts the committed ones."""

    def __init__(self, leader: Node, bills: _BillSource, rate: Rate) -> None:
        self._channel = make_channel(leader.rpc_address, PeerTlsSettings())
        self._stub = ControlStub(self._channel)
        self._bills = bills
        self._rate = rate
        self.waits_s: list[float] = []

    async def run(self, duration_s: float) -> None:
        """Send for a time."""
        end_s = time.monotonic() + duration_s
        if self._rate.callers:
            await asyncio.gather(
                *(self._repeat(end_s) for _ in range(self._rate.callers))
            )
            return
        tasks = []
        due_s = time.monotonic()
        while due_s < end_s:
            await asyncio.sleep(max(0, due_s - time.monotonic()))
            tasks.append(asyncio.create_task(self._submit()))
            due_s += 1 / self._rate.submits_per_s
        await asyncio.gather(*tasks)

    async def close(self) -> None:
        """Close the channel."""
        await self._channel.close()

    async def _repeat(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await self._submit()

    async def _submit(self) -> None:
        request = self._bills.request(self._rate.bills_per_submit)
        begun_s = time.monotonic()
        reply = await self._stub.Submit(request, timeout=_SUBMIT_TIMEOUT_S)
        if reply.committed:
            self.waits_s.append(time.monotonic() - begun_s)


async def _measure_rate(
    cluster: Cluster, bills: _BillSource, rate: Rate
) -> dict[str, Any]:
    leader, follower = await leader_and_follower(cluster)
    load = _Load(leader, bills, rate)
    pids = (leader.process.pid, follower.process.pid)
    before = [take_sample(pid) for pid in pids]
    begun_s = time.monotonic()
    await load.run(_WINDOW_S)
    spent_s = time.monotonic() - begun_s
    used = [
        usage_between(sample, take_sample(pid))
        for sample, pid in zip(before, pids, strict=True)
    ]
    await load.close()
    sync_ms = _median_sync_ms(cluster.folder)
    waits_ms = np.asarray(load.waits_s) * _MS_PER_S
    bills_per_s = len(load.waits_s) * rate.bills_per_submit / spent_s
    row = {
        'submits_per_s': round(len(load.waits_s) / spent_s, 1),
        'bills_per_submit': rate.bills_per_submit,
        'callers': rate.callers,
        'bills_per_s': round(bills_per_s, 1),
        'leader_cpu_share': used[0].cpu_share,
        'follower_cpu_share': used[1].cpu_share,
        'leader_sent_bytes_per_bill': round(
            used[0].sent_bytes_per_s / bills_per_s
        ),
        'written_bytes_per_bill': round(
            used[1].written_bytes_per_s / bills_per_s
        ),
        'sync_p50_ms': sync_ms,
        'wait_p50_ms': round(float(np.percentile(waits_ms, 50)), 2),
        'wait_p95_ms': round(float(np.percentile(waits_ms, 95)), 2),
    }
    print(row, flush=True)
    return row


def _median_sync_ms(folder: Path) -> float:
    """Return how long the disk takes to sync a small write now."""
    spent_ms = []
    with (folder / 'sync').open('wb') as written:
        for _ in range(_SYNCS):
            written.write(bytes(_SYNCED_BYTES))
            written.flush()
            begun_s = time.monotonic()
            os.fsync(written.fileno())
            spent_ms.append((time.monotonic() - begun_s) * _MS_PER_S)
    return round(float(np.median(spent_ms)), 2)


def _fit_cost(rows: list[dict[str, Any]], role: str) -> dict[str, Any]:
    """Return the cost of a submission and of a bill in it."""
    open_rows = [row for row in rows if not row['callers']]
    rates = [[1, row['submits_per_s'], row['bills_per_s']] for row in open_rows]
    shares = [row[f'{role}_cpu_share'] for row in open_rows]
    idle, submit, bill = np.linalg.lstsq(
        np.asarray(rates), np.asarray(shares), rcond=None
    )[0]
    return {
        'role': role,
        'idle_cpu_share': round(float(idle), 4),
        'us_per_submit': round(float(submit) * _US_PER_S, 1),
        'us_per_bill': round(float(bill) * _US_PER_S, 1),
    }


async def _measure_recovery(
    folder: Path, bills: _BillSource, count: int
) -> dict[str, Any]:
    settings = Settings(
        ProcessSettings('control-1', 'dc-1', str(folder)),
        control=ControlSettings(snapshot_after_entries=_MANY_ENTRIES),
    )
    replica = make_replica(
        settings, make_control_state_machine(settings.control)
    )
    await replica.start()
    for _ in range(count // _RECOVERY_BATCH):
        request = bills.request(_RECOVERY_BATCH)
        await replica.submit(list(request.commands))
    await replica.stop()
    log_bytes = sum(
        path.stat().st_size for path in folder.glob('log-*.segment')
    )
    machine = make_control_state_machine(settings.control)
    replica = make_replica(settings, machine)
    begun_s = time.monotonic()
    await replica.start()
    recovery_s = time.monotonic() - begun_s
    recovered = machine.ledger.bills.last
    await replica.stop()
    row = {
        'log_entries': count,
        'recovered_bills': recovered,
        'log_bytes': log_bytes,
        'recovery_s': round(recovery_s, 3),
    }
    print(row, flush=True)
    return row
