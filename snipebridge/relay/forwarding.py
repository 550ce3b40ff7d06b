"""Last filter of the chain: forwards a request to replicas, with retries.

A request that must not be retried is sent to another replica only if the
first one reports that it did not run. Any other request is retried at other
replicas within the attempt limit of its route and the retry budget of the
fleet.
"""

import asyncio

from snipebridge.errors import Ran
from snipebridge.filters.chain import Proceed
from snipebridge.relay.attempt_limits import MIN_READ_TIMEOUT_S, AttemptLimits
from snipebridge.relay.attempts import Attempt, is_server_failure, is_success
from snipebridge.relay.dependencies import ForwardDependencies
from snipebridge.relay.errors import (
    NotRunError,
    RelayError,
    TimedOutError,
    UpstreamFailedError,
)
from snipebridge.relay.events import EventSplitter
from snipebridge.relay.exchange import RelayExchange
from snipebridge.relay.messages import (
    Dispatch,
    ResponseHead,
    end_to_end_headers,
)
from snipebridge.relay.model_selection import ModelSelector
from snipebridge.relay.outcomes import OutcomeRecorder
from snipebridge.relay.replica_placement import Choice, choose_service
from snipebridge.routing.tables import Route, RouteKind
from snipebridge.upstreams.connections import IDLE_LIMIT_S
from snipebridge.upstreams.errors import (
    InvalidHeadError,
    InvalidResponseError,
    ResponseTimeoutError,
    UpstreamError,
)

COMPLETE = 'complete'
FAILED_BY_REPLICA = 'failed_by_replica'

# A request that must not be retried can't be resent when a pooled connection
# turns out to be closed, so it uses only a recently active one.
_NON_RETRYABLE_IDLE_S = 1.0
# Range of the Retry-After sent when no replica took the request: random, so
# that callers do not return at once, and short enough for their deadlines.
_RETRY_AFTER_RANGE_S = (0.3, 1.0)
# Replicas that may crash under one request before it goes to no further one.
_CRASH_LIMIT = 2
# The least urgent priority that replicas accept.
_LOWEST_PRIORITY = 9


class ForwardFilter:
    """Forwards each request with its own `RequestForwarder`."""

    __slots__ = ('_dependencies',)

    def __init__(self, dependencies: ForwardDependencies) -> None:
        """Use dependencies shared by all requests."""
        self._dependencies = dependencies

    async def run(self, exchange: RelayExchange, proceed: Proceed) -> None:
        """Send a response to the caller, or raise `RelayError`."""
        await RequestForwarder(self._dependencies, exchange).run()


class RequestForwarder:
    """Runs the attempts of one request."""

    def __init__(
        self, dependencies: ForwardDependencies, exchange: RelayExchange
    ) -> None:
        """Start before the first attempt."""
        self._dependencies = dependencies
        self._exchange = exchange
        self._route = exchange.route
        self._request = exchange.request
        self._progress = exchange.progress
        self._limits = AttemptLimits(dependencies, exchange)
        self._models = ModelSelector(dependencies, exchange, self._limits)
        self._outcomes = OutcomeRecorder(dependencies, exchange, self._limits)
        self._splitter = EventSplitter()
        self._model = self._models.first_model()

    async def run(self) -> None:
        """Send a response to the caller, or raise `RelayError`."""
        self._progress.service = choose_service(
            self._route, self._request.session or self._request.attempt_id
        )
        self._dependencies.retries.record_request(
            self._progress.service, self._dependencies.clock.monotonic_s()
        )
        try:
            async with asyncio.timeout(self._limits.remaining_s()):
                await self._attempts()
        except TimeoutError as error:
            raise _timeout_error(self._exchange) from error

    async def _attempts(self) -> None:
        while True:
            attempt = await self._next_attempt()
            try:
                if await self._relay(attempt):
                    return
            except UpstreamError as error:
                self._record_fault(attempt, error)
            finally:
                attempt.close()
                self._outcomes.record_closed(attempt)

    async def _next_attempt(self) -> Attempt:
        """Return an attempt with its response head, or raise the last error."""
        while True:
            await self._check_crashes()
            attempt = self._make_attempt(self._select())
            has_head = False
            try:
                has_head = await self._open(attempt)
            finally:
                if not has_head:
                    attempt.close()
            if has_head:
                return attempt

    async def _open(self, attempt: Attempt) -> bool:
        """Send the request; tell whether the replica ran it and responded."""
        try:
            await attempt.connect(_max_idle_s(self._route))
            if _is_paused(self._dependencies, attempt):
                self._outcomes.record_paused(attempt)
                return False
            await self._send(attempt)
        except UpstreamError as error:
            self._record_fault(attempt, error)
            return False
        if attempt.head.did_not_run:
            self._outcomes.record_refusal(attempt)
            return False
        self._progress.ran = Ran.YES
        self._outcomes.record_head(attempt)
        return True

    async def _send(self, attempt: Attempt) -> None:
        progress = self._progress
        now_s = self._dependencies.clock.monotonic_s()
        self._limits.dispatch_count += 1
        progress.first_dispatch_s = progress.first_dispatch_s or now_s
        progress.replica = attempt.choice.replica.id
        progress.software = attempt.choice.replica.software
        progress.model = attempt.choice.model
        content = self._render(attempt)
        previous_ran = progress.ran
        progress.ran = Ran.UNKNOWN if previous_ran is Ran.NO else previous_ran
        attempt.send(content, self._request.method)
        self._dependencies.software.record_sent(
            attempt.choice.replica, self._request.session, now_s
        )
        head = await self._wait_head(attempt)
        self._outcomes.record_signs(attempt, head)
        if head.did_not_run:
            progress.ran = previous_ran
            return
        progress.attempts += 1
        self._record_prompt(attempt, now_s)

    def _render(self, attempt: Attempt) -> bytes:
        dispatch = Dispatch(
            replica=attempt.choice.replica.id,
            account=self._exchange.account_name,
            remaining_s=self._limits.remaining_s(),
            model=attempt.choice.model,
            priority=self._priority(),
            last_event_id=self._splitter.last_id,
        )
        try:
            return self._dependencies.codec.render(self._request, dispatch)
        except InvalidHeadError as error:
            # Not a fault of this replica, and the same for any other.
            self._fail(error.message)

    def _record_prompt(self, attempt: Attempt, now_s: float) -> None:
        attempt.choice.replica.record_prompt_parts(
            attempt.choice.model,
            [part.identity for part in self._request.prompt_parts],
            now_s,
        )

    async def _wait_head(self, attempt: Attempt) -> ResponseHead:
        """Wait for a response head, without a timeout if no retry is allowed.

        The route timeout still applies. A late first token of a stream is
        recorded while it is awaited, so that a slow version is detected early.
        """
        wait_until_s = attempt.sent_s + self._limits.first_byte_timeout_s()
        while True:
            left_s = wait_until_s - self._dependencies.clock.monotonic_s()
            late_after_s = attempt.late_after_s()
            late_comes_first = 0 < late_after_s < left_s and self._is_stream()
            try:
                return await attempt.wait_head(
                    self._request.attempt_id,
                    late_after_s if late_comes_first else left_s,
                )
            except ResponseTimeoutError:
                if late_comes_first:
                    self._outcomes.record_late_first_byte(attempt)
                elif self._limits.can_retry():
                    raise
                else:
                    wait_until_s += self._limits.remaining_s()

    def _is_stream(self) -> bool:
        return self._route.kind is RouteKind.STREAMING

    def _select(self) -> Choice:
        """Return the next replica and model, or raise the last error."""
        self._check_quarantine()
        reason = self._limits.denial_reason()
        if reason:
            self._fail(reason)
        choice = self._dependencies.placer.place(
            self._exchange,
            self._progress.service,
            self._model,
            self._outcomes.excluded,
        )
        if choice is None:
            self._fail(
                'no eligible replica remains',
                self._dependencies.placer.paused_s(self._progress.service),
            )
        return choice

    async def _check_crashes(self) -> None:
        """Stop a request that may crash each replica that it reaches."""
        if len(self._progress.broken_runs) < _CRASH_LIMIT:
            return
        crashes = await self._dependencies.crashes.count_crashes(self._exchange)
        if crashes >= _CRASH_LIMIT:
            self._fail(f'{crashes} replicas crashed under the request')

    def _check_quarantine(self) -> None:
        now_s = self._dependencies.clock.monotonic_s()
        held = self._dependencies.prompts.find_quarantine(self._exchange, now_s)
        if held is not None:
            self._fail(
                f'replicas crash on {held.part.description}',
                held.until_s - now_s,
            )

    def _fail(self, reason: str, retry_after_s: float = 0.0) -> None:
        message = f'{reason}; {self._outcomes.last_error}'
        if self._exchange.reply.started or self._progress.ran is not Ran.NO:
            raise UpstreamFailedError(message)
        raise NotRunError(
            message,
            retry_after_s
            or self._dependencies.rng.uniform(*_RETRY_AFTER_RANGE_S),
        )

    async def _relay(self, attempt: Attempt) -> bool:
        """Pass the response on; tell whether the request is done."""
        if not (attempt.head.is_stream and is_success(attempt.head.status)):
            return await self._relay_buffered(attempt)
        self._progress.confidence = attempt.head.confidence
        model = self._models.next_model(attempt)
        if model:
            self._outcomes.record_dropped(attempt)
            self._progress.escalations += 1
            self._model = model
            return False
        await self._relay_stream(attempt)
        return True

    async def _relay_buffered(self, attempt: Attempt) -> bool:
        body = await self._read_body(attempt)
        self._outcomes.record_response(attempt)
        is_failure = is_server_failure(attempt.head.status)
        if self._exchange.reply.started:
            raise InvalidResponseError(
                f'status {attempt.head.status} in place of a resumed stream'
            )
        if is_failure and self._route.allows_retry and self._limits.can_retry():
            return False
        headers = end_to_end_headers(attempt.head.headers)
        headers.append(('Content-Length', str(len(body))))
        reply = self._exchange.reply
        self._outcomes.record_first_byte(attempt)
        await reply.start(attempt.head.status, headers)
        if body and self._request.method != 'HEAD':
            await reply.write(body)
        await reply.finish()
        self._exchange.outcome = FAILED_BY_REPLICA if is_failure else COMPLETE
        return True

    async def _read_body(self, attempt: Attempt) -> bytes:
        buffer = self._dependencies.buffers.open()
        try:
            while True:
                chunk = await attempt.read(self._limits.remaining_s())
                if not chunk:
                    return buffer.content
                buffer.add(chunk)
        finally:
            buffer.close()

    async def _relay_stream(self, attempt: Attempt) -> None:
        """Pass complete events on as they arrive."""
        clock = self._dependencies.clock
        progress_s = clock.monotonic_s()
        while chunk := await self._read_stream(attempt, progress_s):
            events = self._splitter.split(chunk)
            attempt.unfinished_bytes = len(self._splitter.remainder)
            if events:
                await self._pass_events(attempt, events)
                progress_s = clock.monotonic_s()
        if self._splitter.is_inside_event():
            raise InvalidResponseError('the stream ended inside an event')
        if not self._exchange.reply.started:
            raise InvalidResponseError('the stream ended without an event')
        self._outcomes.record_response(attempt)
        if self._splitter.remainder:
            await self._exchange.reply.write(self._splitter.remainder)
        await self._exchange.reply.finish()
        self._exchange.outcome = COMPLETE

    async def _pass_events(self, attempt: Attempt, events: bytes) -> None:
        reply = self._exchange.reply
        if not reply.started:
            self._outcomes.record_first_byte(attempt)
            await reply.start(
                attempt.head.status, end_to_end_headers(attempt.head.headers)
            )
        self._outcomes.record_events(attempt, events, self._splitter.last_id)
        await reply.write(events)

    async def _read_stream(self, attempt: Attempt, progress_s: float) -> bytes:
        """Return the next chunk of a stream, empty at its end.

        A replica that sends bytes of other responses meanwhile, or that can be
        reached, is only slow for a while. Resuming the stream elsewhere would
        process the prompt again there. Only whole events count as progress,
        so single bytes now and then do not keep a stream at a replica.
        """
        clock = self._dependencies.clock
        while True:
            silent_s = clock.monotonic_s() - progress_s
            if self._limits.is_hung(silent_s):
                raise ResponseTimeoutError('no event ended in time')
            try:
                return await attempt.read(self._limits.read_timeout_s())
            except ResponseTimeoutError:
                silent_s = clock.monotonic_s() - progress_s
                if self._limits.can_retry() and await self._is_lost(
                    attempt, silent_s
                ):
                    raise

    async def _is_lost(self, attempt: Attempt, silent_s: float) -> bool:
        """Tell whether a replica whose stream is silent is to be given up."""
        replica = attempt.choice.replica
        since_s = self._dependencies.clock.monotonic_s() - MIN_READ_TIMEOUT_S
        if replica.has_sent_since(since_s):
            return False
        if not self._exchange.reply.started:
            return True
        if self._limits.is_hung(silent_s):
            return True
        return not await self._dependencies.paths.can_reach(
            replica.id, replica.address
        )

    def _record_fault(self, attempt: Attempt, error: UpstreamError) -> None:
        self._splitter.reset()
        self._outcomes.record_fault(attempt, error)

    def _make_attempt(self, choice: Choice) -> Attempt:
        return Attempt(
            choice,
            self._dependencies.pool,
            self._dependencies.codec,
            self._dependencies.prefill_speeds,
            self._dependencies.clock,
        )

    def _priority(self) -> int | None:
        if not self._is_stream():
            return None
        return min(_LOWEST_PRIORITY, max(0, self._exchange.priority))


def _is_paused(dependencies: ForwardDependencies, attempt: Attempt) -> bool:
    """Tell whether the replica asked for a pause during the connect."""
    return dependencies.back_offs.is_paused(
        attempt.choice.replica.id, dependencies.clock.monotonic_s()
    )


def _max_idle_s(route: Route) -> float:
    return IDLE_LIMIT_S if route.allows_retry else _NON_RETRYABLE_IDLE_S


def _timeout_error(exchange: RelayExchange) -> RelayError:
    if exchange.reply.started:
        return UpstreamFailedError('the deadline passed during the stream')
    if exchange.progress.ran is Ran.NO:
        return NotRunError('the deadline passed before a run')
    return TimedOutError('the deadline of the request passed')
