"""Runs the attempts of one request on the replicas of its pool.

Each attempt chooses its replica and checks the permission right before the
dispatch, so that a version withdrawn during a request gets no retry, resumed
stream or escalation.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from snipebridge.clock import Clock
from snipebridge.controllers.view import ConfigurationView, UpstreamView
from snipebridge.errors import Ran
from snipebridge.filters.errors import (
    DeadlineError,
    ForbiddenError,
    RequestError,
    UnavailableError,
    UpstreamFailedError,
    VersionUnavailableError,
)
from snipebridge.filters.exchange import Exchange
from snipebridge.filters.permission import LeaseGuard, is_permitted
from snipebridge.logs import log_decision
from snipebridge.policy.health import Outcome
from snipebridge.policy.replica_selection import (
    NoReplica,
    ReplicaDecision,
    ReplicaRequest,
    ReplicaSelector,
)
from snipebridge.policy.retries import FailedAttempt, RetryPolicy
from snipebridge.upstreams.errors import (
    ConnectError,
    ResponseTimeoutError,
    StatusError,
    UpstreamError,
)

_Result = TypeVar('_Result')

# Statuses with which an upstream rejects a request before running it.
_NOT_RUN_STATUSES = frozenset((404, 429, 503))
_BUSY_STATUSES = frozenset((429, 503))
_SERVER_ERROR_STATUS = 500
_RETRY_AFTER_S = 1.0


class ViewSource(Protocol):
    """Provides the configuration in force."""

    view: ConfigurationView


@dataclass(slots=True)
class AttemptState:
    """Parameters and progress shared by the attempts of a request."""

    version: str
    prompt_tokens: int
    expected_tokens: int
    is_idempotent: bool
    failed_replicas: set[str] = field(default_factory=set)
    attempts: int = 0
    # Errors that count against the version rather than against its upstream.
    version_errors: int = 0
    last_error: UpstreamError | None = None


class AttemptRunner:
    """Makes attempts until one succeeds or no further one is allowed."""

    __slots__ = ('_clock', '_guard', '_replicas', '_retries', '_rng', '_source')

    def __init__(
        self,
        source: ViewSource,
        guard: LeaseGuard,
        replicas: ReplicaSelector,
        retries: RetryPolicy,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Keep the collaborators that each attempt uses."""
        self._source = source
        self._guard = guard
        self._replicas = replicas
        self._retries = retries
        self._clock = clock
        self._rng = rng

    async def run(
        self,
        exchange: Exchange,
        state: AttemptState,
        call: Callable[[UpstreamView], Awaitable[_Result]],
    ) -> _Result:
        """Return the result of the first attempt that succeeds.

        Raises `RequestError`, whose ``ran`` tells whether the request may have
        run.
        """
        while True:
            upstream = self._choose_upstream(exchange, state)
            state.attempts += 1
            exchange.delivered.attempts += 1
            try:
                return await self._attempt(exchange, state, upstream, call)
            except UpstreamError as error:
                state.version_errors += _is_version_error(error)
                await self._wait_for_retry(exchange, state, error)
                state.failed_replicas.add(upstream.name)
                state.last_error = error

    def record_first_token(self, exchange: Exchange) -> None:
        """Record the first token of the current attempt."""
        now_s = self._clock.monotonic_s()
        delivered = exchange.delivered
        delivered.first_token_s = now_s
        self._replicas.record_first_token(
            delivered.upstream, exchange.request_id, now_s
        )
        wait_s = now_s - exchange.head.received_s
        self._retries.record_first_token(exchange.pool, wait_s)

    async def _attempt(
        self,
        exchange: Exchange,
        state: AttemptState,
        upstream: UpstreamView,
        call: Callable[[UpstreamView], Awaitable[_Result]],
    ) -> _Result:
        remaining_s = exchange.deadline_s - self._clock.monotonic_s()
        exchange.delivered.upstream = upstream.name
        previous_ran = exchange.delivered.ran
        exchange.delivered.ran = Ran.UNKNOWN
        outcome = Outcome.CANCELLED
        try:
            result = await asyncio.wait_for(call(upstream), remaining_s)
            outcome = Outcome.ANSWERED
        except TimeoutError as error:
            raise DeadlineError(
                'the deadline was exceeded', Ran.UNKNOWN, _RETRY_AFTER_S
            ) from error
        except UpstreamError as error:
            outcome = _classify_outcome(error)
            if ran_state_of(error) is Ran.NO:
                exchange.delivered.ran = previous_ran
            raise
        finally:
            self._record_end(exchange, upstream, outcome)
        exchange.delivered.ran = Ran.YES
        self._retries.record_success(exchange.pool)
        return result

    def _choose_upstream(
        self, exchange: Exchange, state: AttemptState
    ) -> UpstreamView:
        self._check_permission(exchange, state)
        now_s = self._clock.monotonic_s()
        prefixes = exchange.chat.prefixes if exchange.chat else ()
        request = ReplicaRequest(
            version=state.version,
            prompt_tokens=state.prompt_tokens,
            prefixes=prefixes,
            priority=exchange.priority,
            excluded=frozenset(state.failed_replicas),
            pool=exchange.pool,
        )
        decision = self._replicas.choose(request, now_s, self._rng)
        if isinstance(decision, NoReplica):
            raise self._report_no_replica(exchange, state, decision, now_s)
        _log(exchange, state, decision)
        self._replicas.record_dispatch(
            decision.name,
            exchange.request_id,
            decision.prefill_tokens,
            state.expected_tokens,
            now_s,
        )
        self._replicas.prefixes.record_dispatch(decision.name, prefixes, now_s)
        return self._source.view.upstreams[decision.name]

    def _check_permission(
        self, exchange: Exchange, state: AttemptState
    ) -> None:
        view = self._source.view
        ran = exchange.delivered.ran
        try:
            self._guard.check(view)
        except RequestError as error:
            error.ran = ran
            raise
        if state.version:
            allowed = is_permitted(view, exchange.account.name, state.version)
        else:
            account = view.accounts.get(exchange.account.name)
            allowed = (
                account is not None
                and not account.disabled
                and exchange.service.service in account.services
            )
        if allowed:
            return
        if state.version:
            raise VersionUnavailableError(
                f'version {state.version} was withdrawn', ran, _RETRY_AFTER_S
            )
        raise ForbiddenError(
            f'service {exchange.pool} is no longer allowed', ran
        )

    def _report_no_replica(
        self,
        exchange: Exchange,
        state: AttemptState,
        decision: NoReplica,
        now_s: float,
    ) -> RequestError:
        retry_after_s = decision.retry_after_s
        if not state.attempts:
            self._retries.mark_pool_empty(exchange.pool, now_s + retry_after_s)
        log_decision(
            'replica',
            request_id=exchange.request_id,
            version=state.version,
            chosen=None,
            reason=decision.reason,
        )
        if state.last_error and exchange.delivered.ran is not Ran.NO:
            # The request may have run, so no other version is tried.
            return _make_final_error(exchange, state.last_error)
        error_type = (
            VersionUnavailableError if state.version else UnavailableError
        )
        return error_type(
            f'no replica available: {decision.reason}',
            exchange.delivered.ran,
            retry_after_s,
        )

    async def _wait_for_retry(
        self, exchange: Exchange, state: AttemptState, error: UpstreamError
    ) -> None:
        """Wait before the next attempt, or raise if none is allowed."""
        attempt = FailedAttempt(
            pool=exchange.pool,
            ran=ran_state_of(error),
            is_idempotent=state.is_idempotent,
            attempts=state.attempts,
            deadline_s=exchange.deadline_s,
        )
        now_s = self._clock.monotonic_s()
        decision = self._retries.decide(attempt, now_s, self._rng)
        log_decision(
            'retry',
            request_id=exchange.request_id,
            upstream=exchange.delivered.upstream,
            error=error.code,
            retried=decision.allowed,
            reason=decision.reason.value,
        )
        if not decision.allowed:
            raise _make_final_error(exchange, error)
        await asyncio.sleep(decision.delay_s)

    def _record_end(
        self, exchange: Exchange, upstream: UpstreamView, outcome: Outcome
    ) -> None:
        now_s = self._clock.monotonic_s()
        self._replicas.record_end(
            upstream.name, exchange.request_id, outcome, now_s
        )


def ran_state_of(error: UpstreamError) -> Ran:
    """Return whether the request may have run, judging by the error."""
    if isinstance(error, StatusError):
        return Ran.NO if error.status in _NOT_RUN_STATUSES else Ran.UNKNOWN
    return error.ran


def _is_version_error(error: UpstreamError) -> bool:
    """Tell whether the upstream reported a failure of its own.

    A lost connection does not count: it says nothing about the version, and
    the outage of a pool would otherwise look like a fault of each of its
    versions.
    """
    return (
        isinstance(error, StatusError)
        and error.status >= _SERVER_ERROR_STATUS
        and error.status not in _BUSY_STATUSES
    )


def _classify_outcome(error: UpstreamError) -> Outcome:
    if isinstance(error, ConnectError):
        return Outcome.UNREACHABLE
    if isinstance(error, ResponseTimeoutError):
        return Outcome.TIMED_OUT
    if isinstance(error, StatusError) and error.status in _BUSY_STATUSES:
        return Outcome.BUSY
    return Outcome.FAILED


def _make_final_error(exchange: Exchange, error: UpstreamError) -> RequestError:
    ran = exchange.delivered.ran
    retry_after_s = _RETRY_AFTER_S
    if isinstance(error, StatusError):
        retry_after_s = max(retry_after_s, error.retry_after_s)
    if ran is Ran.NO:
        return UnavailableError(error.message, ran, retry_after_s)
    return UpstreamFailedError(error.message, ran, retry_after_s)


def _log(
    exchange: Exchange, state: AttemptState, decision: ReplicaDecision
) -> None:
    log_decision(
        'replica',
        request_id=exchange.request_id,
        version=state.version,
        chosen=decision.name,
        reason=decision.reason,
        attempt=state.attempts + 1,
        weighed=[
            {
                'replica': candidate.name,
                'expected_wait_s': round(candidate.expected_wait_s, 4),
            }
            for candidate in decision.weighed
        ],
    )
