"""Roll-outs of a service before several entries and a leader, step by step."""

import random
from dataclasses import dataclass, field

from snipebridge.controllers.software_rollouts import (
    ACTIVE,
    SoftwareRollouts,
)
from snipebridge.fleet.evidence import SoftwareEvidence
from snipebridge.fleet.software import SoftwareDuty
from snipebridge.policy.latency_baseline import SLOW_ANSWER, LatencyBaseline
from snipebridge.policy.software_rollouts import RolloutBounds
from snipebridge.policy.version_records import Stratum
from snipebridge.relay.replicas import Replica
from snipebridge.relay.software_selection import SoftwareSelector
from snipebridge.rpc.commands_pb2 import SoftwareRolloutCommand
from snipebridge.rpc.control_pb2 import ListedReplica, SoftwareRollout

OLD = [Replica(f'o{one}', 's', 'x:1', 'a', 'v1', 6) for one in range(3)]
NEW = [Replica(f'n{one}', 's', 'x:1', 'a', 'v2', 6) for one in range(3)]
LISTED = [
    ListedReplica(id=one.id, service='s', software=one.software)
    for one in OLD + NEW
]
BOUNDS = RolloutBounds(exposure_share=0.15, exposure_slack=30)
STOP_S = 5.0
LAST_COUNTED_BAD = 50
HEARTBEAT_S = 0.2


@dataclass(slots=True)
class Path:
    """Requests of one route."""

    name: str
    weight: float
    median_s: float = 0.015
    # Share of the requests that fail wherever they run.
    failing: float = 0.0


@dataclass(slots=True)
class Version:
    """What is wrong with a version, on the routes named or on all."""

    failing: float = 0.0
    slow_share: float = 0.0
    slow_ratio: float = 1.0
    only_on: str = ''
    # Seconds after the order.
    bad_from_s: float = 0.0

    def run(self, path, rng, age_s):
        """Return whether a request fails, how long it takes, if it is bad."""
        spent_s = path.median_s * rng.lognormvariate(0, 0.45) + 0.004
        is_failed = rng.random() < path.failing
        is_off = self.only_on not in {'', path.name}
        if is_off or age_s < self.bad_from_s:
            return is_failed, spent_s, False
        if rng.random() < self.failing:
            return True, spent_s, True
        if rng.random() < self.slow_share:
            return is_failed, spent_s * self.slow_ratio, True
        return is_failed, spent_s, False


class Clock:
    """A clock that the trial moves."""

    def __init__(self):
        self.now_s = 100.0

    def monotonic_s(self):
        """Return the steady time."""
        return self.now_s

    def wall_ms(self):
        """Return the time of day."""
        return int(self.now_s * 1000)


class TrialEntry:
    """The part of an entry that counts answers of versions."""

    def __init__(self, rng):
        self.selector = SoftwareSelector(5.0, rng=rng)
        self.baseline = LatencyBaseline(SLOW_ANSWER)

    def count(self, replica, path, failed, spent_s):
        """Count an answer, as slow beside the samples of this entry."""
        self.selector.record_outcome(
            replica,
            failed=failed,
            slow=self.baseline.exceeds(path.name, '', spent_s),
            is_timed=self.baseline.has_samples(path.name, ''),
            stratum=Stratum(path.name),
            spent_s=spent_s,
        )
        if replica.software == 'v1' and not failed:
            self.baseline.add_sample(path.name, '', spent_s)


@dataclass(slots=True)
class Result:
    """How a roll-out ended, and what its target got."""

    state: str = ACTIVE
    reason: str = ''
    ended_s: float = 0.0
    requests: int = 0
    exposed: int = 0
    bad_at_s: list[float] = field(default_factory=list)
    last_exposed_s: float = 0.0

    @property
    def is_within_bounds(self):
        """Whether a bad version got no more than operators allow."""
        allowed = BOUNDS.exposure_share * self.requests + BOUNDS.exposure_slack
        is_late = (
            len(self.bad_at_s) >= LAST_COUNTED_BAD
            and self.last_exposed_s
            > self.bad_at_s[LAST_COUNTED_BAD - 1] + STOP_S
        )
        return self.exposed <= allowed and not is_late


class Trial:
    """A roll-out from its order to its end."""

    def __init__(
        self, seed, paths, version, *, entries=9, per_s=15.0, old=None
    ):
        self.rng = random.Random(seed)
        self.paths = paths
        self.version = version
        self.old = old or Version()
        self.per_s = per_s
        self.clock = Clock()
        self.entries = [
            TrialEntry(random.Random(f'{seed}/{one}')) for one in range(entries)
        ]
        self.evidence = SoftwareEvidence()
        self.duty = SoftwareDuty(self.clock, BOUNDS)
        self.rollouts = SoftwareRollouts()
        self.pending = []
        self.result = Result()

    def play(self, duration_s=18.0):
        """Play until the deadline, and return what happened."""
        start_s = self.clock.now_s
        order = SoftwareRolloutCommand(
            service='s', target='v2', state=ACTIVE, duration_s=duration_s
        )
        self.rollouts.apply(order, self.clock.wall_ms())
        number = 0
        while self.clock.now_s < start_s + duration_s:
            self._heartbeats()
            due = self.per_s * HEARTBEAT_S
            for _ in range(int(due) + (self.rng.random() < due - int(due))):
                number += 1
                self._send(f'k{number}', self.clock.now_s - start_s)
            self.clock.now_s += HEARTBEAT_S
            self._lead(self.clock.now_s - start_s)
        return self.result

    def _heartbeats(self):
        rollout = self.rollouts.by_service['s']
        told = SoftwareRollout(
            service='s',
            target='v2',
            number=rollout.number,
            state=rollout.state,
            share_permille=rollout.share_permille,
        )
        for number, entry in enumerate(self.entries):
            self.evidence.take(f'e{number}', entry.selector.pop_outcomes())
            entry.selector.apply_rollouts([told])

    def _send(self, key, age_s):
        entry = self.rng.choice(self.entries)
        path = self.rng.choices(self.paths, [one.weight for one in self.paths])[
            0
        ]
        now_s = self.clock.now_s
        found = entry.selector.eligible(OLD + NEW, 's', '', key, now_s)
        replica = self.rng.choice(found)
        entry.selector.record_sent(replica)
        is_target = replica.software == 'v2'
        version = self.version if is_target else self.old
        failed, spent_s, is_bad = version.run(path, self.rng, age_s)
        entry.count(replica, path, failed, spent_s)
        self.result.requests += 1
        self.result.exposed += is_target
        if is_target:
            self.result.last_exposed_s = now_s
            if is_bad:
                self.result.bad_at_s.append(now_s)

    def _lead(self, age_s):
        commands = self.duty.commands(self.rollouts, self.evidence, LISTED)
        for command in commands:
            step = command.software_rollout
            self.rollouts.apply(step, self.clock.wall_ms())
            if step.state != ACTIVE:
                self.result.state = step.state
                self.result.reason = step.reason
                self.result.ended_s = age_s
