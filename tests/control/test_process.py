"""The control process, in this process, on loopback."""

import asyncio

import grpc
import orjson
import pytest
from grpc import aio

from snipebridge.control.duties import ENTRY_SILENT_LIMIT_S, LeaderDuties
from snipebridge.control.leader import Planners
from snipebridge.controllers.planners import NullRolloutPlanner, RolloutDecision
from snipebridge.rpc.commands_pb2 import RAN_UNKNOWN
from snipebridge.rpc.control_pb2 import (
    AccountDemand,
    QualityCell,
    UpstreamSign,
    VersionOutcome,
)
from tests.controllers.commands import (
    DOCUMENT,
    DUPLICATE,
    OK,
    begin,
    bill,
    command,
    patch,
)
from tests.running_control import run_with_control

NOW_MS = 1_000_000


def test_patch_heartbeat_and_bill_end_to_end():
    """A patch reaches an entry, is in force, and a bill is exported."""

    async def scenario(control):
        answer = await control.patch(DOCUMENT, 0)
        assert (answer.status, answer.body) == (200, {'number': 1})
        first = await control.beat()
        assert first.leader and first.lease_s == 3.0
        assert orjson.loads(first.configuration) == DOCUMENT
        second = await control.beat(number=1)
        assert second.configuration == b''
        page = (await control.call('/admin/v1/config')).body
        assert page['body'] == DOCUMENT
        assert page['in_force']['number'] == 1
        made = command(bill=bill('r', NOW_MS, cost_micros=7))
        reply = await control.submit(made, made)
        assert reply.committed
        assert [one.code for one in reply.results] == [OK, DUPLICATE]
        exported = await control.call('/admin/v1/bills?after=0')
        line = orjson.loads(exported.text)
        assert (line['cursor'], line['cost_micros']) == (1, 7)

    run_with_control(scenario)


def test_reply_carries_what_others_reported():
    """Signs, ratings, shares and members reach the other entries."""

    async def scenario(control):
        await control.patch(DOCUMENT, 0)
        await control.beat(
            report_id=1,
            signs=[
                UpstreamSign(
                    upstream='e1', state='leaving', sequence=1, valid_s=9
                )
            ],
            quality=[QualityCell(version='m@1', good=1, total=2)],
            demands=[AccountDemand(account='a', pool='models', running=1)],
        )
        duties = LeaderDuties(control.process.leadership)
        await duties.do_round()
        reply = await control.beat('e2', report_id=1, leaving=True)
        assert [sign.state for sign in reply.signs] == ['leaving']
        assert [cell.total for cell in reply.quality] == [2.0]
        await duties.do_round()
        reply = await control.beat(report_id=2)
        assert [one.share for one in reply.shares] == [0.5, 4.0]
        assert [(one.name, one.leaving) for one in reply.entries] == [
            ('e1', False),
            ('e2', True),
        ]
        control.clock.now_s += 5.0
        reply = await control.beat(report_id=3)
        assert [one.name for one in reply.entries] == ['e1']

    run_with_control(scenario)


def test_without_the_lead_nothing_is_answered():
    """A new term is answered only once its leadership is recorded."""

    async def scenario(control):
        control.replica.leads = False
        control.replica.address = 'other:1'
        reply = await control.beat()
        assert (reply.leader, reply.leader_address) == (False, 'other:1')
        assert reply.lease_s == 0
        submitted = await control.submit(command(bill=bill('r', NOW_MS)))
        assert (submitted.leader, submitted.committed) == (False, False)
        control.replica.leads = True
        control.replica.next_term()
        await control.process.leadership.follow_replica()
        assert (await control.beat()).lease_s > 0
        assert control.machine.fencing.number == 2

    run_with_control(scenario)


def test_lost_acknowledgement_is_told_as_unavailable():
    """The entry resends under its keys."""

    async def scenario(control):
        made = command(bill=bill('r', NOW_MS))
        control.replica.loses_acknowledgement = True
        with pytest.raises(aio.AioRpcError) as caught:
            await control.submit(made)
        assert caught.value.code() is grpc.StatusCode.UNAVAILABLE
        control.replica.loses_acknowledgement = False
        assert (await control.submit(made)).results[0].code == DUPLICATE

    run_with_control(scenario)


def test_entry_may_not_propose_what_is_up_to_operators():
    """A patch comes only through the operators' interface."""

    async def scenario(control):
        with pytest.raises(aio.AioRpcError) as caught:
            await control.submit(command(patch=patch(DOCUMENT)))
        assert caught.value.code() is grpc.StatusCode.INVALID_ARGUMENT

    run_with_control(scenario)


def test_older_process_of_an_entry_changes_nothing():
    """Its late heartbeat gets no lease and keeps the new address."""

    async def scenario(control):
        await control.beat(incarnation=2, address='new:1')
        late = await control.beat(incarnation=1, address='old:1')
        assert late.lease_s == 0
        assert control.machine.members.hosts['e1'].address == 'new:1'

    run_with_control(scenario)


def test_records_of_a_restarted_entry_end_as_unknown():
    """Its new process holds no lease yet, so all are the old one's."""

    async def scenario(control):
        await control.beat(incarnation=1)
        await control.submit(command(begin=begin()))
        await control.beat(incarnation=2)
        await control.submit(command(begin=begin('r2')))
        duties = LeaderDuties(control.process.leadership)
        await duties.do_round()
        old, new = (
            await control.submit(
                command(begin=begin(attempt='t2')),
                command(begin=begin('r2', attempt='t2')),
            )
        ).results
        assert (old.code, old.ran) == (DUPLICATE, RAN_UNKNOWN)
        assert new.code == new.IN_PROGRESS

    run_with_control(scenario)


@pytest.mark.parametrize(
    ('leaving', 'silent_s', 'left'),
    [
        (True, 2.0, False),
        (True, 4.0, True),
        (False, 4.0, False),
        (False, ENTRY_SILENT_LIMIT_S, True),
    ],
)
def test_entry_leaves_after_its_lease(leaving, silent_s, left):
    """A drained entry leaves soon, a silent one after long."""

    async def scenario(control):
        await control.beat(leaving=leaving)
        control.clock.now_s += silent_s
        await LeaderDuties(control.process.leadership).do_round()
        assert ('e1' not in control.machine.members.hosts) == left

    run_with_control(scenario)


class EndingRollout(NullRolloutPlanner):
    """Ends a roll-out as soon as it saw an outcome."""

    def __init__(self, state):
        """Keep the state that it ends in."""
        self.state = state
        self.seen = []
        self.confirmed = []

    def report(self, process, outcomes, now_s):
        """Note who reported."""
        self.seen.extend((process, one.version) for one in outcomes)

    def decide(self, processes, now_s):
        """Decide once."""
        if not self.seen or self.confirmed:
            return ()
        return [RolloutDecision('m@2', 1, self.state, 'errors', b'e')]

    def confirm(self, decision):
        """Note what became durable."""
        self.confirmed.append(decision.version)


@pytest.mark.parametrize(
    ('state', 'version_state'),
    [('stopped', 'withdrawn'), ('complete', 'serving')],
)
def test_end_of_a_rollout_is_a_numbered_change(state, version_state):
    """It is durable and configured before the planner is told."""
    planner = EndingRollout(state)

    async def scenario(control):
        await control.patch(DOCUMENT, 0)
        sums = [VersionOutcome(version='m@2', errors=1)]
        await control.beat(report_id=1, outcomes=sums)
        await control.beat(report_id=1, outcomes=sums)
        await LeaderDuties(control.process.leadership).do_round()
        document = control.machine.configuration.document
        assert document['versions']['m@2']['state'] == version_state
        assert document['rollouts']['m@2']['state'] == state
        assert control.machine.rollouts.progress['m@2'].evidence == b'e'

    run_with_control(scenario, Planners(rollouts=planner))
    assert planner.seen == [('e1/1', 'm@2')]
    assert planner.confirmed == ['m@2']


def test_operator_who_comes_first_does_not_undo_a_stop():
    """The patch of the system is made again against the new number."""
    planner = EndingRollout('stopped')

    async def scenario(control):
        await control.patch(DOCUMENT, 0)
        await control.beat(
            report_id=1, outcomes=[VersionOutcome(version='m@2')]
        )
        submit = control.replica.submit

        async def submit_after_operator(commands):
            if commands[0].HasField('patch') and len(control.replica.log) < 5:
                other = patch({'tasks': None}, base=1, key='other')
                await submit([command(patch=other)])
            return await submit(commands)

        control.replica.submit = submit_after_operator
        await LeaderDuties(control.process.leadership).do_round()
        configuration = control.machine.configuration
        assert configuration.number == 3
        assert configuration.document['versions']['m@2']['state'] == 'withdrawn'

    run_with_control(scenario, Planners(rollouts=planner))


def test_drain_waits_for_what_is_under_way():
    """A submission that began before the drain gets its answer."""

    async def scenario(control):
        gate = asyncio.Event()
        submit = control.replica.submit

        async def submit_slowly(commands):
            await gate.wait()
            return await submit(commands)

        control.replica.submit = submit_slowly
        under_way = asyncio.create_task(
            control.submit(command(bill=bill('r', NOW_MS)))
        )
        patching = asyncio.create_task(control.patch(DOCUMENT, 0))
        while not (
            control.process._service.under_way
            and control.process._api.under_way
        ):
            await asyncio.sleep(0)
        draining = asyncio.create_task(control.process.stop())
        while control.process.is_ready():
            await asyncio.sleep(0)
        assert not (await control.beat()).leader
        gate.set()
        assert (await under_way).committed
        assert (await patching).body == {'number': 1}
        await draining

    run_with_control(scenario)


def test_failed_duty_is_counted_and_ends_nothing():
    """A planner with a fault is not left behind in silence."""

    class Faulty(NullRolloutPlanner):
        def configure(self, document, progress):
            raise ZeroDivisionError

    async def scenario(control):
        for _ in range(2):
            await asyncio.sleep(0.6)
            control.clock.now_s += 1.0
        await asyncio.sleep(0.6)
        page = (await control.call('/metrics')).text
        counted = 'snipebridge_duty_failures_total{duty="configure"} '
        assert float(page.partition(counted)[2].split()[0]) >= 2
        assert control.process.is_ready()
        assert (await control.beat()).lease_s > 0

    run_with_control(scenario, Planners(rollouts=Faulty()))


def test_list_of_entries_is_sent_only_when_it_changed():
    """An entry that holds the list gets it again only after a change."""

    async def scenario(control):
        first = await control.beat()
        assert [one.name for one in first.entries] == ['e1']
        held = first.entries_digest
        second = await control.beat(entries_digest=held)
        assert not second.entries
        await control.beat(entry='e2')
        third = await control.beat(entries_digest=held)
        assert [one.name for one in third.entries] == ['e1', 'e2']
        assert third.entries_digest != held

    run_with_control(scenario)
