"""Plans of roll-outs across configurations and leaders."""

from snipebridge.control.rollouts import PlannedRollouts
from snipebridge.controllers.rollouts import RolloutProgress
from snipebridge.rpc.control_pb2 import VersionOutcome
from tests.controllers.commands import DOCUMENT

PROCESSES = ('e1/1', 'e2/1')


def make_planner(number=1, progress=None, document=DOCUMENT):
    """Return the planner of a new leadership."""
    planner = PlannedRollouts()
    planner.begin(number)
    planner.configure(document, progress or {})
    return planner


def report(planner, now_s, errors=0, answered=100):
    """Report both versions from each process."""
    for process in PROCESSES:
        outcomes = [
            VersionOutcome(version='m@1', answered=answered, rated=answered),
            VersionOutcome(version='m@2', answered=errors, errors=errors),
        ]
        planner.report(process, outcomes, now_s)


def run_round(planner, now_s):
    """Decide, and make all that is decided durable."""
    decisions = planner.decide(PROCESSES, now_s)
    for decision in decisions:
        planner.confirm(decision)
    return decisions


def granted(planner):
    """Return the requests granted to all processes."""
    return sum(
        grant.requests
        for process in PROCESSES
        for grant in planner.grants(process, 0.0)
    )


def as_progress(decision):
    """Return a decision as the replicated state holds it."""
    progress = RolloutProgress(
        decision.version,
        decision.stage,
        decision.state,
        decision.reason,
        decision.evidence,
    )
    return {decision.version: progress}


def test_nothing_is_granted_before_it_is_durable():
    """A round decides, the next one grants."""
    planner = make_planner()
    report(planner, now_s=0.0)
    assert planner.decide(PROCESSES, 0.5)
    planner.decide(PROCESSES, 1.0)
    assert granted(planner) == 0
    run_round(planner, 1.5)
    run_round(planner, 2.0)
    assert granted(planner) > 0


def test_bad_version_is_stopped():
    """Errors of the fleet together are enough."""
    planner = make_planner()
    report(planner, now_s=0.0)
    run_round(planner, 0.5)
    report(planner, now_s=1.0, errors=20)
    decision = run_round(planner, 1.5)[0]
    assert (decision.state, decision.reason) == ('stopped', 'errors')


def test_new_leader_goes_on_from_the_durable_state():
    """Its grants have higher ids, and the evidence is kept."""
    old = make_planner()
    report(old, now_s=0.0)
    decision = run_round(old, 0.5)[0]
    run_round(old, 1.0)
    new = make_planner(2, as_progress(decision))
    report(new, now_s=2.0, answered=1000)
    run_round(new, 2.5)
    run_round(new, 3.0)
    old_ids = {grant.grant_id for grant in old.grants('e1/1', 0.0)}
    new_ids = {grant.grant_id for grant in new.grants('e1/1', 0.0)}
    assert max(old_ids) < min(new_ids)


def test_end_that_was_not_configured_is_decided_again():
    """A leader lost between the two commands leaves no bad version."""
    old = make_planner()
    report(old, now_s=0.0, errors=20)
    decision = run_round(old, 0.5)[0]
    new = make_planner(2, as_progress(decision))
    assert run_round(new, 1.0)[0].state == 'stopped'


def test_paused_rollout_grants_nothing_and_resumes_with_a_new_id():
    """The configuration decides what runs."""
    planner = make_planner()
    report(planner, now_s=0.0)
    decision = run_round(planner, 0.5)[0]
    run_round(planner, 1.0)
    first = planner.grants('e1/1', 1.0)[0].grant_id
    planner.configure({**DOCUMENT, 'rollouts': {}}, {})
    assert not run_round(planner, 1.5)
    assert granted(planner) == 0
    planner.configure(DOCUMENT, as_progress(decision))
    report(planner, now_s=2.0, answered=1000)
    run_round(planner, 2.5)
    run_round(planner, 3.0)
    assert planner.grants('e1/1', 3.0)[0].grant_id > first
