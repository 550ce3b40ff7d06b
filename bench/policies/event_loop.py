"""Simulated time: actions that run in the order of their moments."""

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]
Event = tuple[float, int, Action]


class Loop:
    """Events in the order of their time."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now_s = 0.0
        self._events: list[Event] = []
        self._order = itertools.count()

    def after(self, delay_s: float, action: Action) -> None:
        """Run an action later."""
        event = (self.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._events, event)

    def every(self, interval_s: float, action: Action) -> None:
        """Run an action again and again."""

        def again() -> None:
            action()
            self.after(interval_s, again)

        self.after(interval_s, again)

    def run_until(self, end_s: float) -> None:
        """Run all events up to a moment."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s
