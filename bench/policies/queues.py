"""Replicas as queues, with lagged load reports and late cache events."""

import heapq
import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Protocol

from bench.policies.event_loop import Loop
from snipebridge.errors import Ran
from snipebridge.policy.prefixes import CacheEvent, CacheEventKind, Prefix
from snipebridge.policy.replica_selection import LoadReport

SLOTS = 8
PREFILL_S_PER_TOKEN = 0.0002
DECODE_S_PER_TOKEN = 0.01
REPORT_LAG_S = 0.5
EVENT_GAP_RATE = 0.1
CACHED_PREFIXES = 600
DEADLINE_S = 8.0


class JobOwner(Protocol):
    """Learns what becomes of a request at a replica."""

    def first_token(self, job: 'Job', engine: 'Engine') -> None:
        """Take the first token of an answer in."""

    def end(self, job: 'Job', engine: 'Engine') -> None:
        """Take the end of an answer in."""

    def lose(self, job: 'Job', engine: 'Engine', ran: Ran) -> None:
        """Decide what follows a failed attempt."""


@dataclass(slots=True, eq=False)
class Job:
    """One request and what became of it."""

    number: int
    account: str
    weight: float
    priority: int
    prefixes: tuple[Prefix, ...]
    prompt_tokens: int
    decode_tokens: int
    arrived_s: float
    entry: JobOwner
    attempts: int = 0
    ticket: int = 0
    first_token_s: float | None = None
    end_s: float | None = None
    refused: bool = False

    @property
    def is_good(self) -> bool:
        """Tell whether the whole answer came before the deadline."""
        if self.end_s is None:
            return False
        return self.end_s <= self.arrived_s + DEADLINE_S


class Engine:
    """A replica: slots, a queue by priority, a prefix cache."""

    def __init__(self, loop: Loop, name: str, data_centre: str) -> None:
        """Start idle with an empty cache."""
        self.loop = loop
        self.name = name
        self.data_centre = data_centre
        self.slowness = 1.0
        self.is_down = False
        self.running: set[Job] = set()
        self.events: deque[tuple[float, CacheEvent]] = deque(maxlen=4000)
        self._waiting: list[tuple[int, int, Job]] = []
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._sequence = -1
        self._states: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)])

    def submit(self, job: Job) -> bool:
        """Take a request in unless the engine is down."""
        if self.is_down:
            return False
        heapq.heappush(self._waiting, (job.priority, job.number, job))
        self._fill()
        return True

    def report(self, lag_s: float) -> LoadReport:
        """Return the load as it was one lag ago."""
        moment_s = self.loop.now_s - lag_s
        while len(self._states) > 1 and self._states[1][0] <= moment_s:
            self._states.popleft()
        _, running, waiting = self._states[0]
        return LoadReport(running, waiting, SLOTS, lag_s)

    def cache_events(self, after: int, rng: random.Random) -> list[CacheEvent]:
        """Return events after a sequence, late and with some missing."""
        moment_s = self.loop.now_s - REPORT_LAG_S
        events = []
        for at_s, event in reversed(self.events):
            if event.sequence <= after:
                break
            if at_s <= moment_s and rng.random() >= EVENT_GAP_RATE:
                events.append(event)
        events.reverse()
        return events

    def fail_all(self) -> None:
        """Go down with all that runs and waits."""
        self.is_down = True
        lost = list(self.running) + [item[2] for item in self._waiting]
        self.running.clear()
        self._waiting.clear()
        self._note_state()
        for job in lost:
            job.entry.lose(job, self, Ran.UNKNOWN)

    def _note_state(self) -> None:
        state = (self.loop.now_s, len(self.running), len(self._waiting))
        self._states.append(state)

    def _fill(self) -> None:
        while self._waiting and len(self.running) < SLOTS:
            self._start(heapq.heappop(self._waiting)[2])
        self._note_state()

    def _start(self, job: Job) -> None:
        self.running.add(job)
        cached = self._look_up(job)
        crowding = 1 + len(self.running) / SLOTS
        left_tokens = job.prompt_tokens - cached
        prefill_s = left_tokens * PREFILL_S_PER_TOKEN * crowding
        decode_s = job.decode_tokens * DECODE_S_PER_TOKEN
        prefill_s *= self.slowness
        attempt = job.attempts
        self.loop.after(prefill_s, lambda: self._first_token(job, attempt))
        total_s = prefill_s + decode_s * self.slowness
        self.loop.after(total_s, lambda: self._end(job, attempt))

    def _end(self, job: Job, attempt: int) -> None:
        if job not in self.running or job.attempts != attempt:
            return
        self.running.discard(job)
        job.entry.end(job, self)
        self._fill()

    def _first_token(self, job: Job, attempt: int) -> None:
        if job in self.running and job.attempts == attempt:
            job.entry.first_token(job, self)

    def _look_up(self, job: Job) -> int:
        """Return the cached prompt tokens and store the prompt's prefixes."""
        cached = 0
        for prefix in job.prefixes:
            if prefix.digest in self._cache:
                cached = prefix.tokens
            else:
                self._publish(CacheEventKind.STORED, prefix.digest)
            self._cache[prefix.digest] = None
            self._cache.move_to_end(prefix.digest)
        while len(self._cache) > CACHED_PREFIXES:
            digest, _ = self._cache.popitem(last=False)
            self._publish(CacheEventKind.EVICTED, digest)
        return cached

    def _publish(self, kind: CacheEventKind, digest: str) -> None:
        self._sequence += 1
        event = CacheEvent(self._sequence, kind, digest)
        self.events.append((self.loop.now_s, event))
