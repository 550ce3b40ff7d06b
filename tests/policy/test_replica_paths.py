"""Ways of an entry to replicas, directly or through another entry."""

import random
from collections import Counter

from snipebridge.policy.replica_paths import (
    HELPER_PAUSE_S,
    RETRY_S,
    Peer,
    ReplicaPaths,
)


def paths_of(seed=1):
    """Return the ways of an entry in data centre a."""
    return ReplicaPaths('a', random.Random(seed))


def peers_of(count, centres=('a', 'b', 'c')):
    """Return entries spread over data centres."""
    return [
        Peer(f'e{number}', centres[number % len(centres)], f'h{number}:1')
        for number in range(count)
    ]


def test_entries_of_one_data_centre_do_not_all_ask_the_same_helper():
    """340 entries, 114 of which lose their ways at once."""
    peers = peers_of(340)
    first = Counter(
        paths_of(seed).helpers(peers, 0.0)[0] for seed in range(114)
    )
    assert max(first.values()) <= 8


def test_helper_elsewhere_is_among_the_first_two():
    """A whole data centre may be cut off."""
    centres = {peer.address: peer.data_centre for peer in peers_of(340)}
    for seed in range(50):
        asked = paths_of(seed).helpers(peers_of(340), 0.0)[:2]
        assert [centres[one] == 'a' for one in asked] == [True, False]


def test_helper_that_worked_is_asked_first_and_one_that_failed_last():
    """Until it may work again."""
    paths = paths_of()
    peers = peers_of(6)
    paths.record_helper('h4:1')
    paths.record_helper_failed('h0:1', 1.0)
    asked = paths.helpers(peers, 1.0)
    assert (asked[0], asked[-1]) == ('h4:1', 'h0:1')
    paths.record_helper_failed('h4:1', 1.5)
    assert paths.helpers(peers, 1.5)[0] not in {'h0:1', 'h4:1'}
    later = {paths.helpers(peers, 2.0 + HELPER_PAUSE_S)[0] for _ in range(99)}
    assert 'h0:1' in later


def test_direct_ways_are_tried_again_a_few_at_a_time():
    """Also where 690 replicas are lost together."""
    paths = paths_of()
    for number in range(690):
        paths.record_cut(f'r{number}', 0.0)
    tried = sum(len(paths.due(step * 0.1)) for step in range(101))
    assert tried <= 4 * 10.0 / RETRY_S
    assert tried >= 4 * 8.0 / RETRY_S
