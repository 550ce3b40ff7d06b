"""Tests of the selection of a software version at one entry."""

import random

import pytest
import xxhash

from snipebridge.relay.replicas import Replica
from snipebridge.relay.software_selection import SoftwareSelector
from snipebridge.rpc.control_pb2 import SoftwareRollout

OLD = [Replica(f'o{one}', 's', 'x:1', 'a', 'v1', 4) for one in range(3)]
NEW = [Replica(f'n{one}', 's', 'x:1', 'a', 'v2', 4) for one in range(3)]


def apply_rollout(
    choice, state='active', share_permille=0, number=1, sent_before=9999
):
    """Apply a roll-out to v2, beside which the old version is busy."""
    choice.apply_rollouts(
        [
            SoftwareRollout(
                service='s',
                target='v2',
                state=state,
                share_permille=share_permille,
                number=number,
            )
        ]
    )
    for _ in range(sent_before):
        choice.record_sent(OLD[0])


def versions(choice, session='', hash_key='k', replicas=None, now_s=0.0):
    """Return the versions eligible for a request."""
    found = choice.eligible(
        replicas or OLD + NEW, 's', session, hash_key, now_s
    )
    return {one.software for one in found}


def test_new_version_gets_no_requests_before_its_rollout():
    """Replicas of a new version may start beside the old ones."""
    choice = SoftwareSelector(5.0)
    assert versions(choice, replicas=OLD) == {'v1'}
    assert versions(choice) == {'v1'}
    apply_rollout(choice)
    assert versions(choice) == {'v1'}


def test_share_is_selected_by_key_hash():
    """About the share of the keys uses the target, always the same keys."""
    choice = SoftwareSelector(5.0)
    apply_rollout(choice, share_permille=100)
    keys = [f'k{number}' for number in range(2000)]
    drawn = [versions(choice, hash_key=key) == {'v2'} for key in keys]
    assert 0.07 < sum(drawn) / len(drawn) < 0.13
    again = [versions(choice, hash_key=key) == {'v2'} for key in keys]
    assert again == drawn


def test_canary_uses_one_replica():
    """It is the same at each entry, so that it gets a representative load."""
    used = set()
    for _ in range(5):
        choice = SoftwareSelector(5.0)
        apply_rollout(choice, share_permille=190)
        for number in range(100):
            found = choice.eligible(OLD + NEW, 's', '', f'k{number}', 0.0)
            used.update(one.id for one in found if one.software == 'v2')
    assert len(used) == 1
    apply_rollout(choice, share_permille=1000)
    assert len(choice.eligible(OLD + NEW, 's', '', 'k', 0.0)) == len(NEW)


@pytest.mark.parametrize('share_permille', [63, 126, 252])
def test_canary_of_a_large_pool_gets_the_load_of_its_later_replicas(
    share_permille,
):
    """On one of 39 replicas a good version would get ten times that load.

    The entries agree on the replicas, and a larger share only adds some.
    """
    pool = [
        Replica(f'{software}-{one}', 's', 'x:1', 'a', software, 48)
        for software in ('v1', 'v2')
        for one in range(39)
    ]
    used = set()
    for _ in range(3):
        choice = SoftwareSelector(5.0)
        apply_rollout(choice, share_permille=share_permille)
        for number in range(300):
            found = choice.eligible(pool, 's', '', f'k{number}', 0.0)
            used.update(one.id for one in found if one.software == 'v2')
    load = (share_permille / 1000) / len(used)
    assert 1.0 <= load * 39 < 1.5
    apply_rollout(choice, share_permille=share_permille + 100)
    raised = choice.eligible(pool, 's', '', 'k0', 0.0)
    assert used < {one.id for one in raised} or raised[0].software == 'v1'


def test_canary_with_long_backlog_gets_no_new_sessions():
    """Sessions already on the target stay there."""
    choice = SoftwareSelector(5.0)
    slow = [Replica('n', 's', 'x:1', 'a', 'v2', 4, backlog_ms=2000.0)]
    apply_rollout(choice, share_permille=999)
    choice.record_use(slow[0], 'begun', 0.0)
    assert versions(choice, 'new', 'new', OLD + slow) == {'v1'}
    assert versions(choice, 'begun', 'begun', OLD + slow) == {'v2'}


def test_session_stays_on_its_version():
    """On the old version until the target takes all, then on the target."""
    choice = SoftwareSelector(5.0)
    apply_rollout(choice, share_permille=999)
    choice.record_use(OLD[0], 'one', 0.0)
    assert versions(choice, 'one', 'one', now_s=4.0) == {'v1'}
    assert versions(choice, 'one', 'one', now_s=9.0) == {'v2'}
    apply_rollout(choice, share_permille=1)
    choice.record_use(NEW[0], 'two', 0.0)
    assert versions(choice, 'two', 'two', now_s=4.0) == {'v2'}
    apply_rollout(choice, share_permille=1000)
    assert versions(choice, 'one', 'one', now_s=4.0) == {'v2'}


def test_session_of_another_entry_stays_on_its_version():
    """Entries exchange hashes of pinned sessions by heartbeats."""
    here, there = SoftwareSelector(5.0), SoftwareSelector(5.0)
    for choice in (here, there):
        apply_rollout(choice, share_permille=190)
    sessions = [f's{number}' for number in range(200)]
    drawn = [one for one in sessions if versions(here, one, one) == {'v2'}]
    assert drawn
    for session in drawn:
        there.record_use(OLD[0], session, 0.0)
    here.apply_pinned_draws(there.pop_pinned_draws(), 1.0)
    assert not there.pop_pinned_draws()
    for session in drawn:
        assert versions(here, session, session, now_s=2.0) == {'v1'}
        assert versions(here, session, session, now_s=7.0) == {'v2'}


def test_session_on_the_target_stays_there_at_every_entry():
    """Not even an entry that may send nothing new to the target moves it."""
    here, there = SoftwareSelector(5.0), SoftwareSelector(5.0)
    apply_rollout(here, share_permille=63, sent_before=0)
    apply_rollout(there, share_permille=63)
    there.record_use(NEW[0], 'begun', 0.0)
    assert versions(here, 'begun', 'begun') == {'v1'}
    here.apply_target_draws(there.pop_target_draws(), 1.0)
    assert not there.pop_target_draws()
    assert versions(here, 'begun', 'begun', now_s=2.0) == {'v2'}
    assert versions(here, 'other', 'other', now_s=2.0) == {'v1'}
    assert versions(here, 'begun', 'begun', now_s=7.0) == {'v1'}


def test_sessions_from_before_a_rollout_are_reported():
    """A session may rest between the order and its next request."""
    here, there = SoftwareSelector(5.0), SoftwareSelector(5.0)
    sessions = [f's{number}' for number in range(100)]
    for session in sessions:
        there.record_use(OLD[0], session, 0.0)
    for choice in (here, there):
        apply_rollout(choice, share_permille=500)
    here.apply_pinned_draws(there.pop_pinned_draws(), 1.0)
    for session in sessions:
        assert versions(here, session, session, now_s=2.0) == {'v1'}


def test_finished_rollout():
    """Completed: only the target is used. Reverted: it is never used."""
    choice = SoftwareSelector(5.0)
    apply_rollout(choice, 'completed', 1000)
    assert versions(choice) == {'v2'}
    apply_rollout(choice, 'reverted')
    assert versions(choice) == {'v1'}
    assert versions(choice, replicas=NEW) == set()


def test_request_that_failed_on_target_goes_to_the_old_version():
    """Otherwise it could spend all its attempts on a bad target."""
    choice = SoftwareSelector(5.0)
    apply_rollout(choice, share_permille=1000)
    found = choice.eligible(OLD + NEW, 's', '', 'k', 0.0, {'v2'}, {'v2'})
    assert {one.software for one in found} == {'v1'}


def test_entry_stops_a_bad_version_locally():
    """It does not wait for the leader; a newer roll-out resets the stop."""
    choice = SoftwareSelector(5.0)
    apply_rollout(choice, share_permille=1000)
    stopped = [
        choice.record_outcome(NEW[0], failed=True, slow=False) for _ in range(4)
    ]
    assert stopped.count(True) == 1
    assert versions(choice) == {'v1'}
    apply_rollout(choice, 'completed', 1000)
    assert versions(choice) == {'v2'}
    apply_rollout(choice, share_permille=1000, number=2)
    assert versions(choice) == {'v2'}


def test_entry_does_not_stop_a_version_for_cold_caches():
    """When the target takes all traffic, its first answers are slow anyway.

    The sessions of that entry would go back to the old version alone, while the
    leader goes on with a good one.
    """
    choice = SoftwareSelector(5.0)
    apply_rollout(choice, share_permille=126)
    for _ in range(100):
        choice.record_outcome(OLD[0], failed=False, slow=False)
    apply_rollout(choice, share_permille=1000, sent_before=0)
    stops = [
        choice.record_outcome(NEW[0], failed=False, slow=number % 4 == 0)
        for number in range(40)
    ]
    assert not any(stops)
    assert versions(choice) == {'v2'}
    stops = [
        choice.record_outcome(NEW[0], failed=False, slow=True)
        for _ in range(40)
    ]
    assert any(stops)


def test_timeout_does_not_move_sessions_off_a_full_target():
    """The old version is used only for a canary or after an error response."""
    choice = SoftwareSelector(5.0)
    for share, erring, expected in (
        (190, set(), 'v1'),
        (1000, set(), 'v2'),
        (1000, {'v2'}, 'v1'),
    ):
        apply_rollout(choice, share_permille=share)
        found = choice.eligible(OLD + NEW, 's', 'a', 'a', 0.0, {'v2'}, erring)
        assert {one.software for one in found} == {expected}


def send(choice, key, replicas, others_limit=1.0):
    """Send a request, of the old version only a part; return its version."""
    found = choice.eligible(replicas, 's', '', key, 0.0)
    taken = xxhash.xxh3_64_intdigest(f'{key}/taken'.encode()) % 1000
    if not found or (
        found[0].software == 'v1' and taken >= others_limit * 1000
    ):
        return ''
    choice.record_sent(found[0])
    return found[0].software


def test_trial_keeps_its_share_when_all_other_replicas_are_gone():
    """What is left is refused: the version may be bad."""
    choice = SoftwareSelector(5.0)
    apply_rollout(choice, share_permille=97, sent_before=0)
    for number in range(200):
        send(choice, f'before {number}', OLD + NEW)
    sent = [send(choice, f'after {number}', NEW) for number in range(800)]
    assert 0 < sent.count('v2') < 150


def test_rejected_version_gets_nothing_in_the_next_rollout():
    """Guards against a bad version that is taken for the one in use."""
    replicas = OLD + NEW + [Replica('b0', 's', 'x:1', 'a', 'v3', 4)]
    choice = SoftwareSelector(5.0)
    rollout = SoftwareRollout(
        service='s', target='v3', number=2, rejected=['v2']
    )
    for state, share, expected in (
        ('active', 0, {'v1'}),
        ('active', 400, {'v1', 'v3'}),
        ('reverted', 0, {'v1'}),
        ('completed', 1000, {'v3'}),
    ):
        rollout.state = state
        rollout.share_permille = share
        choice.apply_rollouts([rollout])
        for _ in range(9999):
            choice.record_sent(OLD[0])
        found = set()
        for number in range(100):
            key = f'k{number}'
            found |= versions(choice, hash_key=key, replicas=replicas)
        assert found == expected


def test_session_stays_on_the_version_in_use_beside_a_rejected_one():
    """Guards against sessions that a roll-out moves to a bad version."""
    choice = SoftwareSelector(5.0)
    choice.record_use(OLD[0], 'session', 0.0)
    choice.apply_rollouts(
        [
            SoftwareRollout(
                service='s',
                target='v3',
                number=2,
                state='active',
                share_permille=100,
                rejected=['v2'],
            )
        ]
    )
    assert versions(choice, 'session', now_s=1.0) == {'v1'}
    assert versions(choice, 'session', replicas=NEW, now_s=1.0) == set()


def test_version_that_was_replaced_is_not_in_use_beside_the_next_one():
    """Guards against sessions moved back while old replicas are listed."""
    replicas = OLD + NEW + [Replica('b0', 's', 'x:1', 'a', 'v3', 4)]
    choice = SoftwareSelector(5.0)
    rollout = SoftwareRollout(
        service='s', target='v3', number=2, state='active', in_use='v2'
    )
    choice.apply_rollouts([rollout])
    assert versions(choice, replicas=replicas) == {'v2'}
    # Where none of its replicas is left, any other one is better than none.
    assert versions(choice, replicas=OLD + replicas[-1:]) == {'v1'}


@pytest.mark.parametrize('state', ['active', 'reverted'])
def test_order_back_to_the_version_in_use_ends_the_trial_beside_it(state):
    """Guards against a bad version that gets what the one in use had."""
    choice = SoftwareSelector(5.0)
    apply_rollout(choice, share_permille=100)
    choice.record_use(NEW[0], 'session', 0.0)
    choice.apply_rollouts(
        [
            SoftwareRollout(
                service='s', target='v1', number=2, state=state, in_use='v1'
            )
        ]
    )
    found = set()
    for number in range(100):
        found |= versions(choice, hash_key=f'k{number}')
    assert found == {'v1'}
    assert versions(choice, 'session', now_s=1.0) == {'v1'}


@pytest.mark.parametrize('entries', [1, 6, 83, 191, 340])
def test_trial_keeps_its_share_when_other_replicas_take_few_requests(entries):
    """Requests that are refused there do not reach the service."""
    chosen = []
    for entry in range(entries):
        choice = SoftwareSelector(5.0, rng=random.Random(entry))
        apply_rollout(choice, share_permille=97, sent_before=0)
        chosen += [
            send(choice, f'{entry}/{number}', OLD + NEW, 0.2)
            for number in range(max(20, 1200 // entries))
        ]
    sent = [one for one in chosen if one]
    assert sent.count('v2') <= 0.15 * len(sent) + 30
    assert sent.count('v2') >= 0.05 * len(sent)
