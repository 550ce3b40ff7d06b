"""Adapter to model engines that speak the OpenAI form.

The request id travels in ``X-Request-Id`` and must come back in each event:
an event of another request breaks the answer instead of reaching the caller.
The closing part of a stream (finish reason, usage, end marker) is kept back
and returned, so that it can wait for the bill.
"""

from collections.abc import Awaitable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol

import orjson
from tornado.httputil import HTTPHeaders

from snipebridge.upstreams.client import (
    ResponseSink,
    UpstreamCall,
    UpstreamClient,
    UpstreamResponse,
)
from snipebridge.upstreams.errors import InvalidResponseError, StatusError

_OK = 200
_EVENT_END = b'\n\n'
_DATA_PREFIX = b'data:'
_DONE = b'[DONE]'
_EVENT_LIMIT_BYTES = 1_048_576
_ERROR_BODY_LIMIT_BYTES = 65_536
_PROBE_TIMEOUT_S = 2.0
_REQUEST_ID_HEADER = 'X-Request-Id'


@dataclass(slots=True)
class EngineCall:
    """One run on an engine."""

    url: str
    request_id: str
    version: str
    account: str
    priority: int
    body: Mapping[str, Any]
    connect_timeout_s: float
    first_byte_timeout_s: float
    idle_timeout_s: float
    resume_from_token: int = 0


@dataclass(slots=True)
class EngineUsage:
    """Tokens of a run as the engine counted them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


@dataclass(slots=True)
class StreamEnd:
    """The closing part of a stream, not relayed yet."""

    final_chunk: bytes
    text: str
    usage: EngineUsage


@dataclass(slots=True)
class CompleteResponse:
    """A whole answer and its text."""

    body: bytes
    text: str
    usage: EngineUsage


@dataclass(slots=True)
class EngineLoad:
    """What an engine reports of its load, `age_s` late."""

    running: int
    waiting: int
    slots: int
    age_s: float
    state: str


@dataclass(slots=True)
class EngineCacheEvent:
    """A prefix that was stored or evicted."""

    sequence: int
    kind: str
    prefix: str


@dataclass(slots=True)
class EngineCacheEvents:
    """Events after a sequence number; numbers may be missing."""

    events: list[EngineCacheEvent] = field(default_factory=list)
    last_sequence: int = 0


@dataclass(slots=True)
class EngineOrder:
    """An order with the fencing number of the leadership that gave it."""

    order_id: str
    kind: str
    version: str
    fencing_number: int


class TokenListener(Protocol):
    """Takes the parts of a stream that may go to the caller at once."""

    def receive_tokens(
        self, events: bytes, text: str, tokens: int
    ) -> Awaitable[None] | None:
        """Take events with their text and the count of their tokens."""


class Engine(Protocol):
    """A model engine."""

    async def stream_chat(
        self, call: EngineCall, listener: TokenListener
    ) -> StreamEnd:
        """Run a request and relay its tokens; return the closing part."""

    async def chat(self, call: EngineCall) -> CompleteResponse:
        """Run a request and return the whole answer."""

    async def cancel(self, url: str, request_id: str) -> None:
        """Tell the engine that nobody waits for a run any more."""

    async def load(self, url: str) -> EngineLoad:
        """Return the engine's load report."""

    async def cache_events(self, url: str, after: int) -> EngineCacheEvents:
        """Return the cache events after a sequence number."""

    async def order(self, url: str, order: EngineOrder) -> bool:
        """Give an order; False when its fencing number is too old."""

    async def loaded_versions(self, url: str) -> frozenset[str]:
        """Read back which versions are loaded."""


class HttpEngine:
    """An engine over HTTP."""

    __slots__ = ('_client',)

    def __init__(self, client: UpstreamClient) -> None:
        """Keep the client that makes the calls."""
        self._client = client

    async def stream_chat(
        self, call: EngineCall, listener: TokenListener
    ) -> StreamEnd:
        """Run a request and relay its tokens; return the closing part."""
        sink = _StreamSink(call.request_id, listener)
        await self._client.stream(_chat_call(call, stream=True), sink)
        return sink.close()

    async def chat(self, call: EngineCall) -> CompleteResponse:
        """Run a request and return the whole answer."""
        answer = await self._client.fetch(_chat_call(call, stream=False))
        _check_head(answer.status, answer.headers, call.request_id)
        _check_status(answer)
        return _read_whole(answer.body, call.request_id)

    async def cancel(self, url: str, request_id: str) -> None:
        """Tell the engine that nobody waits for a run any more."""
        await self._post(f'{url}/v1/cancel', {'request_id': request_id})

    async def load(self, url: str) -> EngineLoad:
        """Return the engine's load report."""
        report = await self._get(f'{url}/load')
        with _checked_fields():
            return EngineLoad(
                running=int(report['running']),
                waiting=int(report['waiting']),
                slots=int(report['slots']),
                age_s=float(report.get('age_s', 0)),
                state=str(report.get('state', 'live')),
            )

    async def cache_events(self, url: str, after: int) -> EngineCacheEvents:
        """Return the cache events after a sequence number."""
        page = await self._get(f'{url}/cache_events?after={after}')
        with _checked_fields():
            events = [
                EngineCacheEvent(
                    int(event['sequence']), event['kind'], event['prefix']
                )
                for event in page['events']
            ]
            return EngineCacheEvents(events, int(page['last_sequence']))

    async def order(self, url: str, order: EngineOrder) -> bool:
        """Give an order; False when its fencing number is too old."""
        fields = {
            'order_id': order.order_id,
            'kind': order.kind,
            'version': order.version,
            'fencing_number': order.fencing_number,
        }
        answer = await self._post(f'{url}/orders', fields)
        if answer.status == HTTPStatus.CONFLICT:
            return False
        _check_status(answer)
        return True

    async def loaded_versions(self, url: str) -> frozenset[str]:
        """Read back which versions are loaded."""
        state = await self._get(f'{url}/orders')
        with _checked_fields():
            return frozenset(state['loaded'])

    async def _get(self, url: str) -> Any:
        answer = await self._client.fetch(_probe(url, 'GET'))
        _check_status(answer)
        try:
            return orjson.loads(answer.body)
        except ValueError as error:
            raise InvalidResponseError('the answer is not JSON') from error

    async def _post(self, url: str, fields: Mapping[str, Any]):
        call = _probe(url, 'POST', orjson.dumps(fields))
        return await self._client.fetch(call)


def make_engine(client: UpstreamClient) -> Engine:
    """Return the adapter for engines over HTTP."""
    return HttpEngine(client)


class _StreamSink(ResponseSink):
    """Splits the stream into events and checks each."""

    def __init__(self, request_id: str, listener: TokenListener) -> None:
        self._request_id = request_id
        self._listener = listener
        self._status = 0
        self._headers = HTTPHeaders()
        self._rest = b''
        self._ending: list[bytes] = []
        self._texts: list[str] = []
        self._ending_texts: list[str] = []
        self._usage = EngineUsage()
        self._finished = False
        self._done = False
        self._error_body = b''

    def receive_head(self, status: int, headers: HTTPHeaders) -> None:
        """Note the head; a body of an error is kept for the message."""
        self._status = status
        self._headers = headers

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Relay the whole events in what has arrived."""
        if self._status != _OK:
            if len(self._error_body) < _ERROR_BODY_LIMIT_BYTES:
                self._error_body += chunk
            return None
        _check_head(self._status, self._headers, self._request_id)
        block, end, rest = (self._rest + chunk).rpartition(_EVENT_END)
        self._rest = rest
        if len(rest) > _EVENT_LIMIT_BYTES:
            raise InvalidResponseError('an event is too long')
        if not end:
            return None
        return self._relay(block)

    def close(self) -> StreamEnd:
        """Return the closing part; raises when the stream was not whole."""
        if self._status != _OK:
            raise StatusError(
                self._status, self._error_body, _retry_after_s(self._headers)
            )
        if not self._done or not self._finished:
            raise InvalidResponseError('the stream has no end marker')
        final_chunk = b''.join(self._ending)
        text = ''.join(self._texts + self._ending_texts)
        return StreamEnd(final_chunk, text, self._usage)

    def _relay(self, block: bytes) -> Awaitable[None] | None:
        open_events = []
        text = ''
        tokens = 0
        for event in block.split(_EVENT_END):
            piece = self._read_event(event)
            if piece is None:
                continue
            open_events.append(event)
            text += piece
            tokens += 1
        if not open_events:
            return None
        self._texts.append(text)
        relayed = _EVENT_END.join(open_events) + _EVENT_END
        return self._listener.receive_tokens(relayed, text, tokens)

    def _read_event(self, event: bytes) -> str | None:
        """Return the text of an event to relay, None for one kept back."""
        if not event.startswith(_DATA_PREFIX):
            return None
        payload = event[len(_DATA_PREFIX) :].strip()
        if payload == _DONE:
            self._done = True
            self._ending.append(event + _EVENT_END)
            return None
        chunk = _load(payload)
        if chunk.get('id') != self._request_id:
            raise InvalidResponseError('an event belongs to another request')
        self._note_usage(chunk)
        choices = chunk.get('choices') or [{}]
        text = choices[0].get('delta', {}).get('content') or ''
        if self._finished or choices[0].get('finish_reason'):
            self._finished = True
            self._ending_texts.append(text)
            self._ending.append(event + _EVENT_END)
            return None
        return text

    def _note_usage(self, chunk: Mapping[str, Any]) -> None:
        if chunk.get('usage'):
            self._usage = _read_usage(chunk['usage'])


def _chat_call(call: EngineCall, *, stream: bool) -> UpstreamCall:
    body = {**call.body, 'model': call.version, 'stream': stream}
    if stream:
        body['stream_options'] = {'include_usage': True}
    if call.resume_from_token:
        body['resume_from_token'] = call.resume_from_token
    return UpstreamCall(
        url=f'{call.url}/v1/chat/completions',
        method='POST',
        headers={
            'Content-Type': 'application/json',
            _REQUEST_ID_HEADER: call.request_id,
            'X-Priority': str(call.priority),
            'X-Account': call.account,
        },
        body=orjson.dumps(body),
        connect_timeout_s=call.connect_timeout_s,
        first_byte_timeout_s=call.first_byte_timeout_s,
        idle_timeout_s=call.idle_timeout_s,
    )


def _probe(url: str, method: str, body: bytes = b'') -> UpstreamCall:
    return UpstreamCall(
        url=url,
        method=method,
        headers={'Content-Type': 'application/json'} if body else {},
        body=body,
        connect_timeout_s=_PROBE_TIMEOUT_S,
        first_byte_timeout_s=_PROBE_TIMEOUT_S,
        idle_timeout_s=_PROBE_TIMEOUT_S,
    )


def _check_head(status: int, headers: HTTPHeaders, request_id: str) -> None:
    echoed = headers.get(_REQUEST_ID_HEADER, request_id)
    if status == _OK and echoed != request_id:
        raise InvalidResponseError('the answer belongs to another request')


def _check_status(answer: UpstreamResponse) -> None:
    if answer.status != _OK:
        raise StatusError(
            answer.status, answer.body, _retry_after_s(answer.headers)
        )


def _retry_after_s(headers: HTTPHeaders) -> float:
    try:
        return float(headers.get('Retry-After', '0'))
    except ValueError:
        return 0.0


@contextmanager
def _checked_fields() -> Iterator[None]:
    """Turn what a malformed answer raises into an error of this layer."""
    try:
        yield
    except (LookupError, TypeError, ValueError) as error:
        raise InvalidResponseError('the answer lacks a field') from error


def _load(payload: bytes) -> Any:
    try:
        return orjson.loads(payload)
    except ValueError as error:
        raise InvalidResponseError('an event is not JSON') from error


def _read_usage(usage: Mapping[str, Any]) -> EngineUsage:
    return EngineUsage(
        prompt_tokens=int(usage.get('prompt_tokens', 0)),
        completion_tokens=int(usage.get('completion_tokens', 0)),
    )


def _read_whole(body: bytes, request_id: str) -> CompleteResponse:
    document = _load(body)
    with _checked_fields():
        choice = document['choices'][0]
        text = choice['message']['content'] or ''
        usage = _read_usage(document['usage'])
    if document.get('id') != request_id:
        raise InvalidResponseError('the answer belongs to another request')
    if not choice.get('finish_reason'):
        raise InvalidResponseError('the answer has no finish reason')
    return CompleteResponse(body, text, usage)
