"""What callers of a run of the queue model saw."""

from dataclasses import dataclass, field

import numpy as np

from bench.policies.queue_fleet import REPLICAS, Fleet, Setup
from bench.policies.queues import SLOTS, Job

STEADY_S = 60.0
DRAIN_S = 10.0
PHASE_S = 30.0
RECOVERY_WINDOW_S = 3.0


@dataclass(slots=True, frozen=True)
class Window:
    """What the callers of a short time saw."""

    second: int
    good_share: float
    first_token_ms: float


@dataclass(slots=True)
class Row:
    """One line of the table."""

    part: str
    name: str
    figures: dict[str, float] = field(default_factory=dict)


def first_token_ms(jobs: list[Job], share: float = 0.95) -> float:
    """Return a quantile of the time to the first token.

    A request without one counts as worse than all others.
    """
    waits = [
        float('inf')
        if job.first_token_s is None
        # Refusals and losses come last.
        else job.first_token_s - job.arrived_s
        for job in jobs
    ]
    wait_s = np.quantile(waits, share, method='higher') if waits else 0.0
    return round(1000 * float(wait_s), 1)


def good_rate(jobs: list[Job], duration_s: float) -> float:
    """Return the answers in time for each second."""
    return sum(job.is_good for job in jobs) / duration_s


def windows(fleet: Fleet, start_s: float, end_s: float) -> list[Window]:
    """Return what callers saw in each window that starts in a time."""
    found = []
    for second in range(int(end_s - start_s)):
        from_s = start_s + second
        jobs = fleet.between(from_s, from_s + RECOVERY_WINDOW_S)
        good = sum(job.is_good for job in jobs) / max(1, len(jobs))
        found.append(Window(second, good, first_token_ms(jobs)))
    return found


def recovery(
    fleet: Fleet,
    before: tuple[float, float],
    end_s: float,
) -> dict[str, float]:
    """Return the times after which all windows are as good as before.

    The load is the same. As good means at least 0.95 of the mean share of
    answers in time, of which a few are late by their length alone, and a
    time to the first token no worse than that of the worst window. Goodput
    comes back first, while the queues are still being worked off.
    """
    reference = windows(fleet, before[0], before[1] - RECOVERY_WINDOW_S)
    shares = [window.good_share for window in reference]
    least_good = 0.95 * sum(shares) / len(shares)
    most_ms = max(window.first_token_ms for window in reference)
    goodput_s = 0.0
    first_token_s = 0.0
    for window in windows(fleet, end_s, end_s + PHASE_S - DRAIN_S):
        if window.good_share < least_good:
            goodput_s = window.second + 1.0
        if window.first_token_ms > most_ms:
            first_token_s = window.second + 1.0
    return {
        'goodput_recovery_s': goodput_s,
        'first_token_recovery_s': first_token_s,
    }


def measure_capacity(seed: int, *, shared_prompts: bool) -> float:
    """Return the requests a second that round robin gets through at most."""
    setup = Setup(seed, 'round_robin', shared_prompts=shared_prompts)
    fleet = Fleet(setup)
    fleet.run(2.5 * REPLICAS * SLOTS, STEADY_S)
    ends = [job.end_s for job in fleet.jobs if job.end_s]
    return sum(end_s > STEADY_S / 2 for end_s in ends) / (STEADY_S / 2)
