"""Notices replicas that crash, and tells the prompt guard what ran there."""

import asyncio
from collections.abc import Callable

from snipebridge.clock import Clock
from snipebridge.logs import log_decision
from snipebridge.relay.attempts import Attempt
from snipebridge.relay.exchange import BrokenRun, RelayExchange
from snipebridge.relay.paths import PathFinder
from snipebridge.relay.prompt_guard import PromptGuard, prompt_run
from snipebridge.relay.replicas import Replica
from snipebridge.routing.tables import RouteKind
from snipebridge.upstreams.errors import (
    InvalidResponseError,
    RefusedError,
    UpstreamError,
)


class CrashWatch:
    """Records the runs of this entry and checks replicas that broke off.

    A replica that broke off an answer and refuses connections, those of other
    entries too, has crashed. One that still takes them, or that can't be
    reached, has not.
    """

    __slots__ = ('_checks', '_clock', '_guard', '_paths', '_report_now')

    def __init__(
        self,
        guard: PromptGuard,
        paths: PathFinder,
        clock: Clock,
        report_now: Callable[[], None],
    ) -> None:
        """Use the guard of the entry; ``report_now`` sends a heartbeat."""
        self._guard = guard
        self._paths = paths
        self._clock = clock
        self._report_now = report_now
        # By replica, so that many broken runs cause one connection.
        self._checks: dict[str, asyncio.Task[None]] = {}

    def record_began(self, attempt: Attempt, exchange: RelayExchange) -> None:
        """Note that a replica has begun to answer."""
        self._guard.runs.record_began(
            attempt.choice.replica.id,
            prompt_run(exchange),
            self._clock.monotonic_s(),
        )

    def record_closed(self, attempt: Attempt, exchange: RelayExchange) -> None:
        """Note that an attempt is over, its answer complete or not."""
        if attempt.head is None:
            return
        run = (attempt.choice.replica.id, exchange.request.attempt_id)
        if not attempt.is_complete:
            self._guard.runs.record_cut(*run, self._clock.monotonic_s())
        elif exchange.route.kind is not RouteKind.STREAMING:
            self._guard.runs.record_whole(*run)

    def record_fault(
        self, attempt: Attempt, exchange: RelayExchange, error: UpstreamError
    ) -> None:
        """Find out whether a failed attempt means a crash."""
        replica = attempt.choice.replica
        now_s = self._clock.monotonic_s()
        if isinstance(error, RefusedError):
            if self._guard.runs.record_refused(replica.id, now_s):
                self._report_lost(replica, now_s, noticed_by='refusal')
        elif isinstance(error, InvalidResponseError):
            run = prompt_run(exchange)
            if attempt.head is None:
                self._guard.runs.record_unanswered(replica.id, run, now_s)
            if attempt.head is not None or not run.is_stream:
                exchange.progress.broken_runs.append(
                    BrokenRun(replica.id, now_s)
                )
            self._start_check(replica, now_s)

    async def count_crashes(self, exchange: RelayExchange) -> int:
        """Return how many replicas have crashed under this request."""
        broken = exchange.progress.broken_runs
        checks = [
            self._checks[one.replica]
            for one in broken
            if one.replica in self._checks
        ]
        if checks:
            await asyncio.wait(checks)
        return sum(
            self._guard.runs.was_lost_near(one.replica, one.broke_s)
            for one in broken
        )

    def _start_check(self, replica: Replica, broke_s: float) -> None:
        if replica.id in self._checks:
            return
        task = asyncio.create_task(self._check(replica, broke_s))
        self._checks[replica.id] = task
        task.add_done_callback(lambda _: self._checks.pop(replica.id, None))

    async def _check(self, replica: Replica, broke_s: float) -> None:
        if await self._paths.is_refused(replica.id, replica.address):
            self._record_lost(replica, broke_s)

    def _record_lost(self, replica: Replica, lost_s: float) -> None:
        now_s = self._clock.monotonic_s()
        if self._guard.runs.record_lost(replica.id, lost_s, now_s):
            self._report_lost(replica, lost_s, noticed_by='broken_run')

    def _report_lost(
        self, replica: Replica, lost_s: float, *, noticed_by: str
    ) -> None:
        now_s = self._clock.monotonic_s()
        log_decision(
            'replica_lost',
            replica=replica.id,
            service=replica.service,
            noticed_by=noticed_by,
            lost_ago_ms=round((now_s - lost_s) * 1000),
            running=replica.running,
        )
        self._report_now()
