"""Orders that are sent again, and such that only look so."""

import orjson
import pytest

from snipebridge.controllers.evacuations import Evacuations
from snipebridge.rpc.commands_pb2 import (
    Command,
    EvacuationCommand,
    SoftwareRolloutCommand,
)
from snipebridge.settings.models import PromiseSettings
from tests.running_control import run_with_control

ROLLOUTS = '/admin/v1/software-rollouts'
EVACUATION = '/admin/v1/evacuations/tunis-a'
RESEND_S = PromiseSettings().resend_ms / 1000


class Operator:
    """Gives orders to a control process, and moves its clocks."""

    def __init__(self, control):
        """Keep the process."""
        self.control = control

    async def order(self, target, duration_s=24):
        """Order a roll-out; return what the answer says."""
        body = {'service': 's', 'target': target, 'deadline_s': duration_s}
        answer = await self.control.call(ROLLOUTS, 'POST', orjson.dumps(body))
        assert answer.status == 200
        return answer.body['target'], answer.body['state']

    async def read(self):
        """Return the roll-out in force."""
        answer = await self.control.call(f'{ROLLOUTS}/s')
        return answer.body['target'], answer.body['state']

    async def evacuate(self, method='POST'):
        """Evacuate, or withdraw it; return whether it is in force now."""
        answer = await self.control.call(EVACUATION, method)
        assert answer.status == 200
        return answer.body['evacuated']

    async def end(self, target, state, **fields):
        """End a roll-out, as the leader does."""
        step = SoftwareRolloutCommand(
            service='s', target=target, state=state, **fields
        )
        await self.control.replica.submit([Command(software_rollout=step)])

    def wait(self, seconds):
        """Let time pass."""
        self.control.clock.now_s += seconds
        self.control.replica.now_ms += int(seconds * 1000)

    def set_time_of_day(self, ahead_s):
        """Step the time of day of the log, while steady time goes on."""
        self.control.replica.now_ms += int(ahead_s * 1000)

    @property
    def rollouts(self):
        """Return the replicated state."""
        return self.control.machine.software_rollouts


def play(scenario):
    """Play a scenario with an operator."""

    async def run(control):
        await scenario(Operator(control))

    run_with_control(run)


@pytest.mark.parametrize('first_s', [6, 24])
def test_version_that_was_rolled_back_can_be_ordered_again(first_s):
    """Guards against an acknowledged order that is dropped as resent."""

    async def scenario(operator):
        await operator.order('v2', first_s)
        operator.wait(4)
        await operator.end('v2', 'reverted')
        operator.wait(4)
        assert await operator.order('v2') == ('v2', 'active')
        assert await operator.read() == ('v2', 'active')
        assert not operator.rollouts.rejected('s')

    play(scenario)


def test_order_with_more_time_is_new_at_once():
    """Guards against a longer time that is acknowledged and not given."""

    async def scenario(operator):
        await operator.order('v2', 14)
        operator.wait(1)
        await operator.order('v2', 40)
        assert operator.rollouts.orders('s')[-1].duration_ms == 40_000
        # The trial goes on: sessions keep the version that they have.
        assert operator.rollouts.by_service['s'].number == 1

    play(scenario)


@pytest.mark.parametrize('state', ['active', 'reverted', 'completed'])
def test_order_resent_after_a_newer_one_leaves_that_in_force(state):
    """Guards against a newer order that a lost answer takes away."""

    async def scenario(operator):
        await operator.order('v2')
        operator.wait(0.5)
        if state != 'active':
            await operator.end('v2', state)
        await operator.order('v3')
        operator.wait(RESEND_S - 0.5)
        assert await operator.order('v2') == ('v3', 'active')
        assert await operator.read() == ('v3', 'active')
        expected = ['v2'] if state == 'reverted' else []
        assert operator.rollouts.rejected('s') == expected

    play(scenario)


def test_several_orders_that_are_resent_leave_the_newest_in_force():
    """Guards against a history of one order only."""

    async def scenario(operator):
        for target in ('v2', 'v3', 'v4', 'v2', 'v3'):
            await operator.order(target)
            operator.wait(0.3)
        assert await operator.read() == ('v4', 'active')

    play(scenario)


def test_resent_order_is_told_what_is_in_force():
    """Guards against an answer that says active of one that has ended."""

    async def scenario(operator):
        await operator.order('v2')
        await operator.end('v2', 'reverted')
        operator.wait(1)
        assert await operator.order('v2') == ('v2', 'reverted')

    play(scenario)


def test_history_of_orders_is_in_the_snapshot():
    """Guards against a resent order that is new after a snapshot."""

    async def scenario(operator):
        await operator.order('v2')
        await operator.order('v3')
        machine = operator.control.machine
        machine.restore(machine.snapshot())
        operator.wait(1)
        assert await operator.order('v2') == ('v3', 'active')

    play(scenario)


@pytest.mark.parametrize('ahead_s', [-3600, 3600])
def test_step_of_the_time_of_day_moves_no_window(ahead_s):
    """Guards against orders judged by a clock that was set."""

    async def scenario(operator):
        await operator.order('v2')
        operator.set_time_of_day(ahead_s)
        operator.wait(1)
        await operator.order('v3')
        assert await operator.order('v2') == ('v3', 'active')
        operator.wait(RESEND_S + 2)
        assert await operator.order('v2') == ('v2', 'active')

    play(scenario)


def test_step_that_was_decided_before_an_order_does_not_end_it():
    """Guards against a new order that is rolled back by an old verdict."""

    async def scenario(operator):
        await operator.order('v2', 14)
        decided_on = operator.rollouts.last_number('s')
        operator.wait(6)
        await operator.order('v2', 40)
        await operator.end('v2', 'reverted', number=decided_on)
        assert await operator.read() == ('v2', 'active')
        # An earlier release names no number.
        await operator.end('v2', 'reverted')
        assert await operator.read() == ('v2', 'reverted')

    play(scenario)


def test_version_in_use_keeps_all_traffic_when_it_is_ordered_again():
    """Guards against requests refused while its trial begins."""

    async def scenario(operator):
        await operator.order('v2')
        await operator.end('v2', 'completed', share_permille=1000)
        operator.wait(60)
        await operator.order('v2')
        rollout = operator.rollouts.by_service['s']
        assert (rollout.state, rollout.share_permille) == ('active', 1000)

    play(scenario)


def test_orders_of_an_earlier_release_are_applied_by_its_rule():
    """Guards against two builds that read the same log in two ways."""

    async def scenario(operator):
        order = SoftwareRolloutCommand(
            service='s', target='v2', state='active', duration_s=24
        )
        for _ in range(2):
            await operator.control.replica.submit(
                [Command(software_rollout=order)]
            )
            operator.wait(8)
        assert operator.rollouts.last_number('s') == 1

    play(scenario)


def test_snapshot_of_an_earlier_release_stands_for_its_orders():
    """Guards against a resent order that is new after an upgrade."""

    async def scenario(operator):
        await operator.order('v2')
        machine = operator.control.machine
        snapshot = orjson.loads(machine.snapshot())
        snapshot.pop('software_orders')
        machine.restore(orjson.dumps(snapshot))
        operator.wait(1)
        await operator.order('v2')
        assert operator.rollouts.last_number('s') == 1

    play(scenario)


def test_evacuation_resent_after_its_withdrawal_stays_withdrawn():
    """Guards against a data centre that gets nothing and nobody evacuated."""

    async def scenario(operator):
        assert await operator.evacuate()
        operator.wait(60)
        # Copies come until one is answered.
        assert await operator.evacuate()
        assert not await operator.evacuate('DELETE')
        operator.wait(1)
        assert not await operator.evacuate()
        operator.wait(RESEND_S + 2)
        assert await operator.evacuate()

    play(scenario)


@pytest.mark.parametrize('is_evacuated', [True, False])
def test_withdrawal_resent_after_a_new_evacuation_leaves_it(is_evacuated):
    """Guards against requests to a data centre that was evacuated."""

    async def scenario(operator):
        if is_evacuated:
            await operator.evacuate()
            operator.wait(60)
        assert not await operator.evacuate('DELETE')
        operator.wait(1)
        # The evacuation itself is an old order by now.
        assert await operator.evacuate()
        assert await operator.evacuate('DELETE')
        operator.wait(RESEND_S + 2)
        assert not await operator.evacuate('DELETE')

    play(scenario)


def test_changes_of_evacuations_are_in_the_snapshot():
    """Guards against a resent order that is new after a snapshot."""

    async def scenario(operator):
        await operator.evacuate()
        await operator.evacuate('DELETE')
        machine = operator.control.machine
        machine.restore(machine.snapshot())
        operator.wait(1)
        assert not await operator.evacuate()

    play(scenario)


def test_names_of_data_centres_are_kept_to_a_limit():
    """Guards against a state that grows with each name that is ordered."""
    evacuations = Evacuations()
    for place in range(400):
        for withdrawn in (False, True):
            order = EvacuationCommand(
                data_centre=f'd{place}', withdrawn=withdrawn
            )
            evacuations.apply(order, now_ms=place)
    evacuations.apply(EvacuationCommand(data_centre='d0'), now_ms=400)
    kept = evacuations.all_changes()
    assert len(kept) == 256
    assert {'d0', 'd399'} <= kept.keys()


@pytest.mark.parametrize('duration_s', [1.7976931348623157e308, float('inf')])
def test_order_of_an_earlier_release_without_end_is_applied(duration_s):
    """Guards against control processes that end at each start."""

    async def scenario(operator):
        order = SoftwareRolloutCommand(
            service='s', target='v2', state='active', duration_s=duration_s
        )
        await operator.control.replica.submit([Command(software_rollout=order)])
        assert await operator.read() == ('v2', 'active')

    play(scenario)
