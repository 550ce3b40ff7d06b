"""Keeps requests in the regions that their route and account allow.

>>> regions = Regions({'tunis-a': 'tunis', 'lyon-a': 'lyon'})
>>> allowed = regions.intersect(('tunis', 'lyon'), ('lyon',))
>>> regions.allows('lyon-a', allowed), regions.allows('tunis-a', allowed)
(True, False)
>>> regions.allows('tunis-a', regions.intersect((), ()))
True
"""

from collections.abc import Collection, Mapping

# No restriction, in contrast to no region at all.
ANYWHERE: frozenset[str] | None = None


class Regions:
    """The region of each data centre, as the settings name them."""

    __slots__ = ('_by_data_centre',)

    def __init__(self, by_data_centre: Mapping[str, str]) -> None:
        """Use the regions of data centres."""
        self._by_data_centre = dict(by_data_centre)

    def intersect(
        self, *restrictions: Collection[str]
    ) -> frozenset[str] | None:
        """Return the regions that all restrictions allow.

        An empty one restricts nothing.
        """
        allowed = ANYWHERE
        for restriction in restrictions:
            if restriction:
                named = frozenset(restriction)
                allowed = named if allowed is None else allowed & named
        return allowed

    def allows(self, data_centre: str, allowed: frozenset[str] | None) -> bool:
        """Tell whether a request may be sent to a data centre.

        One whose region is unknown is in none of those that are allowed.
        """
        if allowed is None:
            return True
        return self._by_data_centre.get(data_centre) in allowed

    def are_together(self, first: str, second: str) -> bool:
        """Tell whether two data centres are in one region, as far as known."""
        region = self._by_data_centre.get(first)
        return region == self._by_data_centre.get(second)
