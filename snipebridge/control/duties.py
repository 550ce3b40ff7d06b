"""What the leader does by itself, again and again while it is in office."""

import asyncio
from collections.abc import Sequence

from snipebridge.consensus.errors import ConsensusError
from snipebridge.control.heartbeats import process_name
from snipebridge.control.leader import Leadership
from snipebridge.control.orders import Orders
from snipebridge.control.patches import patch_by_system
from snipebridge.controllers.leases import EntryLease
from snipebridge.controllers.planners import RolloutDecision
from snipebridge.logs import log_decision, log_event
from snipebridge.supervision import Duty, Supervisor, make_supervisor
from snipebridge.rpc.commands_pb2 import (
    RAN_UNKNOWN,
    Command,
    EntryCommand,
    FinishCommand,
    RolloutCommand,
)

# An entry that is silent for so long counts as gone for good.
ENTRY_SILENT_LIMIT_S = 600.0
TICK_S = 0.05
ROUND_S = 0.5

_END_STATES = {
    'stopped': ('withdrawn', 'stopped'),
    'complete': ('serving', 'complete'),
}


class LeaderDuties:
    """Roll-outs, shares, entries that left, and requests that were lost."""

    __slots__ = (
        '_configured',
        '_hurried',
        '_leadership',
        '_orders',
        '_supervisor',
    )

    def __init__(
        self,
        leadership: Leadership,
        orders: Orders | None = None,
        supervisor: Supervisor | None = None,
    ) -> None:
        """Start before the first round."""
        self._supervisor = supervisor or make_supervisor()
        self._leadership = leadership
        self._orders = orders
        self._hurried: set[str] = set()
        # The leadership and the configuration that the planners know.
        self._configured = (0, -1)

    async def run(self) -> None:
        """Follow the replica's lead and do the rounds until cancelled."""
        try:
            await self._run()
        finally:
            if self._orders is not None:
                self._orders.close()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        next_round_s = loop.time()
        while True:
            await self._supervisor.run_once(
                'follow_replica', self._leadership.follow_replica
            )
            is_due = loop.time() >= next_round_s or self._is_urgent()
            if self._leadership.is_in_office() and is_due:
                next_round_s = loop.time() + ROUND_S
                await self.do_round()
            await asyncio.sleep(TICK_S)

    def _is_urgent(self) -> bool:
        """Tell whether a version in service is to be withdrawn now.

        Each is hurried for once; a patch that was refused waits its turn.
        """
        document = self._leadership.machine.configuration.document
        due = self._leadership.withdrawals.due(document)
        versions = {proposal.version for proposal in due}
        is_new = not versions <= self._hurried
        self._hurried = versions
        return is_new

    async def do_round(self) -> None:
        """Do each duty once; what fails is tried again in a later round.

        An error in one duty does not keep the others from being done.
        """
        for name, duty in (
            ('configure', self._configure),
            ('shares', self._share_out),
            ('rollouts', self._decide_rollouts),
            ('withdrawals', self._withdraw),
            ('lost_records', self._finish_lost_records),
            ('entries_left', self._drop_entries),
        ):
            await self._supervisor.run_once(name, _unless_refused(duty))
        if self._orders is not None:
            await self._supervisor.run_once('orders', self._orders.do_round)

    def _configure(self) -> None:
        leadership = self._leadership
        configuration = leadership.machine.configuration
        current = (leadership.fencing_number, configuration.number)
        if current != self._configured:
            leadership.planners.rollouts.configure(
                configuration.document, leadership.machine.rollouts.progress
            )
            leadership.reports.configure(configuration.document)
            leadership.withdrawals.configure(configuration.document)
            self._configured = current

    def _share_out(self) -> None:
        leadership = self._leadership
        leadership.shares = leadership.planners.shares.shares(
            leadership.reports.demands(leadership.clock.monotonic_s()),
            leadership.machine.configuration.document,
        )

    async def _decide_rollouts(self) -> None:
        planner = self._leadership.planners.rollouts
        now_s = self._leadership.clock.monotonic_s()
        for decision in planner.decide(self._live_processes(now_s), now_s):
            await self._record_rollout(decision)
            planner.confirm(decision)

    def _live_processes(self, now_s: float) -> Sequence[str]:
        return [
            process_name(entry.name, entry.incarnation)
            for entry in self._leadership.leases.entries()
            if entry.incarnation and not entry.has_expired(now_s)
        ]

    async def _record_rollout(self, decision: RolloutDecision) -> None:
        command = RolloutCommand(
            version=decision.version,
            stage=decision.stage,
            state=decision.state,
            reason=decision.reason,
            evidence=decision.evidence,
        )
        await self._leadership.replica.submit([Command(rollout=command)])
        if decision.state in _END_STATES:
            await self._patch_rollout(decision)
        log_decision(
            'rollout',
            version=decision.version,
            stage=decision.stage,
            state=decision.state,
            reason=decision.reason,
        )

    async def _patch_rollout(self, decision: RolloutDecision) -> None:
        version_state, rollout_state = _END_STATES[decision.state]
        change = {
            'versions': {decision.version: {'state': version_state}},
            'rollouts': {decision.version: {'state': rollout_state}},
        }
        purpose = f'rollout:{decision.version}:{rollout_state}'
        await patch_by_system(self._leadership, purpose, change)

    async def _withdraw(self) -> None:
        leadership = self._leadership
        document = leadership.machine.configuration.document
        for proposal in leadership.withdrawals.due(document):
            version = proposal.version
            change = {'versions': {version: {'state': 'withdrawn'}}}
            log_decision('withdrawal', version=version, reason=proposal.reason)
            await patch_by_system(leadership, f'withdraw:{version}', change)
        for proposal in leadership.withdrawals.newly_blocked(document):
            log_decision(
                'withdrawal_blocked',
                version=proposal.version,
                reason=proposal.reason,
            )

    async def _finish_lost_records(self) -> None:
        lost = self._leadership.lost_records
        if not lost:
            return
        commands = [
            Command(
                finish=FinishCommand(
                    account=record.account,
                    request_id=record.request_id,
                    attempt=record.attempt,
                    ran=RAN_UNKNOWN,
                )
            )
            for record in lost
        ]
        await self._leadership.replica.submit(commands)
        self._leadership.lost_records = lost[len(commands) :]
        log_decision('records_lost', count=len(commands))

    async def _drop_entries(self) -> None:
        leadership = self._leadership
        now_s = leadership.clock.monotonic_s()
        for entry in leadership.leases.entries():
            if _is_gone(entry, now_s):
                leadership.leases.retire(entry.name)
                command = EntryCommand(name=entry.name, left=True)
                await leadership.replica.submit([Command(entry=command)])
                leadership.leases.remove(entry.name)
                leadership.reports.remove_entry(entry.name)
                log_decision('entry_left', entry=entry.name)


def _unless_refused(duty: Duty) -> Duty:
    """Return a duty that ends early where the log does not take its change."""

    async def attempt() -> None:
        try:
            pending = duty()
            if pending is not None:
                await pending
        except ConsensusError as error:
            log_event('round_failed', code=error.code, message=error.message)

    return attempt


def _is_gone(entry: EntryLease, now_s: float) -> bool:
    silent = now_s - entry.last_heartbeat_s >= ENTRY_SILENT_LIMIT_S
    return entry.has_expired(now_s) and (entry.leaving or silent)
