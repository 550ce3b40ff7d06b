"""Attempts of one request at the replicas of its pool.

A replica is chosen for each attempt, and permission is checked right before
each dispatch, so that a version withdrawn meanwhile gets no retry, resumed
stream or escalation either.
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
    ReplicaSelector,
    ReplicaDecision,
    ReplicaRequest,
)
from snipebridge.policy.retries import FailedAttempt, RetryPolicy
from snipebridge.upstreams.errors import (
    ConnectError,
    ResponseTimeoutError,
    StatusError,
    UpstreamError,
)

_Result = TypeVar('_Result')

# Statuses with which an upstream refuses before it runs anything.
_NOT_RUN_STATUSES = frozenset((404, 429, 503))
_BUSY_STATUSES = frozenset((429, 503))
_SERVER_ERROR_STATUS = 500
_RETRY_AFTER_S = 1.0


class ViewSource(Protocol):
    """Where the configuration in force is read."""

    view: ConfigurationView


@dataclass(slots=True)
class AttemptState:
    """What the attempts of a request have in common."""

    version: str
    prompt_tokens: int
    expected_tokens: int
    is_idempotent: bool
    failed_replicas: set[str] = field(default_factory=set)
    attempts: int = 0
    # Failures that speak against the version and not against its upstream.
    version_errors: int = 0
    last_error: UpstreamError | None = None


class AttemptRunner:
    """Makes attempts until one succeeds or no other is allowed."""

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
        """Keep what each attempt needs."""
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

        Raises `RequestError` with what is known of the run.
        """
        while True:
            upstream = self._choose(exchange, state)
            state.attempts += 1
            exchange.delivered.attempts += 1
            try:
                return await self._attempt(exchange, state, upstream, call)
            except UpstreamError as error:
                state.version_errors += _is_version_fault(error)
                await self._recover(exchange, state, error)
                state.failed_replicas.add(upstream.name)
                state.last_error = error

    def record_first_token(self, exchange: Exchange) -> None:
        """Learn from the first token that the current attempt brought."""
        now_s = self._clock.monotonic_s()
        delivered = exchange.delivered
        delivered.first_token_s = now_s
        self._replicas.record_first_token(
            delivered.upstream, exchange.request_id, now_s
        )
        waited_s = now_s - exchange.head.received_s
        self._retries.record_first_token(exchange.pool, waited_s)

    async def _attempt(
        self,
        exchange: Exchange,
        state: AttemptState,
        upstream: UpstreamView,
        call: Callable[[UpstreamView], Awaitable[_Result]],
    ) -> _Result:
        remaining_s = exchange.deadline_s - self._clock.monotonic_s()
        exchange.delivered.upstream = upstream.name
        known_ran = exchange.delivered.ran
        exchange.delivered.ran = Ran.UNKNOWN
        outcome = Outcome.CANCELLED
        try:
            result = await asyncio.wait_for(call(upstream), remaining_s)
            outcome = Outcome.ANSWERED
        except TimeoutError as error:
            raise DeadlineError(
                'the deadline passed', Ran.UNKNOWN, _RETRY_AFTER_S
            ) from error
        except UpstreamError as error:
            outcome = _outcome_of(error)
            if ran_state_of(error) is Ran.NO:
                exchange.delivered.ran = known_ran
            raise
        finally:
            self._note_end(exchange, upstream, outcome)
        exchange.delivered.ran = Ran.YES
        self._retries.record_success(exchange.pool)
        return result

    def _choose(self, exchange: Exchange, state: AttemptState) -> UpstreamView:
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
            raise self._no_replica(exchange, state, decision, now_s)
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
                f'{state.version} was withdrawn', ran, _RETRY_AFTER_S
            )
        raise ForbiddenError(f'{exchange.pool} is not allowed any more', ran)

    def _no_replica(
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
            # Something may have run, so no other version is tried either.
            return _give_up(exchange, state.last_error)
        kind = VersionUnavailableError if state.version else UnavailableError
        return kind(
            f'no replica: {decision.reason}',
            exchange.delivered.ran,
            retry_after_s,
        )

    async def _recover(
        self, exchange: Exchange, state: AttemptState, error: UpstreamError
    ) -> None:
        """Wait before the next attempt, or raise when there is none."""
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
            raise _give_up(exchange, error)
        await asyncio.sleep(decision.delay_s)

    def _note_end(
        self, exchange: Exchange, upstream: UpstreamView, outcome: Outcome
    ) -> None:
        now_s = self._clock.monotonic_s()
        self._replicas.record_end(
            upstream.name, exchange.request_id, outcome, now_s
        )


def ran_state_of(error: UpstreamError) -> Ran:
    """Return what an error tells of the run."""
    if isinstance(error, StatusError):
        return Ran.NO if error.status in _NOT_RUN_STATUSES else Ran.UNKNOWN
    return error.ran


def _is_version_fault(error: UpstreamError) -> bool:
    """Tell an upstream's answer that it failed from its being gone.

    A lost connection says nothing about the version: counted against it,
    the loss of a pool would look as if all its versions had turned bad.
    """
    return (
        isinstance(error, StatusError)
        and error.status >= _SERVER_ERROR_STATUS
        and error.status not in _BUSY_STATUSES
    )


def _outcome_of(error: UpstreamError) -> Outcome:
    if isinstance(error, ConnectError):
        return Outcome.UNREACHABLE
    if isinstance(error, ResponseTimeoutError):
        return Outcome.TIMED_OUT
    if isinstance(error, StatusError) and error.status in _BUSY_STATUSES:
        return Outcome.BUSY
    return Outcome.FAILED


def _give_up(exchange: Exchange, error: UpstreamError) -> RequestError:
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
                'replica': one.name,
                'expected_wait_s': round(one.expected_wait_s, 4),
            }
            for one in decision.weighed
        ],
    )
