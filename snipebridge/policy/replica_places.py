"""Divides the places of replicas that must not reject much among entries.

The load that this answers: replicas that fall over once they turn away more
than a few requests in a second, summed over all entries, each of which sees
only what it sends itself. Each place of each replica belongs to one entry, by
the order of both, so that all entries together never send more than there is
room for, however old their knowledge of the load is.

>>> [own_places([6, 6, 6], number, position=2, entries=4) for number in range(3)]
[1, 2, 1]
>>> sum(own_places([6, 6], 1, one, entries=9) for one in range(9))
6
"""

from collections.abc import Sequence


def own_places(
    slots: Sequence[int], number: int, position: int, entries: int
) -> int:
    """Return how many places of a replica belong to one entry.

    ``slots`` are those of all replicas of the service in order, ``number`` is
    the replica's place in it and ``position`` that of the entry in the fleet.
    """
    first = sum(slots[:number])
    return _multiples(first + slots[number], position, entries) - _multiples(
        first, position, entries
    )


def _multiples(end: int, position: int, entries: int) -> int:
    """Return how many numbers below ``end`` leave this remainder."""
    return max(0, (end - position + entries - 1) // entries)
