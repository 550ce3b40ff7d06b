"""One member of the replicated log, as the rest of control uses it.

>>> replica = make_replica(settings, machine)  # doctest: +SKIP
>>> replica.add_to_server(server)  # doctest: +SKIP
>>> await replica.start()  # doctest: +SKIP
"""

import asyncio
import random
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from grpc import aio

from snipebridge.clock import Clock, SystemClock
from snipebridge.consensus.changes import (
    Pending,
    next_membership,
    next_removal,
)
from snipebridge.consensus.core import make_core
from snipebridge.consensus.driver import Driver, OnFailure, log_failure
from snipebridge.consensus.errors import (
    CommandTooLargeError,
    MembershipBusyError,
    MembershipChangeError,
    OutcomeUnknownError,
    ReplicaFailedError,
    StorageError,
)
from snipebridge.consensus.interfaces import StateMachine
from snipebridge.consensus.messages import Timing
from snipebridge.consensus.storage import Storage
from snipebridge.consensus.transport import Transport, make_channel_opener
from snipebridge.logs import log_event
from snipebridge.rpc.commands_pb2 import Command, CommandResult
from snipebridge.rpc.consensus_pb2 import (
    Delivered,
    Envelopes,
    Member,
    Membership,
)
from snipebridge.rpc.consensus_pb2_grpc import (
    ConsensusServicer,
    add_ConsensusServicer_to_server,
)
from snipebridge.settings.models import Settings

CHANGE_TIMEOUT_S = 60.0
# The next step of a change must not wait long for the one before.
CHANGE_POLL_S = 0.01
MAX_COMMAND_BYTES = 8_388_608


class LogReplica(ConsensusServicer):
    """Implements `Replica`, and the Consensus service for its peers."""

    def __init__(
        self,
        settings: Settings,
        machine: StateMachine,
        clock: Clock,
        on_failure: OnFailure,
    ) -> None:
        """Keep the parts; nothing is read before `start`."""
        self.name = settings.process.name
        self.machine = machine
        self._settings = settings
        self._clock = clock
        self._on_failure = on_failure
        self._disk_thread = ThreadPoolExecutor(1, 'consensus-disk')
        self._storage = Storage(Path(settings.process.data_folder))
        # Where the leader is, as others told a process that is no member.
        self.told_leader_address = ''
        self._driver: Driver | None = None
        self._transport: Transport | None = None
        self._timing = Timing(
            settings.control.election_timeout_s,
            settings.control.heartbeat_interval_s,
        )

    def add_to_server(self, server: aio.Server) -> None:
        """Add the Consensus service to a server of the control process."""
        add_ConsensusServicer_to_server(self, server)

    async def Deliver(self, request: Envelopes, context) -> Delivered:
        """Take messages from a peer."""
        if self._driver is not None:
            for envelope in request.envelopes:
                self._driver.receive(envelope)
        return Delivered()

    async def start(self) -> None:
        """Recover from the data folder and take part."""
        loop = asyncio.get_running_loop()
        recovered = await loop.run_in_executor(
            self._disk_thread, self._storage.open
        )
        control = self._settings.control
        core = make_core(
            self.name,
            recovered,
            _initial_members(self._settings),
            joins=control.join,
            timing=self._timing,
            rng=random.Random(
                f'{self._settings.process.seed}:{recovered.identity}',
            ),
            now_s=self._clock.monotonic_s(),
        )
        opener = make_channel_opener(self._settings.peer_tls)
        self._transport = Transport(self._address, opener, self._timing)
        self._driver = Driver(
            core,
            self.machine,
            self._storage,
            self._disk_thread,
            self._transport,
            self._clock,
            control.snapshot_after_entries,
            self._on_failure,
        )
        self._driver.start()
        if core.is_leader:
            await self.read_barrier()

    async def stop(self) -> None:
        """Hand the lead over, stop, and release the data folder."""
        await self.hand_over()
        if self._driver is not None:
            await self._driver.stop()
            await self._transport.close()
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._disk_thread, self._storage.close)
        except StorageError as error:
            # Nothing is lost by it: what counts was synced before.
            log_event('storage_not_closed', error=error.message)
        self._disk_thread.shutdown()

    async def hand_over(self) -> None:
        """Leave the lead to another voter, and wait until it has it.

        Where no voter has caught up within an election timeout, or the
        successor is not heard of, the others elect one by themselves.
        """
        driver = self._driver
        if driver is None:
            return
        core = driver.core
        has_led = core.is_leader
        deadline_s = self._clock.monotonic_s() + self._timing.election_timeout_s
        while has_led and self._clock.monotonic_s() < deadline_s:
            if core.is_leader:
                core.hand_over(self._clock.monotonic_s())
                driver.notice()
            elif core.state.leader_name:
                return
            await asyncio.sleep(self._timing.heartbeat_interval_s / 5)

    def is_leader(self) -> bool:
        """Tell whether the leader lease of this replica is valid now."""
        return self._driver is not None and self._driver.holds_lease()

    def term(self) -> int:
        """Return the current term."""
        return self._driver.core.state.term if self._driver else 0

    def leader_address(self) -> str:
        """Return host:port of the leader, empty when unknown.

        What others told goes first while no leader sends its log here.
        """
        if self._driver is None:
            return ''
        known = self._address(self._driver.core.state.leader_name)
        if self.follows_leader():
            return known
        return self.told_leader_address or known

    def identity(self) -> str:
        """Return the identity of the data folder, empty before the start."""
        return self._driver.core.state.identity if self._driver else ''

    def is_voter(self) -> bool:
        """Tell whether the log names this data folder as a voter."""
        if self._driver is None:
            return False
        state = self._driver.core.state
        return state.electorate.counts(state.name, state.identity)

    def follows_leader(self) -> bool:
        """Tell whether a leader was heard lately, or this replica leads."""
        if self._driver is None:
            return False
        core = self._driver.core
        heard_for_s = self._clock.monotonic_s() - core.state.heard_s
        is_heard = heard_for_s < self._timing.election_timeout_s
        return core.is_leader or (bool(core.state.leader_name) and is_heard)

    def hears(self, member: Member) -> bool:
        """Tell whether a member's data folder answered this leader lately."""
        if self._driver is None:
            return False
        timeout_s = self._timing.election_timeout_s
        since_s = self._clock.monotonic_s() - timeout_s
        seen = self._driver.core.seen_identity(member.name, since_s)
        return bool(seen) and member.identity in {'', seen}

    def is_refused_by(self, name: str) -> bool:
        """Tell whether nothing listens at a member's address any more."""
        return self._transport is not None and self._transport.is_refused(name)

    def is_caught_up(self, member: Member) -> bool:
        """Tell whether a member holds all that is committed, and lives."""
        return self._driver is not None and self._driver.core.is_caught_up(
            member.name, member.identity
        )

    async def submit(self, commands: Sequence[Command]) -> list[CommandResult]:
        """Append commands; return once durable on a quorum and applied."""
        driver = self._running()
        if not commands:
            return []
        payloads = self._payloads(commands)
        first = driver.core.propose(payloads, self._clock.monotonic_s())
        term = driver.core.state.term
        driver.notice()
        future = driver.submissions.add(first, len(payloads), term)
        return await future

    async def read_barrier(self) -> None:
        """Return once the machine reflects all that was acknowledged."""
        driver = self._running()
        request, future = driver.barriers.add()
        driver.core.read_index(request, self._clock.monotonic_s())
        driver.notice()
        await future

    def members(self) -> Sequence[Member]:
        """Return the members of the log as of the applied state."""
        if self._driver is None:
            return []
        electorate = self._driver.core.state.electorate
        return list(electorate.at(self._driver.applied_index).members)

    async def change_member(self, member: Member, *, remove: bool) -> None:
        """Add, promote, replace or remove one member, step by step.

        A member without an identity stands for the data folder that answers
        under its name now, so a host that came back with an empty disk is
        replaced by naming it as a voter. An order that was cut short is
        taken up by giving it again.
        """
        try:
            async with asyncio.timeout(CHANGE_TIMEOUT_S):
                await self._change(member, remove=remove)
        except TimeoutError as error:
            raise MembershipChangeError(
                f'{member.name} did not answer and catch up in {CHANGE_TIMEOUT_S} s',
            ) from error

    async def _change(self, member: Member, *, remove: bool) -> None:
        driver = self._running()
        ordered_s = self._clock.monotonic_s()
        while True:
            if remove:
                step = next_removal(driver.core, member.name)
            else:
                step = next_membership(driver.core, member, ordered_s)
            if step is Pending.DONE:
                return
            if isinstance(step, Membership):
                is_in_force = await self._propose_membership(driver, step)
                if is_in_force:
                    continue
            elif not driver.core.is_leader:
                raise driver.not_leader()
            await asyncio.sleep(self._timing.heartbeat_interval_s)

    async def _propose_membership(
        self,
        driver: Driver,
        membership: Membership,
    ) -> bool:
        """Tell whether it is in force, or another change was under way."""
        core = driver.core
        try:
            index = core.propose_membership(
                membership, self._clock.monotonic_s()
            )
        except MembershipBusyError:
            return False
        term = core.state.term
        driver.notice()
        while driver.applied_index < index:
            if driver.failure is not None or core.state.term != term:
                raise OutcomeUnknownError('leadership was lost')
            await asyncio.sleep(CHANGE_POLL_S)
        if core.state.log.term_at(index) != term:
            raise OutcomeUnknownError('leadership was lost')
        return True

    def _running(self) -> Driver:
        if self._driver is None:
            raise ReplicaFailedError('the replica is not started')
        self._driver.check_running()
        return self._driver

    def _payloads(self, commands: Sequence[Command]) -> list[bytes]:
        """Serialise commands with a time that never runs backwards."""
        now_ms = max(self._clock.wall_ms(), self._driver.last_proposed_at_ms)
        payloads = []
        for command in commands:
            stamped = Command()
            stamped.CopyFrom(command)
            stamped.proposed_at_ms = now_ms
            payload = stamped.SerializeToString()
            if len(payload) > MAX_COMMAND_BYTES:
                raise CommandTooLargeError(
                    f'{len(payload)} bytes, allowed are {MAX_COMMAND_BYTES}',
                )
            payloads.append(payload)
        return payloads

    def _address(self, name: str) -> str:
        if self._driver is None:
            return ''
        known = self._driver.core.address_of(name)
        # Where members are named by their address, one that has just begun
        # to join answers a leader that its empty log does not name.
        is_named_by_address = bool(self._settings.seeds.addresses)
        return known or (name if is_named_by_address else '')


def _initial_members(settings: Settings) -> list[Member]:
    """Return the members of a new cluster; alone when none are listed."""
    members = [
        Member(
            name=control.name,
            address=control.address,
            data_centre=control.data_centre,
        )
        for control in settings.controls
    ]
    process = settings.process
    return members or [
        Member(name=process.name, data_centre=process.data_centre),
    ]


def make_replica(
    settings: Settings,
    machine: StateMachine,
    clock: Clock | None = None,
    on_failure: OnFailure = log_failure,
) -> LogReplica:
    """Build the replica that the settings describe.

    When the machine raises or the disk fails, the replica stops for good
    and calls `on_failure`; the process should end then.
    """
    return LogReplica(settings, machine, clock or SystemClock(), on_failure)
