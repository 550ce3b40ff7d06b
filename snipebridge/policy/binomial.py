"""Tail probability of the binomial distribution, for counts of any size.

The counts of a roll-out grow with its duration and with the number of
entries. Factors are therefore added as logarithms, and only the terms that
contribute to the sum are computed: some multiples of the standard deviation,
so ten million tries take a few milliseconds.
"""

import math

# Terms below this part of the sum no longer change it.
_NEGLIGIBLE = 1e-18


def binomial_tail(count: int, tries: int, share: float) -> float:
    """Return the binomial probability of at least `count` successes.

    A share outside of 0 to 1 is taken as the nearer bound.

    >>> round(binomial_tail(2, 2, 0.5), 3)
    0.25
    >>> binomial_tail(60_000, 10_000_000, 0.005) < 1e-9
    True
    """
    if count <= 0:
        return 1.0
    if count > tries or share <= 0:
        return 0.0
    if share >= 1:
        return 1.0
    if count > tries * share:
        return min(1.0, _sum_upwards(count, tries, share))
    # The smaller side is summed, so that its terms fall from the first one on.
    # Fewer successes than `count` are more failures than `tries - count`.
    lower = _sum_upwards(tries - count + 1, tries, 1.0 - share)
    return max(0.0, 1.0 - lower)


def _sum_upwards(count: int, tries: int, share: float) -> float:
    """Sum the probabilities of `count` and more, where these only fall."""
    term = math.exp(_log_probability(count, tries, share))
    odds = share / (1.0 - share)
    total = 0.0
    for number in range(count, tries + 1):
        total += term
        if term <= total * _NEGLIGIBLE:
            break
        term *= odds * (tries - number) / (number + 1)
    return total


def _log_probability(count: int, tries: int, share: float) -> float:
    combinations = (
        math.lgamma(tries + 1)
        - math.lgamma(count + 1)
        - math.lgamma(tries - count + 1)
    )
    return (
        combinations
        + count * math.log(share)
        + (tries - count) * math.log1p(-share)
    )
