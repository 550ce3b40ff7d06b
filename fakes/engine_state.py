"""State of a fake engine: runs, records, cache, orders and load reports."""

import collections
import dataclasses
import time
from typing import Any

from tornado import ioloop

from fakes import answers
from fakes.batching import Batch, Run, Speed
from fakes.orders import OrderBook
from fakes.prefix_cache import PrefixCache
from fakes.serving import Stand, wall_ms

_SAMPLE_INTERVAL_MS = 50
_KEPT_SAMPLES = 2000
_KEPT_RECORDS = 200_000


@dataclasses.dataclass(slots=True)
class EngineOptions:
    """What the flags of an engine say."""

    speed: Speed
    versions: list[str]
    quality: dict[str, Any]
    tokens_per_chunk: int
    default_tokens: int
    cache_prefixes: int
    load_lag_s: float
    event_lag_s: float
    checks_fencing: bool
    load_s: float
    weights_url: str


class Engine:
    """Runs, their records, the cache and the orders of one engine."""

    def __init__(self, stand: Stand, options: EngineOptions) -> None:
        """Start with the versions of the options loaded."""
        self.stand = stand
        self.options = options
        stand.counters = self
        stand.faults.quality = options.quality
        self.batch = Batch(options.speed, self._started)
        self.cache = PrefixCache(options.cache_prefixes)
        self.orders = OrderBook(
            options.versions,
            options.checks_fencing,
            options.load_s,
            options.weights_url,
        )
        self.runs: collections.deque[Run] = collections.deque(
            maxlen=_KEPT_RECORDS
        )
        self.active: dict[str, list[Run]] = {}
        self.run_counts: collections.Counter[str] = collections.Counter()
        self._totals: collections.Counter[str] = collections.Counter()
        self._samples: collections.deque[tuple[float, int, int, int]] = (
            collections.deque(maxlen=_KEPT_SAMPLES)
        )
        self._sample()
        ioloop.PeriodicCallback(self._sample, _SAMPLE_INTERVAL_MS).start()

    def submit(self, run: Run) -> None:
        """Take a run in."""
        self.active.setdefault(run.request_id, []).append(run)
        self.batch.add(run)

    def close(self, run: Run) -> None:
        """Forget a run that finished, or cancel it."""
        runs = self.active.get(run.request_id, [])
        if run not in runs:
            return
        runs.remove(run)
        if not runs:
            self.active.pop(run.request_id)
        if self.batch.cancel(run):
            self._totals['cancelled'] += 1
        else:
            self._totals['finished'] += 1

    def counts(self) -> dict[str, Any]:
        """Return the totals for ``GET /control``."""
        return {
            'started': self._totals['started'],
            'finished': self._totals['finished'],
            'cancelled': self._totals['cancelled'],
            'running': [run.request_id for run in self.batch.running],
            'waiting': self.batch.waiting_count,
            'runs': dict(self.run_counts),
            'orders_accepted': len(self.orders.accepted),
            'orders_refused': self.orders.refused,
            'orders': self.orders.accepted,
        }

    def records(self) -> list[dict[str, Any]]:
        """Return each run that was started."""
        return [
            {
                'request_id': run.request_id,
                'version': run.version,
                'account': run.account,
                'task': run.task,
                'started_at_ms': run.started_at_ms,
                'prompt_tokens': run.prompt_tokens,
                'emitted_tokens': run.emitted_tokens,
                'total_tokens': run.total_tokens,
                'outcome': run.outcome,
            }
            for run in self.runs
        ]

    def faults_changed(self) -> None:
        """Need nothing: faults are read where they strike."""

    def load(self) -> dict[str, Any]:
        """Return the newest load sample that is old enough."""
        lag_s = self.stand.faults.lag_s
        if lag_s is None:
            lag_s = self.options.load_lag_s
        now_s = time.monotonic()
        chosen = self._samples[0]
        for sample in reversed(self._samples):
            if sample[0] <= now_s - lag_s:
                chosen = sample
                break
        at_s, running, waiting, cached = chosen
        return {
            'running': running,
            'waiting': waiting,
            'slots': self.options.speed.slots,
            'cached_prefixes': cached,
            'age_s': round(now_s - at_s, 4),
            'state': 'leaving' if self.stand.faults.leaving else 'live',
        }

    def event_lag_s(self) -> float:
        """Return how late cache events are."""
        lag_s = self.stand.faults.lag_s
        return self.options.event_lag_s if lag_s is None else lag_s

    def verdict(self, run: Run, prompt: str) -> str:
        """Return whether this answer is good."""
        faults = self.stand.faults
        share_good = answers.good_share(
            faults.quality,
            run.version,
            run.task,
            answers.length_class(run.prompt_tokens),
        )
        share_bad = faults.bad_versions.get(run.version, 0.0)
        return answers.verdict_for(prompt, run.version, share_good, share_bad)

    def _started(self, run: Run) -> None:
        run.started_at_ms = wall_ms()
        self._totals['started'] += 1
        self.run_counts[run.request_id] += 1
        self.runs.append(run)

    def _sample(self) -> None:
        self._samples.append(
            (
                time.monotonic(),
                len(self.batch.running),
                self.batch.waiting_count,
                len(self.cache),
            )
        )
