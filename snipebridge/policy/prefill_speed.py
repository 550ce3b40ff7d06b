"""How fast each model reads prompts, learned from first tokens.

A first token is late for many reasons and early for none, so the estimate
follows a faster sample at once and a slower one little by little.

An entry of many sees few first tokens of a model that is asked rarely. What
the fleet has learned stands in for the samples that it lacks.

>>> paces = PrefillSpeedEstimator()
>>> for _ in range(50):
...     paces.add_sample('m', uncached_tokens=1000, waited_ms=50.0)
>>> round(paces.speed('m').ms_per_token, 3)
0.05
>>> paces.set_fleet_speed('n', 0.08)
>>> paces.speed('n').ms_per_token
0.08
"""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from snipebridge.policy.engine_placement import PrefillSpeed

# Prompts below this are over too soon to tell anything.
_FEWEST_TOKENS = 400
_FASTER = 0.3
_SLOWER = 0.03
# Before the first sample: a mid-sized model on one accelerator.
_FIRST_MS_PER_TOKEN = 0.05
# What the fleet has learned counts for so many samples of this entry.
_FLEET_SAMPLES = 10


@dataclass(slots=True, frozen=True)
class ModelPrefillSpeed:
    """What one entry has learned of a model."""

    model: str
    ms_per_token: float


@dataclass(slots=True)
class _Estimate:
    ms_per_token: float = _FIRST_MS_PER_TOKEN
    samples: int = 0
    # None before the fleet has told anything.
    of_fleet: float | None = None

    def blended(self) -> float:
        """Return own samples, filled up with what the fleet has learned."""
        if self.of_fleet is None:
            return self.ms_per_token
        own = min(self.samples, _FLEET_SAMPLES)
        others = _FLEET_SAMPLES - own
        total = own * self.ms_per_token + others * self.of_fleet
        return total / _FLEET_SAMPLES


class PrefillSpeedEstimator:
    """Estimates by model."""

    __slots__ = ('_estimates',)

    def __init__(self) -> None:
        """Start with the same estimate for all."""
        self._estimates: dict[str, _Estimate] = {}

    def speed(self, model: str) -> PrefillSpeed:
        """Return the pace of a model."""
        estimate = self._estimates.get(model)
        return PrefillSpeed(
            estimate.blended() if estimate else _FIRST_MS_PER_TOKEN
        )

    def add_sample(
        self, model: str, uncached_tokens: int, waited_ms: float
    ) -> None:
        """Learn from a first token that came after so long."""
        if uncached_tokens < _FEWEST_TOKENS:
            return
        sample = waited_ms / uncached_tokens
        estimate = self._estimates.setdefault(model, _Estimate())
        if not estimate.samples:
            estimate.ms_per_token = sample
        weight = _FASTER if sample < estimate.ms_per_token else _SLOWER
        estimate.ms_per_token += weight * (sample - estimate.ms_per_token)
        estimate.samples += 1

    def set_fleet_speed(self, model: str, ms_per_token: float) -> None:
        """Take what the fleet has learned of a model."""
        estimate = self._estimates.setdefault(model, _Estimate())
        estimate.of_fleet = ms_per_token

    def learned_speeds(self) -> list[ModelPrefillSpeed]:
        """Return what this entry has learned by itself."""
        return [
            ModelPrefillSpeed(model, estimate.ms_per_token)
            for model, estimate in self._estimates.items()
            if estimate.samples
        ]


def median_prefill_speeds(
    reports: Iterable[Iterable[ModelPrefillSpeed]],
) -> list[ModelPrefillSpeed]:
    """Return the median of what entries have learned, by model.

    One entry whose samples were all slow does not move it.

    >>> reports = [[ModelPrefillSpeed('m', pace)] for pace in (0.1, 9.0, 0.2)]
    >>> median_prefill_speeds(reports)
    [ModelPrefillSpeed(model='m', ms_per_token=0.2)]
    """
    by_model: dict[str, list[float]] = {}
    for report in reports:
        for one in report:
            by_model.setdefault(one.model, []).append(one.ms_per_token)
    return [
        ModelPrefillSpeed(model, statistics.median(learned))
        for model, learned in sorted(by_model.items())
    ]
