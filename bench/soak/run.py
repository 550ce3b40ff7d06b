"""One run of the soak, from the start of all processes to the checks."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Awaitable
from dataclasses import dataclass
from pathlib import Path

from bench.platform_system import (
    CONTROLS,
    PlatformSystem,
    entry_hosts,
    fetch,
)
from bench.soak.callers import Callers
from bench.soak.faults import Striker
from bench.soak.operators import Operator
from bench.soak.promises import Broken, Record, check_all
from bench.soak.replicas import Slots
from bench.soak.schedule import Fault, Fleet, calm_spans, draw

# A host is in touch when nothing struck it for so long: connectivity_ms of
# the users' sheets.
_SETTLE_S = 3.0
# After the last fault: back in service within this, then a calm end.
_RECOVERY_S = 12.0
_CALM_END_S = 4.0
_CALLERS_BY_ENTRY = 6
_ATTEMPTS = 3
_READY_PAUSE_S = 1.0
_MISSES = 2
_OK = 200


@dataclass(slots=True)
class SoakResult:
    """What a run found."""

    seed: int
    faults: list[Fault]
    record: Record
    broken: list[Broken]

    def line(self) -> str:
        """Return the run as one line of the report."""
        calls = self.record.calls
        served = sum(call.is_served for call in calls)
        calm_s = sum(end_s - begin_s for begin_s, end_s in self.record.calm)
        return (
            f'seed {self.seed}: {len(self.faults)} faults, {len(calls)} '
            f'requests, {served} served, {calm_s:.0f} s calm, '
            f'{len(self.record.readings)} readings, '
            f'{len(self.broken)} broken'
        )


class Balancer:
    """Uses entries that say they are ready, as the platform does."""

    def __init__(self, system: PlatformSystem) -> None:
        """Start with all in rotation."""
        self._system = system
        self._misses = dict.fromkeys(system.entries, 0)

    def hosts(self) -> list[str]:
        """Return the entries in rotation, all of them if none is."""
        ready = [
            host for host, count in self._misses.items() if count < _MISSES
        ]
        return ready or list(self._misses)

    async def run(self) -> None:
        """Ask each entry once a second until cancelled."""
        await asyncio.gather(*(self._ask(host) for host in self._misses))

    async def _ask(self, host: str) -> None:
        while True:
            url = f'http://{host}:{self._system.ready}/readyz'
            status, _ = await fetch(url)
            is_ready = status == _OK
            self._misses[host] = 0 if is_ready else self._misses[host] + 1
            await asyncio.sleep(_READY_PAUSE_S)


async def soak(
    seed: int, duration_s: float, folder: Path, fleet: Fleet
) -> SoakResult:
    """Play the faults of a seed for some seconds and check the promises."""
    faults = draw(seed, duration_s, fleet)
    record = Record()
    slots = Slots(fleet.replicas)
    system = PlatformSystem(folder, slots.listed(), entry_hosts(fleet.entries))
    slots.use(system.list)
    for route in system.document['routes']:
        # The most that may be tried: what may not repeat is never the route's
        # number of attempts alone.
        route['attempts_limit'] = _ATTEMPTS
    record.events = slots.at(0).events
    try:
        async with system:
            begun_s = asyncio.get_running_loop().time()
            await _play(system, slots, record, faults, seed)
    finally:
        await slots.stop()
    record.arrivals = list(
        itertools.chain.from_iterable(
            replica.arrivals(begun_s) for replica in slots.all
        )
    )
    record.arrivals = [
        one for one in record.arrivals if one.attempt_id.startswith('s')
    ]
    return SoakResult(seed, faults, record, check_all(record))


async def _play(
    system: PlatformSystem,
    slots: Slots,
    record: Record,
    faults: list[Fault],
    seed: int,
) -> None:
    loop = asyncio.get_running_loop()
    begun_s = loop.time()

    def now() -> float:
        return loop.time() - begun_s

    rng = random.Random(f'{seed} operator')
    operator = Operator(system, record, rng, now)
    balancer = Balancer(system)
    callers = Callers(
        record, balancer.hosts, operator.key, system.callers, seed
    )
    striker = Striker(system, slots, operator, record, rng, now)
    calling = asyncio.create_task(
        callers.run(_CALLERS_BY_ENTRY * len(system.entries))
    )
    beside = [
        asyncio.create_task(work())
        for work in (balancer.run, operator.read_on, striker.watch)
    ]
    try:
        await _unless_late(record, 'an order', striker.play(faults))
        await _unless_late(record, 'a process', _recover(system))
        await asyncio.sleep(_SETTLE_S + _CALM_END_S)
        record.calm = calm_spans(striker.spans, now(), _SETTLE_S)
        await _stop([calling])
        for host in CONTROLS:
            await operator.read(host)
    finally:
        await _stop([calling, *beside])


async def _unless_late(
    record: Record, what: str, work: Awaitable[None]
) -> None:
    """Note what did not end in its time as a broken promise."""
    try:
        await work
    except TimeoutError as error:
        record.failures.append(f'{what} was not done in time: {error}')


async def _recover(system: PlatformSystem) -> None:
    """Wait until all are back; raises `TimeoutError` if they are not."""
    async with asyncio.timeout(_RECOVERY_S):
        for host in system.entries:
            await system.until_ready(host)
        for host in CONTROLS:
            await system.until_control_ready(host)


async def _stop(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    for task in tasks:
        with contextlib.suppress(asyncio.CancelledError):
            await task
