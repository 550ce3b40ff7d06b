"""The replicated routing configuration and software roll-outs."""

import orjson

from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.rpc.commands_pb2 import (
    Command,
    CommandResult,
    RoutingCommand,
    SoftwareRolloutCommand,
)
from snipebridge.settings.models import ControlSettings


class StateMachineDriver:
    """A state machine that tests drive command by command."""

    def __init__(self):
        """Start at the first index."""
        self.state = make_control_state_machine(ControlSettings())
        self.index = 0

    def apply(self, at_ms=0, **body):
        """Apply one command."""
        self.index += 1
        return self.state.apply(
            self.index, Command(proposed_at_ms=at_ms, **body)
        )

    def apply_document(self, version, document=b'{}'):
        """Apply a routing document."""
        command = RoutingCommand(version=version, document=document)
        return self.apply(routing=command)

    def order(self, target, at_ms=0):
        """Order a roll-out."""
        command = SoftwareRolloutCommand(
            service='s', target=target, state='active', duration_s=20.0
        )
        return self.apply(at_ms, software_rollout=command)

    def step(self, target, state, share_permille):
        """Apply a step of a roll-out."""
        command = SoftwareRolloutCommand(
            service='s',
            target=target,
            state=state,
            share_permille=share_permille,
        )
        return self.apply(software_rollout=command)

    def rollout(self):
        """Return the roll-out of the service."""
        return self.state.software_rollouts.by_service['s']


def test_highest_version_stays_in_force():
    """An older version and a concurrent equal one change nothing."""
    machine = StateMachineDriver()
    assert machine.apply_document(7, b'first').code == CommandResult.OK
    for version in (7, 3):
        result = machine.apply_document(version, b'other')
        assert result.code == CommandResult.DUPLICATE
        assert result.number == 7
    assert machine.state.routing.document == b'first'


def test_state_is_restored_from_a_snapshot():
    """Routing document and roll-outs are restored unchanged."""
    machine = StateMachineDriver()
    machine.apply_document(7, b'first \xff')
    machine.order('v2')
    machine.step('v2', 'active', 100)
    restored = make_control_state_machine(ControlSettings())
    restored.restore(machine.state.snapshot())
    assert restored.routing.document == b'first \xff'
    assert restored.software_rollouts.by_service['s'] == machine.rollout()


def test_resent_order_does_not_restart_a_rollout():
    """Within the resend window the first order holds, even when ended."""
    machine = StateMachineDriver()
    first = machine.order('v2')
    machine.step('v2', 'reverted', 0)
    assert machine.order('v2', at_ms=4000).number == first.number
    assert machine.rollout().state == 'reverted'
    assert machine.order('v2', at_ms=60_000).number == first.number + 1
    assert machine.rollout().state == 'active'


def test_end_of_a_rollout_is_final():
    """A late step of a deposed leader changes nothing."""
    machine = StateMachineDriver()
    machine.order('v2')
    machine.step('v2', 'completed', 1000)
    machine.step('v2', 'reverted', 0)
    assert machine.rollout().state == 'completed'
    assert machine.step('v3', 'active', 10).code == CommandResult.CONFLICT


def test_versions_that_were_rolled_back_are_kept_for_the_next_rollout():
    """Guards against a bad version that is forgotten with its roll-out."""
    machine = StateMachineDriver()
    rollouts = machine.state.software_rollouts
    machine.order('v2')
    machine.step('v2', 'reverted', 0)
    assert rollouts.rejected('s') == []
    machine.order('v3')
    assert rollouts.rejected('s') == ['v2']
    restored = make_control_state_machine(ControlSettings())
    restored.restore(machine.state.snapshot())
    assert restored.software_rollouts.rejected('s') == ['v2']
    machine.step('v3', 'completed', 1000)
    machine.order('v4')
    assert rollouts.rejected('s') == ['v2']
    machine.step('v4', 'reverted', 0)
    machine.order('v2')
    assert rollouts.rejected('s') == ['v4']


def test_snapshot_of_an_earlier_release_has_no_rejected_versions():
    """Guards against a process that can't be upgraded."""
    machine = StateMachineDriver()
    machine.order('v2')
    snapshot = orjson.loads(machine.state.snapshot())
    snapshot.pop('rejected_software')
    restored = make_control_state_machine(ControlSettings())
    restored.restore(orjson.dumps(snapshot))
    assert restored.software_rollouts.by_service['s'] == machine.rollout()
    assert restored.software_rollouts.rejected('s') == []
