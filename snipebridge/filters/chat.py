"""Runs a chat request on the chosen version and relays its answer."""

import asyncio
from collections.abc import Awaitable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass

from snipebridge.clock import Clock
from snipebridge.controllers.learning import RATER, AnswerFacts, Learning
from snipebridge.controllers.view import UpstreamView
from snipebridge.errors import Ran
from snipebridge.filters.attempts import AttemptState, AttemptRunner
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
# Keeps the pace of an answer that came at once finite.
_SHORTEST_ANSWER_S = 0.001


class StreamRelay:
    """Passes tokens on and remembers how far the caller has got.

    It lives through the attempts of a request, so that a broken stream is
    resumed after the last token that the caller was sent.
    """

    __slots__ = ('_attempts', '_exchange', 'text', 'tokens')

    def __init__(self, exchange: Exchange, attempts: AttemptRunner) -> None:
        """Start with nothing sent."""
        self._exchange = exchange
        self._attempts = attempts
        self.tokens = 0
        self.text: list[str] = []

    def receive_tokens(
        self, events: bytes, text: str, tokens: int
    ) -> Awaitable[None] | None:
        """Send events to the caller at once."""
        exchange = self._exchange
        if not self.tokens:
            self._attempts.record_first_token(exchange)
            _start(exchange, _EVENT_STREAM)
        self.tokens += tokens
        self.text.append(text)
        exchange.delivered.completion_tokens = self.tokens
        return exchange.reply.write(events)


@dataclass(slots=True)
class ChatDependencies:
    """What the chat filter works with."""

    engine: Engine
    attempts: AttemptRunner
    learning: Learning
    ratings: RatingClient
    clock: Clock
    limits: EntrySettings


class ChatFilter:
    """The last filter of a chat request."""

    __slots__ = ('_cancels', '_dependencies')

    def __init__(self, parts: ChatDependencies) -> None:
        """Start with no run to cancel."""
        self._dependencies = parts
        self._cancels: set[asyncio.Task[None]] = set()

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Run the request; its closing part is left in ``ending``."""
        started_s = self._dependencies.clock.monotonic_s()
        if exchange.chat.stream:
            await self._stream(exchange)
        elif exchange.decision.mode == CASCADE:
            await self._cascade(exchange)
        else:
            answer = await self._answer(exchange, exchange.decision.version)
            self._deliver(exchange, answer)
        self._learn(exchange, started_s)

    async def _stream(self, exchange: Exchange) -> None:
        version = exchange.decision.version
        exchange.delivered.version = version
        exchange.delivered.prompt_tokens = exchange.chat.prompt_tokens
        relay = StreamRelay(exchange, self._dependencies.attempts)

        async def call(upstream: UpstreamView) -> StreamEnd:
            engine_call = self._call(exchange, upstream, version, relay.tokens)
            with self._cancelled_on_failure(engine_call):
                return await self._dependencies.engine.stream_chat(
                    engine_call, relay
                )

        end = await self._run(exchange, version, call)
        _start(exchange, _EVENT_STREAM)
        exchange.final_chunk = end.final_chunk
        # A resumed stream carries the text of its last attempt only.
        kept = ''.join(relay.text)
        text = end.text if end.text.startswith(kept) else kept + end.text
        self._note_delivered(exchange, version, text, end.usage)

    async def _cascade(self, exchange: Exchange) -> None:
        """Draft on the cheap version, and escalate a poor draft."""
        decision = exchange.decision
        draft = await self._answer(exchange, decision.version)
        score = await self._dependencies.ratings.score(
            exchange, decision.version, draft.text, _RATING_TIMEOUT_S
        )
        time_left_s = (
            exchange.deadline_s - self._dependencies.clock.monotonic_s()
        )
        strong_s = self._strong_latency_s(exchange)
        answer = draft
        if should_escalate(score, RATER, strong_s, time_left_s):
            answer = await self._escalate(exchange, draft)
        self._deliver(exchange, answer)

    async def _escalate(
        self, exchange: Exchange, draft: CompleteResponse
    ) -> CompleteResponse:
        """Return the strong answer; the draft where there is none."""
        draft_delivered = exchange.delivered
        exchange.delivered = DeliveryRecord(
            internal_cost_micros=draft_delivered.internal_cost_micros,
            attempts=draft_delivered.attempts,
            ran=draft_delivered.ran,
        )
        try:
            return await self._answer(exchange, exchange.decision.escalate_to)
        except RequestError:
            exchange.delivered = draft_delivered
            return draft

    async def _answer(
        self, exchange: Exchange, version: str
    ) -> CompleteResponse:
        async def call(upstream: UpstreamView) -> CompleteResponse:
            engine_call = self._call(exchange, upstream, version, 0)
            with self._cancelled_on_failure(engine_call):
                return await self._dependencies.engine.chat(engine_call)

        answer = await self._run(exchange, version, call)
        self._note_delivered(exchange, version, answer.text, answer.usage)
        return answer

    async def _run(self, exchange: Exchange, version: str, call):
        chat = exchange.chat
        state = AttemptState(
            version=version,
            prompt_tokens=chat.prompt_tokens,
            expected_tokens=chat.expected_tokens,
            is_idempotent=True,
        )
        self._dependencies.learning.guard.note_sent(version)
        try:
            return await self._dependencies.attempts.run(exchange, state, call)
        finally:
            for _ in range(state.version_errors):
                self._dependencies.learning.note_error(version)

    def _call(
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
    def _cancelled_on_failure(self, call: EngineCall) -> Iterator[None]:
        """Tell the engine when nobody waits for a run any more.

        Closing the connection says so too, but not through something on the
        way that has lost track of the connection.
        """
        try:
            yield
        except (
            ResponseTimeoutError,
            InvalidResponseError,
            asyncio.CancelledError,
        ):
            task = asyncio.create_task(self._cancel(call))
            self._cancels.add(task)
            task.add_done_callback(self._cancels.discard)
            raise

    async def _cancel(self, call: EngineCall) -> None:
        with suppress(UpstreamError):
            await self._dependencies.engine.cancel(call.url, call.request_id)

    def _deliver(self, exchange: Exchange, answer: CompleteResponse) -> None:
        exchange.delivered.text = answer.text
        _start(exchange, _JSON)
        exchange.final_chunk = answer.body

    def _note_delivered(
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

    def _strong_latency_s(self, exchange: Exchange) -> float:
        strong = exchange.view.versions[exchange.decision.escalate_to]
        candidate = self._dependencies.learning.candidates([strong])[0]
        decode_s = exchange.chat.expected_tokens / candidate.tokens_per_s
        return candidate.first_token_s + decode_s

    def _learn(self, exchange: Exchange, started_s: float) -> None:
        now_s = self._dependencies.clock.monotonic_s()
        delivered = exchange.delivered
        facts = AnswerFacts(
            account=exchange.account.name,
            version=delivered.version,
            task=exchange.chat.task,
            length_class=exchange.chat.length_class,
            expected_quality=exchange.decision.expected_quality,
            first_token_s=_first_token_s(delivered, started_s),
            tokens_per_s=delivered.completion_tokens
            / max(now_s - started_s, _SHORTEST_ANSWER_S),
        )
        self._dependencies.learning.note_answer(facts)
        self._dependencies.ratings.rate_in_background(exchange, facts)


def _first_token_s(delivered: DeliveryRecord, started_s: float) -> float | None:
    """Return the wait for the first token, None for a whole answer."""
    if not delivered.first_token_s:
        return None
    return max(0.0, delivered.first_token_s - started_s)


def _start(exchange: Exchange, content_type: str) -> None:
    if not exchange.reply.started:
        version = exchange.delivered.version
        exchange.reply.set_header(_VERSION_HEADER, version)
        exchange.reply.start(_OK, content_type)
