"""Who votes, under lost, wiped, leaving and replaced control hosts."""

import random

import pytest

from snipebridge.fleet.electorate import (
    Candidate,
    MemberView,
    OrderKind,
    count_voters,
    next_order,
    vote_moves,
)
from snipebridge.rpc.consensus_pb2 import Member


def make_members(names, *, is_voter=True):
    """Return live members."""
    return [MemberView(name, name, is_voter=is_voter) for name in names]


def make_candidates(names):
    """Return processes that ask, on the folders of their names."""
    return [Candidate(name, name) for name in names]


def order_of(members, candidates=(), tolerated_losses=1):
    """Return the name and the kind of the change that is due."""
    order = next_order(members, candidates, tolerated_losses)
    return order and (order.name, order.kind)


def test_all_well():
    """A spare process gets the log beforehand, and no vote."""
    members = make_members('abc')
    waiting = make_candidates('de')
    assert order_of(members, waiting) == ('d', OrderKind.ADD)
    members.extend(make_members('d', is_voter=False))
    assert order_of(members, waiting) is None


def test_founders_grow_to_what_is_tolerated():
    """Three seeds become five voters where two losses are to be borne."""
    members = make_members('abc')
    assert order_of(members, make_candidates('d'), 2) == ('d', OrderKind.ADD)
    members.extend(make_members('d', is_voter=False))
    assert order_of(members, (), 2) == ('d', OrderKind.PROMOTE)


def test_lost_host_is_replaced_and_then_removed():
    """The new voter comes first, so that a quorum is never smaller."""
    members = make_members('abc')
    members[0].is_live = False
    assert order_of(members) is None
    assert order_of(members, make_candidates('d')) == ('d', OrderKind.ADD)
    standby = make_members('d', is_voter=False)
    assert order_of(members + standby) == ('d', OrderKind.PROMOTE)
    members.extend(make_members('d'))
    assert order_of(members) == ('a', OrderKind.REMOVE)


def test_leaving_host_gives_its_vote_before_it_ends():
    """Guards against a vote that is kept by a process known to stop."""
    members = make_members('abc')
    members[0].is_leaving = True
    assert order_of(members) is None
    standby = make_members('d', is_voter=False)
    assert order_of(members + standby) == ('d', OrderKind.PROMOTE)
    assert order_of(make_members('bcd') + members[:1]) == (
        'a',
        OrderKind.REMOVE,
    )


@pytest.mark.parametrize('fault', ['is_live', 'is_caught_up', 'is_leaving'])
def test_only_a_sound_standby_gets_a_vote(fault):
    """Guards against a vote for one that can't use it."""
    members = make_members('abc')
    members[0].is_live = False
    standby = MemberView('d', 'd', is_voter=False)
    setattr(standby, fault, fault == 'is_leaving')
    assert order_of([*members, standby]) is None
    assert count_voters([*members, standby], 1).standbys == 0


def test_wiped_host_gets_its_vote_back():
    """The order names the new identity, so the old one never counts."""
    members = make_members('abc')
    wiped = [Candidate('a', 'new')]
    assert order_of(members, wiped) == ('a', OrderKind.ADD)
    members[0] = MemberView('a', 'new', is_voter=False)
    assert order_of(members, wiped) == ('a', OrderKind.PROMOTE)


def test_wiped_host_waits_where_a_standby_is_ready():
    """Guards against fewer voters while one that holds the log waits."""
    members = make_members('abc')
    members[0].is_live = False
    members.extend(make_members('d', is_voter=False))
    wiped = [Candidate('a', 'new')]
    assert order_of(members, wiped) == ('d', OrderKind.PROMOTE)
    members[3].is_voter = True
    assert order_of(members, wiped) == ('a', OrderKind.ADD)


def test_standby_that_is_gone_makes_room():
    """A short silence of one changes nothing."""
    members = make_members('abc') + make_members('d', is_voter=False)
    members[3].is_live = False
    assert order_of(members) is None
    members[3].is_gone = True
    assert order_of(members) == ('d', OrderKind.REMOVE)
    assert order_of(members, make_candidates('e')) == ('e', OrderKind.ADD)


def test_stop_waits_only_for_one_that_waits():
    """Guards against stops that wait for nobody, or for a voter."""
    members = [Member(name=name, voter=True) for name in 'abc']
    assert not vote_moves(members, [], wanted=3)
    assert not vote_moves(members, make_candidates('b'), wanted=3)
    assert vote_moves(members, make_candidates('bd'), wanted=3)


def test_stop_waits_until_the_vote_is_taken_away():
    """Guards against an end between the two changes that move a vote."""
    members = [Member(name=name, voter=True) for name in 'abcd']
    assert vote_moves(members, [], wanted=3)


@pytest.mark.parametrize('seed', range(40))
def test_orders_come_to_an_end(seed):
    """Whatever is lost, repeated orders lead to enough live voters."""
    rng = random.Random(seed)
    members = make_members('abcde'[: rng.choice([3, 5])])
    for member in rng.sample(members, 1):
        member.is_live = False
    candidates = make_candidates('vwxyz')
    for _ in range(20):
        order = next_order(members, candidates, 1)
        if order is None:
            break
        kept = [one for one in members if one.name != order.name]
        if order.kind is not OrderKind.REMOVE:
            is_voter = order.kind is OrderKind.PROMOTE
            kept.extend(make_members([order.name], is_voter=is_voter))
        members = kept
    assert order is None
    assert count_voters(members, 1).staying >= 3
