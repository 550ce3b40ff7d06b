"""Two tenants are one and the same to the replicas.

The operator adds two tenants whose names are not of Latin letters. Callers
book with their own keys, and the replica reads whose request it is.
"""

import asyncio
import copy

from bench.platform_system import ENTRIES
from fakes.platform_caller import read_answer, request_bytes
from fakes.platform_replica import PlatformReplica
from review.system_2 import ReviewSystem, main

_NAMES = ('福岡', '熊本')
_LATIN_NAMES = ('Fukuoka', 'Kumamoto')
_CONVERGENCE_S = 2.0
_ROUNDS = 20
_PAUSE_S = 0.05


async def _book(
    system: ReviewSystem, entry: str, key: str, attempt: str
) -> int:
    """Book with a key; return the status of the answer."""
    reader, writer = await asyncio.open_connection(entry, system.callers)
    headers = {'X-Attempt-Id': attempt, 'X-Key': key}
    writer.write(request_bytes('/book/x', 'POST', b'booking', headers))
    answer = await read_answer(reader)
    writer.close()
    return answer.status


async def _add_tenants(system: ReviewSystem, keys: dict[str, str]) -> None:
    document = copy.deepcopy(system.document)
    document['accounts'].extend(
        {'name': name, 'keys': [key]} for name, key in keys.items()
    )
    document['version'] += 1
    acknowledged = await system.put(document)
    system.note(f'operator added tenants {list(keys)}: {acknowledged}')


async def _book_for_all(
    system: ReviewSystem, keys: dict[str, str]
) -> dict[str, str]:
    """Return the tenant of each booking that was sent."""
    sent: dict[str, str] = {}
    for number in range(_ROUNDS):
        for name, key in keys.items():
            attempt = f'b{number}-{key}'
            entry = ENTRIES[number % len(ENTRIES)]
            status = await _book(system, entry, key, attempt)
            system.note(f'{attempt} of {name}: answered {status}')
            sent[attempt] = name
        await asyncio.sleep(_PAUSE_S)
    return sent


async def scenario(system: ReviewSystem, is_troubled: bool) -> bool:
    """Add the tenants, book for both, and compare what replicas were told."""
    names = _NAMES if is_troubled else _LATIN_NAMES
    keys = {name: f'key-{number}' for number, name in enumerate(names)}
    await _add_tenants(system, keys)
    await asyncio.sleep(_CONVERGENCE_S)
    sent = await _book_for_all(system, keys)
    told: dict[str, set[bytes]] = {name: set() for name in names}
    for one in system.replicas:
        for run in one.ran():
            tenant = run.headers.get('x-tenant', '')
            told[sent[run.attempt_id]].add(tenant.encode('latin1'))
    for name, tenants in told.items():
        system.note(f'replicas ran for {name} with X-Tenant {sorted(tenants)}')
    # Whatever the encoding, one value can't name two tenants.
    return not set.intersection(*told.values())


if __name__ == '__main__':
    main(
        scenario,
        [
            PlatformReplica('d0', 'desk', '127.0.0.1'),
            PlatformReplica('d1', 'desk', '127.0.0.1'),
            PlatformReplica('m0', 'models', '127.0.0.1'),
        ],
    )
