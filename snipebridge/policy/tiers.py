"""Selects the model tier of a request and decides on escalation.

A cheap model drafts the answer. The confidence that it reports with the first
bytes decides whether the draft is kept or the request is escalated to the
strongest model. A run of the strongest model takes many times the engine time
of a draft, so the required confidence falls as the price of engine time rises,
and falls faster for requests of less value per engine time.

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

# A lower value keeps too many unhelpful answers, a higher one overloads the
# engines; see the table in docs/design/platform.md.
REQUIRED_CONFIDENCE = 60.0
# Used if the strongest model would miss the objective: a late answer is worth
# about a third, so only drafts even less likely to be right are replaced.
REQUIRED_CONFIDENCE_LATE = 20.0
# Value of a request of each priority relative to the highest one.
_PRIORITY_WEIGHTS = (1.0, 0.8, 0.2, 0.1)
# Value of an output token and its engine time on the strongest model, both
# relative to a prompt token.
_OUTPUT_VALUE = 10.0
_OUTPUT_COST = 16.0
# Lower bound of the weight that a price is divided by.
_MIN_WEIGHT = 0.01


@dataclass(slots=True)
class DraftState:
    """State of a request once the response head of a draft has arrived."""

    model: str
    confidence: float | None
    attempts_left: int = 1
    # Value density of a run of the strongest model; about 1 for urgent uncached
    # prompts with short answers.
    weight: float = 1.0
    # Price of engine time, 0 while the engines keep up with the load.
    price: float = 0.0
    # Time until the caller's objective and until its deadline.
    objective_left_s: float = 1.0
    deadline_left_s: float = 1.0
    # Expected time to first token of the strongest model.
    expected_s: float = 0.0


def value_density(
    priority: int, prompt_tokens: int, output_tokens: int, uncached_tokens: int
) -> float:
    """Return the value of a run of the strongest model per engine time.

    Larger requests have more value and take longer; mostly cached prompts
    take little time, and requests of low priority have little value.

    >>> value_density(0, 2000, 20, 2000) > value_density(1, 9000, 50, 9000)
    True
    >>> value_density(1, 9000, 50, 3000) > value_density(2, 700, 230, 500)
    True
    """
    rank = min(max(0, priority), len(_PRIORITY_WEIGHTS) - 1)
    value = _PRIORITY_WEIGHTS[rank] * (
        prompt_tokens + _OUTPUT_VALUE * output_tokens
    )
    cost = uncached_tokens + _OUTPUT_COST * output_tokens
    return value / max(1.0, cost)


class TierPolicy:
    """Chooses the first model and decides whether a draft is kept."""

    __slots__ = ('_base_confidence',)

    def __init__(self, base_confidence: float = REQUIRED_CONFIDENCE) -> None:
        """Set the confidence that is required at a price of zero."""
        self._base_confidence = base_confidence

    def first_tier(self, tiers: Sequence[str], attempts_left: int) -> str:
        """Return the first model: the strongest if only one attempt is left."""
        if not tiers:
            return ''
        return tiers[0] if attempts_left > 1 else tiers[-1]

    def next_tier(self, tiers: Sequence[str], state: DraftState) -> str:
        """Return the model to escalate to, or empty to keep the draft."""
        if not tiers or state.model == tiers[-1] or state.attempts_left < 1:
            return ''
        if state.confidence is None:
            return ''
        if state.expected_s > state.deadline_left_s:
            return ''
        if state.confidence >= self.required_confidence(state):
            return ''
        return tiers[-1]

    def required_confidence(self, state: DraftState) -> float:
        """Return the minimum confidence at which a draft is kept."""
        weight = max(_MIN_WEIGHT, state.weight)
        required = self._base_confidence * max(
            0.0, 1.0 - state.price / (2 * weight)
        )
        if state.expected_s > state.objective_left_s:
            return min(required, REQUIRED_CONFIDENCE_LATE)
        return required
