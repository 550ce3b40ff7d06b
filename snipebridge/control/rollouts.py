"""Roll-outs by the policy: implements `RolloutPlanner`.

There is one plan for each running roll-out. What a plan grants beyond its
last durable state waits until the next state is durable.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from snipebridge.controllers.planners import RolloutDecision
from snipebridge.controllers.rollouts import RolloutProgress
from snipebridge.policy.evidence import OutcomeSums
from snipebridge.policy.rollouts import (
    Grant,
    RolloutAction,
    RolloutPlan,
    VersionReport,
    make_rollout_plan,
)
from snipebridge.rpc.control_pb2 import ExposureGrant, VersionOutcome

DEFAULT_STAGES = (0.01, 0.05, 0.25, 1.0)
DEFAULT_LIMIT_REQUESTS = 200

_RUNNING = 'running'
_STATES = {
    RolloutAction.ADVANCE: _RUNNING,
    RolloutAction.HOLD: _RUNNING,
    RolloutAction.STOP: 'stopped',
    RolloutAction.COMPLETE: 'complete',
}
# Plans that one leadership can make before grant ids overlap.
_PLANS_LIMIT = 1_000_000


@dataclass(frozen=True, slots=True)
class _Terms:
    """What an operator has configured for a roll-out."""

    stable: str
    stages: tuple[float, ...]
    limit_requests: int


@dataclass(slots=True)
class _Running:
    terms: _Terms
    plan: RolloutPlan


class PlannedRollouts:
    """The plans of the running roll-outs by version."""

    __slots__ = ('_epoch', '_grants', '_running')

    def __init__(self) -> None:
        """Start without a plan."""
        self._epoch = 0
        self._running: dict[str, _Running] = {}
        self._grants: dict[str, list[ExposureGrant]] = {}

    def begin(self, fencing_number: int) -> None:
        """Start a leadership; its grant ids are above all earlier ones."""
        self._epoch = fencing_number * _PLANS_LIMIT
        self._running = {}
        self._grants = {}

    def configure(
        self, document: dict, progress: Mapping[str, RolloutProgress]
    ) -> None:
        """Keep the plans that are still asked for, and make the others."""
        wanted = _running_terms(document)
        kept = {
            version: running
            for version, running in self._running.items()
            if wanted.get(version) == running.terms
        }
        for version, terms in wanted.items():
            if version not in kept:
                known = progress.get(version)
                durable = known.evidence if known else b''
                kept[version] = self._make(version, terms, durable)
        self._running = kept

    def report(
        self,
        process: str,
        outcomes: Sequence[VersionOutcome],
        now_s: float,
    ) -> None:
        """Give each plan what the process saw of its two versions."""
        by_version = {outcome.version: outcome for outcome in outcomes}
        for version, running in self._running.items():
            stable = running.terms.stable
            if version in by_version or stable in by_version:
                running.plan.report(
                    process,
                    _read(version, by_version),
                    _read(stable, by_version),
                    now_s,
                )

    def decide(
        self, processes: Sequence[str], now_s: float
    ) -> Sequence[RolloutDecision]:
        """Renew the grants; return what has to become durable."""
        self._renew_grants(processes, now_s)
        decisions = []
        for version, running in self._running.items():
            plan = running.plan
            decision = plan.decide(now_s)
            held = decision.action is RolloutAction.HOLD
            if not held or plan.needs_save():
                decisions.append(
                    RolloutDecision(
                        version,
                        decision.stage,
                        _STATES[decision.action],
                        decision.reason,
                        plan.to_bytes(),
                    )
                )
        return decisions

    def confirm(self, decision: RolloutDecision) -> None:
        """Let the plan grant what the durable state allows."""
        running = self._running.get(decision.version)
        if running is not None:
            running.plan.confirm(decision.evidence)

    def grants(self, process: str, now_s: float) -> Sequence[ExposureGrant]:
        """Return the grants of one entry process as of the last round."""
        return self._grants.get(process, ())

    def _renew_grants(self, processes: Sequence[str], now_s: float) -> None:
        self._grants = {}
        for running in self._running.values():
            for grant in running.plan.grants(processes, now_s):
                granted = self._grants.setdefault(grant.entry, [])
                granted.append(_make_grant(grant))

    def _make(self, version: str, terms: _Terms, durable: bytes) -> _Running:
        # A plan that is made anew replaces the grants of the one before.
        self._epoch += 1
        plan = make_rollout_plan(
            version,
            terms.stable,
            terms.stages,
            terms.limit_requests,
            epoch=self._epoch,
            durable=durable,
        )
        return _Running(terms, plan)


def _running_terms(document: dict) -> dict[str, _Terms]:
    return {
        version: _Terms(
            rollout['stable'],
            tuple(rollout.get('stages', DEFAULT_STAGES)),
            rollout.get('exposure_limit_requests', DEFAULT_LIMIT_REQUESTS),
        )
        for version, rollout in document.get('rollouts', {}).items()
        if rollout['state'] == _RUNNING
    }


def _read(
    version: str, by_version: Mapping[str, VersionOutcome]
) -> VersionReport:
    outcome = by_version.get(version) or VersionOutcome()
    sums = OutcomeSums(
        answered=outcome.answered,
        errors=outcome.errors,
        rated=outcome.rated,
        rated_good=outcome.rated_good,
        first_tokens=outcome.first_tokens,
        first_token_s_sum=outcome.first_token_s_sum,
        first_token_s_square_sum=outcome.first_token_s_square_sum,
    )
    return VersionReport(version, sums, outcome.stopped)


def _make_grant(grant: Grant) -> ExposureGrant:
    return ExposureGrant(
        version=grant.version,
        requests=grant.requests,
        valid_s=grant.valid_s,
        grant_id=grant.grant_id,
        share=grant.share,
    )
