"""Tests of roll-outs: exposure budgets, grants, stops and advances."""

import random

import pytest

from snipebridge.policy.evidence import OutcomeSums
from snipebridge.policy.rollouts import (
    RequestOutcome,
    RolloutPair,
    VersionReport,
    make_rollout_guard,
    make_rollout_plan,
)

NEW = 'small@2'
STABLE = 'small@1'
STAGES = (0.01, 0.05, 1.0)
LIMIT_REQUESTS = 200
STEP_S = 0.5


def make_plan(epoch=1, durable=b''):
    """Return a plan with the default stages."""
    return make_rollout_plan(
        NEW,
        STABLE,
        STAGES,
        LIMIT_REQUESTS,
        epoch=epoch,
        durable=durable,
    )


def save(plan):
    """Make the state of the plan durable."""
    durable = plan.to_bytes()
    plan.confirm(durable)
    return durable


def make_sums(answered, poor=0, errors=0):
    """Return sums of outcomes that were all rated."""
    return OutcomeSums(answered, errors, answered, answered - poor)


def report(plan, entry, new=None, stable=None, now_s=0.0, stopped=False):
    """Report the sums of an entry."""
    plan.report(
        entry,
        VersionReport(NEW, new or OutcomeSums(), stopped=stopped),
        VersionReport(STABLE, stable or OutcomeSums()),
        now_s,
    )


def granted(plan, entries, now_s=0.0):
    """Return the requests granted to all entries."""
    return sum(grant.requests for grant in plan.grants(entries, now_s))


class Fleet:
    """Simulated entries with guards, and a plan whose leader may change."""

    def __init__(self, seed, entries=6, poor=0.03, errors=0.01):
        """Start a roll-out of a version with these bad shares."""
        self.rng = random.Random(seed)
        self.poor = {NEW: poor, STABLE: 0.03}
        self.errors = {NEW: errors, STABLE: 0.01}
        self.guards = {}
        for number in range(entries):
            guard = make_rollout_guard()
            guard.set_rollouts([RolloutPair(NEW, STABLE)])
            self.guards[f'entry-{number}#1'] = guard
        self.plan = make_plan()
        self.durable = save(self.plan)
        self.sent = 0
        self.traffic = 0

    def step(self, now_s, requests=10):
        """Send requests at each entry, then report, decide and grant."""
        for name, guard in self.guards.items():
            for _ in range(requests):
                self.send(guard, now_s)
            reports = {one.version: one for one in guard.pop_reports()}
            self.plan.report(
                name,
                reports.get(NEW, VersionReport(NEW)),
                reports.get(STABLE, VersionReport(STABLE)),
                now_s,
            )
        decision = self.plan.decide(now_s)
        if decision.action != 'hold' or self.plan.needs_save():
            self.durable = save(self.plan)
        for grant in self.plan.grants(list(self.guards), now_s):
            self.guards[grant.entry].apply_grant(grant, now_s)
        return decision

    def send(self, guard, now_s):
        """Send one request and rate it."""
        self.traffic += 1
        version = guard.pick_candidate(STABLE, now_s, self.rng) or STABLE
        if version == NEW:
            guard.record_sent(NEW)
            self.sent += 1
        error = self.rng.random() < self.errors[version]
        good = None if error else self.rng.random() >= self.poor[version]
        outcome = RequestOutcome(error=error, good=good)
        guard.record_outcome(version, outcome, now_s)

    def run(self, steps=4000, leader_every=0):
        """Run steps until the roll-out ends."""
        for number in range(steps):
            decision = self.step(number * STEP_S)
            if decision.action in {'stop', 'complete'}:
                break
            if leader_every and number % leader_every == leader_every - 1:
                self.plan = make_plan(number + 2, self.durable)
        return decision


def test_nothing_is_granted_before_a_durable_state_allows_it():
    """A new leader would not count grants without a durable ceiling."""
    plan = make_plan()
    report(plan, 'entry-1', stable=make_sums(5000))
    assert granted(plan, ['entry-1']) == 0
    save(plan)
    assert granted(plan, ['entry-1']) > 0


@pytest.mark.parametrize('entries', [3, 24])
def test_exposure_does_not_grow_with_the_entries(entries):
    """The grants of all entries stay within one budget."""
    plan = make_plan()
    names = [f'entry-{number}' for number in range(entries)]
    for _ in range(300):
        for name in names:
            report(plan, name, stable=make_sums(12000 // entries // 10))
        save(plan)
        assert granted(plan, names) <= LIMIT_REQUESTS
    assert granted(plan, names) == LIMIT_REQUESTS


def test_grant_of_a_lost_entry_counts_as_used():
    """Requests granted to a lost entry are not granted again."""
    plan = make_plan()
    for _ in range(300):
        report(plan, 'entry-1', stable=make_sums(1200))
        save(plan)
        first = granted(plan, ['entry-1'])
    report(plan, 'entry-2', stable=make_sums(1200))
    save(plan)
    assert first == LIMIT_REQUESTS
    assert granted(plan, ['entry-2']) == 0


def test_new_leader_counts_unknown_grants_as_used():
    """The grants of both leaders together stay within the budget."""
    fleet = Fleet(seed=1)
    for number in range(60):
        fleet.step(number * STEP_S)
    stage_budget = LIMIT_REQUESTS
    old = granted(fleet.plan, list(fleet.guards))
    fleet.plan = make_plan(2, fleet.durable)
    for _ in range(600):
        for name in fleet.guards:
            report(fleet.plan, name, stable=make_sums(200))
        save(fleet.plan)
        new = granted(fleet.plan, list(fleet.guards))
        assert old + new <= stage_budget
    assert new > 0


def test_duplicate_or_expired_grant_has_no_effect():
    """A duplicate grant permits no more requests, an expired one none."""
    fleet = Fleet(seed=1, entries=1)
    guard = next(iter(fleet.guards.values()))
    report(fleet.plan, 'entry-0#1', stable=make_sums(100))
    grant = fleet.plan.grants(['entry-0#1'], 0.0)[0]
    for _ in range(10):
        guard.apply_grant(grant, 0.0)
        if guard.may_send(NEW, 1.0):
            guard.record_sent(NEW)
    assert not guard.may_send(NEW, 1.0)
    other = make_rollout_guard()
    other.apply_grant(grant, 0.0)
    assert other.may_send(NEW, 1.0)
    assert not other.may_send(NEW, grant.valid_s)


def test_grant_of_an_earlier_leader_is_ignored():
    """A delayed reply of the old leader does not restore its grant."""
    grants = []
    for epoch in (2, 1):
        plan = make_plan(epoch)
        save(plan)
        report(plan, 'entry-1', stable=make_sums(100))
        grants.extend(plan.grants(['entry-1'], 0.0))
    guard = make_rollout_guard()
    guard.apply_grant(grants[0], 0.0)
    assert guard.may_send(NEW, 0.0)
    guard.record_sent(NEW)
    guard.apply_grant(grants[1], 0.0)
    assert not guard.may_send(NEW, 0.0)


@pytest.mark.parametrize('leader_every', [0, 100])
def test_healthy_version_completes(leader_every):
    """It passes all stages, with and without changes of leader."""
    fleet = Fleet(seed=3)
    decision = fleet.run(leader_every=leader_every)
    assert decision.action == 'complete'
    assert make_plan(9, fleet.durable).decide(0.0) == decision


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    'shares',
    [{'poor': 0.25}, {'poor': 1.0}, {'errors': 0.3}, {'errors': 1.0}],
)
def test_bad_version_stops_within_one_per_cent(seed, shares):
    """It gets some requests and at most a hundredth of the traffic."""
    fleet = Fleet(seed, **shares)
    decision = fleet.run()
    assert decision.action == 'stop'
    assert decision.stage == 0
    assert 0 < fleet.sent <= 0.01 * fleet.traffic
    resumed = make_plan(9, fleet.durable)
    assert resumed.decide(0.0) == decision
    assert not resumed.grants(list(fleet.guards), 0.0)


def test_no_advance_without_ratings():
    """The roll-out is held while the rater is down."""
    plan = make_plan()
    unrated = OutcomeSums(answered=100000)
    report(plan, 'entry-1', new=unrated, stable=unrated)
    plan.decide(0.0)
    decision = plan.decide(1000.0)
    assert decision.action == 'hold'
    assert 'too_few_ratings' in decision.reason


def test_stage_waits_for_slow_outcomes():
    """Good answers that arrive early do not hide those that hang."""
    plan = make_plan()
    report(plan, 'entry-1', new=make_sums(150), stable=make_sums(5000))
    assert plan.decide(0.0).reason == 'stage_too_young'
    assert plan.decide(29.0).action == 'hold'
    assert plan.decide(30.0).action == 'advance'
    assert plan.decide(31.0).action == 'hold'


def test_no_advance_while_latency_is_unsure():
    """A version that may be twice as slow is held."""
    plan = make_plan()
    slow = OutcomeSums(150, 0, 150, 150, 40, 36.0, 34.4)
    fast = OutcomeSums(5000, 0, 5000, 5000, 5000, 2500.0, 1500.0)
    report(plan, 'entry-1', new=slow, stable=fast)
    plan.decide(0.0)
    assert plan.decide(30.0).reason == 'latency_unsure'


@pytest.mark.parametrize(
    ('fleet', 'action'),
    [(('entry-1', 'entry-2', 'entry-3'), 'hold'), (('entry-1',), 'stop')],
)
def test_stops_of_entries_stop_the_fleet(fleet, action):
    """One entry of many may have a local problem; two stop the fleet."""
    plan = make_plan()
    plan.grants(fleet, 0.0)
    report(plan, 'entry-1', stopped=True)
    assert plan.decide(0.0).action == action
    report(plan, 'entry-2', stopped=True)
    assert plan.decide(0.0).action == 'stop'


def test_late_ratings_survive_a_change_of_leader():
    """They are saved also when nothing is left to grant."""
    plan = make_plan()
    report(plan, 'entry-1', new=OutcomeSums(LIMIT_REQUESTS))
    durable = save(plan)
    assert not plan.needs_save()
    report(plan, 'entry-1', new=OutcomeSums(rated=9, rated_good=9))
    assert not plan.needs_save()
    report(plan, 'entry-1', new=OutcomeSums(rated=1, rated_good=1))
    assert plan.needs_save()
    durable = save(plan)
    assert not plan.needs_save()
    assert make_plan(2, durable).sums.rated == 10


def test_repeated_leaders_reserve_no_more_than_traffic_allows():
    """Traffic counts across leaders, and their reserves do not add up."""
    plan = make_plan()
    durable = save(plan)
    for leader in range(2, 52):
        report(plan, 'entry-1', stable=make_sums(100))
        if plan.needs_save():
            durable = save(plan)
        plan = make_plan(leader, durable)
    for _ in range(250):
        report(plan, 'entry-1', stable=make_sums(100))
        if plan.needs_save():
            save(plan)
        last = granted(plan, ['entry-1'])
    assert last >= LIMIT_REQUESTS - 60


def test_traffic_is_saved_before_there_is_anything_to_grant():
    """A new leader continues from the traffic that the old one counted."""
    plan = make_plan()
    durable = save(plan)
    plan = make_plan(2, durable)
    for _ in range(12):
        report(plan, 'entry-1', stable=make_sums(100))
        if plan.needs_save():
            durable = save(plan)
    plan = make_plan(3, durable)
    report(plan, 'entry-1', stable=make_sums(100))
    save(plan)
    assert granted(plan, ['entry-1']) >= 4


def test_session_traffic_is_charged():
    """Requests of sessions beyond the grant reduce further grants."""
    plan = make_plan()
    save(plan)
    report(plan, 'entry-1', new=make_sums(LIMIT_REQUESTS))
    report(plan, 'entry-2', stable=make_sums(100000))
    save(plan)
    assert granted(plan, ['entry-2']) == 0


@pytest.mark.parametrize('good_before', [0, 300])
def test_entry_stops_a_failing_version_at_once(good_before):
    """A run of errors stops it locally before control decides."""
    guard = make_rollout_guard()
    guard.set_rollouts([RolloutPair(NEW, STABLE)])
    for _ in range(300):
        guard.record_outcome(STABLE, RequestOutcome(good=True), 0.0)
    for _ in range(good_before):
        guard.record_outcome(NEW, RequestOutcome(good=True), 0.0)
    failure = RequestOutcome(error=True)
    reasons = [guard.record_outcome(NEW, failure, 0.0) for _ in range(8)]
    assert 'errors' in reasons
    assert not guard.may_send(NEW, 0.0)
    assert any(one.stopped for one in guard.pop_reports())


def test_second_rollout_of_a_version_resets_its_outcomes():
    """An earlier stop and earlier outcomes of both versions do not count."""
    guard = make_rollout_guard()
    pair = RolloutPair(NEW, STABLE)
    guard.set_rollouts([pair])
    for _ in range(8):
        guard.record_outcome(NEW, RequestOutcome(error=True), 0.0)
    guard.set_rollouts([pair])
    assert guard.is_stopped(NEW)
    guard.set_rollouts([])
    guard.set_rollouts([pair])
    assert not guard.is_stopped(NEW)
    reports = {one.version: one for one in guard.pop_reports()}
    assert reports[NEW].sums.errors == 8


def test_entry_tolerates_errors_of_both_versions():
    """An overload that fails 30 % on both versions stops neither."""
    guard = make_rollout_guard()
    guard.set_rollouts([RolloutPair(NEW, STABLE)])
    rng = random.Random(5)
    for number in range(20000):
        version = NEW if number % 100 == 0 else STABLE
        outcome = RequestOutcome(error=rng.random() < 0.3)
        assert not guard.record_outcome(version, outcome, 0.0)
