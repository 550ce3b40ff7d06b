"""A caller whose prompt has a part with a very large number of tokens.

Two connections of one client account ask one entry for one request after the
other, with such a part in the header that lists the parts of a prompt. The
service is a plain one, whose replicas make nothing of that header. Meanwhile
the operator moves another route to another service.
"""

import asyncio
import contextlib
import copy
import itertools
import sys
import time

from system_3 import HOST, KEY, THRESHOLDS, ZONES, Replica, System, play

_LARGE = 1_000_000_000_000
_USUAL = 2890
_CONNECTIONS = 2
# As long as the longest request of the service works.
_WORK_S = 0.1
_LEAD_S = 1.0
_WATCH_S = 8.0
_PAUSE_S = 0.25
_MS_PER_S = 1000
OLD = 'studio-app'
NEW = 'studio-two'
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
            'service': OLD,
            'attempts_limit': 2,
        },
        {
            'name': 'r-open',
            'host': HOST,
            'path_prefix': '/open/',
            'kind': 'idempotent',
            'timeout_ms': 600,
            'objective_ms': 100,
            'service': OLD,
            'attempts_limit': 2,
            'keyless': True,
        },
    ],
    'services': [{'name': OLD}, {'name': NEW}],
    'accounts': [{'name': 'hule930', 'keys': [KEY]}],
}


async def play_case(system: System, has_trouble: bool) -> bool:
    """Return whether an entry obeys the old configuration for too long."""
    record = system.record
    tokens = _LARGE if has_trouble else _USUAL
    callers = [
        asyncio.create_task(_ask_on(system, f'large-{one}', tokens))
        for one in range(_CONNECTIONS)
    ]
    record.add(f'a prompt part of {tokens} tokens is sent to one entry')
    await asyncio.sleep(_LEAD_S)
    document = copy.deepcopy(DOCUMENT)
    document['version'] += 1
    document['routes'][1]['service'] = NEW
    await system.put(document)
    await asyncio.sleep(THRESHOLDS['convergence_ms'] / _MS_PER_S)
    by_old = 0
    limit_s = time.monotonic() + _WATCH_S
    for number in itertools.count():
        if time.monotonic() > limit_s:
            break
        by_old += await _ask_all(system, number)
        await asyncio.sleep(_PAUSE_S)
    for caller in callers:
        caller.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*callers)
    record.add(f'{by_old} requests were run by the old service')
    for host in system.entries:
        name = system.programs[host].name
        record.add(f'{name} is ready: {await system.is_ready(host)}')
    return by_old > 0


async def _ask_all(system: System, number: int) -> int:
    """Ask each entry on both routes; count what the old service ran."""
    by_old = 0
    for place, host in enumerate(system.entries):
        name = f'{number}-{place}'
        opened = await system.call(host, '/open/x', f'open-{name}')
        looked = await system.call(host, '/look/x', f'look-{name}')
        text = opened.body.decode() if opened else 'no answer'
        status = looked.status if looked else 'no answer'
        system.record.add(f'open-{name}: {text}; look-{name}: {status}')
        by_old += text.startswith(OLD)
    return by_old


async def _ask_on(system: System, name: str, tokens: int) -> None:
    """Send one request after the other to the first entry."""
    for number in itertools.count():
        own_part = f'{number:x}{name[-1]}:{tokens}'
        parts = f'5c1e07a2:800,91bd3f06:410,{own_part}'
        await system.call(
            system.entries[0],
            '/look/large',
            f'{name}-{number}',
            {'X-Prefix-Hash': parts},
        )


def _replicas() -> list[Replica]:
    return [
        Replica(f'{service}-{zone}', service, zone, work_s=_WORK_S)
        for service in (OLD, NEW)
        for zone in ZONES
    ]


if __name__ == '__main__':
    sys.exit(play(play_case, _replicas(), DOCUMENT))
