"""An unexpected error in one duty ends neither the process nor the others."""

import asyncio

import pytest
from aioprometheus import Registry

from snipebridge.supervision import (
    INITIAL_PAUSE_S,
    MAX_PAUSE_S,
    Supervisor,
    make_supervisor,
)
from tests.clocks import ManualClock


class Failing:
    """A duty that raises until it is mended."""

    def __init__(self):
        """Fail from the start."""
        self.runs = 0
        self.is_broken = True

    async def __call__(self):
        """Count the run."""
        self.runs += 1
        if self.is_broken:
            raise OverflowError('planted')


def test_a_failing_duty_is_retried_with_growing_pauses():
    clock = ManualClock()
    supervisor = Supervisor(Registry(), clock)
    duty = Failing()
    started_s = clock.monotonic_s()

    async def scenario():
        while clock.monotonic_s() < started_s + 60:
            await supervisor.run_once('planted', duty)
            clock.now_s += INITIAL_PAUSE_S
        return duty.runs

    runs = asyncio.run(scenario())
    assert 60 / MAX_PAUSE_S <= runs <= 20


def test_a_mended_duty_runs_at_its_next_turn_again():
    clock = ManualClock()
    supervisor = Supervisor(Registry(), clock)
    duty = Failing()

    async def scenario():
        for _ in range(3):
            await supervisor.run_once('planted', duty)
            clock.now_s += MAX_PAUSE_S
        duty.is_broken = False
        assert await supervisor.run_once('planted', duty)
        duty.is_broken = True
        await supervisor.run_once('planted', duty)
        clock.now_s += 1.5 * INITIAL_PAUSE_S
        runs = duty.runs
        await supervisor.run_once('planted', duty)
        assert duty.runs == runs + 1

    asyncio.run(scenario())


def test_targets_of_one_duty_are_paused_apart():
    supervisor = make_supervisor()
    broken, sound = Failing(), Failing()
    sound.is_broken = False

    async def scenario():
        assert not await supervisor.run_once('poll', broken, 'r1')
        assert await supervisor.run_once('poll', sound, 'r2')
        assert not await supervisor.run_once('poll', broken, 'r1')

    asyncio.run(scenario())
    assert broken.runs == 1


def test_an_endless_duty_is_started_again_and_can_be_cancelled():
    supervisor = make_supervisor()
    duty = Failing()

    async def scenario():
        task = asyncio.create_task(supervisor.keep_running('loop', duty))
        while duty.runs < 3:
            await asyncio.sleep(0.01)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(asyncio.wait_for(scenario(), 10))
