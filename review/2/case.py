"""A control machine freezes while another one is about to be replaced."""

import asyncio

from deployment import CONTROLS, Deployment, main

# The new machine, at a new address.
NEW = '127.0.4.4'
# Limits of the pages.
CATCH_UP_S = 4.0
GRACE_S = 8.0
RECOVERY_S = 12.0
CONNECTIVITY_S = 3.0
# A freeze and the loss of a disk, within the doses of the site file.
FREEZE_S = 5.0
DOWN_S = 3.0
# Between two disruptions no machine is lost, and a second more passes.
BETWEEN_S = CATCH_UP_S + CONNECTIVITY_S + 1.0
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
    old, lost, frozen = CONTROLS
    nodes = CONTROLS
    if trouble:
        nodes = (lost, frozen, NEW)
        await _replace(system, old, frozen)
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


async def _replace(system: Deployment, old: str, frozen: str) -> None:
    """Replace a machine as planned; another one freezes before."""
    system.start(NEW)
    await asyncio.sleep(BETWEEN_S)
    system.processes[frozen].freeze()
    system.note(f'{frozen}: frozen')
    await asyncio.sleep(FREEZE_S)
    system.processes[frozen].thaw()
    system.note(f'{frozen}: thawed')
    await asyncio.sleep(BETWEEN_S)
    await system.stop(old, GRACE_S)
    await asyncio.sleep(BETWEEN_S)


if __name__ == '__main__':
    main(play)
