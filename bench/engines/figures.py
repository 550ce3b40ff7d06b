"""What callers got in a run of the model, as figures."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from bench.engines.serving import Outcome

_MS_PER_S = 1000.0
_PERCENTILES = (50, 95, 99)


@dataclass(slots=True)
class RunFigures:
    """One line of the table."""

    deployment: str
    way: str
    load: float
    seed: int
    asked: int
    # Worth that callers got, by what they would have got at best.
    worth_share: float
    # The same, less the prices of models and of bytes far away.
    net_share: float
    far_price_share: float
    worth_per_s: float
    in_time_share: float
    whole_share: float
    good_share: float
    largest_share: float
    p50_ms: float
    p95_ms: float
    p99_ms: float
    read_again_share: float = 0.0


def measure(
    outcomes: Sequence[Outcome],
    deployment: str,
    way: str,
    load: float,
    seed: int,
    duration_s: float,
) -> RunFigures:
    """Return the figures of one run.

    Percentiles count a request without a first token as later than all.
    """
    best = sum(outcome.request.kind.worth for outcome in outcomes)
    got = sum(outcome.worth for outcome in outcomes)
    far_price = sum(outcome.far_price for outcome in outcomes)
    price = far_price + sum(outcome.price for outcome in outcomes)
    whole = [outcome for outcome in outcomes if outcome.is_whole]
    asked = max(1, len(outcomes))
    waits_ms = [
        float('inf')
        if outcome.first_token_s is None
        else outcome.first_token_s * _MS_PER_S
        for outcome in outcomes
    ] or [0.0]
    percentiles = np.percentile(waits_ms, _PERCENTILES, method='higher')
    return RunFigures(
        deployment=deployment,
        way=way,
        load=load,
        seed=seed,
        asked=len(outcomes),
        worth_share=round(got / max(best, 1e-9), 3),
        net_share=round((got - price) / max(best, 1e-9), 3),
        far_price_share=round(far_price / max(best, 1e-9), 4),
        worth_per_s=round(got / duration_s, 2),
        in_time_share=round(
            sum(outcome.is_in_time for outcome in whole) / asked, 3
        ),
        whole_share=round(len(whole) / asked, 4),
        good_share=round(
            sum(outcome.is_good for outcome in whole) / max(1, len(whole)), 3
        ),
        largest_share=round(
            sum(outcome.attempts > 1 for outcome in outcomes) / asked, 3
        ),
        p50_ms=round(float(percentiles[0]), 1),
        p95_ms=round(float(percentiles[1]), 1),
        p99_ms=round(float(percentiles[2]), 1),
    )
