"""The state machine is deterministic, also after a snapshot restore."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.rpc.commands_pb2 import (
    RAN_NO,
    RAN_UNKNOWN,
    RAN_YES,
    Command,
    EntryCommand,
    LeadershipCommand,
    OrderCommand,
    RolloutCommand,
    StoredAnswer,
)
from snipebridge.settings.models import ControlSettings
from tests.controllers.commands import (
    DOCUMENT,
    INVALID,
    begin,
    bill,
    command,
    finish,
    patch,
)

SETTINGS = ControlSettings(bill_retention_s=2.0, record_retention_s=2.0)
ROLLOUT = RolloutCommand(version='m@2', stage=1, state='running', evidence=b'x')
BODIES = (
    {'patch': patch(DOCUMENT)},
    {'patch': patch({'tasks': None}, base=1, key='k2')},
    {'patch': patch({'rollouts': None}, base=2, key='k3')},
    {'patch': patch({'billing': {'exported_through': 1}}, base=1, key='k4')},
    {'patch': patch(b'no JSON', base=1, key='k5')},
    {'entry': EntryCommand(name='e1', address='h:1')},
    {'entry': EntryCommand(name='e1', left=True)},
    {'bill': bill('r1', 500, prompt_tokens=3)},
    {'bill': bill('r2', 1500, account='b')},
    {'begin': begin('q1')},
    {'begin': begin('q1', attempt='t2')},
    {'begin': begin('q2', digest=b'\xff')},
    {'finish': finish(RAN_NO, 'q1')},
    {'finish': finish(RAN_UNKNOWN, 'q2')},
    {
        'finish': finish(
            RAN_YES,
            'q1',
            answer=StoredAnswer(body=b'\x00\xff'),
            bill=bill('q1', 700),
        ),
    },
    {'leadership': LeadershipCommand(leader='c1', term=1)},
    {'leadership': LeadershipCommand(leader='c2', term=2)},
    {'order': OrderCommand(upstream='e1', state='issued', fencing_number=1)},
    {'rollout': ROLLOUT},
)
COMMANDS = st.lists(
    st.tuples(st.sampled_from(range(len(BODIES))), st.integers(0, 4000)),
    max_size=40,
)


def make_machine(*bodies):
    """Return a state machine after some commands."""
    machine = make_control_state_machine(SETTINGS)
    for index, body in enumerate(bodies, start=1):
        machine.apply(index, command(**body))
    return machine


@settings(derandomize=True, deadline=None, max_examples=200)
@given(steps=COMMANDS, cut=st.integers(0, 40))
def test_snapshot_at_any_point_gives_the_same_state(steps, cut):
    """A restored replica behaves like one that applied every command."""
    whole = make_machine()
    restored = make_machine()
    for index, (position, now_ms) in enumerate(steps, start=1):
        if index == cut:
            restored = make_machine()
            restored.restore(whole.snapshot())
        made = command(now_ms, **BODIES[position])
        expected = whole.apply(index, made)
        assert restored.apply(index, made) == expected
    assert restored.snapshot() == whole.snapshot()


def test_time_never_decreases():
    """A leader with a slow clock does not make expired bills valid."""
    machine = make_machine()
    machine.apply(1, command(10_000, entry=EntryCommand(name='e1')))
    late = machine.apply(2, command(0, bill=bill('r', finished_at_ms=0)))
    assert machine.now_ms == 10_000
    assert late.code == late.EXPIRED


@pytest.mark.parametrize('unknown', [Command(), Command(proposed_at_ms=5)])
def test_unknown_command_changes_nothing(unknown):
    """A command type from a later software version is rejected."""
    assert make_machine().apply(1, unknown).code == INVALID


def test_export_is_acknowledged_by_a_patch():
    """The acknowledgement is a numbered configuration change."""
    machine = make_machine({'bill': bill('r1')}, {'bill': bill('r2')})
    change = patch({'billing': {'exported_through': 1}})
    machine.apply(3, command(patch=change))
    left = [one.bill.request_id for one in machine.ledger.read(0, 10)]
    assert left == ['r2']


def test_rollout_progress_follows_the_configuration():
    """Progress survives a pause and is reset when a roll-out restarts."""
    machine = make_machine({'patch': patch(DOCUMENT)}, {'rollout': ROLLOUT})
    stages = []
    for number, state in enumerate(
        ('paused', 'running', 'stopped', 'running'), start=1
    ):
        change = {'rollouts': {'m@2': {'state': state}}}
        made = patch(change, base=number, key=state + str(number))
        machine.apply(number + 2, command(patch=made))
        progress = machine.rollouts.progress.get('m@2')
        stages.append(progress and progress.stage)
    assert stages == [1, 1, 1, None]
