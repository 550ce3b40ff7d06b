"""Compares the answers of a version on trial with those of the others.

Answers are compared within a route, since the mix of routes differs between
versions and from moment to moment: a route whose requests fail wherever they
run would otherwise hide failures on the others. The evidence of the routes is
added up.

>>> book, search = Stratum('book'), Stratum('search')
>>> others, target = VersionRecord(), VersionRecord()
>>> others.strata[book] = StratumCounts(answered=90, in_time=90)
>>> others.strata[search] = StratumCounts(answered=30, failed=20, in_time=30)
>>> target.strata[book] = StratumCounts(answered=9, failed=5, in_time=9)
>>> target.strata[search] = StratumCounts(answered=9, failed=4, in_time=9)
>>> comparison = compare(target, others)
>>> comparison.failures.harm() > math.log(1000)
True
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from snipebridge.policy.latency_baseline import SLOW_ANSWER, SLOW_STREAM
from snipebridge.policy.version_records import (
    Stratum,
    StratumCounts,
    VersionRecord,
    median_s,
)

# A version may show more than the others by a margin and a ratio before that
# speaks against it: both are known from few answers only.
_FAILURE_MARGIN = 0.03
# Latency varies more than failures do.
_SLOW_MARGIN = 0.05
_MARGIN_RATIO = 1.3
# Shares of the other versions are known from at least so many answers, of
# which the missing ones are taken from all routes.
_PRIOR_ANSWERS = 5.0
# Times are compared with the median of at least so many.
_MIN_TIMES = 3
# Where more answers of a good version may fail or be slow, a bad one can't be
# told from it.
_MAX_GOOD_SHARE = 0.45
_HIGHEST_SHARE = 0.99
# Additional shares of bad answers that a faulty version may have.
_EXCESSES = (0.05, 0.15, 0.4, 0.9)
# A version of which so many more answers fail or are slow is bad.
_BAD_EXCESS = 0.25


@dataclass(slots=True, frozen=True)
class Cell:
    """Bad answers of the target on one route, beside what a good one has."""

    bad: int
    total: int
    # The share that says nothing against the version.
    good_share: float

    @property
    def is_telling(self) -> bool:
        """Whether a bad version would look worse here than a good one."""
        return self.total > 0 and self.good_share <= _MAX_GOOD_SHARE

    def log_ratio(self, excess: float) -> float:
        """Return the log likelihood ratio of a bad and a good version.

        The excess is the share of otherwise good answers that turn bad.
        """
        bad_share = self.good_share + excess * (1 - self.good_share)
        return self.bad * math.log(bad_share / self.good_share) + (
            self.total - self.bad
        ) * math.log1p(-excess)

    def harm(self) -> float:
        """Return the log evidence that the version is bad on this route.

        It weighs a good version against bad ones of several sizes, so a route
        without a fault takes little away from the evidence of another.
        """
        ratios = [self.log_ratio(excess) for excess in _EXCESSES]
        highest = max(0.0, *ratios)
        mean = sum(math.exp(one - highest) for one in ratios) / len(ratios)
        return highest + math.log((math.exp(-highest) + mean) / 2)


@dataclass(slots=True, frozen=True)
class Signal:
    """One kind of bad answers, by route."""

    cells: tuple[Cell, ...]

    @property
    def bad(self) -> int:
        """Bad answers on all routes."""
        return sum(cell.bad for cell in self.cells)

    @property
    def total(self) -> int:
        """Answers on all routes."""
        return sum(cell.total for cell in self.cells)

    def harm(self) -> float:
        """Return the log evidence that the version is bad on some route."""
        return sum(cell.harm() for cell in self.cells)

    def health(self) -> float:
        """Return the log evidence against a version that is bad on all routes."""
        return -sum(
            cell.log_ratio(_BAD_EXCESS)
            for cell in self.cells
            if cell.is_telling
        )

    def is_likelier_bad(self, min_bad: int) -> bool:
        """Return whether a bad version explains the answers better.

        On all routes, or on one with at least so many bad answers; one of
        several routes may look bad by chance.
        """
        if self.bad < min_bad:
            return False
        telling = [cell for cell in self.cells if cell.is_telling]
        return self.health() < 0 or any(
            cell.log_ratio(_BAD_EXCESS) > math.log(len(telling))
            for cell in telling
            if cell.bad >= min_bad
        )


@dataclass(slots=True, frozen=True)
class Comparison:
    """Failed and slow answers of a version, beside those of the others."""

    failures: Signal
    slowness: Signal


def compare(
    target: VersionRecord,
    others: VersionRecord,
    least_slow_share: float = 0.0,
) -> Comparison:
    """Compare by route; `least_slow_share` of the streams may be slow."""
    sides = _sides(target, others)
    return Comparison(
        Signal(tuple(_failure_cells(sides))),
        Signal(tuple(_slow_cells(sides, least_slow_share))),
    )


@dataclass(slots=True)
class _Side:
    """What two versions answered on one route."""

    stratum: Stratum
    target: StratumCounts
    others: StratumCounts


def _sides(target: VersionRecord, others: VersionRecord) -> list[_Side]:
    beside = others.by_stratum()
    sides = [
        _Side(stratum, counts, beside.get(stratum) or StratumCounts())
        for stratum, counts in target.by_stratum().items()
    ]
    told = {side.stratum for side in sides}
    sides += [
        _Side(stratum, StratumCounts(), counts)
        for stratum, counts in beside.items()
        if stratum not in told
    ]
    return sides


def _failure_cells(sides: list[_Side]) -> Iterable[Cell]:
    answered = sum(side.others.answered for side in sides)
    failed = sum(side.others.failed for side in sides)
    usual = failed / answered if answered else 0.0
    for side in sides:
        share = _share(side.others.failed, side.others.answered, usual)
        good_share = _FAILURE_MARGIN + _MARGIN_RATIO * share
        if side.target.answered:
            yield _cell(side.target.failed, side.target.answered, good_share)


def _slow_cells(sides: list[_Side], least_slow_share: float) -> Iterable[Cell]:
    limits = [_limit_s(side, sides) for side in sides]
    slow = [
        side.others.slower_than(limit_s)
        for side, limit_s in zip(sides, limits, strict=True)
    ]
    timed = sum(side.others.timed for side in sides)
    usual = sum(slow) / timed if timed else 0.0
    for side, limit_s, others_slow in zip(sides, limits, slow, strict=True):
        total = side.target.timed
        if math.isinf(limit_s):
            # Nothing is known of the usual time here.
            total -= side.target.times.total()
        share = _share(others_slow, side.others.timed, usual)
        good_share = _SLOW_MARGIN + _MARGIN_RATIO * share
        if side.stratum.is_stream or not side.stratum.route:
            good_share = max(good_share, least_slow_share)
        if total:
            yield _cell(side.target.slower_than(limit_s), total, good_share)


def _limit_s(side: _Side, sides: list[_Side]) -> float:
    """Return the time from which on answers are slow, if it is known."""
    usual_s = median_s(side.others.times, _MIN_TIMES)
    if side.stratum.is_stream and not usual_s:
        usual_s = median_s(_model_times(side.stratum.model, sides), _MIN_TIMES)
    limit = SLOW_STREAM if side.stratum.is_stream else SLOW_ANSWER
    return limit.of(usual_s) if usual_s else math.inf


def _model_times(model: str, sides: list[_Side]) -> Mapping[int, int]:
    """Return the intervals of all streams of a model, by other versions."""
    times: Counter[int] = Counter()
    for side in sides:
        if side.stratum.is_stream and side.stratum.model == model:
            times.update(side.others.times)
    return times


def _share(bad: int, total: int, usual: float) -> float:
    missing = max(0.0, _PRIOR_ANSWERS - total)
    known = total + missing
    return (bad + missing * usual) / known


def _cell(bad: int, total: int, good_share: float) -> Cell:
    # A running stream may be counted as slow before it is as timed.
    return Cell(min(bad, total), total, min(good_share, _HIGHEST_SHARE))
