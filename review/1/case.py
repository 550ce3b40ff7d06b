"""A planned replacement of a control machine, then the loss of one disk."""

import asyncio

from deployment import CONTROLS, Deployment, main

# The new machine, at a new address.
NEW = '127.0.4.4'
# Limits of the pages.
GRACE_S = 8.0
RECOVERY_S = 12.0
CONNECTIVITY_S = 3.0
# How long the new machine is up before the old one stops: over catch_up_s.
BESIDE_S = 6.0
# From the end of the old machine to the loss of another one's disk.
BETWEEN_S = 1.0
# How long the machine that lost its disk is down.
DOWN_S = 3.0
# How long the first start may take.
START_S = 30.0
REQUESTS = 20


async def play(system: Deployment, trouble: bool) -> bool:
    """Tell whether the acknowledged configuration can be read at the end."""
    await system.begin()
    first = await system.operate(
        'PUT', 'routing', system.document, CONTROLS, START_S
    )
    if first is None:
        raise TimeoutError('the first configuration was not acknowledged')
    for host in system.entries:
        await system.until_ready(host)
    old, lost, kept = CONTROLS
    nodes = CONTROLS
    if trouble:
        nodes = (lost, kept, NEW)
        system.start(NEW)
        await asyncio.sleep(BESIDE_S)
        await system.stop(old, GRACE_S)
        await asyncio.sleep(BETWEEN_S)
    change = {**system.document, 'version': 2}
    second = await system.operate('PUT', 'routing', change, nodes, 10)
    if second is None:
        raise TimeoutError('the second configuration was not acknowledged')
    if trouble:
        system.lose_disk(lost)
        await asyncio.sleep(DOWN_S)
        system.start(lost)
    await asyncio.sleep(RECOVERY_S)
    read = await system.operate(
        'GET', 'routing', None, nodes, CONNECTIVITY_S + RECOVERY_S
    )
    system.require((*nodes, *system.entries))
    served = await system.served('/look/x', REQUESTS)
    return read is not None and read['version'] == 2 and served > 0


if __name__ == '__main__':
    main(play)
