"""Synthetic outcome streams through the guards against bad versions.

Roll-outs: several entries with guards under one plan, whose leader may
change. Drift: a version in service turns bad, and the requests that it still
answers are counted until its withdrawal, or until the end without a guard.
"""

import heapq
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from snipebridge.policy.drift import make_drift_detector, make_fleet_drift
from snipebridge.policy.quality import QualityCell
from snipebridge.policy.rollouts import (
    Grant,
    RequestOutcome,
    RolloutAction,
    RolloutDecision,
    RolloutGuard,
    RolloutPair,
    RolloutPlan,
    VersionReport,
    make_rollout_guard,
    make_rollout_plan,
)

NEW = 'small@2'
STABLE = 'small@1'
STAGES = (0.01, 0.05, 0.25, 1.0)
LIMIT_REQUESTS = 200
STEP_S = 0.5
REQUESTS_PER_STEP = 36
RATING_DELAY_S = 5.0
STABLE_POOR_SHARE = 0.03
STABLE_ERROR_SHARE = 0.005
STABLE_FIRST_TOKEN_S = 0.4
LONGEST_S = 7200.0


@dataclass(slots=True)
class VersionHealth:
    """Shares of poor answers and errors, and latency, of a version."""

    poor_share: float = STABLE_POOR_SHARE
    error_share: float = STABLE_ERROR_SHARE
    first_token_s: float = STABLE_FIRST_TOKEN_S


@dataclass(slots=True)
class RolloutSetting:
    """A roll-out of a version with some health over some entries."""

    label: str
    health: VersionHealth
    entries: int = 6
    leader_interval_s: float = 0.0


@dataclass(slots=True)
class RolloutFigures:
    """How a roll-out ended and how many requests the new version got."""

    action: str
    reason: str
    stage: int
    lasted_s: float
    sent: int
    traffic: int

    @property
    def sent_share(self) -> float:
        """Share of the traffic that the new version got."""
        return self.sent / self.traffic


@dataclass(slots=True, order=True)
class _LateRating:
    due_s: float
    entry: int = field(compare=False)
    version: str = field(compare=False)
    task: str = field(compare=False)
    good: bool = field(compare=False)


class _Ratings:
    """Ratings that come late, in the order of their arrival."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._late: list[_LateRating] = []

    def add(
        self,
        now_s: float,
        entry: int,
        version: str,
        good: bool,
        task: str = 'summary',
    ) -> None:
        due_s = now_s + self._rng.expovariate(1 / RATING_DELAY_S)
        rating = _LateRating(due_s, entry, version, task, good)
        heapq.heappush(self._late, rating)

    def due(self, now_s: float) -> Iterator[_LateRating]:
        while self._late and self._late[0].due_s <= now_s:
            yield heapq.heappop(self._late)


class RolloutStream:
    """Drives one roll-out to its end."""

    def __init__(self, setting: RolloutSetting, seed: int) -> None:
        """Start the first leader's plan and the entries' guards."""
        self._setting = setting
        self._rng = random.Random(seed)
        self._ratings = _Ratings(self._rng)
        self._health = {NEW: setting.health, STABLE: VersionHealth()}
        self._guards = [_make_guard() for _ in range(setting.entries)]
        self._names = [f'entry-{one}#1' for one in range(setting.entries)]
        self._leader = 1
        self._plan = _make_plan(self._leader, b'')
        self._durable = b''
        self._sent = 0
        self._traffic = 0

    def run(self) -> RolloutFigures:
        """Step until the roll-out ends, or for the longest time."""
        now_s = 0.0
        decision = RolloutDecision(RolloutAction.HOLD, '', 0)
        while now_s < LONGEST_S:
            decision = self._step(now_s)
            if decision.action in {'stop', 'complete'}:
                break
            now_s += STEP_S
            self._change_leader(now_s)
        return RolloutFigures(
            str(decision.action),
            decision.reason,
            decision.stage,
            now_s,
            self._sent,
            self._traffic,
        )

    def _step(self, now_s: float) -> RolloutDecision:
        for _ in range(REQUESTS_PER_STEP):
            self._send(now_s)
        for rating in self._ratings.due(now_s):
            outcome = RequestOutcome(ended=False, good=rating.good)
            guard = self._guards[rating.entry]
            guard.record_outcome(rating.version, outcome, now_s)
        for name, guard in zip(self._names, self._guards, strict=True):
            _report(self._plan, name, guard, now_s)
        decision = self._plan.decide(now_s)
        if decision.action != 'hold' or self._plan.needs_save():
            self._durable = self._plan.to_bytes()
            self._plan.confirm(self._durable)
        for grant in self._plan.grants(self._names, now_s):
            self._take(grant, now_s)
        return decision

    def _send(self, now_s: float) -> None:
        entry = self._rng.randrange(len(self._guards))
        guard = self._guards[entry]
        version = guard.pick_candidate(STABLE, now_s, self._rng) or STABLE
        if version == NEW:
            guard.record_sent(NEW)
            self._sent += 1
        self._traffic += 1
        health = self._health[version]
        error = self._rng.random() < health.error_share
        first_token_s = self._rng.expovariate(1 / health.first_token_s)
        outcome = RequestOutcome(error=error, first_token_s=first_token_s)
        guard.record_outcome(version, outcome, now_s)
        if not error:
            good = self._rng.random() >= health.poor_share
            self._ratings.add(now_s, entry, version, good)

    def _take(self, grant: Grant, now_s: float) -> None:
        self._guards[self._names.index(grant.entry)].apply_grant(grant, now_s)

    def _change_leader(self, now_s: float) -> None:
        interval_s = self._setting.leader_interval_s
        if interval_s and now_s % interval_s < STEP_S:
            self._leader += 1
            self._plan = _make_plan(self._leader, self._durable)


@dataclass(slots=True)
class DriftSetting:
    """A version that turns bad for part of its answers."""

    label: str
    poor_share: float = STABLE_POOR_SHARE
    error_share: float = STABLE_ERROR_SHARE
    guarded: bool = True
    # Without control, each entry has only its own stop.
    has_control: bool = True


@dataclass(slots=True)
class DriftFigures:
    """Requests that the bad version answered after it turned bad."""

    exposed: int
    withdrawn_after_s: float | None
    false_stops: int


class DriftStream:
    """Drives entries through a version's turn for the worse."""

    SOUND_S = 120.0
    BAD_S = 600.0
    # From the proposal until the withdrawal is in force at the entries.
    WITHDRAWAL_S = 1.0
    HEARTBEAT_S = 0.5
    TASKS = ('summary', 'caption', 'question')

    def __init__(self, setting: DriftSetting, seed: int, entries: int) -> None:
        """Start with a sound version."""
        self._setting = setting
        self._rng = random.Random(seed)
        self._ratings = _Ratings(self._rng)
        self._detectors = [make_drift_detector() for _ in range(entries)]
        self._fleet = make_fleet_drift()
        self._cells: list[QualityCell] = []
        self._ends = [0, 0]
        self._withdrawn_s: float | None = None
        self._figures = DriftFigures(0, None, 0)

    def run(self) -> DriftFigures:
        """Step through the sound and the bad time."""
        now_s = 0.0
        while now_s < self.SOUND_S + self.BAD_S:
            self._step(now_s)
            now_s += STEP_S
        return self._figures

    def _step(self, now_s: float) -> None:
        for _ in range(REQUESTS_PER_STEP):
            self._send(now_s)
        for rating in self._ratings.due(now_s):
            self._rate(rating, now_s)
        if self._setting.guarded and self._setting.has_control:
            self._heartbeat(now_s)

    def _send(self, now_s: float) -> None:
        entry = self._rng.randrange(len(self._detectors))
        detector = self._detectors[entry]
        if self._withdrawn_s is not None and now_s >= self._withdrawn_s:
            return
        if self._setting.guarded and detector.is_stopped(STABLE, now_s):
            return
        bad = now_s >= self.SOUND_S
        self._figures.exposed += bad
        setting = self._setting
        error_share = setting.error_share if bad else STABLE_ERROR_SHARE
        poor_share = setting.poor_share if bad else STABLE_POOR_SHARE
        error = self._rng.random() < error_share
        self._note(
            detector.observe_result(STABLE, error=error, now_s=now_s), bad
        )
        self._ends[0] += error
        self._ends[1] += 1
        if not error:
            good = self._rng.random() >= poor_share
            task = self._rng.choice(self.TASKS)
            self._ratings.add(now_s, entry, STABLE, good, task)

    def _rate(self, rating: _LateRating, now_s: float) -> None:
        reason = self._detectors[rating.entry].observe_rating(
            rating.version,
            rating.task,
            'short',
            good=rating.good,
            now_s=now_s,
        )
        self._note(reason, now_s >= self.SOUND_S)
        self._cells.append(
            QualityCell(rating.version, rating.task, 'short', rating.good, 1),
        )

    def _note(self, reason: str, bad: bool) -> None:
        if reason and not bad:
            self._figures.false_stops += 1

    def _heartbeat(self, now_s: float) -> None:
        self._fleet.report_ratings(self._cells, now_s)
        self._cells = []
        self._fleet.report_ends(STABLE, *self._ends, now_s)
        self._ends = [0, 0]
        for number, detector in enumerate(self._detectors):
            self._fleet.report_stop(
                str(number),
                STABLE,
                stopped=detector.is_stopped(STABLE, now_s),
                entry_count=len(self._detectors),
            )
        if self._fleet.proposals() and self._withdrawn_s is None:
            self._withdrawn_s = now_s + self.WITHDRAWAL_S
            self._figures.withdrawn_after_s = self._withdrawn_s - self.SOUND_S


def count_false_stops(
    poor_shares: Sequence[float],
    ratings: int,
    seeds: Sequence[int],
) -> int:
    """Return the false stops over steady streams at the local run length."""
    stops = 0
    for poor_share in poor_shares:
        for seed in seeds:
            rng = random.Random(seed)
            detector = make_drift_detector()
            for _ in range(ratings):
                good = rng.random() >= poor_share
                reason = detector.observe_rating(
                    STABLE,
                    'summary',
                    'short',
                    good=good,
                    now_s=0.0,
                )
                stops += bool(reason)
    return stops


def _make_guard() -> RolloutGuard:
    guard = make_rollout_guard()
    guard.set_rollouts([RolloutPair(NEW, STABLE)])
    return guard


def _make_plan(leader: int, durable: bytes) -> RolloutPlan:
    return make_rollout_plan(
        NEW,
        STABLE,
        STAGES,
        LIMIT_REQUESTS,
        epoch=leader,
        durable=durable,
    )


def _report(
    plan: RolloutPlan,
    name: str,
    guard: RolloutGuard,
    now_s: float,
) -> None:
    reports = {one.version: one for one in guard.pop_reports()}
    plan.report(
        name,
        reports.get(NEW, VersionReport(NEW)),
        reports.get(STABLE, VersionReport(STABLE)),
        now_s,
    )
