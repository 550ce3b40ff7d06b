"""An order whose acknowledgement was lost is sent again after a newer one.

The operator orders one version. The acknowledgement is lost on its way, and
before the operator sends the order again, the next version is ordered and
acknowledged. All processes are killed after the last acknowledgement, and
started again.
"""

import asyncio
import contextlib
import itertools
import json
import sys
import time
from http import HTTPStatus

from system_3 import HOST, KEY, ZONES, Replica, System, play

_SERVICE = 'studio-app'
_OLDER = 'v2'
_NEWER = 'v3'
_DURATION_S = 24
# How long the replicas of a version take to start.
_START_S = 1.0
# When the newer version is ordered, and the older one again.
_NEXT_S = 0.5
_RESEND_S = 1.0
_DOWN_S = 1.2
_WATCH_S = 30.0
_PAUSE_S = 0.05
_READ_PAUSE_S = 0.5
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
    """Return whether the newer order is gone."""
    record = system.record
    callers = asyncio.create_task(_ask_on(system))
    begin_s = time.monotonic()
    await _order(system, _OLDER, system.controls[0], is_lost=has_trouble)
    await _read(system)
    await asyncio.sleep(begin_s + _NEXT_S - time.monotonic())
    await _order(system, _NEWER, system.controls[1])
    await _read(system)
    if has_trouble:
        await asyncio.sleep(begin_s + _RESEND_S - time.monotonic())
        await _order(system, _OLDER, system.controls[2])
    record.add('all processes are killed')
    starting = asyncio.create_task(_start_replicas(system))
    await system.kill_all(_DOWN_S)
    targets = await _read_targets(system)
    await starting
    callers.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await callers
    record.add(f'targets read back after the fault: {targets}')
    return bool(targets) and _NEWER not in targets


async def _order(
    system: System, target: str, host: str, *, is_lost: bool = False
) -> None:
    """Send an order to a node; its answer may be lost on the way."""
    order = {
        'service': _SERVICE,
        'target': target,
        'deadline_s': _DURATION_S,
    }
    answer = await system.ask_control(host, 'POST', 'software-rollouts', order)
    if answer is None or answer.status != HTTPStatus.OK:
        raise TimeoutError('an order was not acknowledged')
    fate = 'lost on its way' if is_lost else 'read by the operator'
    system.record.add(f'{target} is ordered: the 200 is {fate}')


async def _read(system: System) -> str:
    """Return what is read of the roll-out, empty without an answer."""
    page = f'software-rollouts/{_SERVICE}'
    answer = await system.operate('GET', page)
    if answer is None or answer.status != HTTPStatus.OK:
        return ''
    content = json.loads(answer.body)
    system.record.add(f'read: {content["target"]} {content["state"]}')
    return content['target']


async def _read_targets(system: System) -> list[str]:
    """Read for longer than the roll-out may take; return each target."""
    targets = set()
    limit_s = time.monotonic() + _WATCH_S
    while time.monotonic() < limit_s:
        targets.add(await _read(system))
        await asyncio.sleep(_READ_PAUSE_S)
    return sorted(targets - {''})


async def _start_replicas(system: System) -> None:
    """Start the replicas of both versions, as the platform does."""
    await asyncio.sleep(_START_S)
    for software in (_OLDER, _NEWER):
        for zone in ZONES:
            name = f'{software}-{zone}'
            await system.add(Replica(name, _SERVICE, zone, software=software))
    system.record.add('the replicas of both versions are up')


async def _ask_on(system: System) -> None:
    """Ask all entries, some twenty times a second together."""
    for number in itertools.count():
        host = system.entries[number % len(system.entries)]
        asking = system.call(host, '/look/x', f'look-{number}')
        await asyncio.gather(asking, asyncio.sleep(_PAUSE_S))


if __name__ == '__main__':
    old_version = [Replica(f'i-{zone}', _SERVICE, zone) for zone in ZONES]
    sys.exit(play(play_case, old_version, DOCUMENT))
