"""Estimates the prefill speed of each model from times to first token.

A first token can be delayed for many reasons, but is never early, so the
estimate follows faster samples quickly and slower ones slowly.

One of many entries sees few first tokens of a rarely used model. The estimate
of the fleet substitutes for the missing samples.

>>> estimator = PrefillSpeedEstimator()
>>> for _ in range(50):
...     estimator.add_sample('m', uncached_tokens=1000, waited_ms=50.0)
>>> round(estimator.speed('m').ms_per_token, 3)
0.05
>>> estimator.set_fleet_speed('n', 0.08)
>>> estimator.speed('n').ms_per_token
0.08
"""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from snipebridge.policy.engine_placement import PrefillSpeed

# Shorter prompts take too little time for a meaningful sample.
_MIN_TOKENS = 400
_FASTER_SMOOTHING = 0.3
_SLOWER_SMOOTHING = 0.03
# Used before the first sample: a mid-sized model on one accelerator.
_INITIAL_MS_PER_TOKEN = 0.05
# Number of own samples that replace the estimate of the fleet.
_FLEET_SAMPLES = 10


@dataclass(slots=True, frozen=True)
class ModelPrefillSpeed:
    """Prefill speed of one model as estimated by one entry."""

    model: str
    ms_per_token: float


@dataclass(slots=True)
class _Estimate:
    ms_per_token: float = _INITIAL_MS_PER_TOKEN
    samples: int = 0
    # None until an estimate of the fleet arrives.
    fleet_ms_per_token: float | None = None

    def blended(self) -> float:
        """Return the own and fleet estimates, weighted by own samples."""
        if self.fleet_ms_per_token is None:
            return self.ms_per_token
        own = min(self.samples, _FLEET_SAMPLES)
        others = _FLEET_SAMPLES - own
        total = own * self.ms_per_token + others * self.fleet_ms_per_token
        return total / _FLEET_SAMPLES


class PrefillSpeedEstimator:
    """Estimates the prefill speed by model."""

    __slots__ = ('_estimates',)

    def __init__(self) -> None:
        """Start without estimates."""
        self._estimates: dict[str, _Estimate] = {}

    def speed(self, model: str) -> PrefillSpeed:
        """Return the prefill speed of a model."""
        estimate = self._estimates.get(model)
        return PrefillSpeed(
            estimate.blended() if estimate else _INITIAL_MS_PER_TOKEN
        )

    def add_sample(
        self, model: str, uncached_tokens: int, waited_ms: float
    ) -> None:
        """Update the estimate from a time to first token."""
        if uncached_tokens < _MIN_TOKENS:
            return
        sample = waited_ms / uncached_tokens
        estimate = self._estimates.setdefault(model, _Estimate())
        if not estimate.samples:
            estimate.ms_per_token = sample
        weight = (
            _FASTER_SMOOTHING
            if sample < estimate.ms_per_token
            else _SLOWER_SMOOTHING
        )
        estimate.ms_per_token += weight * (sample - estimate.ms_per_token)
        estimate.samples += 1

    def set_fleet_speed(self, model: str, ms_per_token: float) -> None:
        """Set the estimate of the fleet for a model."""
        estimate = self._estimates.setdefault(model, _Estimate())
        estimate.fleet_ms_per_token = ms_per_token

    def learned_speeds(self) -> list[ModelPrefillSpeed]:
        """Return the estimates from this entry's own samples."""
        return [
            ModelPrefillSpeed(model, estimate.ms_per_token)
            for model, estimate in self._estimates.items()
            if estimate.samples
        ]


def median_prefill_speeds(
    reports: Iterable[Iterable[ModelPrefillSpeed]],
) -> list[ModelPrefillSpeed]:
    """Return the median of the entries' estimates by model.

    A single entry with only slow samples does not affect the median.

    >>> reports = [[ModelPrefillSpeed('m', speed)] for speed in (0.1, 9.0, 0.2)]
    >>> median_prefill_speeds(reports)
    [ModelPrefillSpeed(model='m', ms_per_token=0.2)]
    """
    by_model: dict[str, list[float]] = {}
    for report in reports:
        for learned_speed in report:
            by_model.setdefault(learned_speed.model, []).append(
                learned_speed.ms_per_token
            )
    return [
        ModelPrefillSpeed(model, statistics.median(speeds))
        for model, speeds in sorted(by_model.items())
    ]
