"""Replica selection with delayed reports, failures and slow starts."""

import random
from collections import Counter

import pytest

from snipebridge.policy.health import HealthSignal, Outcome, UpstreamState
from snipebridge.policy.prefixes import make_prefixes
from snipebridge.policy.replica_loads import (
    PoolLoad,
)
from snipebridge.policy.replica_selection import (
    make_replica_selector,
)
from snipebridge.policy.replica_types import (
    LoadReport,
    NoReplica,
    ReplicaRequest,
    ReplicaView,
)

REQUEST = ReplicaRequest('small@1', prompt_tokens=512)


def _views(count=6, state=UpstreamState.LIVE):
    return [
        ReplicaView(
            f'engine-{number}',
            'abc'[number % 3],
            'models',
            frozenset({'small@1'}),
            slots=8,
            state=state,
        )
        for number in range(count)
    ]


def _selector(count=6, entry='entry-1', **options):
    selector = make_replica_selector('a', entry, **options)
    selector.set_replicas(_views(count), now_s=0.0)
    return selector


def _spread(selector, now_s, times=1000, request=REQUEST):
    rng = random.Random(1)
    return Counter(
        selector.choose(request, now_s, rng).name for _ in range(times)
    )


def test_own_dispatches_correct_a_lagged_report():
    """A replica that looks idle in an old report is not flooded."""
    selector = _selector(count=3)
    for number in range(3):
        report = LoadReport(8, 8 * (number > 0), 8, age_s=0.5)
        selector.record_report(f'engine-{number}', report, now_s=1.0)
    rng = random.Random(1)
    sent = Counter()
    for turn in range(24):
        name = selector.choose(REQUEST, 1.0, rng).name
        selector.record_dispatch(name, str(turn), 512, 64, now_s=1.0)
        sent[name] += 1
    assert 8 <= sent['engine-0'] <= 15
    replica = selector.replica('engine-0')
    assert replica.outstanding(1.0) == 8 + sent['engine-0']
    # A report measured after the dispatches already includes them.
    late = LoadReport(8, 20, 8, age_s=0.1)
    selector.record_report('engine-0', late, now_s=2.0)
    assert replica.outstanding(2.0) == 28
    first = next(iter(replica.in_flight))
    selector.record_end('engine-0', first, Outcome.CANCELLED, now_s=2.0)
    assert replica.outstanding(2.0) == 27


def test_report_loses_weight_with_age():
    """A deviation decays; changes are extrapolated to other entries."""
    selector = _selector(count=1)
    selector.record_report('engine-0', LoadReport(8, 8, 8, age_s=0), now_s=1.0)
    replica = selector.replica('engine-0')
    load = PoolLoad(reported_share=1.0, correction_share=0.0, entries=8.0)
    assert load.expected(replica, 1.0) == 16
    assert 8 < load.expected(replica, 4.0) < 9
    selector.record_dispatch('engine-0', 'a', 1, 1, now_s=1.0)
    assert load.expected(replica, 1.0) == 20
    assert load.expected(replica, 7.0) == 1


def test_many_entries_with_one_report_do_not_herd():
    """Entries that read the same report spread over the replicas."""
    shares = {}
    for kind in ('expected_wait', 'least_report'):
        chosen = Counter()
        for entry in range(24):
            selector = _selector(10, f'entry-{entry}', kind=kind)
            for number in range(10):
                busy = 8 + (number > 0)
                report = LoadReport(busy, 0, 8, age_s=1.0)
                selector.record_report(f'engine-{number}', report, now_s=1.0)
            rng = random.Random(entry)
            chosen[selector.choose(REQUEST, 1.0, rng).name] += 1
        shares[kind] = chosen['engine-0'] / 24
    assert shares['least_report'] == 1
    assert shares['expected_wait'] <= 0.6


def test_local_data_centre_is_preferred_until_it_queues():
    """Remote replicas are used only once the local ones queue."""
    local = {'engine-0', 'engine-3'}
    selector = _selector()
    request = ReplicaRequest('small@1', prompt_tokens=100)
    for load in (0, 1, 16):
        for name in local:
            report = LoadReport(load, 0, 8, age_s=0)
            selector.record_report(name, report, now_s=1.0)
        used = set(_spread(selector, 1.0, request=request))
        assert used & local == (local if load < 16 else set())
        assert bool(used - local) == (load == 16)


def test_subset_is_bounded_and_covers_all_data_centres():
    """Each entry uses a subset of a large pool, then the other replicas."""
    selector = _selector(60, subset_size=6)
    rng = random.Random(1)
    used = []
    for _ in range(7):
        request = ReplicaRequest('small@1', excluded=frozenset(used))
        used.append(selector.choose(request, 1.0, rng).name)
    centres = Counter(int(name.split('-')[1]) % 3 for name in used[:6])
    assert centres == {0: 2, 1: 2, 2: 2}
    assert set(_spread(selector, 1.0)) <= set(used[:6])
    assert used[6] not in used[:6]


def test_replica_with_cached_prefix_is_preferred():
    """The replica with the prompt's prefix wins while it has free slots."""
    selector = _selector(10)
    prefixes = make_prefixes('x' * 8192, prompt_tokens=2048)
    selector.prefixes.record_dispatch('engine-7', prefixes, now_s=0.0)
    request = ReplicaRequest('small@1', 2048, prefixes)
    assert set(_spread(selector, 1.0, request=request)) == {'engine-7'}
    decision = selector.choose(request, 1.0, random.Random(1))
    assert decision.prefill_tokens < 300
    selector.record_report('engine-7', LoadReport(8, 8, 8, age_s=0), now_s=1.0)
    assert 'engine-7' not in _spread(selector, 1.0, request=request)


@pytest.mark.parametrize('recovered', [False, True])
def test_new_or_recovered_replica_gets_a_slow_start(recovered):
    """A new replica without load does not get all requests at once."""
    selector = _selector(3)
    for number in range(3):
        report = LoadReport(8, 4, 8, age_s=0)
        selector.record_report(f'engine-{number}', report, now_s=98.0)
    if recovered:
        selector = _selector(4)
        leaving = _views(4)
        leaving[3] = _views(4, UpstreamState.LEAVING)[3]
        selector.set_replicas(leaving, now_s=50.0)
        for number in range(3):
            report = LoadReport(8, 4, 8, age_s=0)
            selector.record_report(f'engine-{number}', report, now_s=98.0)
    selector.set_replicas(_views(4), now_s=99.0)
    assert _spread(selector, 100.0)['engine-3'] < 200
    for number in range(3):
        report = LoadReport(8, 4, 8, age_s=0)
        selector.record_report(f'engine-{number}', report, now_s=109.0)
    assert _spread(selector, 109.0)['engine-3'] > 900


def test_overload_signal_counts_only_without_recent_report():
    """An overload signal diverts requests only without a recent report."""
    selector = _selector(2)
    signal = HealthSignal('engine-0', UpstreamState.OVERLOADED, 1, valid_s=5.0)
    selector.health.record_signal(signal, now_s=3.0)
    assert set(_spread(selector, 4.0)) == {'engine-1'}
    for number in range(2):
        report = LoadReport(1, 0, 8, age_s=0)
        selector.record_report(f'engine-{number}', report, now_s=4.0)
    assert set(_spread(selector, 4.0)) == {'engine-0'}


def test_unavailable_replicas_are_skipped_and_refusals_have_reasons():
    """Ejected and excluded replicas are skipped; refusals say why."""
    selector = _selector(2)
    for turn in range(3):
        selector.record_dispatch('engine-0', str(turn), 1, 1, now_s=1.0)
        selector.record_end('engine-0', str(turn), Outcome.FAILED, now_s=1.0)
    assert set(_spread(selector, 1.5)) == {'engine-1'}
    excluded = ReplicaRequest('small@1', excluded=frozenset({'engine-1'}))
    refusal = selector.choose(excluded, 1.5, random.Random(1))
    assert refusal == NoReplica('all_ejected', 1.0)
    tried = ReplicaRequest(
        'small@1', excluded=frozenset({'engine-0', 'engine-1'})
    )
    assert selector.choose(tried, 1.5, random.Random(1)).reason == 'all_tried'
    other = selector.choose(ReplicaRequest('small@2'), 1.5, random.Random(1))
    assert other.reason == 'not_served'
