"""The state machine of control alone: bills, snapshots, configuration."""

import gc
import os
import random
import time
from pathlib import Path
from typing import Any

import orjson

from bench.capacity.fits import fit_rows
from bench.capacity.samples import resident_bytes
from bench.layouts import (
    LARGE,
    POOL,
    SALT,
    SMALL,
    SMALL_LAYOUT,
    first_configuration,
)
from snipebridge.controllers.state_machine import (
    ControlStateMachine,
    make_control_state_machine,
)
from snipebridge.controllers.view import make_view
from snipebridge.keys import make_key_hash
from snipebridge.rpc.commands_pb2 import BillCommand, Command, CommandResult
from snipebridge.settings.models import ControlSettings

_BILL_COUNTS = (10_000, 50_000, 200_000, 500_000)
_UPSTREAM_COUNTS = (10, 100, 340, 690)
_SMALL_PATCHES = 5
_NOW_MS = 1_800_000_000_000
_MS_PER_S = 1000
_US_PER_S = 1_000_000
_DATA_CENTRES = 7
_ID_BITS = 128
_MANY_ACCOUNTS = 20


async def measure_machine(folder: Path, seed: int) -> dict[str, Any]:
    """Apply commands to a machine, without a log."""
    ledger = _measure_ledger(random.Random(seed))
    configuration = [
        _measure_configuration(count) for count in _UPSTREAM_COUNTS
    ]
    for row in (*ledger, *configuration):
        print(row, flush=True)
    return {
        'ledger': ledger,
        'configuration': configuration,
        'fits': [
            *(
                fit_rows(ledger, 'bills', name)
                for name in (
                    'resident_bytes',
                    'kept_bills_bytes',
                    'snapshot_bytes',
                    'snapshot_s',
                    'restore_s',
                )
            ),
            *(
                fit_rows(configuration, 'upstreams', name)
                for name in (
                    'body_bytes',
                    'first_patch_ms',
                    'small_patch_ms',
                    'view_ms',
                )
            ),
        ],
    }


def make_bill(rng: random.Random, number: int) -> Command:
    """Return the bill of one request, with ids as the entries make them."""
    bill = BillCommand(
        account=f'account-{number % _MANY_ACCOUNTS:02}',
        request_id=f'{rng.getrandbits(_ID_BITS):032x}',
        version=SMALL,
        upstream=f'engine-{rng.randrange(690)}',
        prompt_tokens=rng.randrange(100, 4000),
        completion_tokens=rng.randrange(10, 800),
        cost_micros=rng.randrange(1000, 80_000),
        outcome='complete',
        entry=f'entry-{rng.randrange(340)}',
        finished_at_ms=_NOW_MS + number,
        internal_cost_micros=rng.randrange(1000, 80_000),
    )
    return Command(proposed_at_ms=_NOW_MS + number, bill=bill)


def many_upstreams(count: int, url: str = 'http://127.0.0.1:9') -> dict:
    """Return engines as the configuration names them."""
    return {
        f'engine-{number:03}': {
            'kind': 'engine',
            'url': f'{url}{number:03}',
            'data_centre': f'dc-{number % _DATA_CENTRES}',
            'pool': POOL,
            'versions': [SMALL, LARGE],
            'slots': 8,
            'checks_fencing': True,
            'state': 'live',
        }
        for number in range(count)
    }


def _measure_ledger(rng: random.Random) -> list[dict[str, Any]]:
    machine = make_control_state_machine(ControlSettings())
    pid = os.getpid()
    gc.collect()
    empty_bytes = resident_bytes(pid)
    rows = []
    applied = 0
    for count in _BILL_COUNTS:
        cpu_s = 0.0
        log_bytes = 0
        added = count - applied
        while applied < count:
            command = make_bill(rng, applied)
            applied += 1
            log_bytes += command.ByteSize()
            begun_s = time.process_time()
            machine.apply(applied, command)
            cpu_s += time.process_time() - begun_s
        gc.collect()
        rows.append(
            {
                'bills': count,
                'apply_us': round(cpu_s / added * _US_PER_S, 1),
                'command_bytes': round(log_bytes / added, 1),
                'resident_bytes': resident_bytes(pid) - empty_bytes,
                'kept_bills_bytes': machine.ledger.bills.retained_bytes(),
                **_measure_snapshot(machine),
            }
        )
    return rows


def _measure_snapshot(machine: ControlStateMachine) -> dict[str, float]:
    begun_s = time.process_time()
    snapshot = machine.snapshot()
    made_s = time.process_time()
    make_control_state_machine(ControlSettings()).restore(snapshot)
    return {
        'snapshot_bytes': len(snapshot),
        'snapshot_s': round(made_s - begun_s, 4),
        'restore_s': round(time.process_time() - made_s, 4),
    }


def _measure_configuration(count: int) -> dict[str, Any]:
    machine = make_control_state_machine(ControlSettings())
    hashes = {
        name: make_key_hash(f'{name}.secret', SALT)
        for name in SMALL_LAYOUT.accounts
    }
    first = first_configuration(SMALL_LAYOUT, hashes, many_upstreams(count))
    first_s = _apply_patch(machine, first, 0)
    small_s = [
        _apply_patch(
            machine, {'versions': {SMALL: {'prior_quality': 0.5 + n / 100}}}, n
        )
        for n in range(1, _SMALL_PATCHES + 1)
    ]
    body = machine.configuration.body()
    begun_s = time.process_time()
    make_view(machine.configuration.number, body)
    view_s = time.process_time() - begun_s
    return {
        'upstreams': count,
        'body_bytes': len(body),
        'first_patch_ms': round(first_s * _MS_PER_S, 2),
        'small_patch_ms': round(min(small_s) * _MS_PER_S, 2),
        'view_ms': round(view_s * _MS_PER_S, 2),
    }


def _apply_patch(machine: ControlStateMachine, patch: dict, base: int) -> float:
    command = Command(proposed_at_ms=_NOW_MS)
    command.patch.operator = 'admin'
    command.patch.idempotency_key = f'key-{base}'
    command.patch.base_number = base
    command.patch.patch = orjson.dumps(patch)
    begun_s = time.process_time()
    found = machine.apply(base + 1, command)
    spent_s = time.process_time() - begun_s
    if found.code != CommandResult.OK:
        raise ValueError(found.message)
    return spent_s
