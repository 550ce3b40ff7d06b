"""Strikes processes, replicas and the way between them, and ends it again."""

import asyncio
import random
import shutil
from collections.abc import Awaitable, Callable, Sequence

from bench.platform_system import CONTROLS, PlatformSystem
from bench.processes import ChildProcess
from bench.soak.operators import Operator
from bench.soak.promises import Record
from bench.soak.replicas import SoakReplica, Slots
from bench.soak.schedule import Fault, FaultKind, Target

# Planned work, which must cost no caller anything.
_PLANNED = frozenset(
    (
        FaultKind.HANG_UP,
        FaultKind.REPLACE,
        FaultKind.CHANGE,
        FaultKind.RACE,
        FaultKind.BAD_CHANGE,
        FaultKind.REVOKE,
    )
)
_TERM_LIMIT_S = 10.0
_WATCH_S = 0.05
_REUSE_S = 2.0
# A draining replica goes on well after the promise, so that what is sent there
# too late still arrives and is seen.
_LINGER_S = 10.0
_TORN_BYTES = 37
_REPLICA_FLAGS = {
    FaultKind.FAIL: 'fails',
    FaultKind.REFUSE: 'is_full',
    FaultKind.LOSE_ANSWERS: 'loses_answers',
    FaultKind.CUT_ANSWERS: 'cuts_answers',
    FaultKind.ANSWER_TWICE: 'answers_twice',
    FaultKind.OTHER_ID: 'foreign_id',
}
_LINK_CHANGES = {
    FaultKind.DELAY: {'delay_s': 0.15},
    FaultKind.RESET: {'refuse': True},
    FaultKind.ONE_WAY: {'one_way': 'backward'},
    FaultKind.SILENCE: {'silence': True},
}
_BREAK_AFTER_EVENTS = 2


class Striker:
    """Applies the faults of a schedule to a running system."""

    def __init__(
        self,
        system: PlatformSystem,
        slots: Slots,
        operator: Operator,
        record: Record,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        """Keep what is struck."""
        self._system = system
        self._slots = slots
        self._operator = operator
        self._record = record
        self._rng = rng
        self._now = now
        # Processes by pid that were struck: their end is no surprise.
        self._struck_pids: set[int] = set()
        self.spans: list[tuple[float, float]] = []

    async def play(self, faults: Sequence[Fault]) -> None:
        """Strike all faults at their time; return when all have ended."""
        await asyncio.gather(*(self._play_one(fault) for fault in faults))

    async def watch(self) -> None:
        """Note processes that end by themselves, until cancelled."""
        while True:
            await asyncio.sleep(_WATCH_S)
            for host, process in self._system.processes.items():
                if process.is_alive or process.pid in self._struck_pids:
                    continue
                self._struck_pids.add(process.pid)
                now_s = self._now()
                self._record.own_ends.append(f'{host} at {now_s:.2f} s')
                self._system.start(host)

    async def _play_one(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - self._now()))
        begin_s = self._now()
        try:
            await self._strike(fault)
        finally:
            if fault.kind not in _PLANNED:
                self.spans.append((begin_s, self._now()))

    def _strike(self, fault: Fault) -> Awaitable[None]:
        if fault.target is Target.OPERATOR:
            return self._strike_operator(fault)
        if fault.target is Target.REPLICA:
            return self._strike_replica(fault)
        hosts = CONTROLS
        if fault.target is Target.ENTRY:
            hosts = self._system.entries
        return self._strike_process(hosts[fault.number], fault)

    async def _strike_operator(self, fault: Fault) -> None:
        if fault.kind is FaultKind.LIST_DOWN:
            self._system.list.is_down = True
            await asyncio.sleep(fault.for_s)
            self._system.list.is_down = False
            return
        actions = {
            FaultKind.CHANGE: self._operator.change,
            FaultKind.RACE: self._operator.race,
            FaultKind.BAD_CHANGE: self._operator.send_bad,
            FaultKind.REVOKE: self._operator.revoke,
        }
        await actions[fault.kind]()

    async def _strike_process(self, host: str, fault: Fault) -> None:
        process = self._system.processes[host]
        pid = process.pid
        if fault.kind is FaultKind.HANG_UP:
            process.hang_up()
            return
        self._struck_pids.add(pid)
        if fault.kind is FaultKind.FREEZE:
            process.freeze()
            await asyncio.sleep(fault.for_s)
            if process.pid == pid:
                process.thaw()
            return
        if fault.kind is FaultKind.TERM:
            process.terminate()
            await self._until_gone(process, pid)
        else:
            process.kill()
        self._harm_folder(host, fault.kind)
        await asyncio.sleep(fault.for_s)
        if not process.is_alive:
            self._system.start(host)

    async def _until_gone(self, process: ChildProcess, pid: int) -> None:
        until_s = self._now() + _TERM_LIMIT_S
        while process.is_alive and process.pid == pid:
            if self._now() > until_s:
                process.kill()
            await asyncio.sleep(_WATCH_S)

    def _harm_folder(self, host: str, kind: FaultKind) -> None:
        folder = self._system.folder / f'{host}.data'
        if kind is FaultKind.LOSE_FOLDER:
            shutil.rmtree(folder, ignore_errors=True)
        if kind is FaultKind.TEAR_TAIL and folder.exists():
            files = [path for path in folder.rglob('*') if path.is_file()]
            newest = max(files, key=lambda path: path.stat().st_mtime_ns)
            with newest.open('ab') as torn:
                torn.write(self._rng.randbytes(_TORN_BYTES))

    async def _strike_replica(self, fault: Fault) -> None:
        replica = self._slots.at(fault.number)
        if fault.kind is FaultKind.REPLACE:
            await self._replace(fault.number, replica)
        elif fault.kind is FaultKind.CRASH:
            await self._crash(fault.number, replica, fault.for_s)
        elif fault.kind in _LINK_CHANGES:
            await replica.proxy.change(dict(_LINK_CHANGES[fault.kind]))
            await asyncio.sleep(fault.for_s)
            await replica.proxy.change({'heal': True})
        elif fault.kind is FaultKind.BREAK_STREAMS:
            replica.faults.breaks_after_events = _BREAK_AFTER_EVENTS
            await asyncio.sleep(fault.for_s)
            replica.faults.breaks_after_events = 0
        else:
            setattr(replica.faults, _REPLICA_FLAGS[fault.kind], True)
            await asyncio.sleep(fault.for_s)
            setattr(replica.faults, _REPLICA_FLAGS[fault.kind], False)

    async def _replace(self, number: int, replica: SoakReplica) -> None:
        """Drain a replica, as the platform does, with a new one beside it."""
        if replica.state == 'draining':
            return
        await self._slots.renew(number)
        replica.state = 'draining'
        self._record.left_s[replica.name] = self._now()
        await asyncio.sleep(_LINGER_S)
        self._slots.unlist(replica)
        await replica.stop()

    async def _crash(
        self, number: int, replica: SoakReplica, listed_s: float
    ) -> None:
        """Lose a replica; its address is used again by the other service."""
        if replica.is_stopped:
            return
        await replica.stop()
        await asyncio.gather(
            self._unlist_later(number, replica, listed_s),
            self._reuse_later(replica),
        )

    async def _unlist_later(
        self, number: int, replica: SoakReplica, listed_s: float
    ) -> None:
        await asyncio.sleep(listed_s)
        self._record.left_s.setdefault(replica.name, self._now())
        self._slots.unlist(replica)
        if self._slots.at(number) is replica:
            await self._slots.renew(number)

    async def _reuse_later(self, replica: SoakReplica) -> None:
        """Give the address away, also while the list still has the old one."""
        await asyncio.sleep(_REUSE_S)
        await self._slots.add_at(replica.proxy_port, replica.other_service())
