"""Types of the version selection: request, candidates and decision."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from snipebridge.errors import SnipebridgeError

SERVING = 'serving'
CANDIDATE = 'candidate'
WITHDRAWN = 'withdrawn'
SINGLE = 'single'
CASCADE = 'cascade'
# Priority of live work, which is excluded from exploration.
LIVE_PRIORITY = 0
ORDINARY_PRIORITY = 2


class NoVersionError(SnipebridgeError):
    """No permitted version takes new work."""

    code = 'no_version'


@dataclass(slots=True)
class VersionRequest:
    """Properties of a request on which the selection depends.

    ``deadline_s`` is the remaining time, None without a deadline.
    """

    account: str
    quality_target: float
    task: str
    length_class: str
    prompt_tokens: int
    expected_completion_tokens: int
    streamed: bool = False
    deadline_s: float | None = None
    session_version: str | None = None
    priority: int = ORDINARY_PRIORITY


@dataclass(slots=True)
class VersionCandidate:
    """A version that the client account may use, in its current state.

    ``stopped`` tells that this entry suspects the version to be bad and sends
    it no new work.
    """

    name: str
    cost_micros_per_token: float
    prior_quality: float
    state: str = SERVING
    stopped: bool = False
    first_token_s: float = 0.5
    tokens_per_s: float = 50.0


@dataclass(slots=True)
class VersionOption:
    """An option and the estimates it was compared by.

    ``lower`` is the lower bound of the quality, ``weight`` the number of
    ratings behind the estimate.
    """

    version: str
    escalate_to: str | None
    cost_micros: float
    quality: float
    lower: float
    latency_s: float
    weight: float


@dataclass(slots=True)
class VersionDecision:
    """The selected version, the reason and the options considered.

    ``expected_quality`` is passed to `VersionChoice.record_rating` once the
    answer is rated.
    """

    version: str
    mode: str
    escalate_to: str | None
    reason: str
    weighed: list[VersionOption]
    expected_quality: float


class VersionChoice(Protocol):
    """Selects the version that answers a request."""

    def choose(
        self,
        request: VersionRequest,
        candidates: Sequence[VersionCandidate],
        now_s: float,
        rng: random.Random,
    ) -> VersionDecision:
        """Return the decision; raise `NoVersionError` if none is eligible."""

    def record_rating(
        self,
        account: str,
        expected_quality: float,
        good: float,
    ) -> None:
        """Replace the expected quality of an answer with its rating."""
