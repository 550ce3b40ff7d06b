"""The requests of a day, drawn before anything runs.

All ways of serving are played on the same requests, so that differences are
the way's own.
"""

import math
import random
from dataclasses import dataclass

from bench.engines.deployments import Deployment, PartFigures, RequestKind

# Sessions that a caller of one entry belongs to come back to any entry.
_SWING = 0.15
_SWING_PERIOD_S = 11.0
# How far a model's own opinion of an answer follows from how hard the request
# was for it, in points of confidence, and how much of it is chance.
_CONFIDENCE_MIDDLE = 50.0
_CONFIDENCE_BY_MARGIN = 164.0
_CONFIDENCE_NOISE = 7.5


@dataclass(slots=True, frozen=True)
class Request:
    """One request of a caller."""

    number: int
    kind: RequestKind
    arrived_s: float
    entry: int
    parts: tuple[tuple[str, int], ...]
    output_tokens: int
    # From 0 to 1; a model answers well what is below its ability.
    hardness: float
    # By which chance moves what a model says of its answer.
    opinion_noise: float

    def is_good(self, ability: float) -> bool:
        """Tell whether a model of that ability answers it well."""
        return self.hardness < ability

    def confidence(self, ability: float) -> float:
        """Return a model's opinion of its answer, 0 to 100."""
        margin = ability - self.hardness
        told = (
            _CONFIDENCE_MIDDLE
            + _CONFIDENCE_BY_MARGIN * margin
            + _CONFIDENCE_NOISE * self.opinion_noise
        )
        return min(100.0, max(0.0, told))


def make_requests(
    deployment: Deployment, load: float, seed: int, duration_s: float
) -> list[Request]:
    """Return all requests of a run, in the order of their arrival.

    ``load`` multiplies the deployment's usual requests a second.
    """
    rng = random.Random(f'{seed} callers')
    kinds = deployment.kinds
    shares = [kind.share for kind in kinds]
    rate = load * deployment.requests_per_s
    requests: list[Request] = []
    now_s = 0.0
    while True:
        wave = 1 + _SWING * math.sin(2 * math.pi * now_s / _SWING_PERIOD_S)
        now_s += rng.expovariate(rate * wave)
        if now_s >= duration_s:
            return requests
        kind = rng.choices(kinds, shares)[0]
        requests.append(
            _draw(deployment, kind, len(requests), now_s, seed, rng)
        )


def _draw(
    deployment: Deployment,
    kind: RequestKind,
    number: int,
    now_s: float,
    seed: int,
    rng: random.Random,
) -> Request:
    parts = []
    for depth, figures in enumerate(kind.shared):
        variant = rng.randrange(figures.variants)
        identity = f'{kind.name}/{depth}/{variant}'
        # Each variant has one size, whoever draws it.
        sizes = random.Random(f'{seed} {identity}')
        parts.append((identity, _tokens(figures, sizes)))
    parts.append((f'own/{number}', _tokens(kind.own_tokens, rng)))
    events = _tokens(kind.events, rng)
    return Request(
        number=number,
        kind=kind,
        arrived_s=now_s,
        entry=rng.randrange(deployment.entries),
        parts=tuple(parts),
        output_tokens=events * deployment.engine.tokens_per_event,
        hardness=rng.random(),
        opinion_noise=rng.gauss(0.0, 1.0),
    )


def _tokens(figures: PartFigures, rng: random.Random) -> int:
    """Draw a size whose mean is as given, skewed by the spread."""
    sigma = figures.spread
    middle = math.log(figures.mean_tokens) - sigma * sigma / 2
    drawn = rng.lognormvariate(middle, sigma)
    return int(min(figures.most_tokens, max(1.0, drawn)))
