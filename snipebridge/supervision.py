"""Keeps the periodic duties of a process going after unexpected errors.

A duty that raises is logged with its cause, counted, and run again after a
pause that doubles up to a limit. The other duties of the process go on
meanwhile. What must not go on after an error does not use this: a replica of
the log whose state can't be trusted ends its process.

>>> import asyncio
>>> supervisor = Supervisor(Registry(), SystemClock())
>>> asyncio.run(supervisor.run_once('example', lambda: 1 / 0))
False
"""

import asyncio
import inspect
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aioprometheus import Counter, Registry

from snipebridge.clock import Clock, SystemClock
from snipebridge.logs import log_event

INITIAL_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0
# Limit of the text of an error in the log.
_MAX_CAUSE_LENGTH = 400

Duty = Callable[[], Awaitable[None] | None]


@dataclass(slots=True)
class _Failures:
    """Consecutive failures of one duty."""

    count: int = 0
    retry_at_s: float = float('-inf')


class Supervisor:
    """Runs the duties of one process by name."""

    __slots__ = ('_clock', '_counter', '_failures')

    def __init__(self, registry: Registry, clock: Clock) -> None:
        """Count failures in a registry of metrics."""
        self._clock = clock
        self._counter = Counter(
            'snipebridge_duty_failures_total',
            'Unexpected errors by duty or handler.',
            registry=registry,
        )
        self._failures: dict[tuple[str, str], _Failures] = {}

    async def run_once(self, name: str, duty: Duty, target: str = '') -> bool:
        """Run a duty unless it is paused; tell whether it succeeded.

        A duty that concerns one of several targets is paused for that one.
        """
        failures = self._failures.setdefault((name, target), _Failures())
        if self._clock.monotonic_s() < failures.retry_at_s:
            return False
        try:
            pending = duty()
            if inspect.isawaitable(pending):
                await pending
        except Exception as error:
            self._record(name, target, failures, error)
            return False
        failures.count = 0
        return True

    async def keep_running(
        self, name: str, duty: Duty, target: str = ''
    ) -> None:
        """Run an endless duty, and start it again whenever it raises."""
        while not await self.run_once(name, duty, target):
            retry_at_s = self._failures[name, target].retry_at_s
            pause_s = retry_at_s - self._clock.monotonic_s()
            await asyncio.sleep(max(0.0, pause_s))

    def record(self, name: str, error: Exception, **identity: str) -> None:
        """Log and count an error of a handler that answers for itself."""
        self._counter.inc({'duty': name})
        log_event('duty_failed', duty=name, **describe(error), **identity)

    def _record(
        self, name: str, target: str, failures: _Failures, error: Exception
    ) -> None:
        failures.count += 1
        pause_s = min(
            MAX_PAUSE_S, INITIAL_PAUSE_S * 2 ** min(failures.count - 1, 10)
        )
        failures.retry_at_s = self._clock.monotonic_s() + pause_s
        self._counter.inc({'duty': name})
        log_event(
            'duty_failed',
            duty=name,
            target=target,
            failures=failures.count,
            retry_after_s=pause_s,
            **describe(error),
        )


def make_supervisor(
    registry: Registry | None = None, clock: Clock | None = None
) -> Supervisor:
    """Return a supervisor, without arguments one that stands alone."""
    return Supervisor(registry or Registry(), clock or SystemClock())


def describe(error: Exception) -> dict[str, str]:
    """Return the cause of an error and the line that raised it, for a log.

    >>> describe(ValueError('no number'))['error']
    "ValueError('no number')"
    """
    frames = traceback.extract_tb(error.__traceback__)
    where = f'{frames[-1].filename}:{frames[-1].lineno}' if frames else ''
    return {'error': repr(error)[:_MAX_CAUSE_LENGTH], 'raised_at': where}
