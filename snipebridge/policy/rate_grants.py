"""Divides the rate limit of a replica among the entries that want to use it.

The load that this answers: a replica takes a few requests a second from
hundreds of entries together, each of which sends it a request now and then. A
grant allows one request within a short time, so the sum over all entries is
bounded by what was granted, whichever of them come, go or are cut off.

>>> grants = RateGrants(per_s=2.0, now_s=0.0)
>>> rng = random.Random(1)
>>> [grants.grant('e1', 5, now_s, rng) for now_s in (0.0, 1.0, 1.1)]
[0, 2, 0]
"""

import random
from dataclasses import dataclass

# A limit that no answer confirms is forgotten, and so is the end of one.
LIMIT_VALID_S = 20.0
# How long a grant may be used, by the rate. What reaches a replica in some time
# exceeds its rate by what is granted in this time and by the burst.
_GRANT_VALID_S = 1.5
_GRANT_EXCESS = 2.0
_MAX_GRANT_VALID_S = 5.0
# Grants that may be given at once after a pause.
_BURST = 2.0
# Grants for a cold replica end this soon: its bound holds for any second, and
# all grants in force may be used in the same one.
COLD_GRANT_VALID_S = 0.7
# Part of the bound of a cold replica that is granted: requests of different
# entries take different times to arrive.
_COLD_USED_SHARE = 0.9
_BURST_S = 0.25
# The time in which what there is to give is spread over the entries.
_SPREAD_S = 0.5
# An entry that has not asked for this long is gone.
_ASKING_VALID_S = 3.0
# How often the demand of all entries is summed up.
_SUM_INTERVAL_S = 0.5
# For this long a request counts as demand.
DEMAND_S = 2.0
# What a replica is sent that names a limit near zero, so that its answer can
# tell when the limit ends.
MIN_PER_S = 0.1


def grant_valid_s(per_s: float) -> float:
    """Return how long a grant may be used.

    >>> grant_valid_s(0.1), grant_valid_s(4.0)
    (5.0, 2.0)
    """
    excess_s = _GRANT_EXCESS / max(per_s, MIN_PER_S)
    return min(_MAX_GRANT_VALID_S, _GRANT_VALID_S + excess_s)


def cold_rate(per_s: float, ratio: float, slack: float) -> float:
    """Return the grants a second by which a cold replica keeps its bound.

    In any second it bears `per_s` times `ratio`, and `slack` more. It may get
    what is granted in that second, what was granted before and is still in
    force, and the burst.

    >>> round(cold_rate(10.0, ratio=1.5, slack=5.0), 2)
    8.31
    >>> cold_rate(10.0, ratio=9.0, slack=0.0)
    10.0
    """
    bound = per_s * ratio + slack
    kept = _COLD_USED_SHARE * (bound - _BURST)
    return min(per_s, max(0.0, kept / (1 + COLD_GRANT_VALID_S + _BURST_S)))


@dataclass(slots=True)
class _Demand:
    asked_s: float
    wanted: int


class RateGrants:
    """The grants for one replica."""

    __slots__ = (
        '_demands',
        '_filled_s',
        '_per_s',
        '_summed_s',
        '_tokens',
        '_total',
    )

    def __init__(self, per_s: float, now_s: float) -> None:
        """Start with no grant to give."""
        self._per_s = max(per_s, MIN_PER_S)
        self._tokens = 0.0
        self._filled_s = now_s
        self._demands: dict[str, _Demand] = {}
        self._total = 0
        self._summed_s = float('-inf')

    def set_rate(self, per_s: float, now_s: float) -> None:
        """Change the rate from now on."""
        self._fill(now_s)
        self._per_s = max(per_s, MIN_PER_S)

    def grant(
        self, entry: str, wanted: int, now_s: float, rng: random.Random
    ) -> int:
        """Return how many requests an entry may send, by its part of demand."""
        self._fill(now_s)
        before = self._demands.get(entry, _Demand(now_s, 0))
        self._demands[entry] = _Demand(now_s, wanted)
        self._total += wanted - before.wanted
        self._sum_up(now_s)
        if not wanted:
            return 0
        elapsed_s = min(now_s - before.asked_s, _ASKING_VALID_S)
        rate = max(self._per_s, self._tokens / _SPREAD_S)
        due = rate * elapsed_s * wanted / max(wanted, self._total)
        # A part of a request is drawn for.
        number = min(wanted, int(self._tokens), int(due + rng.random()))
        self._tokens -= number
        return number

    def _fill(self, now_s: float) -> None:
        most = _BURST + _BURST_S * self._per_s
        added = self._per_s * (now_s - self._filled_s)
        self._tokens = min(most, self._tokens + added)
        self._filled_s = now_s

    def _sum_up(self, now_s: float) -> None:
        if now_s - self._summed_s < _SUM_INTERVAL_S:
            return
        self._summed_s = now_s
        self._demands = {
            entry: demand
            for entry, demand in self._demands.items()
            if now_s - demand.asked_s <= _ASKING_VALID_S
        }
        self._total = sum(one.wanted for one in self._demands.values())
