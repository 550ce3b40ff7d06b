"""Runs one core: disk, network, machine and the callers that wait.

One task takes what the core has ready, syncs it in a thread, sends and
applies. While a sync is under way the core goes on taking messages and
proposals, so that the next sync carries all of them.
"""

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from snipebridge.clock import Clock
from snipebridge.consensus.core import Core
from snipebridge.consensus.errors import (
    NotLeaderError,
    OutcomeUnknownError,
    ReplicaFailedError,
)
from snipebridge.consensus.interfaces import StateMachine
from snipebridge.consensus.messages import ReadGrant, Ready, Snapshot
from snipebridge.consensus.storage import Storage
from snipebridge.consensus.transport import Transport
from snipebridge.consensus.validation import envelope_fault
from snipebridge.consensus.waiting import Barriers, Submissions
from snipebridge.logs import log_event
from snipebridge.rpc.commands_pb2 import Command
from snipebridge.rpc.consensus_pb2 import Envelope, LogEntry

TICKS_PER_HEARTBEAT = 3
TRAILING_SHARE = 4

OnFailure = Callable[[BaseException], None]


class Driver:
    """The core of one replica together with its inputs and outputs."""

    __slots__ = (
        '_clock',
        '_disk_thread',
        '_last_term',
        '_log_bytes',
        '_on_failure',
        '_snapshot_after_entries',
        '_storage',
        '_tasks',
        '_transport',
        '_wake',
        'applied_index',
        'barriers',
        'core',
        'failure',
        'last_proposed_at_ms',
        'machine',
        'submissions',
    )

    def __init__(
        self,
        core: Core,
        machine: StateMachine,
        storage: Storage,
        disk_thread: ThreadPoolExecutor,
        transport: Transport,
        clock: Clock,
        snapshot_after_entries: int,
        on_failure: OnFailure,
    ) -> None:
        """Keep the parts; the machine takes the recovered snapshot."""
        self.core = core
        self.machine = machine
        self.submissions = Submissions()
        self.barriers = Barriers()
        self.failure: BaseException | None = None
        self.last_proposed_at_ms = 0
        self.applied_index = core.applied_index
        self._storage = storage
        self._disk_thread = disk_thread
        self._transport = transport
        self._clock = clock
        self._snapshot_after_entries = snapshot_after_entries
        self._on_failure = on_failure
        self._wake = asyncio.Event()
        self._last_term = 0
        self._log_bytes = 0
        self._tasks: list[asyncio.Task] = []
        if core.state.snapshot is not None:
            machine.restore(core.state.snapshot.content)

    def start(self) -> None:
        """Begin to tick and to work; a sole member leads from here on."""
        self.core.tick(self._clock.monotonic_s())
        self.notice()
        self._tasks = [
            asyncio.create_task(self._guard(self._work())),
            asyncio.create_task(self._guard(self._tick())),
        ]

    async def stop(self) -> None:
        """Finish the sync under way and fail all that wait."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._fail_waiting('the replica stopped')

    def receive(self, envelope: Envelope) -> None:
        """Take a message from a peer; refuse one that no peer should send."""
        if self.failure is not None:
            return
        fault = envelope_fault(envelope, self.core.state.log.last_index)
        if fault:
            log_event(
                'message_refused',
                sender=envelope.sender,
                body=envelope.WhichOneof('body') or '',
                term=envelope.term,
                reason=fault,
            )
            return
        self._guarded(self.core.step, envelope, self._clock.monotonic_s())
        self.notice()

    def notice(self) -> None:
        """Let the work go on after the core was given something."""
        self._watch_leadership()
        for envelope in self.core.take_early_messages():
            self._transport.send(envelope)
        self._wake.set()

    def holds_lease(self) -> bool:
        """Tell whether this replica leads, and the machine is up to date."""
        return (
            self.failure is None
            and self.core.holds_lease(self._clock.monotonic_s())
            and self.applied_index >= self.core.term_start_index
        )

    def check_running(self) -> None:
        """Raise `ReplicaFailedError` after a failure."""
        if self.failure is not None:
            raise ReplicaFailedError(str(self.failure)) from self.failure

    def fail(self, error: BaseException) -> None:
        """Stop for good: what this replica holds can't be trusted."""
        if self.failure is not None:
            return
        self.failure = error
        for task in self._tasks:
            task.cancel()
        self._fail_waiting(f'the replica failed: {error}')
        self._on_failure(error)

    def _guarded(self, action, *arguments) -> None:
        try:
            action(*arguments)
        except Exception as error:
            self.fail(error)

    async def _guard(self, work) -> None:
        try:
            await work
        except Exception as error:
            self.fail(error)

    async def _tick(self) -> None:
        timing = self.core.state.timing
        interval_s = timing.heartbeat_interval_s / TICKS_PER_HEARTBEAT
        while True:
            self.core.tick(self._clock.monotonic_s())
            self.notice()
            await asyncio.sleep(interval_s)

    async def _work(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            ready = self.core.take_ready()
            while not ready.is_empty:
                await self._handle(ready)
                ready = self.core.take_ready()

    async def _handle(self, ready: Ready) -> None:
        self._send(ready.early_messages)
        if ready.needs_sync:
            await self._in_thread(self._storage.persist, ready)
        self.core.synced(ready)
        self._send(ready.messages)
        if ready.snapshot is not None:
            self.machine.restore(ready.snapshot.content)
            self.applied_index = ready.snapshot.last_index
        for entry in ready.committed:
            self._apply(entry)
        self._answer(ready.reads)
        self._watch_leadership()
        await self._save_snapshot()

    def _send(self, envelopes: list[Envelope]) -> None:
        for envelope in envelopes:
            self._transport.send(envelope)

    def _apply(self, entry: LogEntry) -> None:
        if entry.kind == LogEntry.COMMAND:
            self._log_bytes += len(entry.payload)
            command = Command.FromString(entry.payload)
            found = self.machine.apply(entry.index, command)
            self.last_proposed_at_ms = max(
                self.last_proposed_at_ms, command.proposed_at_ms
            )
            self.submissions.resolve(entry.index, entry.term, found)
        self.applied_index = entry.index

    def _answer(self, reads: list[ReadGrant]) -> None:
        for read in reads:
            if read.granted:
                self.barriers.grant(read.request, read.index)
            else:
                self.barriers.refuse(read.request, self.not_leader())
        self.barriers.reached(self.applied_index)

    def not_leader(self) -> NotLeaderError:
        """Return the error that tells where the leader is."""
        name = self.core.state.leader_name
        return NotLeaderError(name, self.core.address_of(name))

    async def _save_snapshot(self) -> None:
        state = self.core.state
        if not self._is_snapshot_due(state.snapshot):
            return
        self._log_bytes = 0
        snapshot = self.core.compact(
            self.machine.snapshot(),
            self._snapshot_after_entries // TRAILING_SHARE,
        )
        await self._in_thread(
            self._storage.save_snapshot, snapshot, state.log.start_index
        )

    def _is_snapshot_due(self, previous: Snapshot | None) -> bool:
        """Tell whether the log outgrew both the setting and the last one.

        A snapshot costs as much as the whole state, so it waits until the
        log behind it is as long: writing stays within twice the changes.
        """
        last = previous.last_index if previous else 0
        size_bytes = len(previous.content) if previous else 0
        return (
            self.core.applied_index - last >= self._snapshot_after_entries
            and self._log_bytes >= size_bytes
        )

    async def _in_thread(self, action, *arguments) -> None:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._disk_thread, action, *arguments)

    def _watch_leadership(self) -> None:
        """Fail submissions when the leadership they were made in is over."""
        term = self.core.state.term if self.core.is_leader else 0
        if term != self._last_term:
            self._last_term = term
            self.submissions.fail_all(
                OutcomeUnknownError('leadership was lost'),
            )

    def _fail_waiting(self, reason: str) -> None:
        self.submissions.fail_all(OutcomeUnknownError(reason))
        self.barriers.fail_all(self.not_leader())


def log_failure(error: BaseException) -> None:
    """Tell of a failure where nobody else listens."""
    logging.getLogger(__name__).critical(
        'the replica stopped: %s', error, exc_info=error
    )
