"""Sequential tests that compare a candidate version with a stable one.

The tests are valid at any time: they may be evaluated after each report
without raising the false positive rate above the stated one. The evidence of a
test is the logarithm of an e-value, whose expectation under the null
hypothesis is at most one. By Ville's inequality, the probability that the
e-value ever exceeds ``1 / alpha`` is then at most ``alpha``.

>>> evidence = harm_evidence(bad=12, total=30, allowed_share=0.05)
>>> evidence > math.log(1 / 0.001)
True
"""

import math
from dataclasses import dataclass

# Both parameters of the beta mixture over the alternatives.
BETA_PARAMETER = 0.5
# Bisection steps in the search for a confidence bound.
BISECTIONS = 40
# Variance of the mixture for the bounds of a mean. This value makes the bounds
# tight at some hundreds of samples.
MEAN_MIXTURE_VARIANCE = 0.02
# Fewest latencies for which the normal approximation of their mean is used.
MIN_LATENCY_COUNT = 30
MIN_SHARE = 1e-6
# Part of the distance from the expected to the harmful share that still counts
# as healthy.
HEALTH_SLACK = 0.25


@dataclass(slots=True)
class OutcomeSums:
    """Sums over the outcomes of the requests of one version.

    ``answered`` counts all requests that ended, and ``errors`` those of them
    that failed.
    """

    answered: int = 0
    errors: int = 0
    rated: int = 0
    rated_good: int = 0
    first_tokens: int = 0
    first_token_s_sum: float = 0.0
    first_token_s_square_sum: float = 0.0

    def add(self, other: 'OutcomeSums') -> None:
        """Add the sums of another report."""
        self.answered += other.answered
        self.errors += other.errors
        self.rated += other.rated
        self.rated_good += other.rated_good
        self.first_tokens += other.first_tokens
        self.first_token_s_sum += other.first_token_s_sum
        self.first_token_s_square_sum += other.first_token_s_square_sum


@dataclass(slots=True)
class Margins:
    """Margins by which a candidate is called harmful or healthy.

    A candidate is harmful if its share of errors or poor answers exceeds that
    of the stable version by more than the harm margin. It is healthy if the
    evidence shows that it does not exceed it by the health margin, which is
    wider.
    """

    harm_errors: float = 0.005
    harm_poor: float = 0.01
    harm_latency_ratio: float = 1.5
    health_errors: float = 0.1
    health_poor: float = 0.1
    health_latency_ratio: float = 2.0


@dataclass(slots=True)
class Comparison:
    """Log e-values for harm and health, and the latency verdicts."""

    errors_harm: float
    poor_harm: float
    latency_harm: bool
    errors_health: float
    poor_health: float
    latency_health: bool


def harm_evidence(bad: float, total: float, allowed_share: float) -> float:
    """Return the evidence against "the bad share is at most allowed".

    This is a mixture sequential test of a beta mixture over all shares against
    the most likely allowed share.
    """
    if not total or bad / total <= allowed_share:
        return 0.0
    null_share = max(allowed_share, MIN_SHARE)
    return _log_mixture_likelihood(bad, total) - _log_likelihood(
        bad, total, null_share
    )


def health_evidence(
    bad: float,
    total: float,
    expected_share: float,
    harmful_share: float,
) -> float:
    """Return the evidence against "the bad share is at least harmful".

    This is the likelihood ratio of a share slightly above the expected share
    of a healthy version to the harmful share. The slack above the expected
    share lets a healthy version with unlucky outcomes pass as well.
    """
    if harmful_share >= 1 or expected_share >= harmful_share:
        return 0.0
    slack = HEALTH_SLACK * (harmful_share - expected_share)
    expected = max(expected_share + slack, MIN_SHARE)
    return _log_likelihood(bad, total, expected) - _log_likelihood(
        bad,
        total,
        harmful_share,
    )


def share_bounds(
    bad: float,
    total: float,
    alpha: float,
) -> tuple[float, float]:
    """Return the bounds of a confidence sequence of a share.

    They hold at all times simultaneously with a probability of ``1 - alpha``.
    """
    if not total:
        return 0.0, 1.0
    mean = bad / total
    limit = _log_mixture_likelihood(bad, total) - math.log(1 / alpha)
    lower = _find_crossing(bad, total, limit, 0.0, mean)
    upper = _find_crossing(bad, total, limit, 1.0, mean)
    return lower, upper


def mean_half_width(
    count: int,
    value_sum: float,
    square_sum: float,
    alpha: float,
) -> float:
    """Return the half width of an asymptotic confidence sequence of a mean."""
    mean = value_sum / count
    variance = max(square_sum / count - mean * mean, 0.0)
    scaled = count * MEAN_MIXTURE_VARIANCE
    factor = 2 * (scaled + 1) / (count * scaled)
    log_term = math.log(math.sqrt(scaled + 1) / alpha)
    return math.sqrt(variance * factor * log_term)


def compare(
    candidate: OutcomeSums,
    stable: OutcomeSums,
    margins: Margins,
    alpha: float,
) -> Comparison:
    """Compare a candidate with the stable version on all signals.

    For a candidate within the margins, the probability that a harm signal ever
    exceeds ``log(1 / alpha)`` is at most ``2 * alpha`` per signal: ``alpha``
    for the candidate and ``alpha`` for the bound of the stable version.
    """
    errors = _compare_shares(
        _Counts(candidate.errors, candidate.answered),
        _Counts(stable.errors, stable.answered),
        margins.harm_errors,
        margins.health_errors,
        alpha,
    )
    poor = _compare_shares(
        _Counts(candidate.rated - candidate.rated_good, candidate.rated),
        _Counts(stable.rated - stable.rated_good, stable.rated),
        margins.harm_poor,
        margins.health_poor,
        alpha,
    )
    return Comparison(
        errors_harm=errors[0],
        poor_harm=poor[0],
        latency_harm=_is_latency_harmful(
            candidate,
            stable,
            margins.harm_latency_ratio,
            alpha,
        ),
        errors_health=errors[1],
        poor_health=poor[1],
        latency_health=_is_latency_healthy(
            candidate,
            stable,
            margins.health_latency_ratio,
            alpha,
        ),
    )


@dataclass(slots=True)
class _Counts:
    bad: int
    total: int


def _compare_shares(
    candidate: _Counts,
    stable: _Counts,
    harm_margin: float,
    health_margin: float,
    alpha: float,
) -> tuple[float, float]:
    """Return the evidence for harm and for health of a share."""
    lower, upper = share_bounds(stable.bad, stable.total, alpha)
    harm = harm_evidence(candidate.bad, candidate.total, upper + harm_margin)
    if not stable.total:
        return harm, 0.0
    health = health_evidence(
        candidate.bad,
        candidate.total,
        stable.bad / stable.total,
        lower + health_margin,
    )
    return harm, health


def _is_latency_harmful(
    candidate: OutcomeSums,
    stable: OutcomeSums,
    ratio: float,
    alpha: float,
) -> bool:
    min_count = min(candidate.first_tokens, stable.first_tokens)
    if min_count < MIN_LATENCY_COUNT:
        return False
    lowest_s = _mean_s(candidate) - _half_width_s(candidate, alpha)
    highest_s = _mean_s(stable) + _half_width_s(stable, alpha)
    return lowest_s > ratio * highest_s


def _is_latency_healthy(
    candidate: OutcomeSums,
    stable: OutcomeSums,
    ratio: float,
    alpha: float,
) -> bool:
    if not stable.first_tokens:
        return True
    if candidate.first_tokens < MIN_LATENCY_COUNT:
        return False
    highest_s = _mean_s(candidate) + _half_width_s(candidate, alpha)
    return highest_s <= ratio * _mean_s(stable)


def _mean_s(sums: OutcomeSums) -> float:
    return sums.first_token_s_sum / sums.first_tokens


def _half_width_s(sums: OutcomeSums, alpha: float) -> float:
    return mean_half_width(
        sums.first_tokens,
        sums.first_token_s_sum,
        sums.first_token_s_square_sum,
        alpha,
    )


def _log_mixture_likelihood(bad: float, total: float) -> float:
    """Return the log likelihood of the counts under the beta mixture."""
    return _log_beta(
        bad + BETA_PARAMETER, total - bad + BETA_PARAMETER
    ) - _log_beta(
        BETA_PARAMETER,
        BETA_PARAMETER,
    )


def _log_beta(first: float, second: float) -> float:
    return (
        math.lgamma(first) + math.lgamma(second) - math.lgamma(first + second)
    )


def _log_likelihood(bad: float, total: float, share: float) -> float:
    """Return the log likelihood of the counts for a share."""
    if share <= 0:
        return 0.0 if not bad else -math.inf
    if share >= 1:
        return 0.0 if bad == total else -math.inf
    return bad * math.log(share) + (total - bad) * math.log1p(-share)


def _find_crossing(
    bad: float,
    total: float,
    limit: float,
    outside: float,
    inside: float,
) -> float:
    """Find by bisection where the log likelihood falls to the limit."""
    if _log_likelihood(bad, total, outside) >= limit:
        return outside
    for _ in range(BISECTIONS):
        middle = (outside + inside) / 2
        if _log_likelihood(bad, total, middle) >= limit:
            inside = middle
        else:
            outside = middle
    return outside
