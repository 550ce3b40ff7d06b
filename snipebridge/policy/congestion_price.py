"""Congestion price of engine time, derived from times to first token.

The workload: more requests for the strongest model than the engines can
serve in time. Each time to first token is compared with the objective of its
route. While the mean exceeds the target, the price of engine time is above
zero, and the requests with the least value per engine time are given up
first. Samples decay exponentially, so the price follows the start and the end
of a burst within some seconds.

>>> price = CongestionPrice()
>>> for step in range(20):
...     price.record_first_token(1.8, objective_s=2.0, now_s=step / 10)
>>> price.value(2.0) > 0.5, price.value(20.0) < 0.1
(True, True)
"""

import math

# Share of the objective that a first token may take on average; the rest is
# headroom for longer prompts and discarded drafts.
TARGET_SHARE = 0.25
# Price at which first tokens take the whole objective on average. It exceeds
# the weight of every request, so that only drafts run.
_PRICE_AT_OBJECTIVE = 3.0
# Time constant of the exponential decay of samples.
_DECAY_TIME_S = 2.5
# Cap on one sample: an extremely late token says no more than a late one.
_MAX_SHARE = 1.5
# Weight of a zero prior, so that few samples hardly raise the price.
_PRIOR_WEIGHT = 2.0


class CongestionPrice:
    """Price as seen by one entry, 0 while the engines keep up."""

    __slots__ = ('_share_sum', '_updated_s', '_weight')

    def __init__(self) -> None:
        """Start without samples, at a price of zero."""
        self._share_sum = 0.0
        self._weight = 0.0
        self._updated_s = 0.0

    def record_first_token(
        self, waited_s: float, objective_s: float, now_s: float
    ) -> None:
        """Add one time to first token to the average."""
        if objective_s <= 0:
            return
        self._decay(now_s)
        self._share_sum += min(_MAX_SHARE, waited_s / objective_s)
        self._weight += 1.0

    def value(self, now_s: float) -> float:
        """Return the current price."""
        self._decay(now_s)
        mean = self._share_sum / (self._weight + _PRIOR_WEIGHT)
        excess = (mean - TARGET_SHARE) / (1.0 - TARGET_SHARE)
        return _PRICE_AT_OBJECTIVE * max(0.0, excess)

    def _decay(self, now_s: float) -> None:
        factor = math.exp((self._updated_s - now_s) / _DECAY_TIME_S)
        self._share_sum *= factor
        self._weight *= factor
        self._updated_s = now_s
