"""Rules that pick one of the estimated options for a request."""

import math
import random
from collections.abc import Sequence
from typing import Protocol

from snipebridge.policy.version_types import (
    LIVE_PRIORITY,
    VersionOption,
    VersionRequest,
)

# Fraction of the distance from mean to lower bound that is subtracted from the
# quality of an option when options are compared.
SELECTION_DISCOUNT = 0.3
# The same for the provisional quality of answers without a rating.
PROVISIONAL_DISCOUNT = 0.12
# Margin above the target that absorbs the noise of ratings.
TARGET_MARGIN = 0.005
# Exponent by which the price of quality grows per unit of shortfall.
PRICE_GAIN = 0.3
INITIAL_PRICE = 10.0
MIN_PRICE = 0.1
MAX_PRICE = 1000.0
# Smoothing factor of an account's mean cost of the most expensive option.
COST_SMOOTHING = 0.02
# Options below this quality are excluded: better answers to other requests do
# not compensate for them.
QUALITY_FLOOR = 0.5
# Live work only uses options at most this far below the target.
LIVE_QUALITY_SLACK = 0.02
# Effective number of answers in the running share.
RUNNING_SHARE_WINDOW = 500.0
CHEAPEST_SPLIT_SHARE = 0.6


class VersionRule(Protocol):
    """Picks an option and tracks the quality that accounts received.

    Exploration and cascades are enabled only for adaptive rules.
    """

    is_adaptive: bool

    def pick(
        self,
        request: VersionRequest,
        options: Sequence[VersionOption],
        rng: random.Random,
    ) -> VersionOption:
        """Return the option to use; `options` is not empty."""

    def record_selection(
        self,
        request: VersionRequest,
        option: VersionOption,
    ) -> None:
        """Add the provisional quality of the selected option."""

    def record_rating(
        self,
        account: str,
        expected_quality: float,
        good: float,
    ) -> None:
        """Replace the expected quality of an answer with its rating."""


class _StatelessRule:
    """Base of the rules that keep no state per account."""

    __slots__ = ()
    is_adaptive = False

    def record_selection(
        self,
        request: VersionRequest,
        option: VersionOption,
    ) -> None:
        """Do nothing; the rule keeps no state."""

    def record_rating(
        self,
        account: str,
        expected_quality: float,
        good: float,
    ) -> None:
        """Do nothing; the rule keeps no state."""


class StrongestRule(_StatelessRule):
    """Picks the option of the highest quality."""

    __slots__ = ()

    def pick(
        self,
        request: VersionRequest,
        options: Sequence[VersionOption],
        rng: random.Random,
    ) -> VersionOption:
        """Return the option of the highest quality."""
        return max(options, key=_quality)


class CheapestRule(_StatelessRule):
    """Picks the option of the lowest cost."""

    __slots__ = ()

    def pick(
        self,
        request: VersionRequest,
        options: Sequence[VersionOption],
        rng: random.Random,
    ) -> VersionOption:
        """Return the option of the lowest cost."""
        return min(options, key=_cost_micros)


class FixedSplitRule(_StatelessRule):
    """Sends a fixed share to the cheapest option, the rest to the best."""

    __slots__ = ()

    def pick(
        self,
        request: VersionRequest,
        options: Sequence[VersionOption],
        rng: random.Random,
    ) -> VersionOption:
        """Return one of the two options at random, by the fixed share."""
        if rng.random() < CHEAPEST_SPLIT_SHARE:
            return min(options, key=_cost_micros)
        return max(options, key=_quality)


class BoundRule(_StatelessRule):
    """Picks the cheapest option whose lower quality bound meets the target."""

    __slots__ = ()
    is_adaptive = True

    def pick(
        self,
        request: VersionRequest,
        options: Sequence[VersionOption],
        rng: random.Random,
    ) -> VersionOption:
        """Return the cheapest such option, else the one of best quality."""
        target = request.quality_target
        confident = [option for option in options if option.lower >= target]
        if confident:
            return min(confident, key=_cost_micros)
        return max(options, key=_quality)


class RunningShareRule:
    """Picks the cheapest option that keeps the running share on target.

    Any surplus of earlier answers is spent on the next request, whatever its
    task.
    """

    __slots__ = ('_shares',)
    is_adaptive = True

    def __init__(self) -> None:
        """Start without accounts."""
        self._shares: dict[str, list[float]] = {}

    def pick(
        self,
        request: VersionRequest,
        options: Sequence[VersionOption],
        rng: random.Random,
    ) -> VersionOption:
        """Return the cheapest such option, else the one of best quality."""
        good, total = self._shares.get(request.account, (0.0, 0.0))
        needed = (request.quality_target + TARGET_MARGIN) * (total + 1) - good
        sufficient = [
            one for one in options if _discounted_quality(one) >= needed
        ]
        if sufficient:
            return min(sufficient, key=_cost_micros)
        return max(options, key=_quality)

    def record_selection(
        self,
        request: VersionRequest,
        option: VersionOption,
    ) -> None:
        """Add the provisional quality to the running share."""
        share = self._shares.setdefault(request.account, [0.0, 0.0])
        decay = 1 - 1 / RUNNING_SHARE_WINDOW
        share[0] = share[0] * decay + provisional_quality(option)
        share[1] = share[1] * decay + 1

    def record_rating(
        self,
        account: str,
        expected_quality: float,
        good: float,
    ) -> None:
        """Replace the expected quality of an answer with its rating."""
        share = self._shares.get(account)
        if share is not None:
            share[0] += good - expected_quality


class BudgetRule:
    """Picks the option of the least cost net of the value of its quality.

    The price of quality grows exponentially with the account's shortfall, the
    sum of target minus quality over its answers. This keeps the shortfall
    within fixed bounds, so the share of good answers over n requests misses
    the target by at most the range of these bounds divided by n. Selecting at
    a single price yields the cheapest mix for the quality it provides.
    """

    __slots__ = ('_reference_costs_micros', '_shortfalls')
    is_adaptive = True

    def __init__(self) -> None:
        """Start without accounts."""
        self._shortfalls: dict[str, float] = {}
        self._reference_costs_micros: dict[str, float] = {}

    def pick(
        self,
        request: VersionRequest,
        options: Sequence[VersionOption],
        rng: random.Random,
    ) -> VersionOption:
        """Return the option of the least cost minus the value of quality."""
        reference_cost_micros = self._reference_cost_micros(
            request.account, options
        )
        quality_value = self.price(request.account) * reference_cost_micros
        best = None
        best_loss = math.inf
        for option in _admissible(request, options):
            loss = option.cost_micros - quality_value * _discounted_quality(
                option
            )
            if loss < best_loss:
                best = option
                best_loss = loss
        return best or options[0]

    def price(self, account: str) -> float:
        """Return the value of one good answer.

        The unit is the account's mean cost of the most expensive option.
        """
        shortfall = self._shortfalls.get(account)
        if shortfall is None:
            return INITIAL_PRICE
        return math.exp(PRICE_GAIN * shortfall)

    def record_selection(
        self,
        request: VersionRequest,
        option: VersionOption,
    ) -> None:
        """Add the difference between target and provisional quality."""
        target = request.quality_target + TARGET_MARGIN
        self._add_shortfall(
            request.account, target - provisional_quality(option)
        )

    def record_rating(
        self,
        account: str,
        expected_quality: float,
        good: float,
    ) -> None:
        """Replace the expected quality of an answer with its rating."""
        self._add_shortfall(account, expected_quality - good)

    def _add_shortfall(self, account: str, shortfall: float) -> None:
        known = self._shortfalls.get(
            account, _shortfall_for_price(INITIAL_PRICE)
        )
        bounded = max(known + shortfall, _shortfall_for_price(MIN_PRICE))
        self._shortfalls[account] = min(
            bounded, _shortfall_for_price(MAX_PRICE)
        )

    def _reference_cost_micros(
        self,
        account: str,
        options: Sequence[VersionOption],
    ) -> float:
        max_cost_micros = max(options, key=_cost_micros).cost_micros
        known = self._reference_costs_micros.get(account, max_cost_micros)
        reference_cost_micros = known + COST_SMOOTHING * (
            max_cost_micros - known
        )
        self._reference_costs_micros[account] = reference_cost_micros
        return reference_cost_micros


_RULES = {
    'budget': BudgetRule,
    'bound': BoundRule,
    'running_share': RunningShareRule,
    'strongest': StrongestRule,
    'cheapest': CheapestRule,
    'fixed_split': FixedSplitRule,
}


def make_version_rule(kind: str) -> VersionRule:
    """Return the rule of a kind; raise `ValueError` if it is unknown."""
    if kind not in _RULES:
        known = ', '.join(_RULES)
        raise ValueError(f'unknown kind {kind!r}, expected one of {known}')
    return _RULES[kind]()


def provisional_quality(option: VersionOption) -> float:
    """Return the quality to assume for an answer until it is rated."""
    return option.quality - PROVISIONAL_DISCOUNT * (
        option.quality - option.lower
    )


def _admissible(
    request: VersionRequest,
    options: Sequence[VersionOption],
) -> Sequence[VersionOption]:
    """Return the options above the quality floor, else the best one."""
    floor = QUALITY_FLOOR
    if request.priority <= LIVE_PRIORITY:
        floor = request.quality_target - LIVE_QUALITY_SLACK
    admissible = [option for option in options if option.quality >= floor]
    return admissible or [max(options, key=_quality)]


def _discounted_quality(option: VersionOption) -> float:
    return option.quality - SELECTION_DISCOUNT * (option.quality - option.lower)


def _shortfall_for_price(price: float) -> float:
    return math.log(price) / PRICE_GAIN


def _quality(option: VersionOption) -> float:
    return option.quality


def _cost_micros(option: VersionOption) -> float:
    return option.cost_micros
