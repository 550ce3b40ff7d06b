"""Plays entries before replicas that fall over when they reject too much."""

import asyncio
from collections import deque

import pytest

from fakes.platform_replica import PlatformReplica
from snipebridge.relay.messages import HeaderCodec
from snipebridge.settings.models import HeaderSettings
from tests.relay.running_entry import RunningEntry
from tests.relay.test_limited_replicas import run
from tests.relay.test_replica_limits import REPLICAS, Fleet

SLOTS = 6
WAITING = 1
WORK_S = 0.1
REJECTIONS_PER_S = 4
DOWN_S = 3.0
BOUND_S = 3.0
ALLOWED_FALLS = 2 + 0.1 * len(REPLICAS)
CODEC = HeaderCodec(HeaderSettings())


class BrittleFleet(Fleet):
    """Replicas with few places, which count what they turn away."""

    def __init__(self, entries):
        """Start with idle replicas."""
        super().__init__(entries, 1.0, limited=0)
        self.ends_s = {one: [] for one in REPLICAS}
        self.rejected_s = {one: deque() for one in REPLICAS}
        self.down_until_s = {one: 0.0 for one in REPLICAS}
        self.falls_s = []
        self.served_s = []
        for position, entry in enumerate(self.entries):
            entry.state.brittle.set_position(position, entries)
            for replica in entry.state.replicas.by_id.values():
                replica.slots = SLOTS

    def _send(self, entry):
        replica = entry.place()
        if replica is None:
            self.refused.append(self.now_s)
            return
        if self.down_until_s[replica] > self.now_s:
            return
        entry.state.replicas.by_id[replica].running += 1
        running = [one for one in self.ends_s[replica] if one > self.now_s]
        self.ends_s[replica] = running
        if len(running) >= SLOTS + WAITING:
            self._reject(replica)
            self._answers.append((self.now_s + 0.01, entry, replica, 503))
            return
        self.served_s.append(self.now_s)
        starts_s = self.now_s if len(running) < SLOTS else min(running)
        ends_s = starts_s + WORK_S
        running.append(ends_s)
        self._answers.append((ends_s, entry, replica, 200))

    def _reject(self, replica):
        rejected = self.rejected_s[replica]
        rejected.append(self.now_s)
        while rejected[0] <= self.now_s - 1.0:
            rejected.popleft()
        if self.now_s > BOUND_S and len(rejected) > REJECTIONS_PER_S:
            rejected.clear()
            self.falls_s.append(self.now_s)
            self.ends_s[replica] = []
            self.down_until_s[replica] = self.now_s + DOWN_S

    def _answer(self):
        due = [one for one in self._answers if one[0] <= self.now_s]
        self._answers = deque(
            one for one in self._answers if one[0] > self.now_s
        )
        for _, entry, replica, status in due:
            self._take(entry, entry.state.replicas.by_id[replica], status)

    def _take(self, entry, replica, status):
        replica.running -= 1
        ends_s = self.ends_s[replica.id]
        running = sum(one > self.now_s for one in ends_s)
        load = f'{min(running, SLOTS)},{max(0, running - SLOTS)},{SLOTS}'
        headers = [
            ('Snipebridge-Load', load),
            ('Snipebridge-Rejection-Limit', str(REJECTIONS_PER_S)),
        ]
        if status == 503:
            headers.append(('Snipebridge-Not-Run', '1'))
        head = CODEC.read_head(status, headers)
        replica.record_load(head.load, self.now_s)
        entry.state.brittle.record_answer('s', head, self.now_s)


@pytest.mark.parametrize('entries', [3, 9, 61])
@pytest.mark.parametrize('overload', [1.2, 2.0])
def test_brittle_replicas_are_not_rejected_to_death(entries, overload):
    """More requests come for some seconds than all replicas have room for."""
    fleet = BrittleFleet(entries)
    most_per_s = len(REPLICAS) * SLOTS / WORK_S
    for calm, until_s in ((0.3, 6.0), (overload, 11.0), (0.3, 16.0)):
        fleet.rate = calm * most_per_s
        fleet.play(until_s)
    assert len(fleet.falls_s) <= ALLOWED_FALLS
    calm_served = sum(one >= 14.0 for one in fleet.served_s)
    assert calm_served >= 0.9 * 0.3 * most_per_s * 2


def test_brittle_replica_that_is_full_is_left_alone():
    """Requests that come together are not all sent to it."""

    async def scenario():
        brittle = PlatformReplica('d0', 'desk', '127.0.0.1')
        brittle.faults.rejection_limit = '4'
        brittle.faults.is_full = True
        async with RunningEntry(brittle) as entry:
            await entry.request('/look/x')
            answers = await asyncio.gather(
                *(entry.request('/look/x') for _ in range(20))
            )
            assert {one.status for one in answers} == {503}
            assert len(brittle.runs) <= 1 + brittle.slots

    run(scenario())
