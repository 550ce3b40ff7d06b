"""The replicated configuration of routes, and roll-outs of software."""

from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.rpc.commands_pb2 import (
    Command,
    CommandResult,
    RoutingCommand,
    SoftwareRolloutCommand,
)
from snipebridge.settings.models import ControlSettings


class Machine:
    """The state of control, driven command by command."""

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

    def put(self, version, document=b'{}'):
        """Put a configuration."""
        command = RoutingCommand(version=version, document=document)
        return self.apply(routing=command)

    def order(self, target, at_ms=0):
        """Order a roll-out."""
        command = SoftwareRolloutCommand(
            service='s', target=target, state='active', duration_s=20.0
        )
        return self.apply(at_ms, software_rollout=command)

    def step(self, target, state, share_permille):
        """Move a roll-out on."""
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
    """An older one and a racing one of the same version change nothing."""
    machine = Machine()
    assert machine.put(7, b'first').code == CommandResult.OK
    for version in (7, 3):
        result = machine.put(version, b'other')
        assert result.code == CommandResult.DUPLICATE
        assert result.number == 7
    assert machine.state.routing.document == b'first'


def test_state_outlives_a_snapshot():
    """Routes and roll-outs are restored as they were."""
    machine = Machine()
    machine.put(7, b'first \xff')
    machine.order('v2')
    machine.step('v2', 'active', 100)
    restored = make_control_state_machine(ControlSettings())
    restored.restore(machine.state.snapshot())
    assert restored.routing.document == b'first \xff'
    assert restored.software_rollouts.by_service['s'] == machine.rollout()


def test_resent_order_starts_nothing_anew():
    """Within the time of a resend the first order holds, also when done."""
    machine = Machine()
    first = machine.order('v2')
    machine.step('v2', 'reverted', 0)
    assert machine.order('v2', at_ms=4000).number == first.number
    assert machine.rollout().state == 'reverted'
    assert machine.order('v2', at_ms=60_000).number == first.number + 1
    assert machine.rollout().state == 'active'


def test_end_of_a_rollout_is_final():
    """A late step of a leader that has lost the lead changes nothing."""
    machine = Machine()
    machine.order('v2')
    machine.step('v2', 'completed', 1000)
    machine.step('v2', 'reverted', 0)
    assert machine.rollout().state == 'completed'
    assert machine.step('v3', 'active', 10).code == CommandResult.CONFLICT
