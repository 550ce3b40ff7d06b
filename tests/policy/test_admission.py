"""Tests of admission control: fairness, queue bounds and deadlines."""

from collections import Counter

import pytest

from snipebridge.policy.admission import (
    make_admission,
)
from snipebridge.policy.admission_types import (
    Admitted,
    AdmissionRequest,
    Queued,
    RefusalReason,
    Refused,
)
from snipebridge.policy.fair_queue import (
    CREDIT_REQUESTS,
)


def _admission(limit=1):
    admission = make_admission(standing_queue_s=10.0)
    admission.set_limit('models', limit, now_s=0.0)
    return admission


def _offer(admission, account, now_s=0.0, weight=1.0, **fields):
    request = AdmissionRequest(account, weight, 'models', **fields)
    return admission.offer(request, now_s)


def _serve(admission, running, offers, count):
    """Offer requests to a busy pool between releases.

    Returns the admitted accounts in order and the last running ticket.
    """
    owners = {}
    served = []
    for turn in range(count):
        now_s = turn / 10
        for account, fields in offers:
            result = _offer(admission, account, now_s, **fields)
            if isinstance(result, Queued):
                owners[result.ticket] = account
        admission.expire(now_s)
        running = admission.release(running, now_s)[0].ticket
        served.append(owners.get(running))
    return served, running


def test_greedy_account_gets_its_weighted_share():
    """Ten times the requests bring an account no more than its share."""
    admission = _admission()
    first = _offer(admission, 'greedy')
    offers = [('greedy', {}) for _ in range(10)]
    offers += [('small', {}), ('large', {'weight': 2.0})]
    served, _ = _serve(admission, first.ticket, offers, count=400)
    served = Counter(served)
    assert served['greedy'] == pytest.approx(100, rel=0.1)
    assert served['small'] == pytest.approx(100, rel=0.1)
    assert served['large'] == pytest.approx(200, rel=0.1)


def test_idle_share_is_used_by_others_and_reclaimed_at_once():
    """A sole account uses the whole pool; a new account is served next."""
    admission = _admission(limit=4)
    running = [_offer(admission, 'busy') for _ in range(4)]
    assert all(isinstance(result, Admitted) for result in running)
    for _ in range(4):
        _offer(admission, 'busy')
    newcomer = _offer(admission, 'new')
    admitted = []
    for result in running[:2]:
        admitted.extend(admission.release(result.ticket, now_s=0.1))
    assert Admitted(newcomer.ticket) in admitted


def test_idle_account_earns_bounded_credit():
    """An account with few requests does not save up its share."""
    admission = _admission(limit=2)
    _offer(admission, 'quiet')
    first = _offer(admission, 'busy')
    _, last = _serve(admission, first.ticket, [('busy', {})], count=50)
    offers = [('quiet', {}), ('busy', {})]
    served, _ = _serve(admission, last, offers, count=20)
    assert 10 <= Counter(served)['quiet'] <= 10 + CREDIT_REQUESTS


def test_captions_go_first_without_starving_another_account():
    """Priority is bounded by an allowance and can't take the whole pool."""
    admission = _admission()
    first = _offer(admission, 'captions', priority=0)
    offers = [('captions', {'priority': 0}), ('summaries', {'priority': 2})]
    served, _ = _serve(admission, first.ticket, offers, count=100)
    assert set(served[:4]) == {'captions'}
    assert Counter(served)['summaries'] >= 45


def test_request_that_would_miss_its_deadline_is_refused_at_once():
    """The time to retry is when the queue is expected to have room."""
    admission = _admission()
    _offer(admission, 'a')
    waiting = [_offer(admission, 'a', deadline_s=9.0) for _ in range(3)]
    assert all(isinstance(result, Queued) for result in waiting)
    refused = _offer(admission, 'a', deadline_s=3.0, expected_s=0.5)
    # Three queued requests and a running one take a second each; half of the
    # slack of 2.5 s may be spent in the queue.
    assert refused == Refused(RefusalReason.DEADLINE, 2.75)
    infeasible = _offer(admission, 'a', deadline_s=3.0, expected_s=4.0)
    assert infeasible.reason is RefusalReason.DEADLINE_TOO_SHORT


def test_queued_request_is_refused_at_its_latest_start():
    """A stalled queue does not hold a request past its deadline."""
    admission = _admission()
    running = _offer(admission, 'a')
    expiring = _offer(admission, 'a', deadline_s=4.0, expected_s=0.5)
    unexpired = _offer(admission, 'a')
    assert admission.next_expiry_s() == 3.5
    assert not admission.expire(now_s=3.4)
    # Expired before the release: it is skipped, then refused.
    admitted = admission.release(running.ticket, now_s=3.6)
    assert admitted == [Admitted(unexpired.ticket)]
    refused = admission.expire(now_s=3.6)
    assert [result.ticket for result in refused] == [expiring.ticket]
    assert 0 < refused[0].retry_after_s < 3
    assert not admission.expire(now_s=99.0)


def test_queue_is_bounded_for_each_account():
    """An account with a full queue leaves room for another account."""
    admission = make_admission(max_queued=20, standing_queue_s=10.0)
    admission.set_limit('models', 10, now_s=0.0)
    results = [_offer(admission, 'greedy') for _ in range(100)]
    assert sum(isinstance(result, Queued) for result in results) <= 20
    assert results[-1].reason is RefusalReason.QUEUE_FULL
    assert isinstance(_offer(admission, 'other'), Queued)


def test_backlog_is_interleaved_by_weight():
    """Weights hold within any few requests, not only in the long run."""
    admission = _admission()
    first = _offer(admission, 'large', weight=3.0)
    offers = [('large', {'weight': 3.0}), ('small', {'weight': 1.0})]
    served, _ = _serve(admission, first.ticket, offers, count=60)
    for start in range(12, 52):
        window = Counter(served[start : start + 8])
        assert 1 <= window['small'] <= 3


def test_bursts_of_two_accounts_are_interleaved():
    """The burst that arrived first is not served as a whole first."""
    admission = _admission()
    owners = {}
    first = _offer(admission, 'a').ticket
    both = [('a', {}), ('b', {})]
    _, running = _serve(admission, first, both, count=60)
    served = []
    for turn in range(80):
        now_s = 6 + turn / 10
        for account in 'aaaabbbb' if turn % 8 == 0 else '':
            owners[_offer(admission, account, now_s).ticket] = account
        running = admission.release(running, now_s)[0].ticket
        served.append(owners.get(running))
    for start in range(40, 76):
        assert len(set(served[start : start + 4])) == 2


def test_expiry_of_shares_preserves_the_order_of_accounts():
    """A change of weight rescales how far an account is ahead.

    The cost of one request at a share of 0.01 would otherwise count as a
    hundred requests at a weight of 1.
    """
    admission = _admission()
    shares = {'a': 0.01, 'b': 0.01}
    admission.set_shares('models', shares, now_s=0.0, valid_s=1.0)
    first = _offer(admission, 'a')
    _, last = _serve(admission, first.ticket, [('a', {})], count=9)
    admission.set_shares('models', {}, now_s=0.9, valid_s=0.0)
    offers = [('a', {}), ('b', {})]
    served, _ = _serve(admission, last, offers, count=20)
    assert Counter(served)['a'] >= 6


def test_each_account_may_queue_one_request():
    """A slow pool does not serve only the account that came first."""
    admission = make_admission(standing_queue_s=0.1)
    admission.set_limit('models', 1, now_s=0.0)
    results = [_offer(admission, account) for account in 'aaabb']
    kinds = [type(result) for result in results]
    assert kinds == [Admitted, Queued, Refused, Queued, Refused]


def test_standing_queue_is_bounded():
    """A request with a long expected wait is refused with a retry time."""
    admission = make_admission(standing_queue_s=1.0)
    admission.set_limit('models', 4, now_s=0.0)
    results = [_offer(admission, 'busy') for _ in range(12)]
    assert sum(isinstance(result, Queued) for result in results) == 4
    assert results[-1] == Refused(RefusalReason.QUEUE_FULL, 0.25)


@pytest.mark.parametrize('cancel', [True, False])
def test_cancelled_request_is_never_admitted(cancel):
    """A client that disconnected frees its place in the queue."""
    admission = _admission()
    running = _offer(admission, 'a')
    abandoned = _offer(admission, 'a')
    if cancel:
        assert admission.cancel(abandoned.ticket)
        assert not admission.cancel(abandoned.ticket)
    else:
        admission.release(abandoned.ticket, now_s=0.1)
    assert not admission.release(running.ticket, now_s=0.2)
    assert not admission.expire(now_s=99.0)
    assert not admission.cancel(running.ticket)


def test_cancelled_requests_do_not_accumulate():
    """The heap of an account stays small after many cancellations."""
    admission = _admission()
    _offer(admission, 'a')
    _offer(admission, 'a', priority=0)
    for _ in range(1000):
        admission.cancel(_offer(admission, 'a', priority=2).ticket)
    assert admission.queued('models') == 1
    assert len(admission._pools['models'].flows['a'].queue) < 50


def test_shares_bound_the_entry_until_they_expire():
    """An entry does not use the other entries' parts of the pool."""
    admission = _admission(limit=8)
    shares = {'a': 2.0, 'b': 1.0}
    admission.set_shares('models', shares, now_s=0.0, valid_s=3.0)
    tickets = [_offer(admission, 'a') for _ in range(8)]
    admitted = [ticket for ticket in tickets if isinstance(ticket, Admitted)]
    assert len(admitted) == 3
    assert not admission.admit('models', now_s=2.9)
    assert len(admission.admit('models', now_s=3.0)) == 5


def test_account_without_a_share_is_not_starved():
    """An account missing from repeated shares is served by its weight."""
    admission = _admission()
    first = _offer(admission, 'known')
    _offer(admission, 'unknown', priority=0)
    for turn in range(50):
        shares = {'known': 0.1}
        admission.set_shares('models', shares, turn / 100, valid_s=3.0)
    _, last = _serve(admission, first.ticket, [('known', {})], count=1)
    offers = [('known', {}), ('unknown', {})]
    served, _ = _serve(admission, last, offers, count=20)
    assert 8 <= Counter(served)['unknown'] <= 10 + CREDIT_REQUESTS
