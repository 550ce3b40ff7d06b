"""Prompt parts that are kept from replicas, as replicated state."""

from snipebridge.controllers.prompt_quarantines import FIRST_MS, MAX_PARTS
from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.rpc.commands_pb2 import (
    Command,
    CommandResult,
    PromptQuarantineCommand,
)
from snipebridge.settings.models import ControlSettings


class Machine:
    """A state machine with the commands of these tests."""

    def __init__(self):
        """Start empty."""
        self.state = make_control_state_machine(ControlSettings())

    def apply(self, part, at_ms, *, lifted=False):
        """Quarantine a part, or lift it; return the code of the result."""
        command = PromptQuarantineCommand(service='s', part=part, lifted=lifted)
        whole = Command(proposed_at_ms=at_ms, prompt_quarantine=command)
        return self.state.apply(self.state.applied_index + 1, whole).code

    def parts(self, at_ms):
        """Return the parts in force."""
        held = self.state.prompt_quarantines.in_force(at_ms)
        return [one.part for one in held]


def test_snapshot_keeps_quarantines_and_how_often_a_part_was_found():
    """The second quarantine of a part lasts twice as long."""
    machine = Machine()
    assert machine.apply('p', 0) == CommandResult.OK
    assert machine.apply('p', 1) == CommandResult.DUPLICATE
    assert machine.parts(FIRST_MS - 1) == ['p']
    assert not machine.parts(FIRST_MS)
    machine.apply('p', FIRST_MS)
    restored = Machine()
    restored.state.restore(machine.state.snapshot())
    assert restored.parts(3 * FIRST_MS - 1) == ['p']
    assert not restored.parts(3 * FIRST_MS)
    expired = restored.state.prompt_quarantines.expired(3 * FIRST_MS)
    assert [one.part for one in expired] == ['p']


def test_lifted_part_counts_as_never_found():
    """It was found wrongly, so it takes full evidence again."""
    machine = Machine()
    machine.apply('p', 0)
    assert machine.apply('p', 1, lifted=True) == CommandResult.OK
    assert machine.apply('p', 2, lifted=True) == CommandResult.DUPLICATE
    assert not machine.parts(3)
    assert not machine.state.prompt_quarantines.expired(3)


def test_snapshot_of_an_older_build_has_no_quarantines():
    """Its key is missing, and parts are bounded in number."""
    machine = Machine()
    old = Machine().state.snapshot().replace(b'"prompt_quarantines":[],', b'')
    for number in range(MAX_PARTS + 5):
        machine.apply(f'p{number}', 0)
    assert len(machine.parts(1)) == MAX_PARTS
    machine.state.restore(old)
    assert not machine.parts(1)
    assert machine.apply('', 2) == CommandResult.INVALID
