"""Decides on the traffic share and the end of roll-outs of service software.

For most of the duration the new version gets a small share of the traffic. Its
answers are compared with those of the old version on the same routes, so that a
problem that affects both does not count against the new one. A version that has
shown to be healthy then takes all traffic, at a moment from which on it stays
within the bound on a bad version's requests even if it is reverted in the end.

>>> view = RolloutView(elapsed_s=3.0, duration_s=20.0, share_permille=100)
>>> view.target.answered, view.target.failed = 20, 9
>>> decide(view, RolloutBounds()).state
'reverted'
"""

from dataclasses import dataclass, field

from snipebridge.policy.version_comparison import Signal, compare
from snipebridge.policy.version_records import VersionRecord

ACTIVE = 'active'
COMPLETED = 'completed'
REVERTED = 'reverted'

WHOLE_PERMILLE = 1000
# Part of the permitted exposure that is used. Entries assign requests at
# random, and a stop takes a heartbeat to reach them.
_USED_EXPOSURE = 0.65
# Part of the slack that the trial may use; the rest is for the time between
# the step to all traffic and the end.
_USED_SLACK = 0.5
# The traffic share is raised by its initial value while the target gets less
# than the first of these parts of the wanted requests, and reset to the initial
# value above the second. Raises are limited in frequency and in total.
_RAISE_BELOW = 0.7
_RESET_ABOVE = 1.1
_MIN_RAISE_INTERVAL_S = 2.5
_MAX_SHARE_MULTIPLE = 4
_MIN_SENT_REQUESTS = 40
# Part of the duration before which no version takes all traffic: sessions keep
# their version.
_RAMP_START = 0.52
# Time before the deadline at which the roll-out is ended, enough for an entry
# of the replicated log and a change of leader.
_END_MARGIN_S = 2.0
_END_MARGIN_SHARE = 0.12
# Part of the slack that may be filled by projection: traffic varies.
_PROJECTED_SLACK = 0.7
# How long the end waits for a doubt to pass, which may be a few bad answers of
# a good version in the last seconds.
_DOUBT_WAIT_S = 0.6
# Time until entries follow a step of the leader.
_STOP_S = 0.4
# Fewer failures or slow answers are neither significant nor a reason to doubt.
_MIN_FAULT_COUNT = 3
_MIN_DOUBT_COUNT = 2
# Log evidence from which on a version is faulty. It is that of an e-value: the
# chance to stop a good version at any look is at most 1 in 1000.
_FAULT_EVIDENCE = 7.0
# Log evidence for health that a version needs before it takes all traffic: one
# of 20 bad versions may show it.
_HEALTH_EVIDENCE = 3.0
# Less is asked of its times: a trial has cold caches, so that a good version
# is slow now and then.
_PACE_EVIDENCE = 1.0
# When a version takes all traffic its caches are cold, and there is no other
# version to compare these seconds with. Fewer answers are those of the trial.
TAKEOVER_SLOW_SHARE = 0.35
_MIN_TAKEOVER_ANSWERS = 40


@dataclass(slots=True)
class RolloutView:
    """Inputs of the decision on one roll-out."""

    elapsed_s: float
    duration_s: float
    share_permille: int
    target_replicas: int = 1
    # Whether a replica of another version was listed since the order.
    has_others: bool = True
    # Whether the target had all traffic before the order.
    is_in_use: bool = False
    # Time since the last change of the share.
    unchanged_s: float = float('inf')
    target: VersionRecord = field(default_factory=VersionRecord)
    # Recent part of `target`: a version may become faulty after a long time.
    target_recent: VersionRecord = field(default_factory=VersionRecord)
    others: VersionRecord = field(default_factory=VersionRecord)


@dataclass(slots=True, frozen=True)
class RolloutBounds:
    """Limits set by the operators for a version on trial."""

    exposure_share: float = 0.15
    # Requests that a bad version may get beyond the share.
    exposure_slack: float = 0.0


@dataclass(slots=True, frozen=True)
class RolloutStep:
    """Next state and traffic share of a roll-out."""

    state: str
    share_permille: int
    reason: str


def decide(view: RolloutView, bounds: RolloutBounds) -> RolloutStep | None:
    """Return the next step, or None if nothing changes.

    A version in use has no trial: there is no other one to go back to.
    """
    if view.is_in_use:
        is_due = view.elapsed_s >= _end_s(view.duration_s)
        step = RolloutStep(COMPLETED, WHOLE_PERMILLE, 'in use before')
        return step if is_due and view.target_replicas else None
    least_share = _least_slow_share(view)
    fault = find_fault(view.target, view.others, least_share) or find_fault(
        view.target_recent, view.others, least_share
    )
    if fault:
        return RolloutStep(REVERTED, 0, fault)
    if view.elapsed_s >= _end_s(view.duration_s):
        return _final_step(view)
    if not view.target_replicas:
        return None
    share = _next_share(view, bounds)
    if share == view.share_permille:
        return None
    return RolloutStep(ACTIVE, share, 'on schedule')


def _least_slow_share(view: RolloutView) -> float:
    """Return the share of slow answers that says nothing against a version."""
    has_taken_over = (
        view.share_permille == WHOLE_PERMILLE
        and view.target.timed >= _MIN_TAKEOVER_ANSWERS
    )
    return TAKEOVER_SLOW_SHARE if has_taken_over else 0


def find_fault(
    target: VersionRecord,
    others: VersionRecord,
    least_slow_share: float = 0,
) -> str:
    """Return the significant fault of a version, or an empty string."""
    comparison = compare(target, others, least_slow_share)
    failures, slowness = comparison.failures, comparison.slowness
    if _is_faulty(failures):
        return f'{failures.bad} of {failures.total} answers failed'
    if _is_faulty(slowness):
        return f'{slowness.bad} of {slowness.total} answers were slow'
    return ''


def is_doubtful(
    target: VersionRecord,
    others: VersionRecord,
    least_slow_share: float = 0,
    min_bad: int = _MIN_DOUBT_COUNT,
) -> bool:
    """Return whether a version should not get more traffic yet.

    A fault that is not significant is no proof of the opposite: a version is
    also doubtful while a bad one explains its answers better than a good one,
    on all routes or on one.

    >>> is_doubtful(VersionRecord(20, slow=5), VersionRecord(200, slow=2))
    True
    >>> is_doubtful(VersionRecord(12, slow=4), VersionRecord(200, slow=10))
    True
    """
    comparison = compare(target, others, least_slow_share)
    return any(
        signal.is_likelier_bad(min_bad)
        for signal in (comparison.failures, comparison.slowness)
    )


def _is_faulty(signal: Signal) -> bool:
    return signal.bad >= _MIN_FAULT_COUNT and signal.harm() > _FAULT_EVIDENCE


def _final_step(view: RolloutView) -> RolloutStep | None:
    """Return the end of a roll-out, or None where a doubt may pass soon."""
    has_held = (
        view.share_permille == WHOLE_PERMILLE
        and view.target_replicas > 0
        and _has_answers(view)
    )
    is_doubted = has_held and _has_doubts(view, _least_slow_share(view))
    if is_doubted and view.elapsed_s < _last_look_s(view.duration_s):
        return None
    if has_held and not is_doubted:
        return RolloutStep(COMPLETED, WHOLE_PERMILLE, 'held to the end')
    return RolloutStep(REVERTED, 0, 'not proven good within its time')


def _next_share(view: RolloutView, bounds: RolloutBounds) -> int:
    if view.share_permille == WHOLE_PERMILLE or not view.has_others:
        return WHOLE_PERMILLE
    if _is_trial_complete(view, bounds):
        return WHOLE_PERMILLE
    return _trial_share(view, bounds)


def _is_trial_complete(view: RolloutView, bounds: RolloutBounds) -> bool:
    """Return whether the version may take all traffic.

    One that has shown to be healthy may, as soon as the bound on its requests
    holds even if it is reverted in the end: whatever shows then, and however
    late. Others may once the bound holds even if they stay.
    """
    if view.elapsed_s < _RAMP_START * view.duration_s:
        return False
    if not _has_answers(view) or _has_doubts(view):
        return False
    end_s = view.duration_s
    if _is_healthy(view):
        end_s = min(end_s, _end_s(view.duration_s) + _STOP_S)
    return _keeps_exposure(view, bounds, end_s)


def _keeps_exposure(
    view: RolloutView, bounds: RolloutBounds, end_s: float
) -> bool:
    """Return whether a version may get all traffic until a moment."""
    target_sent = max(view.target.sent, view.target.answered)
    sent = target_sent + max(view.others.sent, view.others.answered)
    sent_per_s = sent / view.elapsed_s
    exposed = target_sent + sent_per_s * max(0.0, end_s - view.elapsed_s)
    total = sent_per_s * max(view.duration_s, view.elapsed_s)
    allowed = (
        bounds.exposure_share * total + _PROJECTED_SLACK * bounds.exposure_slack
    )
    return exposed <= allowed


def _is_healthy(view: RolloutView) -> bool:
    """Return whether a bad version would have shown itself."""
    comparison = compare(view.target, view.others)
    is_timed = view.others.timed >= _MIN_SENT_REQUESTS
    if is_timed and comparison.slowness.health() < _PACE_EVIDENCE:
        return False
    return comparison.failures.health() >= _HEALTH_EVIDENCE


def _has_doubts(view: RolloutView, least_slow_share: float = 0) -> bool:
    """Return whether all or the recent answers leave a doubt."""
    return is_doubtful(
        view.target, view.others, least_slow_share
    ) or is_doubtful(
        view.target_recent, view.others, least_slow_share, _MIN_FAULT_COUNT
    )


def _has_answers(view: RolloutView) -> bool:
    """Return whether the version answered, unless there was no traffic."""
    total_sent = view.target.sent + view.others.sent
    return view.target.answered > 0 or total_sent < _MIN_SENT_REQUESTS


def _trial_share(view: RolloutView, bounds: RolloutBounds) -> int:
    """Return the traffic share that gives the target the wanted exposure.

    Requests of sessions that stay on the old version ignore the share, so it is
    raised step by step while the target gets too few requests.
    """
    initial_share = int(bounds.exposure_share * _USED_EXPOSURE * WHOLE_PERMILLE)
    total_sent = view.target.sent + view.others.sent
    if total_sent < _MIN_SENT_REQUESTS or not view.share_permille:
        return max(initial_share, view.share_permille)
    wanted = _USED_EXPOSURE * (
        bounds.exposure_share * total_sent + _USED_SLACK * bounds.exposure_slack
    )
    if view.target.sent > _RESET_ABOVE * wanted:
        return initial_share
    is_behind = view.target.sent < _RAISE_BELOW * wanted
    may_rise = view.share_permille < _MAX_SHARE_MULTIPLE * initial_share
    if is_behind and may_rise and view.unchanged_s >= _MIN_RAISE_INTERVAL_S:
        return view.share_permille + initial_share
    return view.share_permille


def _end_s(duration_s: float) -> float:
    margin_s = max(_END_MARGIN_S, _END_MARGIN_SHARE * duration_s)
    return max(duration_s - margin_s, _RAMP_START * duration_s)


def _last_look_s(duration_s: float) -> float:
    return _end_s(duration_s) + _DOUBT_WAIT_S
