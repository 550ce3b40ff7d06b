"""An error planted in each duty of a leader ends neither it nor the others."""

import asyncio

import pytest

from snipebridge.control.duties import LeaderDuties
from snipebridge.fleet.duties import RoutedDuties
from snipebridge.rpc.control_pb2 import ListedReplica
from snipebridge.settings.models import Settings
from snipebridge.supervision import make_supervisor
from snipebridge.upstreams.replica_list import ReplicaListSnapshot
from tests.running_control import RunningControl

DUTIES = (
    '_configure',
    '_share_out',
    '_decide_rollouts',
    '_withdraw',
    '_finish_lost_records',
    '_drop_entries',
)


def fail(*_arguments, **_fields):
    """Raise what no duty expects."""
    raise OverflowError('planted')


def counted(name, done):
    """Return a duty that only notes that it was done."""

    def duty(_self):
        done.append(name)

    return duty


@pytest.mark.parametrize('planted', DUTIES)
def test_the_other_duties_of_a_leader_are_done(planted, monkeypatch):
    done = []
    for name in DUTIES:
        duty = fail if name == planted else counted(name, done)
        monkeypatch.setattr(LeaderDuties, name, duty)

    async def scenario():
        async with RunningControl() as control:
            duties = LeaderDuties(control.process.leadership)
            done.clear()
            await duties.do_round()

    asyncio.run(scenario())
    assert set(done) == set(DUTIES) - {planted}


class ListOnce:
    """A list that is read without fault from the second time on."""

    def __init__(self):
        """Fail first."""
        self.reads = 0

    async def read(self):
        """Raise what the reader does not expect, then return the list."""
        self.reads += 1
        if self.reads == 1:
            fail()
        return ReplicaListSnapshot(1.0, [ListedReplica(id='r1')])


@pytest.mark.parametrize('planted', ['_move_rollouts', '_keep_voters'])
def test_routed_duties_go_on(planted, monkeypatch):
    """The list is read and the other duty done, whichever of them fails."""
    done = []
    for name in ('_move_rollouts', '_keep_voters'):
        duty = fail if name == planted else counted(name, done)
        monkeypatch.setattr(RoutedDuties, name, duty)

    async def scenario():
        async with RunningControl() as control:
            leadership = control.process.leadership
            settings = Settings(None)
            settings.replica_list.interval_s = 0.01
            duties = RoutedDuties(
                settings,
                leadership,
                ListOnce(),
                make_supervisor(),
            )
            running = asyncio.create_task(duties.run())
            async with asyncio.timeout(5):
                while not (leadership.routed.held.replicas and done):
                    await asyncio.sleep(0.01)
            running.cancel()

    asyncio.run(scenario())
