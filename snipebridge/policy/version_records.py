"""Counts of the answers of one software version, by route and model.

Routes differ in how often their requests fail and in how long they take, so
versions are compared within a route. Answer times are counted in buckets of a
logarithmic scale: entries of a large fleet see few answers each, and the sum
over all entries is what can be compared.

>>> record = VersionRecord()
>>> record.count(Stratum('book'), failed=True, spent_s=0.02)
>>> record.answered, record.failed, record.strata[Stratum('book')].timed
(1, 1, 1)
"""

import math
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Self

# Buckets in which a time doubles.
_BUCKETS_PER_OCTAVE = 8
_FIRST_BUCKET_S = 0.0005
_LAST_BUCKET = 160


@dataclass(slots=True, frozen=True)
class Stratum:
    """What answers are compared with each other.

    The times of streams are the intervals of their events, which depend on the
    model and hardly on the route.
    """

    route: str = ''
    model: str = ''
    is_stream: bool = False


@dataclass(slots=True)
class StratumCounts:
    """Answers of one version on one route."""

    answered: int = 0
    failed: int = 0
    # Known to be slow or in time, whatever is usual on the route.
    late: int = 0
    in_time: int = 0
    # The other answers whose time is known, by bucket.
    times: Counter[int] = field(default_factory=Counter)

    @property
    def timed(self) -> int:
        """Answers that are slow or not; of others nothing is known."""
        return self.late + self.in_time + self.times.total()

    def slower_than(self, limit_s: float) -> int:
        """Return how many timed answers were late or above a limit."""
        return self.late + sum(
            count
            for bucket, count in self.times.items()
            if bucket_s(bucket) > limit_s
        )

    def take_away(self, other: 'StratumCounts') -> None:
        """Take counts away, none below zero."""
        self.add(other, -1)
        self.answered = max(0, self.answered)
        self.failed = max(0, self.failed)
        self.late = max(0, self.late)
        self.in_time = max(0, self.in_time)
        self.times = +self.times

    def add(self, other: 'StratumCounts', sign: int = 1) -> None:
        """Add counts, or take them away with a sign of -1."""
        self.answered += sign * other.answered
        self.failed += sign * other.failed
        self.late += sign * other.late
        self.in_time += sign * other.in_time
        for bucket, count in other.times.items():
            self.times[bucket] += sign * count

    def copy(self) -> Self:
        """Return counts that change by themselves."""
        return replace(self, times=Counter(self.times))


@dataclass(slots=True)
class VersionRecord:
    """Counts of the requests to one software version."""

    answered: int = 0
    failed: int = 0
    slow: int = 0
    # Includes requests that have not been answered yet.
    sent: int = 0
    # Answers whose time says nothing, such as streams of few events.
    untimed: int = 0
    strata: dict[Stratum, StratumCounts] = field(default_factory=dict)

    @property
    def timed(self) -> int:
        """Answers that are known to be slow or not."""
        return self.answered - self.untimed

    def count(
        self,
        stratum: Stratum,
        *,
        failed: bool = False,
        slow: bool = False,
        is_timed: bool = True,
        spent_s: float = 0.0,
    ) -> None:
        """Count an answer.

        `slow` and `is_timed` tell how an entry found it beside its own samples.
        They stand for the time to compare over the fleet where `spent_s` is 0.
        """
        self.answered += 1
        self.failed += failed
        self.slow += slow
        self.untimed += not is_timed
        counts = self.strata.setdefault(stratum, StratumCounts())
        counts.answered += 1
        counts.failed += failed
        if spent_s > 0:
            counts.times[bucket_of(spent_s)] += 1
        else:
            counts.late += slow
            counts.in_time += is_timed and not slow

    def replace_time(
        self, stratum: Stratum, before_s: float, spent_s: float
    ) -> None:
        """Replace the time of an answer that was counted as it went on."""
        times = self.strata[stratum].times
        if times[bucket_of(before_s)] > 0:
            times[bucket_of(before_s)] -= 1
            times[bucket_of(spent_s)] += 1

    def add(self, other: 'VersionRecord') -> None:
        """Add the counts of another version or entry."""
        self._add_sums(other, 1)
        for stratum, counts in other.strata.items():
            self.strata.setdefault(stratum, StratumCounts()).add(counts)

    def since(self, first: 'VersionRecord') -> 'VersionRecord':
        """Return the counts that came after those of an earlier moment.

        They may be lower than they were: the time of a running stream changes,
        and a new leader starts from what is reported to it.
        """
        recent = self.copy()
        recent._add_sums(first, -1)
        for stratum, counts in first.strata.items():
            if stratum in recent.strata:
                recent.strata[stratum].take_away(counts)
        # An answer counted before may have turned slow since.
        recent.slow = min(recent.timed, recent.slow)
        return recent

    def copy(self) -> 'VersionRecord':
        """Return a record that changes by itself."""
        strata = {key: counts.copy() for key, counts in self.strata.items()}
        return replace(self, strata=strata)

    def replace_sums(
        self, before: 'VersionRecord', after: 'VersionRecord'
    ) -> None:
        """Replace what one report added to these sums by a newer report.

        Strata that the newer one leaves out have not changed.
        """
        self._add_sums(before, -1)
        self._add_sums(after, 1)
        for stratum, counts in after.strata.items():
            known = self.strata.setdefault(stratum, StratumCounts())
            if stratum in before.strata:
                known.add(before.strata[stratum], -1)
            known.add(counts)

    def by_stratum(self) -> dict[Stratum, StratumCounts]:
        """Return the counts by stratum, as one where they are not known so."""
        if self.strata:
            return self.strata
        whole = StratumCounts(
            self.answered,
            self.failed,
            late=self.slow,
            in_time=self.timed - self.slow,
        )
        return {Stratum(): whole}

    def _add_sums(self, other: 'VersionRecord', sign: int) -> None:
        self.answered += sign * other.answered
        self.failed += sign * other.failed
        self.slow += sign * other.slow
        self.sent += sign * other.sent
        self.untimed += sign * other.untimed


class RecordWindow:
    """Sliding window over the cumulative counts of a version.

    >>> recent = RecordWindow()
    >>> recent.add(VersionRecord(answered=10), now_s=0.0).answered
    10
    >>> recent.add(VersionRecord(answered=14), now_s=9.0).answered
    4
    """

    __slots__ = ('_samples',)

    # Long enough for several failures at a small share of the traffic.
    _window_s = 2.0

    def __init__(self) -> None:
        """Start with an empty window."""
        self._samples: deque[tuple[float, VersionRecord]] = deque()

    def add(self, record: VersionRecord, now_s: float) -> VersionRecord:
        """Add the cumulative counts; return those within the window."""
        samples = self._samples
        samples.append((now_s, record.copy()))
        while len(samples) > 1 and samples[1][0] <= now_s - self._window_s:
            samples.popleft()
        first_s, first = samples[0]
        if first_s > now_s - self._window_s:
            return record.copy()
        return record.since(first)


def bucket_of(spent_s: float) -> int:
    """Return the bucket of a time.

    >>> [bucket_of(spent_s) for spent_s in (0.0001, 0.0005, 0.001, 9e9)]
    [0, 0, 8, 160]
    """
    ratio = max(1.0, spent_s / _FIRST_BUCKET_S)
    return min(_LAST_BUCKET, int(_BUCKETS_PER_OCTAVE * math.log2(ratio)))


def bucket_s(bucket: int) -> float:
    """Return the time in the middle of a bucket."""
    return _FIRST_BUCKET_S * 2 ** ((bucket + 1 / 2) / _BUCKETS_PER_OCTAVE)


def median_s(times: Mapping[int, int], min_count: int) -> float:
    """Return the median of a histogram, or 0 with too few times.

    >>> round(median_s({8: 2, 16: 1}, min_count=3), 5)
    0.00104
    """
    total = sum(times.values())
    if total < min_count:
        return 0.0
    passed = 0
    for bucket in sorted(times):
        passed += times[bucket]
        if 2 * passed >= total:
            return bucket_s(bucket)
    return 0.0
