"""Which model of a route's tiers answers, and when a draft is not enough.

A cheap model drafts, and its own confidence, which comes with the first
bytes, tells whether the answer is kept or the strongest model is asked. A
run of the strongest model takes many times the engine time of a draft, so
the confidence that is asked for falls with the price of engine time, and
sooner for requests that are less urgent.

>>> policy = TierPolicy()
>>> policy.first_tier(('small', 'large'), attempts_left=3)
'small'
>>> policy.next_tier(('small', 'large'), DraftState('small', confidence=20.0))
'large'
>>> policy.next_tier(('small', 'large'), DraftState('small', confidence=90.0))
''
"""

from collections.abc import Sequence
from dataclasses import dataclass

# docs/design/platform.md has the table: below it too many callers get an
# answer that does not help them, above it the engines fill up.
CONFIDENCE_WANTED = 60.0
# Asked for where the strongest model would answer too late: a late answer is
# worth about a third, so the draft must be likelier wrong than that.
CONFIDENCE_WANTED_LATE = 20.0
# What a request of each rank counts for against one of the first.
_RANK_WEIGHTS = (1.0, 0.8, 0.2, 0.1)
# Tokens of an answer against tokens of a prompt: in what they are worth, and
# in the engine time that a step of the strongest model takes.
_OUTPUT_WORTH = 10.0
_OUTPUT_COST = 16.0
# Keeps a price finite by what weighs next to nothing.
_LEAST_WEIGHT = 0.01


@dataclass(slots=True)
class DraftState:
    """What is known when the head of a draft has come."""

    model: str
    confidence: float | None
    attempts_left: int = 1
    # What the strongest model brings for its time, 1 for a short urgent prompt.
    weight: float = 1.0
    # Price of engine time, 0 while the engines keep up.
    price: float = 0.0
    # Time until the caller's objective, and until the caller leaves.
    objective_left_s: float = 1.0
    deadline_left_s: float = 1.0
    # How long the strongest model would take to its first token.
    expected_s: float = 0.0


def value_per_engine_time(
    priority: int, prompt_tokens: int, output_tokens: int, uncached_tokens: int
) -> float:
    """Return what a run of the strongest model brings for its engine time.

    Larger requests are worth more and take longer; those whose prompt is
    mostly cached take little, and those of a late rank are worth little.

    >>> value_per_engine_time(0, 2000, 20, 2000) > value_per_engine_time(1, 9000, 50, 9000)
    True
    >>> value_per_engine_time(1, 9000, 50, 3000) > value_per_engine_time(2, 700, 230, 500)
    True
    """
    rank = min(max(0, priority), len(_RANK_WEIGHTS) - 1)
    worth = _RANK_WEIGHTS[rank] * (
        prompt_tokens + _OUTPUT_WORTH * output_tokens
    )
    cost = uncached_tokens + _OUTPUT_COST * output_tokens
    return worth / max(1.0, cost)


class TierPolicy:
    """Chooses the model of a first run, and judges its confidence."""

    __slots__ = ('_wanted',)

    def __init__(self, wanted: float = CONFIDENCE_WANTED) -> None:
        """Ask for a confidence on idle engines."""
        self._wanted = wanted

    def first_tier(self, tiers: Sequence[str], attempts_left: int) -> str:
        """Return the model that runs first."""
        if not tiers:
            return ''
        return tiers[0] if attempts_left > 1 else tiers[-1]

    def next_tier(self, tiers: Sequence[str], state: DraftState) -> str:
        """Return the model to ask in place of a draft, empty to keep it."""
        if not tiers or state.model == tiers[-1] or state.attempts_left < 1:
            return ''
        if state.confidence is None:
            return ''
        if state.expected_s > state.deadline_left_s:
            return ''
        if state.confidence >= self.wanted(state):
            return ''
        return tiers[-1]

    def wanted(self, state: DraftState) -> float:
        """Return the confidence that a draft needs to be kept."""
        weight = max(_LEAST_WEIGHT, state.weight)
        wanted = self._wanted * max(0.0, 1.0 - state.price / (2 * weight))
        if state.expected_s > state.objective_left_s:
            return min(wanted, CONFIDENCE_WANTED_LATE)
        return wanted
