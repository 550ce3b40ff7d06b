"""Grants entries a number of requests to a version under roll-out.

Granted requests are charged whether they are used or not. Requests beyond the
grant, which occur because sessions stay on the version, are charged as well.
Grants never raise the charged requests above the budget of the stage or the
ceiling of the last durable state.

>>> grants = ExposureGrants(ceiling=10)
>>> grants.record_traffic('entry-1', traffic=500, used=0, now_s=0.0)
>>> grants.allocate(['entry-1', 'entry-2'], budget=5, now_s=0.0)
>>> grants.granted('entry-1'), grants.granted('entry-2')
(5, 0)
"""

import math
from collections.abc import Sequence

# Half-life of the entries' traffic, in proportion to which grants are made.
WEIGHT_HALF_LIFE_S = 10.0


class ExposureGrants:
    """Requests granted to and used by each entry under this leader."""

    __slots__ = (
        '_decayed_at_s',
        '_granted_by_entry',
        '_used_by_entry',
        '_weights',
        'ceiling',
        'charged',
    )

    def __init__(self, ceiling: int = 0, charged: int = 0) -> None:
        """Start without grants by this leader."""
        self.ceiling = ceiling
        self.charged = charged
        self._granted_by_entry: dict[str, int] = {}
        self._used_by_entry: dict[str, int] = {}
        self._weights: dict[str, float] = {}
        self._decayed_at_s = 0.0

    def granted(self, entry: str) -> int:
        """Return the total number of requests granted to the entry."""
        return self._granted_by_entry.get(entry, 0)

    def record_traffic(
        self,
        entry: str,
        traffic: int,
        used: int,
        now_s: float,
    ) -> None:
        """Add an entry's answered requests and those of the new version."""
        self._decay_weights(now_s)
        self._weights[entry] = self._weights.get(entry, 0.0) + traffic
        total_used = self._used_by_entry.get(entry, 0) + used
        self._used_by_entry[entry] = total_used
        excess = total_used - self.granted(entry)
        if excess > 0:
            self._charge(entry, excess)

    def allocate(
        self,
        entries: Sequence[str],
        budget: int,
        now_s: float,
    ) -> None:
        """Grant the remaining budget in proportion to the entries' traffic."""
        self._decay_weights(now_s)
        available = min(budget, self.ceiling) - self.charged
        weights = {entry: self._weights.get(entry, 0.0) for entry in entries}
        total_weight = sum(weights.values())
        if available <= 0 or total_weight <= 0:
            return
        outstanding = {entry: self._outstanding(entry) for entry in entries}
        total_unused = available + sum(outstanding.values())
        # Entries furthest below their share are served first.
        shortfalls = {
            entry: total_unused * weight / total_weight - outstanding[entry]
            for entry, weight in weights.items()
            if weight > 0
        }
        for entry in sorted(
            shortfalls, key=shortfalls.__getitem__, reverse=True
        ):
            requests = min(math.ceil(shortfalls[entry]), available)
            if requests <= 0:
                return
            self._charge(entry, requests)
            available -= requests

    def _charge(self, entry: str, requests: int) -> None:
        self._granted_by_entry[entry] = self.granted(entry) + requests
        self.charged += requests

    def _outstanding(self, entry: str) -> int:
        return max(self.granted(entry) - self._used_by_entry.get(entry, 0), 0)

    def _decay_weights(self, now_s: float) -> None:
        age_s = max(now_s - self._decayed_at_s, 0.0)
        self._decayed_at_s = now_s
        factor = 0.5 ** (age_s / WEIGHT_HALF_LIFE_S)
        for entry in self._weights:
            self._weights[entry] *= factor
