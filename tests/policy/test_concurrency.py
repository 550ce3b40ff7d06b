"""Tests of the concurrency limit under overload and changes of capacity."""

import pytest

from snipebridge.policy.concurrency import (
    TARGET_WAITING_PER_SLOT,
    make_concurrency_limit,
)


class Pool:
    """Simulated pool whose slots are loaded by entries up to their limits."""

    def __init__(self, slots, entries, lag_s=1.0):
        """Start all entries at twice their part of the slots."""
        self.slots = slots
        self.lag_steps = int(lag_s / 0.25)
        self.limits = [
            make_concurrency_limit(2 * slots / entries, f'entry-{number}')
            for number in range(entries)
        ]
        self.waiting = [0 for _ in range(self.lag_steps)]
        self.step = 0

    def run(self, steps, has_reports=True, demand=10_000):
        """Return the ratio of running requests to slots, by step."""
        use = []
        for _ in range(steps):
            self.step += 1
            now_s = self.step * 0.25
            running = [min(item.limit, demand) for item in self.limits]
            total = sum(running)
            self.waiting.append(max(0, total - self.slots))
            use.append(total / self.slots)
            for limit, in_flight in zip(self.limits, running, strict=True):
                if has_reports:
                    waiting = self.waiting[-1 - self.lag_steps]
                    limit.record_load(waiting, self.slots, now_s)
                else:
                    limit.record_first_token(
                        0.1 * max(1, total / self.slots) ** 4
                    )
                limit.update(in_flight, now_s)
        return use


@pytest.mark.parametrize('entries', [1, 6, 24])
@pytest.mark.parametrize('slots', [80, 40])
def test_overload_settles_near_the_slots(entries, slots):
    """The load neither collapses nor queues with reports a second old."""
    pool = Pool(slots, entries)
    pool.run(steps=80)
    use = pool.run(steps=400)
    served = [min(1.0, used) for used in use]
    assert sum(served) / 400 > 0.95
    assert min(served) > 0.85
    assert sum(use) / 400 < 1 + TARGET_WAITING_PER_SLOT + 0.15


def test_limits_follow_loss_and_return_of_half_the_pool():
    """The limits shrink and grow with the number of slots."""
    pool = Pool(80, entries=6)
    pool.run(steps=80)
    pool.slots = 40
    pool.run(steps=40)
    assert sum(limit.limit for limit in pool.limits) < 60
    pool.slots = 80
    pool.run(steps=40)
    assert sum(limit.limit for limit in pool.limits) > 70


def test_latency_bounds_the_limit_without_load_reports():
    """Slow first tokens bound the limit of a pool without reports."""
    pool = Pool(80, entries=6)
    for limit in pool.limits:
        limit.record_first_token(0.1)
    pool.run(steps=400, has_reports=False)
    use = pool.run(steps=100, has_reports=False)
    assert 0.8 < min(use)
    assert max(use) < 2


def test_idle_limit_does_not_grow_and_refusals_decrease_it():
    """A limit grows only in use, and a refusal decreases it."""
    limit = make_concurrency_limit(8)
    for step in range(100):
        limit.update(in_flight=2, now_s=float(step))
    assert limit.limit == 8
    limit.record_refusal()
    assert limit.update(in_flight=8, now_s=101.0) < 7
