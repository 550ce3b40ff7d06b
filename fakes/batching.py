"""Continuous batching of a model engine: slots, prefill, decode, priorities.

The batch reads the clock of the event loop and calls the sink of a run with
the tokens that one step produced. Prefills take turns; the time of a decode
step grows with the number of runs in the batch.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

_IDLE_STEP_S = 0.001


@dataclass(slots=True)
class Speed:
    """How fast an engine works."""

    slots: int = 8
    prefill_s_per_token: float = 0.0002
    decode_s_per_token: float = 0.01
    batch_growth: float = 0.05
    versions: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Run:
    """One request in the engine.

    `sink` gets the position after the newest token. `uncached_tokens` is
    what the prefill has to compute.
    """

    request_id: str
    version: str
    account: str
    task: str
    priority: int
    total_tokens: int
    sink: Callable[['Run'], None]
    prompt_tokens: int = 0
    uncached_tokens: int = 0
    emitted_tokens: int = 0
    progress: float = 0.0
    ready_at_s: float = 0.0
    started_at_ms: int = 0
    outcome: str = 'waiting'

    @property
    def is_over(self) -> bool:
        """Tell whether the run needs no more steps."""
        return self.outcome in {'finished', 'cancelled'}


class Batch:
    """The slots of an engine and the queue before them."""

    __slots__ = (
        '_order',
        '_prefill_free_at_s',
        '_queue',
        '_task',
        '_wake',
        'on_start',
        'running',
        'speed',
    )

    def __init__(self, speed: Speed, on_start: Callable[[Run], None]) -> None:
        """Start empty; `on_start` is called when a run gets its slot."""
        self.speed = speed
        self.on_start = on_start
        self.running: list[Run] = []
        self._queue: list[tuple[int, int, Run]] = []
        self._order = itertools.count()
        self._prefill_free_at_s = 0.0
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def waiting_count(self) -> int:
        """Return how many runs have no slot yet."""
        return sum(not entry[2].is_over for entry in self._queue)

    def add(self, run: Run) -> None:
        """Queue a run by its priority, then by its arrival."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._steps())
        heapq.heappush(self._queue, (run.priority, next(self._order), run))
        self._fill()
        self._wake.set()

    def cancel(self, run: Run) -> bool:
        """Stop a run wherever it is; false when it was over before."""
        if run.is_over:
            return False
        run.outcome = 'cancelled'
        if run in self.running:
            self.running.remove(run)
        self._fill()
        return True

    def _fill(self) -> None:
        while self._queue and len(self.running) < self.speed.slots:
            run = heapq.heappop(self._queue)[2]
            if not run.is_over:
                self._start(run)

    def _start(self, run: Run) -> None:
        now_s = asyncio.get_running_loop().time()
        run.outcome = 'running'
        self.running.append(run)
        self.on_start(run)
        factor = self.speed.versions.get(run.version, 1.0)
        prefill_s = run.uncached_tokens * self.speed.prefill_s_per_token
        begin_s = max(now_s, self._prefill_free_at_s)
        run.ready_at_s = begin_s + prefill_s / factor
        self._prefill_free_at_s = run.ready_at_s

    async def _steps(self) -> None:
        loop = asyncio.get_running_loop()
        next_at_s = loop.time()
        while True:
            if not self.running:
                self._wake.clear()
                await self._wake.wait()
                next_at_s = loop.time()
            next_at_s = max(next_at_s + self._step_s(), loop.time())
            await asyncio.sleep(max(next_at_s - loop.time(), 0))
            self._step(loop.time())

    def _step_s(self) -> float:
        growth = self.speed.batch_growth * max(len(self.running) - 1, 0)
        return max(self.speed.decode_s_per_token * (1 + growth), _IDLE_STEP_S)

    def _step(self, now_s: float) -> None:
        for run in tuple(self.running):
            if run.ready_at_s <= now_s and not run.is_over:
                self._decode(run)
        self.running = [run for run in self.running if not run.is_over]
        self._fill()

    def _decode(self, run: Run) -> None:
        run.progress += self.speed.versions.get(run.version, 1.0)
        new_tokens = int(run.progress)
        if not new_tokens:
            return
        run.progress -= new_tokens
        position = min(run.emitted_tokens + new_tokens, run.total_tokens)
        run.emitted_tokens = position
        if position == run.total_tokens:
            run.outcome = 'finished'
        run.sink(run)
