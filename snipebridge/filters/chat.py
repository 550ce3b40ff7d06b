"""Runs a chat request on the chosen version and relays the response."""

import asyncio
from collections.abc import Awaitable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass

from snipebridge.clock import Clock
from snipebridge.controllers.version_monitor import (
    DEFAULT_SCORER,
    ResponseSummary,
    VersionMonitor,
)
from snipebridge.controllers.view import UpstreamView
from snipebridge.errors import Ran
from snipebridge.filters.attempts import AttemptRunner, AttemptState
from snipebridge.filters.chain import Proceed
from snipebridge.filters.errors import RequestError
from snipebridge.filters.exchange import DeliveryRecord, Exchange
from snipebridge.filters.ratings import RatingClient
from snipebridge.policy.cascades import should_escalate
from snipebridge.policy.version_types import CASCADE
from snipebridge.settings.models import EntrySettings
from snipebridge.upstreams.engine import (
    CompleteResponse,
    Engine,
    EngineCall,
    EngineUsage,
    StreamEnd,
)
from snipebridge.upstreams.errors import (
    InvalidResponseError,
    ResponseTimeoutError,
    UpstreamError,
)

_OK = 200
_EVENT_STREAM = 'text/event-stream'
_JSON = 'application/json'
_VERSION_HEADER = 'Snipebridge-Version'
_RATING_TIMEOUT_S = 2.0
# Keeps the token rate of an instant response finite.
_MIN_DURATION_S = 0.001


class StreamRelay:
    """Relays tokens to the caller and counts those that were sent.

    One relay serves all attempts of a request, so that an interrupted stream
    resumes after the last token sent to the caller.
    """

    __slots__ = ('_attempt_runner', '_exchange', 'text', 'tokens')

    def __init__(
        self, exchange: Exchange, attempt_runner: AttemptRunner
    ) -> None:
        """Start with nothing sent."""
        self._exchange = exchange
        self._attempt_runner = attempt_runner
        self.tokens = 0
        self.text: list[str] = []

    def receive_tokens(
        self, events: bytes, text: str, tokens: int
    ) -> Awaitable[None] | None:
        """Send events to the caller immediately."""
        exchange = self._exchange
        if not self.tokens:
            self._attempt_runner.record_first_token(exchange)
            _start_reply(exchange, _EVENT_STREAM)
        self.tokens += tokens
        self.text.append(text)
        exchange.delivered.completion_tokens = self.tokens
        return exchange.reply.write(events)


@dataclass(slots=True)
class ChatDependencies:
    """Collaborators of the chat filter."""

    engine: Engine
    attempt_runner: AttemptRunner
    learning: VersionMonitor
    ratings: RatingClient
    clock: Clock
    limits: EntrySettings


class ChatFilter:
    """The last filter of a chat request."""

    __slots__ = ('_cancel_tasks', '_dependencies')

    def __init__(self, dependencies: ChatDependencies) -> None:
        """Start with no cancellation pending."""
        self._dependencies = dependencies
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Run the request; leave the end of the response in ``final_chunk``."""
        started_s = self._dependencies.clock.monotonic_s()
        if exchange.chat.stream:
            await self._stream(exchange)
        elif exchange.decision.mode == CASCADE:
            await self._cascade(exchange)
        else:
            response = await self._fetch_response(
                exchange, exchange.decision.version
            )
            self._prepare_reply(exchange, response)
        self._record_facts(exchange, started_s)

    async def _stream(self, exchange: Exchange) -> None:
        version = exchange.decision.version
        exchange.delivered.version = version
        exchange.delivered.prompt_tokens = exchange.chat.prompt_tokens
        relay = StreamRelay(exchange, self._dependencies.attempt_runner)

        async def call(upstream: UpstreamView) -> StreamEnd:
            engine_call = self._make_call(
                exchange, upstream, version, relay.tokens
            )
            with self._cancel_on_failure(engine_call):
                return await self._dependencies.engine.stream_chat(
                    engine_call, relay
                )

        end = await self._run_attempts(exchange, version, call)
        _start_reply(exchange, _EVENT_STREAM)
        exchange.final_chunk = end.final_chunk
        # After a resumption the final text covers the last attempt only.
        relayed_text = ''.join(relay.text)
        text = (
            end.text
            if end.text.startswith(relayed_text)
            else relayed_text + end.text
        )
        self._record_delivery(exchange, version, text, end.usage)

    async def _cascade(self, exchange: Exchange) -> None:
        """Run the cheap version first and escalate a poor draft."""
        decision = exchange.decision
        draft = await self._fetch_response(exchange, decision.version)
        score = await self._dependencies.ratings.score(
            exchange, decision.version, draft.text, _RATING_TIMEOUT_S
        )
        time_left_s = (
            exchange.deadline_s - self._dependencies.clock.monotonic_s()
        )
        escalation_s = self._escalation_latency_s(exchange)
        response = draft
        if should_escalate(score, DEFAULT_SCORER, escalation_s, time_left_s):
            response = await self._escalate(exchange, draft)
        self._prepare_reply(exchange, response)

    async def _escalate(
        self, exchange: Exchange, draft: CompleteResponse
    ) -> CompleteResponse:
        """Return the strong version's response, or the draft if it fails."""
        draft_delivered = exchange.delivered
        exchange.delivered = DeliveryRecord(
            internal_cost_micros=draft_delivered.internal_cost_micros,
            attempts=draft_delivered.attempts,
            ran=draft_delivered.ran,
        )
        try:
            return await self._fetch_response(
                exchange, exchange.decision.escalate_to
            )
        except RequestError:
            exchange.delivered = draft_delivered
            return draft

    async def _fetch_response(
        self, exchange: Exchange, version: str
    ) -> CompleteResponse:
        async def call(upstream: UpstreamView) -> CompleteResponse:
            engine_call = self._make_call(exchange, upstream, version, 0)
            with self._cancel_on_failure(engine_call):
                return await self._dependencies.engine.chat(engine_call)

        response = await self._run_attempts(exchange, version, call)
        self._record_delivery(exchange, version, response.text, response.usage)
        return response

    async def _run_attempts(self, exchange: Exchange, version: str, call):
        chat = exchange.chat
        state = AttemptState(
            version=version,
            prompt_tokens=chat.prompt_tokens,
            expected_tokens=chat.expected_tokens,
            is_idempotent=True,
        )
        self._dependencies.learning.guard.record_sent(version)
        try:
            return await self._dependencies.attempt_runner.run(
                exchange, state, call
            )
        finally:
            for _ in range(state.version_errors):
                self._dependencies.learning.record_error(version)

    def _make_call(
        self,
        exchange: Exchange,
        upstream: UpstreamView,
        version: str,
        resume_from_token: int,
    ) -> EngineCall:
        limits = self._dependencies.limits
        return EngineCall(
            url=upstream.url,
            request_id=exchange.request_id,
            version=version,
            account=exchange.account.name,
            priority=exchange.priority,
            body=exchange.chat.body,
            connect_timeout_s=limits.connect_timeout_s,
            first_byte_timeout_s=limits.first_byte_timeout_s,
            idle_timeout_s=limits.idle_chunk_timeout_s,
            resume_from_token=resume_from_token,
        )

    @contextmanager
    def _cancel_on_failure(self, call: EngineCall) -> Iterator[None]:
        """Cancel the run on the engine when its call fails.

        Closing the connection alone is not enough: an intermediary that has
        lost track of the connection does not pass the close on.
        """
        try:
            yield
        except (
            ResponseTimeoutError,
            InvalidResponseError,
            asyncio.CancelledError,
        ):
            task = asyncio.create_task(self._cancel(call))
            self._cancel_tasks.add(task)
            task.add_done_callback(self._cancel_tasks.discard)
            raise

    async def _cancel(self, call: EngineCall) -> None:
        with suppress(UpstreamError):
            await self._dependencies.engine.cancel(call.url, call.request_id)

    def _prepare_reply(
        self, exchange: Exchange, response: CompleteResponse
    ) -> None:
        exchange.delivered.text = response.text
        _start_reply(exchange, _JSON)
        exchange.final_chunk = response.body

    def _record_delivery(
        self, exchange: Exchange, version: str, text: str, usage: EngineUsage
    ) -> None:
        delivered = exchange.delivered
        delivered.version = version
        delivered.text = text
        delivered.prompt_tokens = usage.prompt_tokens
        delivered.completion_tokens = usage.completion_tokens
        view = exchange.view.versions.get(version)
        price = view.cost_micros_per_token if view else 0.0
        tokens = usage.prompt_tokens + usage.completion_tokens
        delivered.internal_cost_micros += tokens * price
        delivered.ran = Ran.YES

    def _escalation_latency_s(self, exchange: Exchange) -> float:
        strong = exchange.view.versions[exchange.decision.escalate_to]
        candidate = self._dependencies.learning.candidates([strong])[0]
        decode_s = exchange.chat.expected_tokens / candidate.tokens_per_s
        return candidate.first_token_s + decode_s

    def _record_facts(self, exchange: Exchange, started_s: float) -> None:
        now_s = self._dependencies.clock.monotonic_s()
        delivered = exchange.delivered
        facts = ResponseSummary(
            account=exchange.account.name,
            version=delivered.version,
            task=exchange.chat.task,
            length_class=exchange.chat.length_class,
            expected_quality=exchange.decision.expected_quality,
            first_token_s=_first_token_s(delivered, started_s),
            tokens_per_s=delivered.completion_tokens
            / max(now_s - started_s, _MIN_DURATION_S),
        )
        self._dependencies.learning.record_response(facts)
        self._dependencies.ratings.rate_in_background(exchange, facts)


def _first_token_s(delivered: DeliveryRecord, started_s: float) -> float | None:
    """Return the time to first token, None for an unstreamed response."""
    if not delivered.first_token_s:
        return None
    return max(0.0, delivered.first_token_s - started_s)


def _start_reply(exchange: Exchange, content_type: str) -> None:
    if not exchange.reply.started:
        version = exchange.delivered.version
        exchange.reply.set_header(_VERSION_HEADER, version)
        exchange.reply.start(_OK, content_type)
