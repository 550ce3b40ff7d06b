"""The choice of a replica under lagged reports, failures and returns."""

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


def _book(count=6, entry='entry-1', **options):
    book = make_replica_selector('a', entry, **options)
    book.set_replicas(_views(count), now_s=0.0)
    return book


def _spread(book, now_s, times=1000, request=REQUEST):
    rng = random.Random(1)
    return Counter(book.choose(request, now_s, rng).name for _ in range(times))


def test_own_dispatches_correct_a_lagged_report():
    """A replica that looks less busy in an old report isn't flooded."""
    book = _book(count=3)
    for number in range(3):
        report = LoadReport(8, 8 * (number > 0), 8, age_s=0.5)
        book.record_report(f'engine-{number}', report, now_s=1.0)
    rng = random.Random(1)
    sent = Counter()
    for turn in range(24):
        name = book.choose(REQUEST, 1.0, rng).name
        book.record_dispatch(name, str(turn), 512, 64, now_s=1.0)
        sent[name] += 1
    assert 8 <= sent['engine-0'] <= 15
    track = book.track('engine-0')
    assert track.outstanding(1.0) == 8 + sent['engine-0']
    # A report measured after the dispatches has them counted already.
    late = LoadReport(8, 20, 8, age_s=0.1)
    book.record_report('engine-0', late, now_s=2.0)
    assert track.outstanding(2.0) == 28
    first = next(iter(track.in_flight))
    book.record_end('engine-0', first, Outcome.CANCELLED, now_s=2.0)
    assert track.outstanding(2.0) == 27


def test_report_counts_less_the_older_it_is():
    """A deviation from the mean fades, and own changes are mirrored."""
    book = _book(count=1)
    book.record_report('engine-0', LoadReport(8, 8, 8, age_s=0), now_s=1.0)
    track = book.track('engine-0')
    load = PoolLoad(reported_share=1.0, correction_share=0.0, entries=8.0)
    assert load.expected(track, 1.0) == 16
    assert 8 < load.expected(track, 4.0) < 9
    book.record_dispatch('engine-0', 'a', 1, 1, now_s=1.0)
    assert load.expected(track, 1.0) == 20
    assert load.expected(track, 7.0) == 1


def test_many_entries_with_one_report_do_not_herd():
    """Entries that see the same least loaded replica still spread."""
    shares = {}
    for kind in ('expected_wait', 'least_report'):
        chosen = Counter()
        for entry in range(24):
            book = _book(10, f'entry-{entry}', kind=kind)
            for number in range(10):
                busy = 8 + (number > 0)
                report = LoadReport(busy, 0, 8, age_s=1.0)
                book.record_report(f'engine-{number}', report, now_s=1.0)
            rng = random.Random(entry)
            chosen[book.choose(REQUEST, 1.0, rng).name] += 1
        shares[kind] = chosen['engine-0'] / 24
    assert shares['least_report'] == 1
    assert shares['expected_wait'] <= 0.6


def test_nearest_data_centre_until_it_is_slower():
    """Near replicas go first, and far ones once the near ones queue."""
    near = {'engine-0', 'engine-3'}
    book = _book()
    request = ReplicaRequest('small@1', prompt_tokens=100)
    for load in (0, 1, 16):
        for name in near:
            report = LoadReport(load, 0, 8, age_s=0)
            book.record_report(name, report, now_s=1.0)
        used = set(_spread(book, 1.0, request=request))
        assert used & near == (near if load < 16 else set())
        assert bool(used - near) == (load == 16)


def test_subset_is_bounded_and_covers_all_data_centres():
    """Each entry uses a part of a large pool and falls back to the rest."""
    book = _book(60, subset_size=6)
    rng = random.Random(1)
    used = []
    for _ in range(7):
        request = ReplicaRequest('small@1', excluded=frozenset(used))
        used.append(book.choose(request, 1.0, rng).name)
    centres = Counter(int(name.split('-')[1]) % 3 for name in used[:6])
    assert centres == {0: 2, 1: 2, 2: 2}
    assert set(_spread(book, 1.0)) <= set(used[:6])
    assert used[6] not in used[:6]


def test_likely_cached_prefix_draws_the_request():
    """The replica that has the prompt's prefix saves the prefill."""
    book = _book(10)
    prefixes = make_prefixes('x' * 8192, prompt_tokens=2048)
    book.prefixes.record_dispatch('engine-7', prefixes, now_s=0.0)
    request = ReplicaRequest('small@1', 2048, prefixes)
    assert set(_spread(book, 1.0, request=request)) == {'engine-7'}
    decision = book.choose(request, 1.0, random.Random(1))
    assert decision.prefill_tokens < 300
    book.record_report('engine-7', LoadReport(8, 8, 8, age_s=0), now_s=1.0)
    assert 'engine-7' not in _spread(book, 1.0, request=request)


@pytest.mark.parametrize('returned', [False, True])
def test_new_or_returned_replica_starts_slowly(returned):
    """An empty replica is no reason to send it everything."""
    book = _book(3)
    for number in range(3):
        report = LoadReport(8, 4, 8, age_s=0)
        book.record_report(f'engine-{number}', report, now_s=98.0)
    if returned:
        book = _book(4)
        leaving = _views(4)
        leaving[3] = _views(4, UpstreamState.LEAVING)[3]
        book.set_replicas(leaving, now_s=50.0)
        for number in range(3):
            report = LoadReport(8, 4, 8, age_s=0)
            book.record_report(f'engine-{number}', report, now_s=98.0)
    book.set_replicas(_views(4), now_s=99.0)
    assert _spread(book, 100.0)['engine-3'] < 200
    for number in range(3):
        report = LoadReport(8, 4, 8, age_s=0)
        book.record_report(f'engine-{number}', report, now_s=109.0)
    assert _spread(book, 109.0)['engine-3'] > 900


def test_overload_sign_counts_only_where_reports_are_old():
    """A sign moves work away from a replica that nobody reports on."""
    book = _book(2)
    sign = HealthSignal('engine-0', UpstreamState.OVERLOADED, 1, valid_s=5.0)
    book.health.record_signal(sign, now_s=3.0)
    assert set(_spread(book, 4.0)) == {'engine-1'}
    for number in range(2):
        report = LoadReport(1, 0, 8, age_s=0)
        book.record_report(f'engine-{number}', report, now_s=4.0)
    assert set(_spread(book, 4.0)) == {'engine-0'}


def test_failing_replica_is_left_alone_and_none_left_is_typed():
    """Ejected, avoided and withdrawn replicas are never chosen."""
    book = _book(2)
    for turn in range(3):
        book.record_dispatch('engine-0', str(turn), 1, 1, now_s=1.0)
        book.record_end('engine-0', str(turn), Outcome.FAILED, now_s=1.0)
    assert set(_spread(book, 1.5)) == {'engine-1'}
    excluded = ReplicaRequest('small@1', excluded=frozenset({'engine-1'}))
    refusal = book.choose(excluded, 1.5, random.Random(1))
    assert refusal == NoReplica('all_ejected', 1.0)
    tried = ReplicaRequest(
        'small@1', excluded=frozenset({'engine-0', 'engine-1'})
    )
    assert book.choose(tried, 1.5, random.Random(1)).reason == 'all_tried'
    other = book.choose(ReplicaRequest('small@2'), 1.5, random.Random(1))
    assert other.reason == 'not_served'
