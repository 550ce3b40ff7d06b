"""Commands of other builds and with extreme numbers never stop a replica.

All replicas apply the same commands, so an error here would end every control
process, and again at each start.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.rpc.commands_pb2 import Command
from snipebridge.settings.models import ControlSettings
from tests.random_messages import messages


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(messages(Command), max_size=8))
def test_any_commands_are_applied_alike(commands):
    machine = make_control_state_machine(ControlSettings())
    other = make_control_state_machine(ControlSettings())
    for index, command in enumerate(commands, start=1):
        copy = Command.FromString(command.SerializeToString())
        result = machine.apply(index, command)
        assert result == other.apply(index, copy)
    content = machine.snapshot()
    assert content == other.snapshot()
    restored = make_control_state_machine(ControlSettings())
    restored.restore(content)
    assert restored.snapshot() == content
