"""The leader's duty to move each roll-out of software on."""

from collections.abc import Iterable, Sequence

from snipebridge.clock import Clock
from snipebridge.controllers.software_rollouts import (
    ACTIVE,
    SoftwareOrder,
    SoftwareRollouts,
    SoftwareRolloutState,
)
from snipebridge.fleet.evidence import SoftwareEvidence
from snipebridge.logs import log_decision
from snipebridge.policy.software_rollouts import (
    RolloutBounds,
    RolloutStep,
    RolloutView,
    decide,
)
from snipebridge.policy.version_records import (
    RecordWindow,
    Stratum,
    StratumCounts,
    VersionRecord,
    median_s,
)
from snipebridge.rpc.commands_pb2 import Command, SoftwareRolloutCommand
from snipebridge.rpc.control_pb2 import ListedReplica

_MS_PER_S = 1000
# A line tells of the routes with the most answers only.
_LOGGED_STRATA = 12


class SoftwareDuty:
    """Decides on each roll-out under way from what the entries reported.

    How long a roll-out runs is counted on the steady clock from when this
    process first saw it; the time of day may jump.
    """

    __slots__ = (
        '_bounds',
        '_changed',
        '_clock',
        '_first_seen_s',
        '_recent',
        '_with_others',
    )

    def __init__(self, clock: Clock, bounds: RolloutBounds) -> None:
        """Start without a roll-out."""
        self._clock = clock
        self._bounds = bounds
        self._first_seen_s: dict[tuple[str, int], float] = {}
        # The share that was seen last, and since when.
        self._changed: dict[tuple[str, int], tuple[int, float]] = {}
        self._recent: dict[tuple[str, int], RecordWindow] = {}
        # Roll-outs beside which another version was listed.
        self._with_others: set[tuple[str, int]] = set()

    def commands(
        self,
        rollouts: SoftwareRollouts,
        evidence: SoftwareEvidence,
        replicas: Iterable[ListedReplica],
    ) -> list[Command]:
        """Return the steps that are due now."""
        listed = list(replicas)
        due = []
        for rollout in rollouts.by_service.values():
            if rollout.state == ACTIVE:
                orders = rollouts.orders(rollout.service)
                view = self._view(rollout, orders, evidence, listed)
                view.is_in_use = (
                    rollouts.in_use(rollout.service) == rollout.target
                )
                step = decide(view, self._bounds)
                if step is not None:
                    _log(rollout, view, step)
                    last_number = rollouts.last_number(rollout.service)
                    due.append(_command(rollout, step, last_number))
        return due

    def _view(
        self,
        rollout: SoftwareRolloutState,
        orders: Sequence[SoftwareOrder],
        evidence: SoftwareEvidence,
        listed: list[ListedReplica],
    ) -> RolloutView:
        records = evidence.records(rollout.service, rollout.number)
        target = records.pop(rollout.target, VersionRecord())
        others = VersionRecord()
        for record in records.values():
            others.add(record)
        ready = sum(
            (one.service, one.software) == (rollout.service, rollout.target)
            and not one.draining
            for one in listed
        )
        key = (rollout.service, rollout.number)
        if any(
            one.service == rollout.service and one.software != rollout.target
            for one in listed
        ):
            self._with_others.add(key)
        recent = self._recent.setdefault(key, RecordWindow())
        return RolloutView(
            elapsed_s=self._elapsed_s(rollout.service, rollout),
            duration_s=self._duration_s(rollout, orders),
            share_permille=rollout.share_permille,
            target_replicas=ready,
            # Only a roll-out beside another version has a trial.
            has_others=key in self._with_others or rollout.share_permille > 0,
            unchanged_s=self._unchanged_s(rollout),
            target=target,
            target_recent=recent.add(target, self._clock.monotonic_s()),
            others=others,
        )

    def _unchanged_s(self, rollout: SoftwareRolloutState) -> float:
        key = (rollout.service, rollout.number)
        now_s = self._clock.monotonic_s()
        share, since_s = self._changed.get(key, (-1, now_s))
        if share != rollout.share_permille:
            since_s = now_s
            self._changed[key] = (rollout.share_permille, now_s)
        return now_s - since_s

    def _duration_s(
        self, rollout: SoftwareRolloutState, orders: Sequence[SoftwareOrder]
    ) -> float:
        """Return the time from the first order to the deadline of the last."""
        duration_s = rollout.duration_ms / _MS_PER_S
        if not orders or orders[-1].number == rollout.number:
            return duration_s
        last = orders[-1]
        before_last_s = self._elapsed_s(
            rollout.service, rollout
        ) - self._elapsed_s(rollout.service, last)
        return before_last_s + last.duration_ms / _MS_PER_S

    def _elapsed_s(
        self, service: str, order: SoftwareRolloutState | SoftwareOrder
    ) -> float:
        key = (service, order.number)
        now_s = self._clock.monotonic_s()
        if key not in self._first_seen_s:
            age_ms = self._clock.wall_ms() - order.ordered_at_ms
            known_s = min(max(0, age_ms), order.duration_ms) / _MS_PER_S
            self._first_seen_s[key] = now_s - known_s
        return now_s - self._first_seen_s[key]


def _command(
    rollout: SoftwareRolloutState, step: RolloutStep, last_number: int
) -> Command:
    return Command(
        software_rollout=SoftwareRolloutCommand(
            service=rollout.service,
            target=rollout.target,
            state=step.state,
            share_permille=step.share_permille,
            reason=step.reason,
            # A newer order is not to be ended by a step decided before it.
            number=last_number,
        )
    )


def _log(
    rollout: SoftwareRolloutState, view: RolloutView, step: RolloutStep
) -> None:
    log_decision(
        'software_rollout',
        service=rollout.service,
        target=rollout.target,
        number=rollout.number,
        state=step.state,
        share_permille=step.share_permille,
        reason=step.reason,
        elapsed_s=round(view.elapsed_s, 2),
        target_replicas=view.target_replicas,
        target_sent=view.target.sent,
        target_answered=view.target.answered,
        target_failed=view.target.failed,
        target_slow=view.target.slow,
        target_untimed=view.target.untimed,
        others_sent=view.others.sent,
        others_answered=view.others.answered,
        others_failed=view.others.failed,
        others_slow=view.others.slow,
        others_untimed=view.others.untimed,
        strata=_describe_strata(view),
    )


def _describe_strata(view: RolloutView) -> list[dict]:
    """Return what was compared, by route and model."""
    target, others = view.target.strata, view.others.strata
    answered = {
        one: _counts(target, one).answered + _counts(others, one).answered
        for one in (*target, *others)
    }
    most = sorted(answered, key=answered.__getitem__, reverse=True)
    return [
        {
            'route': one.route,
            'model': one.model,
            'target': _describe(_counts(target, one)),
            'others': _describe(_counts(others, one)),
        }
        for one in most[:_LOGGED_STRATA]
    ]


def _counts(
    strata: dict[Stratum, StratumCounts], stratum: Stratum
) -> StratumCounts:
    return strata.get(stratum) or StratumCounts()


def _describe(counts: StratumCounts) -> dict:
    return {
        'answered': counts.answered,
        'failed': counts.failed,
        'timed': counts.timed,
        'late': counts.late,
        'median_ms': round(median_s(counts.times, 1) * _MS_PER_S, 2),
    }
