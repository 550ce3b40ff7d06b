"""Data folders on disks that fill up, fail, and lose power."""

import contextlib
import random

import pytest

from snipebridge.consensus import segments
from snipebridge.consensus.errors import StorageError
from snipebridge.consensus.messages import LogBatch, Ready, Snapshot
from snipebridge.consensus.storage import Storage
from snipebridge.rpc.consensus_pb2 import HardState, LogEntry, Membership
from tests.consensus.faulty_disk import FaultyDisk

SEEDS = 150
ROUNDS = 8


def make_ready(entries=(), previous=(0, 0), hard_state=None, snapshot=None):
    """Build what the core would ask to sync."""
    batch = LogBatch(*previous, list(entries))
    return Ready(
        [], hard_state, snapshot, batch, messages=[], committed=[], reads=[]
    )


class Member:
    """A replica's storage, and what it vouches for towards its peers."""

    def __init__(self, disk, rng):
        """Make the folder."""
        self._disk = disk
        self._rng = rng
        self._term = 0
        self.storage = Storage(disk.folder)
        self._take(self.storage.open())

    def step(self):
        """Persist something; return whether it is durable."""
        entries = list(self.entries)
        ready = self._draw(entries)
        try:
            self.storage.persist(ready)
            if self._rng.random() < 0.2 and entries:
                self._save_snapshot(entries)
        except StorageError:
            self._close()
            return False
        self.entries = entries
        self.vote = ready.hard_state or self.vote
        return True

    def reopen(self):
        """Start again; what was vouched for must be there.

        Raises `StorageError` while there is no room.
        """
        self._close()
        before = (self.entries, self.snapshot_index, self.vote.term)
        self.storage = Storage(self._disk.folder)
        self._take(self.storage.open())
        entries, snapshot_index, term = before
        assert self.vote.term >= term
        assert self.snapshot_index >= snapshot_index
        found = set(self.entries)
        for index, entry_term in entries:
            if index > self.snapshot_index:
                is_there = (index, entry_term) in found
                assert is_there, f'{index} of term {entry_term} is lost'

    def _draw(self, entries):
        """Draw a batch that appends or overwrites, and maybe a vote."""
        hard_state = None
        if self._rng.random() < 0.4:
            self._term += 1
            hard_state = HardState(term=self._term, voted_for='a/1')
        last = entries[-1] if entries else self.start
        batch = [
            LogEntry(
                term=max(self._term, last[1]),
                index=last[0] + offset,
                payload=self._rng.randbytes(self._rng.choice((5, 300))),
            )
            for offset in range(1, self._rng.randint(2, 5))
        ]
        entries.extend((entry.index, entry.term) for entry in batch)
        return make_ready(batch, last, hard_state)

    def _save_snapshot(self, entries):
        position = self._rng.choice(entries)
        if position[0] <= self.snapshot_index:
            return
        snapshot = Snapshot(*position, Membership(), b'state')
        self.storage.save_snapshot(snapshot, position[0])
        self.snapshot_index = position[0]

    def _close(self):
        with contextlib.suppress(StorageError):
            self.storage.close()

    def _take(self, recovered):
        self.start = (recovered.start_index, recovered.start_term)
        self.entries = [(one.index, one.term) for one in recovered.entries]
        self.vote = recovered.hard_state
        self._term = max(self._term, self.vote.term)
        snapshot = recovered.snapshot
        self.snapshot_index = snapshot.last_index if snapshot else 0


@pytest.mark.parametrize('seed', range(SEEDS))
def test_what_a_member_vouched_for_outlives_its_disk_faults(
    tmp_path, monkeypatch, request, seed
):
    """Guards against a folder that opens with less, or never again."""
    rng = random.Random(seed)
    disk = FaultyDisk(tmp_path / 'folder', rng)
    request.addfinalizer(disk.close)
    disk.install(monkeypatch)
    monkeypatch.setattr(segments, 'SEGMENT_BYTES', 500)
    member = Member(disk, rng)
    for _ in range(ROUNDS):
        is_sound = True
        for _ in range(rng.randint(0, 4)):
            is_sound = is_sound and member.step()
        fault = rng.choice(('is_full', 'is_failing'))
        setattr(disk, fault, True)
        while is_sound and rng.random() < 0.8:
            is_sound = member.step()
        for _ in range(rng.randint(0, 3)):
            with contextlib.suppress(StorageError):
                member.reopen()
        setattr(disk, fault, False)
        member.reopen()
        if rng.random() < 0.5:
            disk.lose_power()
            member.reopen()
    member.storage.close()
