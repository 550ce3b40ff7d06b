"""Time as a value that is passed in.

Policies and state machines never read a clock. The processes read it here
and hand the seconds down, so that a test can drive them step by step.
"""

import time
from typing import Protocol

_NS_PER_MS = 1_000_000
_MS_PER_S = 1000
_LEASE_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """A source of the two kinds of time."""

    def monotonic_s(self) -> float:
        """Return seconds that never run backwards."""

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""


class SystemClock:
    """The clock of the machine.

    Its monotonic side goes on while the machine is suspended, where the
    system has such a clock: a lease must not outlast a suspension.
    """

    __slots__ = ()

    def monotonic_s(self) -> float:
        """Return seconds that never run backwards."""
        return time.clock_gettime(_LEASE_CLOCK)

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""
        return time.time_ns() // _NS_PER_MS


def elapsed_ms(start_s: float, moment_s: float) -> float | None:
    """Return milliseconds between two moments, none where one never came.

    >>> elapsed_ms(1.0, 1.25), elapsed_ms(1.0, 0.0)
    (250.0, None)
    """
    if not (start_s and moment_s):
        return None
    return round((moment_s - start_s) * _MS_PER_S, 1)
