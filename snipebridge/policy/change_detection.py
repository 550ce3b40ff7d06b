"""Detects sequentially that the share of bad outcomes has increased.

The statistic is an e-detector: the sum, over all possible change points, of
the likelihood ratio of the outcomes since then. While the share is at most
the expected one, the sum minus the number of outcomes is a supermartingale,
so the mean number of outcomes until the sum reaches a limit is at least that
limit.
"""

import math

# Alternatives tested: fraction of the good outcomes that turns bad.
CHANGE_SIZES = (0.1, 0.3, 0.7)
# Outcomes that form the initial baseline of a cell and are not used as evidence.
MIN_BASELINE_COUNT = 30
# Outcomes are added to the baseline in chunks of at least this size, while no
# change is suspected.
BASELINE_CHUNK_COUNT = 50
# Maximum weight of a baseline; above it, older outcomes are scaled down.
MAX_BASELINE_COUNT = 2000.0
# Standard normal quantile of the upper bound of the expected share.
SHARE_Z = 2.0
# Log e-value above which no outcomes are added to the baseline.
SUSPICION_LOG_LIMIT = 2.0


class _Baseline:
    """Share of bad outcomes of one cell while no change is suspected."""

    __slots__ = ('_bad', '_chunk_bad', '_chunk_total', '_min_share', '_total')

    def __init__(self, min_share: float) -> None:
        self._min_share = min_share
        self._bad = 0.0
        self._total = 0.0
        self._chunk_bad = 0.0
        self._chunk_total = 0.0

    def is_established(self) -> bool:
        return self._total >= MIN_BASELINE_COUNT

    def expected_share(self) -> float:
        """Return the upper bound of the Wilson score interval."""
        share = self._bad / self._total
        square = SHARE_Z * SHARE_Z / self._total
        half_width = SHARE_Z * math.sqrt(
            share * (1 - share) / self._total + square / (4 * self._total),
        )
        upper = (share + square / 2 + half_width) / (1 + square)
        return max(upper, self._min_share)

    def add(self, bad: float, total: float, *, suspected: bool) -> None:
        """Add outcomes; while a change is suspected, they are held back.

        Discarding them would bias the baseline towards good outcomes.
        """
        if not self.is_established():
            self._bad += bad
            self._total += total
            return
        self._chunk_bad += bad
        self._chunk_total += total
        if self._chunk_total >= BASELINE_CHUNK_COUNT and not suspected:
            self._merge_chunk()
            self.discard_chunk()

    def discard_chunk(self) -> None:
        """Discard the outcomes that are not yet part of the baseline."""
        self._chunk_bad = 0.0
        self._chunk_total = 0.0

    def _merge_chunk(self) -> None:
        self._bad += self._chunk_bad
        self._total += self._chunk_total
        if self._total > MAX_BASELINE_COUNT:
            self._bad *= MAX_BASELINE_COUNT / self._total
            self._total = MAX_BASELINE_COUNT


class _Evidence:
    """Logarithms of the e-detector sums, one for each size of change."""

    __slots__ = ('_log_sums',)

    def __init__(self) -> None:
        self._log_sums = [-math.inf for _ in CHANGE_SIZES]

    def add(self, bad: float, total: float, expected_share: float) -> None:
        """Update the sums with the likelihood ratio of these outcomes."""
        for index, change in enumerate(CHANGE_SIZES):
            changed_share = expected_share + (1 - expected_share) * change
            log_ratio = bad * math.log(changed_share / expected_share)
            log_ratio += (total - bad) * math.log1p(-change)
            # Adding one accounts for a change just before these outcomes.
            self._log_sums[index] = (
                _log_add_one(self._log_sums[index]) + log_ratio
            )

    def log_value(self) -> float:
        """Return the logarithm of the mean of the sums."""
        highest = max(self._log_sums)
        if highest == -math.inf:
            return highest
        scaled_sum = sum(
            math.exp(log_sum - highest) for log_sum in self._log_sums
        )
        return highest + math.log(scaled_sum / len(CHANGE_SIZES))


class ChangeDetector:
    """Detects a change in one kind of outcome of one version.

    Each cell has its own baseline; the evidence is shared by all cells.

    >>> detector = ChangeDetector(min_share=0.02)
    >>> cell = ('summary', 'short')
    >>> [detector.observe(cell, bad, 30, log_limit=18.0) for bad in (1, 0, 28)]
    [False, False, True]
    """

    __slots__ = ('_baselines', '_evidence', '_min_share')

    def __init__(self, min_share: float) -> None:
        """Start without outcomes; `min_share` bounds the expected share."""
        self._min_share = min_share
        self._baselines: dict[tuple[str, str], _Baseline] = {}
        self._evidence = _Evidence()

    def observe(
        self,
        cell: tuple[str, str],
        bad: float,
        total: float,
        log_limit: float,
    ) -> bool:
        """Add outcomes of a cell; return whether the limit is reached."""
        baseline = self._baselines.get(cell)
        if baseline is None:
            baseline = _Baseline(self._min_share)
            self._baselines[cell] = baseline
        if baseline.is_established():
            self._evidence.add(bad, total, baseline.expected_share())
        value = self._evidence.log_value()
        baseline.add(bad, total, suspected=value > SUSPICION_LOG_LIMIT)
        return value >= log_limit

    def reset(self) -> None:
        """Discard the evidence and the outcomes held back from baselines."""
        self._evidence = _Evidence()
        for baseline in self._baselines.values():
            baseline.discard_chunk()


def _log_add_one(log_value: float) -> float:
    """Return ``log(exp(log_value) + 1)``."""
    if log_value > 0:
        return log_value + math.log1p(math.exp(-log_value))
    return math.log1p(math.exp(log_value))
