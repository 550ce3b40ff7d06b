"""A version is ordered again after its first roll-out ran out of time.

The first order leaves less time than the replicas of the version take to start,
so that it ends as reverted. Some seconds later the operator orders the same
version with more time. All processes are killed right after this order is
acknowledged, and started again.
"""

import asyncio
import contextlib
import itertools
import json
import sys
import time
from http import HTTPStatus

from system_3 import HOST, KEY, THRESHOLDS, ZONES, Replica, System, play

_SERVICE = 'studio-app'
_TARGET = 'v2'
_SHORT_S = 6
_USUAL_S = 24
# How long the replicas of the version take to start.
_START_S = 6.0
# Together with the time of the first roll-out more than `ack_timeout_ms`.
_AGAIN_S = 4.0
_REVERT_LIMIT_S = 12.0
_DOWN_S = 1.2
_WATCH_S = 30.0
_PAUSE_S = 0.1
_READ_PAUSE_S = 0.5
_MS_PER_S = 1000
_REVERTED = 'reverted'
DOCUMENT = {
    'version': 7,
    'routes': [
        {
            'name': 'r-look',
            'host': HOST,
            'path_prefix': '/look/',
            'kind': 'idempotent',
            'timeout_ms': 600,
            'objective_ms': 100,
            'service': _SERVICE,
            'attempts_limit': 2,
        },
    ],
    'services': [{'name': _SERVICE}],
    'accounts': [{'name': 'hule930', 'keys': [KEY]}],
}


async def play_case(system: System, has_trouble: bool) -> bool:
    """Return whether the second order is gone."""
    record = system.record
    callers = asyncio.create_task(_ask_on(system))
    if has_trouble:
        await _order(system, _SHORT_S)
        await _wait_until_reverted(system)
        await asyncio.sleep(_AGAIN_S)
    await _order(system, _USUAL_S)
    record.add('all processes are killed')
    await system.kill_all(_DOWN_S)
    starting = asyncio.create_task(_start_replicas(system))
    states = await _read_states(system)
    new = await starting
    callers.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await callers
    ran = sum(len(replica.runs) for replica in new)
    record.add(f'states read back after the fault: {states}')
    record.add(f'{ran} requests were run by the version since')
    return not ran and set(states) == {_REVERTED}


async def _order(system: System, duration_s: int) -> None:
    """Order the roll-out until it is acknowledged."""
    order = {
        'service': _SERVICE,
        'target': _TARGET,
        'deadline_s': duration_s,
    }
    limit_s = time.monotonic() + THRESHOLDS['ack_timeout_ms'] / _MS_PER_S
    while time.monotonic() < limit_s:
        answer = await system.operate('POST', 'software-rollouts', order)
        if answer is not None and answer.status == HTTPStatus.OK:
            text = answer.body.decode()
            system.record.add(f'order of {duration_s} s: 200 {text}')
            return
        await asyncio.sleep(_PAUSE_S)
    raise TimeoutError('an order was not acknowledged')


async def _read_state(system: System) -> str:
    page = f'software-rollouts/{_SERVICE}'
    answer = await system.operate('GET', page)
    if answer is None or answer.status != HTTPStatus.OK:
        return ''
    return json.loads(answer.body)['state']


async def _wait_until_reverted(system: System) -> None:
    async with asyncio.timeout(_REVERT_LIMIT_S):
        while await _read_state(system) != _REVERTED:
            await asyncio.sleep(_PAUSE_S)
    system.record.add('the first roll-out is reverted')


async def _read_states(system: System) -> list[str]:
    """Read the state again and again for longer than the roll-out may take."""
    states = []
    limit_s = time.monotonic() + _WATCH_S
    while time.monotonic() < limit_s:
        state = await _read_state(system)
        if state and states[-1:] != [state]:
            system.record.add(f'the state is {state}')
            states.append(state)
        await asyncio.sleep(_READ_PAUSE_S)
    return states


async def _start_replicas(system: System) -> list[Replica]:
    """Start the replicas of the target, as the platform does on an order."""
    await asyncio.sleep(_START_S)
    started = [
        Replica(f'n-{zone}', _SERVICE, zone, software=_TARGET) for zone in ZONES
    ]
    for replica in started:
        await system.add(replica)
    system.record.add('the replicas of the version are up')
    return started


async def _ask_on(system: System) -> None:
    """Ask all entries, some twenty times a second together."""
    for number in itertools.count():
        host = system.entries[number % len(system.entries)]
        asking = system.call(host, '/look/x', f'look-{number}')
        await asyncio.gather(asking, asyncio.sleep(_PAUSE_S / 2))


if __name__ == '__main__':
    old_version = [Replica(f'i-{zone}', _SERVICE, zone) for zone in ZONES]
    sys.exit(play(play_case, old_version, DOCUMENT))
