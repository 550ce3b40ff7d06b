"""The price of engine time, learned from how long first tokens take.

The load: more work for the strongest model than the engines can read in
time. Each first token is compared with the objective of its route. While
they come later than the target, engine time becomes dearer, and what gains
the callers least for it is given up first; while they come sooner, it
becomes cheaper again. Old first tokens count less and less, so the price
follows a burst within some seconds, up and down.

>>> price = CongestionPrice()
>>> for step in range(20):
...     price.record_first_token(1.8, objective_s=2.0, now_s=step / 10)
>>> price.value(2.0) > 0.5, price.value(20.0) < 0.1
(True, True)
"""

import math

# Part of the objective that a first token may take on average: callers with
# longer prompts, and drafts that are dropped, need the rest.
TARGET_SHARE = 0.25
# The price when first tokens take the whole objective on average: above the
# weight of every request, so that only drafts run.
_FULL_PRICE = 3.0
# A first token counts for about so long.
_MEMORY_S = 2.5
# Later first tokens tell no more than that they are late.
_SHARE_LIMIT = 1.5
# What the first token of a quiet time weighs against nothing known.
_PRIOR_WEIGHT = 2.0


class CongestionPrice:
    """The price as one entry sees it, 0 while the engines keep up."""

    __slots__ = ('_share_sum', '_updated_s', '_weight')

    def __init__(self) -> None:
        """Start with engines that keep up."""
        self._share_sum = 0.0
        self._weight = 0.0
        self._updated_s = 0.0

    def record_first_token(
        self, waited_s: float, objective_s: float, now_s: float
    ) -> None:
        """Take one first token into the average."""
        if objective_s <= 0:
            return
        self._fade(now_s)
        self._share_sum += min(_SHARE_LIMIT, waited_s / objective_s)
        self._weight += 1.0

    def value(self, now_s: float) -> float:
        """Return the price now."""
        self._fade(now_s)
        mean = self._share_sum / (self._weight + _PRIOR_WEIGHT)
        excess = (mean - TARGET_SHARE) / (1.0 - TARGET_SHARE)
        return _FULL_PRICE * max(0.0, excess)

    def _fade(self, now_s: float) -> None:
        kept = math.exp((self._updated_s - now_s) / _MEMORY_S)
        self._share_sum *= kept
        self._weight *= kept
        self._updated_s = now_s
