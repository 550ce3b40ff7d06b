"""What the leader does by itself for entries that route to services."""

import asyncio
from collections.abc import Sequence

from snipebridge.consensus.errors import ConsensusError
from snipebridge.control.leader import Leadership
from snipebridge.fleet.prompts import PromptDuty
from snipebridge.fleet.software import SoftwareDuty
from snipebridge.fleet.voters import VoterDuty
from snipebridge.logs import log_decision, log_event
from snipebridge.policy.software_rollouts import RolloutBounds
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
# Another disk may be lost soon after a voter has ended.
VOTERS_ROUND_S = 0.05


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
    return RoutedDuties(settings, leadership, reader, supervisor)


class RoutedDuties:
    """Reads the list, moves roll-outs on, and keeps enough voters."""

    __slots__ = (
        '_leadership',
        '_prompts',
        '_reader',
        '_settings',
        '_software',
        '_supervisor',
        '_voters',
    )

    def __init__(
        self,
        settings: Settings,
        leadership: Leadership,
        reader: ReplicaListReader | None,
        supervisor: Supervisor | None = None,
    ) -> None:
        """Keep the parts; without a reader there is no list to read."""
        self._supervisor = supervisor or make_supervisor()
        self._settings = settings
        self._leadership = leadership
        self._reader = reader
        promises = settings.promises
        bounds = RolloutBounds(promises.canary_share, promises.canary_slack)
        self._software = SoftwareDuty(leadership.clock, bounds)
        self._prompts = PromptDuty()
        self._voters = VoterDuty(
            leadership, int(settings.control.tolerated_losses)
        )

    async def run(self) -> None:
        """Do the duties while in office, until cancelled."""
        await asyncio.gather(
            self._read_lists(), self._do_rounds(), self._watch_voters()
        )

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

    async def _watch_voters(self) -> None:
        while True:
            if self._leadership.is_in_office():
                await self._supervisor.run_once('voters', self._keep_voters)
            await asyncio.sleep(VOTERS_ROUND_S)

    async def _move_rollouts(self) -> None:
        leadership = self._leadership
        commands = self._software.commands(
            leadership.machine.software_rollouts,
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
        if self._settings.seeds.addresses:
            self._voters.keep()

    async def close(self) -> None:
        """End a change of members that is under way."""
        await self._voters.close()
