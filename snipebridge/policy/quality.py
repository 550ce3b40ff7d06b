"""Estimates the probability that an answer of a version is good.

Ratings are summed in cells, one per version, task and length class. Estimates
are hierarchical: a cell shrinks towards the mean of its version and task, that
mean towards the mean of the version, and that towards the configured prior.
Cells with few ratings thus rely on related cells.

Sums decay exponentially to follow drift, but not below a minimum weight: a
version found to be bad stays bad until new ratings show otherwise, and missing
ratings only widen the bounds.

>>> estimator = make_quality_estimator()
>>> for _ in range(50):
...     estimator.observe('small@1', 'summary', 'short', True, 0.0)
>>> estimate = estimator.estimate('small@1', 'summary', 'short', 0.7, 0.0)
>>> estimate.lower < estimate.mean < estimate.upper
True
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

SHORT_LIMIT_TOKENS = 512
MEDIUM_LIMIT_TOKENS = 4096

HALF_LIFE_S = 1800.0
# Number of ratings of a cell below which decay stops.
MIN_DECAYED_WEIGHT = 16.0
# Number of ratings that the configured prior counts for, and that a parent
# level counts for at most.
PRIOR_WEIGHT = 4.0
MAX_PARENT_WEIGHT = 12.0
# Standard normal quantile of the one-sided 95% bounds.
BOUND_Z = 1.645
# Maximum age of a cached estimate.
ESTIMATE_MAX_AGE_S = 1.0
# Fleet sums below this share of the known weight come from a new leader that
# has not yet received all ratings.
FLEET_RESET_MIN_SHARE = 0.9


@dataclass(slots=True)
class QualityCell:
    """Ratings of one version for a task and a length class."""

    version: str
    task: str
    length_class: str
    good: float = 0.0
    total: float = 0.0


@dataclass(slots=True)
class QualityEstimate:
    """Probability of a good answer with one-sided confidence bounds.

    ``weight`` is the number of ratings of the cell itself.
    """

    mean: float
    lower: float
    upper: float
    weight: float


def classify_length(prompt_tokens: int) -> str:
    """Return the length class of a prompt.

    >>> classify_length(511), classify_length(512), classify_length(4096)
    ('short', 'medium', 'long')
    """
    if prompt_tokens < SHORT_LIMIT_TOKENS:
        return 'short'
    if prompt_tokens < MEDIUM_LIMIT_TOKENS:
        return 'medium'
    return 'long'


_CellKey = tuple[str, str]


class _RatingSum:
    """Number of ratings and of good ratings, both decayed."""

    __slots__ = ('good', 'total')

    def __init__(self, good: float = 0.0, total: float = 0.0) -> None:
        self.good = good
        self.total = total

    def add(self, other: '_RatingSum') -> None:
        self.good += other.good
        self.total += other.total

    def multiply(self, factor: float) -> None:
        self.good *= factor
        self.total *= factor


class _Cell:
    """Rating sums of a cell, including those not yet merged by control."""

    __slots__ = ('decayed_at_s', 'fleet', 'in_flight', 'known', 'unreported')

    def __init__(self, now_s: float) -> None:
        self.known = _RatingSum()
        # Latest sums received from control.
        self.fleet = _RatingSum()
        # Reported but not yet acknowledged, and not yet reported.
        self.in_flight = _RatingSum()
        self.unreported = _RatingSum()
        self.decayed_at_s = now_s

    def decay(self, now_s: float, half_life_s: float) -> None:
        age_s = now_s - self.decayed_at_s
        if age_s <= 0:
            return
        self.decayed_at_s = now_s
        factor = 0.5 ** (age_s / half_life_s)
        self.fleet.multiply(factor)
        if self.known.total > MIN_DECAYED_WEIGHT:
            self.known.multiply(
                max(factor, MIN_DECAYED_WEIGHT / self.known.total)
            )

    def add_rating(self, rating: _RatingSum) -> None:
        self.known.add(rating)
        self.unreported.add(rating)

    def merge_fleet_sum(self, fleet: _RatingSum) -> None:
        total = fleet.total + self.unreported.total
        if total >= FLEET_RESET_MIN_SHARE * self.known.total:
            self.known = _RatingSum(
                fleet.good + self.unreported.good,
                fleet.total + self.unreported.total,
            )
        else:
            self._add_fleet_increment(fleet)
        self.fleet = fleet

    def _add_fleet_increment(self, fleet: _RatingSum) -> None:
        # A new leader starts with fewer ratings than this entry has. Only what
        # other entries reported since its previous sums is new to this entry.
        base = self.fleet if fleet.total >= self.fleet.total else _RatingSum()
        total = fleet.total - base.total - self.in_flight.total
        good = fleet.good - base.good - self.in_flight.good
        if total > 0:
            self.known.add(_RatingSum(min(max(good, 0.0), total), total))


class _EstimateTable:
    """Cached estimates of one version, dropped when its ratings change."""

    __slots__ = ('by_cell', 'by_task', 'computed_at_s', 'prior', 'version_mean')

    def __init__(self, prior: float, now_s: float) -> None:
        self.prior = prior
        self.computed_at_s = now_s
        self.version_mean = (prior, PRIOR_WEIGHT)
        self.by_task: dict[str, tuple[float, float]] = {}
        self.by_cell: dict[_CellKey, QualityEstimate] = {}


class QualityEstimator:
    """Ratings and estimates of all versions, at an entry or for the fleet."""

    __slots__ = ('_cells', '_estimate_tables', '_half_life_s')

    def __init__(self, half_life_s: float) -> None:
        """Start without ratings."""
        self._half_life_s = half_life_s
        self._cells: dict[str, dict[_CellKey, _Cell]] = {}
        self._estimate_tables: dict[str, _EstimateTable] = {}

    def observe(
        self,
        version: str,
        task: str,
        length_class: str,
        good: float,
        now_s: float,
    ) -> None:
        """Add one rating: a bool, or a score from 0 to 1."""
        rating = _RatingSum(min(max(float(good), 0.0), 1.0), 1.0)
        self._cell(version, task, length_class, now_s).add_rating(rating)

    def add_cells(self, cells: Iterable[QualityCell], now_s: float) -> None:
        """Add the deltas reported by an entry; used by control."""
        for cell in cells:
            stored = self._cell(
                cell.version, cell.task, cell.length_class, now_s
            )
            stored.known.add(_RatingSum(cell.good, cell.total))

    def cells(self, now_s: float) -> list[QualityCell]:
        """Return the current sums of all cells, for a heartbeat reply."""
        result = []
        for version, cells in self._cells.items():
            for (task, length_class), cell in cells.items():
                cell.decay(now_s, self._half_life_s)
                known = cell.known
                result.append(
                    QualityCell(
                        version, task, length_class, known.good, known.total
                    ),
                )
        return result

    def take_deltas(self) -> list[QualityCell]:
        """Return the ratings observed since the previous call.

        The caller resends the same report until it is acknowledged; control
        counts a resent report once.
        """
        result = []
        for version, cells in self._cells.items():
            for (task, length_class), cell in cells.items():
                unreported = cell.unreported
                if not unreported.total:
                    continue
                result.append(
                    QualityCell(
                        version,
                        task,
                        length_class,
                        unreported.good,
                        unreported.total,
                    ),
                )
                cell.in_flight.add(unreported)
                cell.unreported = _RatingSum()
        return result

    def merge_fleet(self, cells: Sequence[QualityCell], now_s: float) -> None:
        """Merge fleet sums that include all deltas taken so far.

        Ratings observed since the last `take_deltas` are added to these sums.
        Sums far below the known weight come from a new leader; only their
        increase is added, and the known sums are kept.
        """
        for cell in cells:
            stored = self._cell(
                cell.version, cell.task, cell.length_class, now_s
            )
            stored.merge_fleet_sum(_RatingSum(cell.good, cell.total))
        for own_cells in self._cells.values():
            for own in own_cells.values():
                own.in_flight = _RatingSum()

    def forget(self, version: str) -> None:
        """Drop a version that was removed from the configuration."""
        self._cells.pop(version, None)
        self._estimate_tables.pop(version, None)

    def estimate(
        self,
        version: str,
        task: str,
        length_class: str,
        prior_quality: float,
        now_s: float,
    ) -> QualityEstimate:
        """Return the estimate for answers of this cell."""
        table = self._estimate_tables.get(version)
        if (
            table is None
            or table.prior != prior_quality
            or now_s - table.computed_at_s > ESTIMATE_MAX_AGE_S
        ):
            table = self._compute_table(version, prior_quality, now_s)
        key = (task, length_class)
        estimate = table.by_cell.get(key)
        if estimate is None:
            parent = table.by_task.get(task, table.version_mean)
            estimate = _cell_estimate(_RatingSum(), parent)
            table.by_cell[key] = estimate
        return estimate

    def _cell(
        self,
        version: str,
        task: str,
        length_class: str,
        now_s: float,
    ) -> _Cell:
        self._estimate_tables.pop(version, None)
        cells = self._cells.setdefault(version, {})
        cell = cells.get((task, length_class))
        if cell is None:
            cell = _Cell(now_s)
            cells[task, length_class] = cell
        cell.decay(now_s, self._half_life_s)
        return cell

    def _compute_table(
        self, version: str, prior: float, now_s: float
    ) -> _EstimateTable:
        table = _EstimateTable(prior, now_s)
        cells = self._cells.get(version, {})
        version_sum = _RatingSum()
        by_task: dict[str, _RatingSum] = {}
        for (task, _), cell in cells.items():
            cell.decay(now_s, self._half_life_s)
            version_sum.add(cell.known)
            by_task.setdefault(task, _RatingSum()).add(cell.known)
        table.version_mean = _shrink_to_parent(
            version_sum, (prior, PRIOR_WEIGHT)
        )
        for task, task_sum in by_task.items():
            table.by_task[task] = _shrink_to_parent(
                task_sum, table.version_mean
            )
        for key, cell in cells.items():
            parent = table.by_task[key[0]]
            table.by_cell[key] = _cell_estimate(cell.known, parent)
        self._estimate_tables[version] = table
        return table


def make_quality_estimator(
    half_life_s: float = HALF_LIFE_S,
) -> QualityEstimator:
    """Return an estimator without ratings; sums decay by the half-life."""
    return QualityEstimator(half_life_s)


def _shrink_to_parent(
    ratings: _RatingSum,
    parent: tuple[float, float],
) -> tuple[float, float]:
    """Return the mean, shrunk towards the parent mean, and its weight."""
    parent_mean, parent_weight = parent
    parent_ratings = min(parent_weight, MAX_PARENT_WEIGHT)
    weight = ratings.total + parent_ratings
    return (ratings.good + parent_ratings * parent_mean) / weight, weight


def _cell_estimate(
    cell: _RatingSum,
    parent: tuple[float, float],
) -> QualityEstimate:
    mean, weight = _shrink_to_parent(cell, parent)
    lower, upper = _wilson_bounds(mean, weight)
    return QualityEstimate(mean, lower, upper, cell.total)


def _wilson_bounds(mean: float, weight: float) -> tuple[float, float]:
    """Return the bounds of the Wilson score interval."""
    square = BOUND_Z * BOUND_Z / weight
    centre = mean + square / 2
    half_width = BOUND_Z * math.sqrt(
        mean * (1 - mean) / weight + square / (4 * weight),
    )
    return (centre - half_width) / (1 + square), (centre + half_width) / (
        1 + square
    )
