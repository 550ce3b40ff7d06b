"""The last client account of a configuration is taken away."""

import asyncio

from deployment import CONTROLS, Deployment, main

# The limit of the pages, and a second more.
REVOCATION_S = 5.0
AFTER_S = REVOCATION_S + 1.0
REQUESTS = 20
# How long the first start may take.
START_S = 30.0


async def play(system: Deployment, trouble: bool) -> bool:
    """Tell whether no request with a key that was taken away runs."""
    await system.begin()
    first = await system.operate(
        'PUT', 'routing', system.document, CONTROLS, START_S
    )
    if first is None:
        raise TimeoutError('the first configuration was not acknowledged')
    for host in system.entries:
        await system.until_ready(host)
    before = await system.served('/look/before', REQUESTS)
    unknown = await system.served('/look/x', 4, headers={'X-Key': 'unknown'})
    if before < REQUESTS or unknown:
        raise TimeoutError('keys did not work before the change')
    change = {**system.document, 'version': 2}
    if trouble:
        change['accounts'] = []
    if await system.operate('PUT', 'routing', change, CONTROLS, 10) is None:
        raise TimeoutError('the second configuration was not acknowledged')
    await asyncio.sleep(AFTER_S)
    await system.served('/look/after', REQUESTS)
    system.require((*CONTROLS, *system.entries))
    runs = [
        run
        for replica in system.replicas
        for run in replica.runs
        if run.target == '/look/after'
    ]
    return not trouble or not runs


if __name__ == '__main__':
    main(play)
