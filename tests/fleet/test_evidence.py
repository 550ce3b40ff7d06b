"""Tests of the sums over what entries report of versions."""

from snipebridge.fleet.evidence import SoftwareEvidence
from snipebridge.policy.version_records import Stratum
from snipebridge.relay.replicas import Replica
from snipebridge.relay.software_selection import SoftwareSelector
from snipebridge.rpc.control_pb2 import SoftwareOutcome, SoftwareRollout

NEW = Replica('n', 's', 'x:1', 'a', 'v2', 4)
BOOK = Stratum('book')


def entry():
    """Return an entry that knows of a roll-out to v2."""
    selector = SoftwareSelector(5.0)
    rollout = SoftwareRollout(
        service='s', target='v2', number=1, state='active'
    )
    selector.apply_rollouts([rollout])
    return selector


def answer(selector, route, spent_s):
    """Count an answer of the new version."""
    selector.record_outcome(
        NEW, failed=False, slow=False, stratum=Stratum(route), spent_s=spent_s
    )


def test_strata_add_up_where_reports_are_lost_and_come_twice():
    """A report has what changed; a whole one now and then mends a loss."""
    first, second = entry(), entry()
    evidence = SoftwareEvidence()
    for number in range(12):
        answer(first, f'r{number % 3}', 0.01)
        answer(second, 'r0', 0.08)
        report = first.pop_outcomes()
        if number % 4 != 1:
            evidence.take('e1/1', report)
            evidence.take('e1/1', report)
        evidence.take('e2/1', second.pop_outcomes())
    record = evidence.records('s', 1)['v2']
    by_route = {one.route: counts for one, counts in record.strata.items()}
    assert (record.answered, by_route['r0'].answered) == (24, 16)
    assert by_route['r0'].slower_than(0.04) == 12
    assert by_route['r1'].timed + by_route['r2'].timed == 8


def test_report_of_an_older_build_is_not_lost():
    """It has no strata, so its answers are one."""
    evidence = SoftwareEvidence()
    outcome = SoftwareOutcome(
        service='s', software='v2', rollout=1, answered=9, failed=4, untimed=2
    )
    evidence.take('e1/1', [outcome])
    counts = evidence.records('s', 1)['v2'].strata[Stratum()]
    assert (counts.answered, counts.failed, counts.timed) == (9, 4, 7)


def test_stream_that_slows_down_is_counted_once():
    """It was counted when its pace was first known."""
    selector = entry()
    answer(selector, 'book', 0.01)
    selector.record_new_time(NEW, BOOK, 1, 0.01, 0.08)
    counts = selector.pop_outcomes()[0].strata[0]
    assert list(counts.time_counts) == [1]
