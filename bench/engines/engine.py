"""One engine: batches, chunked reading of prompts, memory, cached parts.

It takes steps. In each it reads a chunk of the prompts that were let in and
brings one token to each request that runs; the models share the engine, so a
step takes the time of all of them together. That is why prompts delay the
tokens of those who run beside them, and strong models those of drafts.
"""

import heapq
from collections import Counter, OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from bench.engines.deployments import EngineFigures, ModelFigures
from bench.policies.event_loop import Loop

_MS_PER_S = 1000.0


class RunOwner(Protocol):
    """Learns what becomes of a run."""

    def first_token(self, run: 'Run') -> None:
        """Take the first token."""

    def end(self, run: 'Run') -> None:
        """Take the end of the answer."""


@dataclass(slots=True, eq=False)
class Run:
    """One request at one engine."""

    owner: RunOwner
    model: ModelFigures
    priority: int
    parts: Sequence[tuple[str, int]]
    output_tokens: int
    prompt_tokens: int = 0
    left_tokens: int = 0
    made_tokens: int = 0
    is_over: bool = False
    event_s: float = 0.0
    longest_pause_s: float = 0.0
    order: int = 0

    def __lt__(self, other: 'Run') -> bool:
        """Tell which of two waits in front."""
        return (self.priority, self.order) < (other.priority, other.order)


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What an engine says of its load."""

    running: int
    waiting: int
    slots: int


class Engine:
    """A replica under simulated time."""

    def __init__(self, loop: Loop, name: str, figures: EngineFigures) -> None:
        """Start idle, with nothing cached."""
        self.name = name
        self.figures = figures
        # Prompt tokens that were read although they had been read before.
        self.read_again_tokens = 0
        self.read_tokens = 0
        self._loop = loop
        self._waiting: list[Run] = []
        self._reading: deque[Run] = deque()
        # In the order in which they began, so that runs can be repeated.
        self._running: dict[Run, None] = {}
        self._cached: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._cached_tokens = 0
        self._seen: set[tuple[str, str]] = set()
        self._order = 0
        self._is_stepping = False

    def report(self) -> LoadReport:
        """Return the load now."""
        under_way = len(self._running) + len(self._reading)
        return LoadReport(under_way, len(self._waiting), self.figures.batch)

    def submit(self, run: Run) -> bool:
        """Take a run in; False when the queue is full."""
        if len(self._waiting) >= self.figures.queue:
            return False
        self._order += 1
        run.order = self._order
        run.prompt_tokens = sum(tokens for _, tokens in run.parts)
        heapq.heappush(self._waiting, run)
        if not self._is_stepping:
            self._is_stepping = True
            self._loop.after(0.0, self._step)
        return True

    def cancel(self, run: Run) -> None:
        """Drop a run whose caller has gone or asks elsewhere."""
        run.is_over = True
        self._running.pop(run, None)

    def _step(self) -> None:
        self._let_in()
        read = self._read_chunk()
        spent_s = self._step_ms(read) / _MS_PER_S
        if not spent_s:
            self._is_stepping = False
            return
        self._loop.after(spent_s, lambda: self._end_step(spent_s))

    def _end_step(self, spent_s: float) -> None:
        while self._reading and not self._reading[0].left_tokens:
            run = self._reading.popleft()
            if not run.is_over:
                self._running[run] = None
        for run in list(self._running):
            self._bring_token(run)
        self._step()

    def _let_in(self) -> None:
        while self._waiting and self._has_room():
            run = heapq.heappop(self._waiting)
            if run.is_over:
                continue
            self._look_up(run)
            self._reading.append(run)

    def _has_room(self) -> bool:
        under_way = len(self._running) + len(self._reading)
        if under_way >= self.figures.batch:
            return False
        used = sum(
            run.prompt_tokens + run.made_tokens
            for run in (*self._running, *self._reading)
        )
        wanted = self._waiting[0].prompt_tokens
        return not under_way or used + wanted <= self.figures.memory_tokens

    def _look_up(self, run: Run) -> None:
        """Find what is cached of the prompt, and cache the rest."""
        cached = 0
        is_unbroken = True
        for identity, tokens in run.parts:
            key = (run.model.name, identity)
            if is_unbroken and key in self._cached:
                cached += tokens
            else:
                is_unbroken = False
                self.read_again_tokens += tokens * (key in self._seen)
            self._keep(key, tokens)
        run.left_tokens = max(1, run.prompt_tokens - cached)
        self.read_tokens += run.left_tokens

    def _keep(self, key: tuple[str, str], tokens: int) -> None:
        self._seen.add(key)
        self._cached_tokens += tokens - self._cached.pop(key, 0)
        self._cached[key] = tokens
        while self._cached_tokens > self.figures.memory_tokens:
            _, dropped = self._cached.popitem(last=False)
            self._cached_tokens -= dropped

    def _read_chunk(self) -> Counter[ModelFigures]:
        read: Counter[ModelFigures] = Counter()
        left = self.figures.chunk_tokens
        for run in self._reading:
            if run.is_over:
                run.left_tokens = 0
            taken = min(left, run.left_tokens)
            run.left_tokens -= taken
            left -= taken
            read[run.model] += taken
            if left <= 0:
                break
        return read

    def _step_ms(self, read: Counter[ModelFigures]) -> float:
        figures = self.figures
        running: Counter[ModelFigures] = Counter()
        context: Counter[ModelFigures] = Counter()
        for run in self._running:
            running[run.model] += 1
            context[run.model] += run.prompt_tokens + run.made_tokens
        spent_ms = 0.0
        for model in dict.fromkeys((*running, *read)):
            model_ms = read[model] / figures.prefill_tokens_per_ms
            if running[model]:
                model_ms += (
                    figures.step_ms
                    + running[model] * figures.step_ms_per_request
                    + context[model] * figures.context_ms_per_1000_tokens / 1000
                )
            spent_ms += model.pace * model_ms
        return spent_ms

    def _bring_token(self, run: Run) -> None:
        now_s = self._loop.now_s
        run.made_tokens += 1
        if run.made_tokens == 1:
            run.event_s = now_s
            run.owner.first_token(run)
        elif run.made_tokens % self.figures.tokens_per_event == 0:
            pause_s = now_s - run.event_s
            run.longest_pause_s = max(run.longest_pause_s, pause_s)
            run.event_s = now_s
        if run.made_tokens >= run.output_tokens and not run.is_over:
            run.is_over = True
            self._running.pop(run, None)
            run.owner.end(run)
