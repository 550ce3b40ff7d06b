"""What the leader does by itself for entries that route to services."""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress

from snipebridge.consensus.errors import ConsensusError
from snipebridge.control.leader import Leadership
from snipebridge.fleet.electorate import MemberOrder, MemberView, next_order
from snipebridge.fleet.prompts import PromptDuty
from snipebridge.fleet.software import SoftwareDuty
from snipebridge.logs import log_decision, log_event
from snipebridge.policy.software_rollouts import RolloutBounds
from snipebridge.rpc.consensus_pb2 import Member
from snipebridge.rpc.commands_pb2 import Command
from snipebridge.settings.models import Settings
from snipebridge.supervision import Supervisor, make_supervisor
from snipebridge.upstreams.client import make_upstream_client
from snipebridge.upstreams.errors import UpstreamError
from snipebridge.upstreams.replica_list import (
    ReplicaListReader,
    ReplicaListSnapshot,
    make_replica_list,
)

# How often members and roll-outs are looked at: several looks fit into the
# time that a stop of a bad version may take.
ROUND_S = 0.2
# A voter that is silent for so long is gone; a restart takes about 2 s.
GONE_AFTER_S = 3.0
# A candidate that takes longer to catch up is asked for anew.
CHANGE_LIMIT_S = 5.0

IsLive = Callable[[str], bool]


def make_routed_duties(
    settings: Settings,
    leadership: Leadership,
    supervisor: Supervisor | None = None,
) -> 'RoutedDuties | None':
    """Return the duties for entries that route to services, if any do."""
    url = settings.replica_list.url
    if not (url or settings.seeds.addresses):
        return None
    reader = None
    if url:
        client = make_upstream_client()
        reader = make_replica_list(client, url, leadership.clock)
    hears = getattr(leadership.replica, 'hears', lambda name: True)
    return RoutedDuties(settings, leadership, reader, hears, supervisor)


class RoutedDuties:
    """Reads the list, moves roll-outs on, and keeps enough voters."""

    __slots__ = (
        '_is_live',
        '_leadership',
        '_live_s',
        '_order',
        '_prompts',
        '_reader',
        '_settings',
        '_software',
        '_supervisor',
    )

    def __init__(
        self,
        settings: Settings,
        leadership: Leadership,
        reader: ReplicaListReader | None,
        is_live: IsLive,
        supervisor: Supervisor | None = None,
    ) -> None:
        """Keep the parts; without a reader there is no list to read."""
        self._supervisor = supervisor or make_supervisor()
        self._settings = settings
        self._leadership = leadership
        self._reader = reader
        self._is_live = is_live
        promises = settings.promises
        bounds = RolloutBounds(promises.canary_share, promises.canary_slack)
        self._software = SoftwareDuty(leadership.clock, bounds)
        self._prompts = PromptDuty()
        self._live_s: dict[str, float] = {}
        self._order: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Do the duties while in office, until cancelled."""
        await asyncio.gather(self._read_lists(), self._do_rounds())

    async def _read_lists(self) -> None:
        interval_s = self._settings.replica_list.interval_s
        while self._reader is not None:
            if self._leadership.is_in_office():
                await self._supervisor.run_once('read_list', self._read_list)
                await asyncio.sleep(interval_s)
            else:
                await asyncio.sleep(ROUND_S / 4)

    async def _read_list(self) -> None:
        try:
            read = await self._reader.read()
        except UpstreamError as error:
            log_event('list_unread', code=error.code, message=error.message)
            return
        self._take_list(read)

    def _take_list(self, read: ReplicaListSnapshot) -> None:
        leadership = self._leadership
        is_new = leadership.routed.take_list(
            read.replicas, read.requested_at_s, leadership.replica.term()
        )
        if is_new:
            log_decision(
                'replica_list',
                edition=leadership.routed.held.edition,
                replicas=len(read.replicas),
                left_out=read.invalid_entries[:3],
            )

    async def _do_rounds(self) -> None:
        while True:
            if self._leadership.is_in_office():
                await self._do_round()
            await asyncio.sleep(ROUND_S)

    async def _do_round(self) -> None:
        run_once = self._supervisor.run_once
        await run_once('software_rollouts', self._move_rollouts)
        await run_once('prompt_quarantines', self._quarantine_prompts)
        await run_once('voters', self._keep_voters)

    async def _move_rollouts(self) -> None:
        leadership = self._leadership
        commands = self._software.commands(
            leadership.machine.software_rollouts.by_service.values(),
            leadership.routed.evidence,
            leadership.routed.held.replicas,
        )
        await self._submit(commands)

    async def _quarantine_prompts(self) -> None:
        await self._submit(self._prompts.commands(self._leadership))

    async def _submit(self, commands: Sequence[Command]) -> None:
        if not commands:
            return
        try:
            await self._leadership.replica.submit(commands)
        except ConsensusError as error:
            log_event('round_failed', code=error.code, error=error.message)

    def _keep_voters(self) -> None:
        if not self._settings.seeds.addresses:
            return
        if self._order is not None and not self._order.done():
            return
        order = next_order(
            self._member_views(),
            self._leadership.routed.candidates(
                self._leadership.clock.monotonic_s()
            ),
            int(self._settings.control.tolerated_losses),
        )
        if order is not None:
            self._order = asyncio.create_task(self._change(order))

    def _member_views(self) -> list[MemberView]:
        now_s = self._leadership.clock.monotonic_s()
        views = []
        for member in self._leadership.replica.members():
            if self._is_live(member.name):
                self._live_s[member.name] = now_s
            seen_s = self._live_s.setdefault(member.name, now_s)
            views.append(
                MemberView(
                    name=member.name,
                    identity=member.identity,
                    is_voter=member.voter,
                    is_live=now_s - seen_s < GONE_AFTER_S,
                )
            )
        return views

    async def _change(self, order: MemberOrder) -> None:
        log_decision('member', name=order.name, remove=order.remove)
        member = Member(name=order.name)
        candidate = order.candidate
        if candidate is not None:
            member.identity = candidate.identity
            member.address = candidate.address
            member.data_centre = candidate.data_centre
            member.voter = True
        try:
            async with asyncio.timeout(CHANGE_LIMIT_S):
                await self._leadership.replica.change_member(
                    member, remove=order.remove
                )
        except (ConsensusError, TimeoutError) as error:
            log_event('member_failed', name=order.name, error=str(error))

    async def close(self) -> None:
        """End a change of members that is under way."""
        if self._order is not None:
            self._order.cancel()
            with suppress(asyncio.CancelledError):
                await self._order
