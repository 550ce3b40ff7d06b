"""Orders of roll-outs, and which version of a service is in use beside them."""

import orjson
import pytest

from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.rpc.commands_pb2 import Command, SoftwareRolloutCommand
from snipebridge.rpc.control_pb2 import ListedReplica
from snipebridge.settings.models import ControlSettings
from tests.running_control import run_with_control

ROLLOUTS = '/admin/v1/software-rollouts'


def play(scenario, *listed):
    """Play a scenario while replicas of some versions are listed."""

    async def run(control):
        routed = control.process.leadership.routed
        routed.held.replicas = [
            ListedReplica(id=str(place), service='s', software=software)
            for place, software in enumerate(listed)
        ]
        await scenario(control)

    run_with_control(run)


async def order(control, target):
    """Order a roll-out, long after the one before."""
    control.clock.now_s += 60
    control.replica.now_ms += 60_000
    body = {'service': 's', 'target': target, 'deadline_s': 24}
    await control.call(ROLLOUTS, 'POST', orjson.dumps(body))
    return control.machine.software_rollouts


async def end(control, target, state):
    """End a roll-out."""
    step = SoftwareRolloutCommand(service='s', target=target, state=state)
    await control.replica.submit([Command(software_rollout=step)])


def test_order_back_to_the_version_in_use_gets_all_traffic():
    """Guards against a bad version that stays until it is tried again."""

    async def scenario(control):
        await order(control, 'v2')
        rollouts = await order(control, 'v1')
        assert rollouts.in_use('s') == 'v1'
        assert rollouts.by_service['s'].share_permille == 1000

    play(scenario, 'v1', 'v1', 'v2')


@pytest.mark.parametrize('state', ['active', 'reverted'])
def test_version_whose_trial_did_not_complete_is_not_in_use(state):
    """Guards against a trial that counts as passed once it is cut short."""

    async def scenario(control):
        await order(control, 'v2')
        await end(control, 'v2', state)
        rollouts = await order(control, 'v3')
        assert rollouts.in_use('s') == 'v1'

    play(scenario, 'v1', 'v2', 'v2')


def test_version_that_was_completed_is_in_use():
    """Guards against requests to the replicas that it has replaced."""

    async def scenario(control):
        await order(control, 'v2')
        await end(control, 'v2', 'completed')
        rollouts = await order(control, 'v3')
        assert rollouts.in_use('s') == 'v2'

    play(scenario, 'v1', 'v1', 'v2')


def test_version_in_use_is_not_guessed_from_versions_that_were_ordered():
    """Guards against a bad version taken for the one in use."""

    async def scenario(control):
        await order(control, 'v2')
        control.machine.software_rollouts.load_in_use({})
        rollouts = await order(control, 'v3')
        assert not rollouts.in_use('s')

    play(scenario, 'v2', 'v2', 'v3')


def test_entries_are_told_the_version_in_use():
    """Guards against entries that decide by the replicas they see."""

    async def scenario(control):
        put = {'version': 1, 'routes': [], 'services': [{'name': 's'}]}
        await control.call('/admin/v1/routing', 'PUT', orjson.dumps(put))
        await order(control, 'v2')
        reply = await control.beat()
        assert reply.software_rollouts[0].in_use == 'v1'

    play(scenario, 'v1', 'v2')


def test_versions_in_use_are_in_the_snapshot():
    """Guards against a version that is forgotten, also by an upgrade."""
    machine = make_control_state_machine(ControlSettings())
    machine.apply(1, _order('v2', in_use='v1'))
    restored = make_control_state_machine(ControlSettings())
    restored.restore(machine.snapshot())
    assert restored.software_rollouts.in_use('s') == 'v1'
    step = SoftwareRolloutCommand(service='s', target='v2', state='completed')
    machine.apply(2, Command(software_rollout=step))
    earlier = orjson.loads(machine.snapshot())
    earlier.pop('software_in_use')
    restored.restore(orjson.dumps(earlier))
    assert restored.software_rollouts.in_use('s') == 'v2'


def _order(target, **fields):
    return Command(
        software_rollout=SoftwareRolloutCommand(
            service='s', target=target, state='active', duration_s=24, **fields
        )
    )
