"""Stages, exposure budget and decisions of a roll-out, at control.

Each stage has a budget of requests for the whole fleet, which is divided
between the entries by leased grants. A granted request counts as used whether
it is sent or not, so more entries make the grants smaller, not the exposure
larger. A roll-out advances to the next stage only when the evidence shows that
the candidate is healthy within the margin of the stage.

A leader may grant requests up to a ceiling in the last durable state. A new
leader counts the whole ceiling as used, because it can't know which grants its
predecessor made.

>>> plan = make_rollout_plan('small@2', 'small@1', [0.01, 1.0], 200, epoch=1)
>>> plan.grants(['entry-1'], 0.0)
[]
"""

import math
from collections.abc import Sequence
from dataclasses import asdict

import orjson

from snipebridge.policy.evidence import (
    Comparison,
    Margins,
    OutcomeSums,
    compare,
)
from snipebridge.policy.exposure import ExposureGrants
from snipebridge.policy.rollout_guard import (
    RolloutGuard,
    make_rollout_guard,
)
from snipebridge.policy.rollout_types import (
    Grant,
    RequestOutcome,
    RolloutAction,
    RolloutDecision,
    RolloutPair,
    VersionReport,
)

__all__ = (
    'Grant',
    'RequestOutcome',
    'RolloutAction',
    'RolloutDecision',
    'RolloutGuard',
    'RolloutPair',
    'RolloutPlan',
    'VersionReport',
    'make_rollout_guard',
    'make_rollout_plan',
)

# Probability that a healthy version is ever stopped, over all signals.
FALSE_STOP_ALPHA = 0.02
# Errors, ratings and latency, for each of the two versions.
HARM_TEST_COUNT = 6
# Probability that a version at the margin of a stage passes the stage.
FALSE_ADVANCE_ALPHA = 0.02
# The health margins shrink by this factor from stage to stage.
MARGIN_SHRINK = 0.5
MIN_HEALTH_MARGIN = 0.03
# An entry with a grant sends requests to the candidate with a probability of
# this factor times the share of the stage. The budget enforces the share; the
# higher probability makes entries use up their grants.
SEND_PROBABILITY_FACTOR = 2.0
# Share of the stage limit by which a durable ceiling exceeds the charged
# requests.
RESERVE_SHARE = 0.02
MIN_RESERVE_REQUESTS = 4
# Outcomes of the candidate that a change of leader may lose.
MAX_UNSAVED_OUTCOMES = 10
GRANT_VALID_S = 5.0
# Minimum duration of a stage, so that slow and missing answers count.
MIN_STAGE_S = 30.0
# Number of entries whose local stops cause a stop in the whole fleet.
STOPPED_ENTRIES_TO_STOP = 2


class RolloutPlan:
    """State of one roll-out at the leader.

    Entries are identified by name and incarnation, so that a restarted entry,
    which lost its count of sent requests, gets a new grant.
    """

    __slots__ = (
        '_entry_count',
        '_epoch',
        '_exposure',
        '_limit_requests',
        '_saved_budget',
        '_saved_count',
        '_stage_started_s',
        '_stages',
        '_state',
        '_stopped_entries',
        'stable',
        'stable_sums',
        'sums',
        'version',
    )

    def __init__(
        self,
        version: str,
        stable: str,
        stages: Sequence[float],
        limit_requests: int,
        epoch: int,
    ) -> None:
        """Start at the first stage without grants."""
        self.version = version
        self.stable = stable
        self.sums = OutcomeSums()
        self.stable_sums = OutcomeSums()
        self._stages = tuple(stages)
        self._limit_requests = limit_requests
        self._epoch = epoch
        self._state = _StageState()
        self._exposure = ExposureGrants()
        self._stopped_entries: set[str] = set()
        self._entry_count = 0
        self._saved_count = 0
        self._saved_budget = 0
        self._stage_started_s: float | None = None

    @property
    def stage(self) -> int:
        """Index of the current stage."""
        return self._state.stage

    def report(
        self,
        entry: str,
        version_outcome: VersionReport,
        stable_outcome: VersionReport,
        now_s: float,
    ) -> None:
        """Add the outcomes at an entry since its last report.

        The caller drops duplicate reports. If one of the versions has no
        outcomes, pass a report with empty sums for it.
        """
        answered = version_outcome.sums.answered
        traffic = answered + stable_outcome.sums.answered
        self.sums.add(version_outcome.sums)
        self.stable_sums.add(stable_outcome.sums)
        self._state.traffic += traffic
        self._exposure.record_traffic(entry, traffic, answered, now_s)
        if version_outcome.stopped:
            self._stopped_entries.add(entry)

    def grants(self, entries: Sequence[str], now_s: float) -> list[Grant]:
        """Return renewed and increased grants for the live entries.

        Requests granted to an entry that is no longer live stay counted as
        used.
        """
        if self._state.final_action is not None:
            return []
        self._entry_count = len(entries)
        self._exposure.allocate(entries, self._budget(), now_s)
        return [
            Grant(
                entry=entry,
                version=self.version,
                grant_id=self._epoch,
                requests=self._exposure.granted(entry),
                valid_s=GRANT_VALID_S,
                share=min(
                    SEND_PROBABILITY_FACTOR * self._stages[self.stage], 1.0
                ),
            )
            for entry in entries
            if self._exposure.granted(entry)
        ]

    def decide(self, now_s: float) -> RolloutDecision:
        """Decide by the evidence; an advance changes the stage at once.

        Requests of the new stage are granted only after a state whose ceiling
        covers them is durable.
        """
        state = self._state
        if state.final_action is not None:
            return RolloutDecision(
                state.final_action, state.reason, state.stage
            )
        if self._stage_started_s is None:
            self._stage_started_s = now_s
        comparison = compare(
            self.sums,
            self.stable_sums,
            self._margins(),
            FALSE_STOP_ALPHA / HARM_TEST_COUNT,
        )
        reason = self._harm_reason(comparison)
        if reason:
            return self._finish(RolloutAction.STOP, reason)
        hold_reason = _hold_reason(comparison)
        if not hold_reason and now_s - self._stage_started_s < MIN_STAGE_S:
            hold_reason = 'stage_too_young'
        remaining = (
            state.charged_before + self._stage_limit() - self._exposure.charged
        )
        if hold_reason and remaining <= 0:
            hold_reason = f'exposure_limit_reached, {hold_reason}'
        if hold_reason:
            return RolloutDecision(RolloutAction.HOLD, hold_reason, state.stage)
        if state.stage + 1 == len(self._stages):
            return self._finish(RolloutAction.COMPLETE, 'healthy')
        self._state = _StageState(
            state.stage + 1, charged_before=self._exposure.charged
        )
        self._stage_started_s = now_s
        return RolloutDecision(RolloutAction.ADVANCE, 'healthy', self.stage)

    def needs_save(self) -> bool:
        """Return whether grants or outcomes require a new durable state."""
        if self._state.final_action is not None:
            return False
        if (
            _outcome_count(self.sums) - self._saved_count
            >= MAX_UNSAVED_OUTCOMES
        ):
            return True
        ceiling_increase = self._next_ceiling() - self._exposure.ceiling
        earned_requests = self._budget() - self._saved_budget
        # Half of the reserve was charged, or the budget grew by all of it.
        return max(2 * ceiling_increase, earned_requests) >= self._reserve()

    def to_bytes(self) -> bytes:
        """Serialise the state, with a ceiling for further grants.

        Pass the bytes to `confirm` once they are durable on a quorum.
        """
        state = self._state
        return orjson.dumps(
            {
                'stage': state.stage,
                'base': state.charged_before,
                'traffic': state.traffic,
                'end': state.final_action,
                'reason': state.reason,
                'sums': asdict(self.sums),
                'stable_sums': asdict(self.stable_sums),
                'ceiling': self._next_ceiling(),
                'budget': self._budget(),
                'stopped_entries': sorted(self._stopped_entries),
            },
        )

    def confirm(self, durable: bytes) -> None:
        """Allow grants up to the ceiling of a state that is durable now."""
        values = orjson.loads(durable)
        ceiling = values['ceiling']
        self._exposure.ceiling = max(self._exposure.ceiling, ceiling)
        self._saved_count = _outcome_count(OutcomeSums(**values['sums']))
        self._saved_budget = values['budget']

    def restore(self, durable: bytes) -> None:
        """Restore the durable state of an earlier leader.

        The whole ceiling counts as used.
        """
        values = orjson.loads(durable)
        final_action = values['end']
        self._state = _StageState(
            values['stage'],
            values['base'],
            values['traffic'],
            None if final_action is None else RolloutAction(final_action),
            values['reason'],
        )
        self.sums = OutcomeSums(**values['sums'])
        self.stable_sums = OutcomeSums(**values['stable_sums'])
        self._exposure = ExposureGrants(
            values['ceiling'], charged=values['ceiling']
        )
        self._saved_count = _outcome_count(self.sums)
        self._saved_budget = values['budget']
        self._stopped_entries = set(values['stopped_entries'])

    def _margins(self) -> Margins:
        margins = Margins()
        shrink = MARGIN_SHRINK**self.stage
        margins.health_errors = max(
            margins.health_errors * shrink, MIN_HEALTH_MARGIN
        )
        margins.health_poor = max(
            margins.health_poor * shrink, MIN_HEALTH_MARGIN
        )
        return margins

    def _harm_reason(self, comparison: Comparison) -> str:
        limit = math.log(HARM_TEST_COUNT / FALSE_STOP_ALPHA)
        if comparison.errors_harm >= limit:
            return 'errors'
        if comparison.poor_harm >= limit:
            return 'ratings'
        if comparison.latency_harm:
            return 'latency'
        needed_entries = min(STOPPED_ENTRIES_TO_STOP, max(self._entry_count, 1))
        if len(self._stopped_entries) >= needed_entries:
            return 'stopped_by_entries'
        return ''

    def _finish(self, action: RolloutAction, reason: str) -> RolloutDecision:
        self._state.final_action = action
        self._state.reason = reason
        return RolloutDecision(action, reason, self.stage)

    def _stage_limit(self) -> int:
        growth = self._stages[self.stage] / self._stages[0]
        return int(self._limit_requests * growth)

    def _budget(self) -> int:
        """Return how many requests may be charged by now."""
        state = self._state
        earned_requests = int(self._stages[self.stage] * state.traffic)
        return state.charged_before + min(earned_requests, self._stage_limit())

    def _reserve(self) -> int:
        return max(
            int(RESERVE_SHARE * self._stage_limit()), MIN_RESERVE_REQUESTS
        )

    def _next_ceiling(self) -> int:
        max_ceiling = self._state.charged_before + self._stage_limit()
        # Bounded by the budget that the traffic so far has earned. Otherwise
        # repeated changes of leader would use up the limit without requests.
        charged = min(self._exposure.charged, self._budget())
        wanted = min(charged + self._reserve(), max_ceiling)
        return max(self._exposure.ceiling, wanted)


class _StageState:
    """Progress of the current stage and the final action, if any."""

    __slots__ = ('charged_before', 'final_action', 'reason', 'stage', 'traffic')

    def __init__(
        self,
        stage: int = 0,
        charged_before: int = 0,
        traffic: int = 0,
        final_action: RolloutAction | None = None,
        reason: str = '',
    ) -> None:
        self.stage = stage
        self.charged_before = charged_before
        self.traffic = traffic
        self.final_action = final_action
        self.reason = reason


def make_rollout_plan(
    version: str,
    stable: str,
    stages: Sequence[float],
    exposure_limit_requests: int,
    *,
    epoch: int,
    durable: bytes = b'',
) -> RolloutPlan:
    """Return a plan, restored from a durable state if there is one.

    ``epoch`` increases with each leader; it may be the term.
    """
    plan = RolloutPlan(version, stable, stages, exposure_limit_requests, epoch)
    if durable:
        plan.restore(durable)
    return plan


def _outcome_count(sums: OutcomeSums) -> int:
    return sums.answered + sums.rated


def _hold_reason(comparison: Comparison) -> str:
    limit = math.log(1 / FALSE_ADVANCE_ALPHA)
    if comparison.errors_health < limit:
        return 'too_few_outcomes'
    if comparison.poor_health < limit:
        return 'too_few_ratings'
    if not comparison.latency_health:
        return 'latency_unsure'
    return ''
