"""Decides on the traffic share and the end of roll-outs of service software.

In the first half of the duration the new version gets a small share of the
traffic. Its failures are compared with those of the old version in the same
period, so that a problem that affects both does not count against the new
one. A version without a fault then takes all traffic, and the old replicas
have the rest of the duration to finish their running requests.

>>> view = RolloutView(elapsed_s=3.0, duration_s=20.0, share_permille=100)
>>> view.target.answered, view.target.failed = 20, 9
>>> decide(view, RolloutBounds()).state
'reverted'
"""

import math
from dataclasses import dataclass, field

from snipebridge.policy.binomial import binomial_tail
from snipebridge.policy.version_records import VersionRecord

ACTIVE = 'active'
COMPLETED = 'completed'
REVERTED = 'reverted'

WHOLE_PERMILLE = 1000
# Part of the permitted exposure that is used. Entries assign requests at
# random, and a stop takes a heartbeat to reach them.
_USED_EXPOSURE = 0.65
# The traffic share is raised by its initial value while the target gets less
# than the first of these parts of the wanted requests, and reset to the initial
# value above the second. Raises are limited in frequency and in total.
_RAISE_BELOW = 0.7
_RESET_ABOVE = 1.1
_MIN_RAISE_INTERVAL_S = 2.5
_MAX_SHARE_MULTIPLE = 4
_MIN_SENT_REQUESTS = 40
# Part of the duration after which a version without a fault takes all traffic.
_RAMP_START = 0.52
# With fewer answers the trial is extended to the later part of the duration.
_MIN_ANSWERS = 20
_LATE_RAMP_START = 0.65
# With fewer timed answers a version may be slow, if others are timed.
_MIN_TIMED_ANSWERS = 3
# Time before the deadline at which the roll-out is ended, enough for an entry
# of the replicated log and a change of leader.
_END_MARGIN_S = 2.0
_END_MARGIN_SHARE = 0.12
# Fewer failures or slow answers are not significant.
_MIN_FAULT_COUNT = 3
_MIN_DOUBT_COUNT = 2
# A version is faulty if its failures have a lower p-value than this, given the
# failure rate of the other versions plus a margin. A roll-out is evaluated some
# hundred times, so about one in a hundred good versions is stopped.
_FAULT_P_VALUE = 1e-4
_FAILURE_MARGIN = 0.03
# Wider than the failure margin, as latency varies more than the failure rate.
_SLOW_MARGIN = 0.05
# When a version takes all traffic its caches are cold, and there is no other
# version to compare these seconds with. Fewer answers are those of the trial.
TAKEOVER_SLOW_SHARE = 0.35
_MIN_TAKEOVER_ANSWERS = 40
# A version with a p-value below this stays in the trial and gets no more
# traffic. A good version exceeds it again within some seconds.
_DOUBT_P_VALUE = 0.02
_MARGIN_RATIO = 1.3
# A version of which so many more answers fail or are slow is bad. Few answers
# don't prove that, so they are also compared with what such a version would give.
_BAD_EXCESS = 0.25
# Where more answers of a good version may fail or be slow, a bad one can't be
# told from it.
_MAX_GOOD_SHARE = 0.45


@dataclass(slots=True)
class RolloutView:
    """Inputs of the decision on one roll-out."""

    elapsed_s: float
    duration_s: float
    share_permille: int
    target_replicas: int = 1
    # Whether a replica of another version was listed since the order.
    has_others: bool = True
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


@dataclass(slots=True, frozen=True)
class RolloutStep:
    """Next state and traffic share of a roll-out."""

    state: str
    share_permille: int
    reason: str


def decide(view: RolloutView, bounds: RolloutBounds) -> RolloutStep | None:
    """Return the next step, or None if nothing changes."""
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
    if _failure_p_value(target, others) < _FAULT_P_VALUE:
        return f'{target.failed} of {target.answered} answers failed'
    if _slowness_p_value(target, others, least_slow_share) < _FAULT_P_VALUE:
        return f'{target.slow} of {target.timed} answers were slow'
    return ''


def is_doubtful(
    target: VersionRecord,
    others: VersionRecord,
    least_slow_share: float = 0,
) -> bool:
    """Return whether a version should not get more traffic yet.

    A fault that is not significant is no proof of the opposite: a version is
    also doubtful while a bad one explains its answers better than a good one.

    >>> is_doubtful(VersionRecord(20, slow=5), VersionRecord(200, slow=2))
    True
    >>> is_doubtful(VersionRecord(12, slow=4), VersionRecord(200, slow=10))
    True
    """
    p_value = min(
        _failure_p_value(target, others),
        _slowness_p_value(target, others, least_slow_share),
    )
    return (
        p_value < _DOUBT_P_VALUE
        or _is_likelier_bad(
            target.failed, target.answered, _failing_share(others)
        )
        or _is_likelier_bad(
            target.slow, target.timed, _slow_share(others, least_slow_share)
        )
    )


def _failing_share(others: VersionRecord) -> float:
    return _FAILURE_MARGIN + _MARGIN_RATIO * others.failure_share()


def _slow_share(others: VersionRecord, least_share: float = 0) -> float:
    share = _SLOW_MARGIN + _MARGIN_RATIO * others.slow_share()
    return max(share, least_share)


def _failure_p_value(target: VersionRecord, others: VersionRecord) -> float:
    return _p_value(target.failed, target.answered, _failing_share(others))


def _slowness_p_value(
    target: VersionRecord,
    others: VersionRecord,
    least_share: float,
) -> float:
    return _p_value(target.slow, target.timed, _slow_share(others, least_share))


def _is_likelier_bad(count: int, answered: int, good_share: float) -> bool:
    """Compare a count's likelihood under a bad and under a good version."""
    bad_share = good_share + _BAD_EXCESS
    if count < _MIN_DOUBT_COUNT or bad_share >= 1:
        return False
    others = answered - count
    return count * math.log(bad_share / good_share) > others * math.log(
        (1 - good_share) / (1 - bad_share)
    )


def _p_value(count: int, answered: int, share: float) -> float:
    """Return the p-value of a count, given the expected share."""
    if count < _MIN_FAULT_COUNT or share >= 1:
        return 1.0
    return binomial_tail(count, answered, share)


def _final_step(view: RolloutView) -> RolloutStep:
    has_held = (
        view.share_permille == WHOLE_PERMILLE
        and view.target_replicas > 0
        and not is_doubtful(view.target, view.others, _least_slow_share(view))
    )
    if has_held and _has_answers(view):
        return RolloutStep(COMPLETED, WHOLE_PERMILLE, 'held to the end')
    return RolloutStep(REVERTED, 0, 'not proven good within its time')


def _next_share(view: RolloutView, bounds: RolloutBounds) -> int:
    if view.share_permille == WHOLE_PERMILLE or not view.has_others:
        return WHOLE_PERMILLE
    if _is_trial_complete(view):
        return WHOLE_PERMILLE
    return _trial_share(view, bounds)


def _is_trial_complete(view: RolloutView) -> bool:
    """Return whether the trial has enough evidence for all traffic."""
    if not (_is_comparable(view.others) and _has_timed_answers(view)):
        return False
    if is_doubtful(view.target, view.others):
        return False
    if view.elapsed_s >= _LATE_RAMP_START * view.duration_s:
        return _has_answers(view)
    is_ramp_due = view.elapsed_s >= _RAMP_START * view.duration_s
    return is_ramp_due and view.target.answered >= _MIN_ANSWERS


def _has_answers(view: RolloutView) -> bool:
    """Return whether the version answered, unless there was no traffic."""
    total_sent = view.target.sent + view.others.sent
    return view.target.answered > 0 or total_sent < _MIN_SENT_REQUESTS


def _is_comparable(others: VersionRecord) -> bool:
    """Return whether a bad version would look worse than the others."""
    good_share = max(_failing_share(others), _slow_share(others))
    return good_share <= _MAX_GOOD_SHARE


def _has_timed_answers(view: RolloutView) -> bool:
    """Return whether the pace of the version is known, if it can be."""
    is_timed = view.others.timed >= _MIN_SENT_REQUESTS
    return not is_timed or view.target.timed >= _MIN_TIMED_ANSWERS


def _trial_share(view: RolloutView, bounds: RolloutBounds) -> int:
    """Return the traffic share that gives the target the wanted exposure.

    Requests of sessions that stay on the old version ignore the share, so it is
    raised step by step while the target gets too few requests.
    """
    wanted_share = bounds.exposure_share * _USED_EXPOSURE
    initial_share = int(wanted_share * WHOLE_PERMILLE)
    total_sent = view.target.sent + view.others.sent
    if total_sent < _MIN_SENT_REQUESTS or not view.share_permille:
        return max(initial_share, view.share_permille)
    if view.target.sent > _RESET_ABOVE * wanted_share * total_sent:
        return initial_share
    is_behind = view.target.sent < _RAISE_BELOW * wanted_share * total_sent
    may_rise = view.share_permille < _MAX_SHARE_MULTIPLE * initial_share
    if is_behind and may_rise and view.unchanged_s >= _MIN_RAISE_INTERVAL_S:
        return view.share_permille + initial_share
    return view.share_permille


def _end_s(duration_s: float) -> float:
    margin_s = max(_END_MARGIN_S, _END_MARGIN_SHARE * duration_s)
    return max(duration_s - margin_s, _RAMP_START * duration_s)
