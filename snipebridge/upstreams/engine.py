"""Adapter to model engines with an OpenAI-compatible API.

The request id is sent in ``X-Request-Id`` and must be returned in each event:
an event of another request fails the response instead of reaching the caller.
The end of a stream (finish reason, usage, end marker) is not relayed but
returned, so that the caller can send it after the bill is durable.
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
    make_upstream_client,
)
from snipebridge.upstreams.errors import InvalidResponseError, StatusError

_OK = 200
_EVENT_END = b'\n\n'
_DATA_PREFIX = b'data:'
_DONE = b'[DONE]'
_EVENT_LIMIT_BYTES = 1_048_576
_ERROR_BODY_LIMIT_BYTES = 65_536
_MANAGEMENT_TIMEOUT_S = 2.0
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
    """Token counts of a run as the engine reports them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


@dataclass(slots=True)
class StreamEnd:
    """The end of a stream, which was not relayed, and the full text."""

    final_chunk: bytes
    text: str
    usage: EngineUsage


@dataclass(slots=True)
class CompleteResponse:
    """An unstreamed response and its text."""

    body: bytes
    text: str
    usage: EngineUsage


@dataclass(slots=True)
class EngineLoad:
    """Load report of an engine, `age_s` old."""

    running: int
    waiting: int
    slots: int
    age_s: float
    state: str


@dataclass(slots=True)
class EngineCacheEvent:
    """A prefix that was stored in or evicted from the cache."""

    sequence: int
    kind: str
    prefix: str


@dataclass(slots=True)
class EngineCacheEvents:
    """Cache events after a sequence number; there may be gaps."""

    events: list[EngineCacheEvent] = field(default_factory=list)
    last_sequence: int = 0


@dataclass(slots=True)
class EngineOrder:
    """An order with the fencing number of the leadership that issued it."""

    order_id: str
    kind: str
    version: str
    fencing_number: int


class TokenListener(Protocol):
    """Receives the events of a stream that may be relayed immediately."""

    def receive_tokens(
        self, events: bytes, text: str, tokens: int
    ) -> Awaitable[None] | None:
        """Receive events with their text and token count, one per event."""


class Engine(Protocol):
    """A model engine."""

    async def stream_chat(
        self, call: EngineCall, listener: TokenListener
    ) -> StreamEnd:
        """Run a request and relay its tokens; return the end of the stream."""

    async def chat(self, call: EngineCall) -> CompleteResponse:
        """Run a request and return the complete response."""

    async def cancel(self, url: str, request_id: str) -> None:
        """Cancel a run on the engine."""

    async def load(self, url: str) -> EngineLoad:
        """Return the load report of the engine."""

    async def cache_events(self, url: str, after: int) -> EngineCacheEvents:
        """Return the cache events after a sequence number."""

    async def order(self, url: str, order: EngineOrder) -> bool:
        """Issue an order; False if its fencing number is outdated."""

    async def loaded_versions(self, url: str) -> frozenset[str]:
        """Return the versions that are loaded on the engine."""


class HttpEngine:
    """An engine over HTTP."""

    __slots__ = ('_client',)

    def __init__(self, client: UpstreamClient) -> None:
        """Keep the client that makes the calls."""
        self._client = client

    async def stream_chat(
        self, call: EngineCall, listener: TokenListener
    ) -> StreamEnd:
        """Run a request and relay its tokens; return the end of the stream."""
        sink = _StreamSink(call.request_id, listener)
        await self._client.stream(_chat_call(call, stream=True), sink)
        return sink.close()

    async def chat(self, call: EngineCall) -> CompleteResponse:
        """Run a request and return the complete response."""
        response = await self._client.fetch(_chat_call(call, stream=False))
        _check_request_id(response.status, response.headers, call.request_id)
        _check_status(response)
        return _parse_response(response.body, call.request_id)

    async def cancel(self, url: str, request_id: str) -> None:
        """Cancel a run on the engine."""
        await self._post(f'{url}/v1/cancel', {'request_id': request_id})

    async def load(self, url: str) -> EngineLoad:
        """Return the load report of the engine."""
        report = await self._get(f'{url}/load')
        with _convert_field_errors():
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
        with _convert_field_errors():
            events = [
                EngineCacheEvent(
                    int(event['sequence']), event['kind'], event['prefix']
                )
                for event in page['events']
            ]
            return EngineCacheEvents(events, int(page['last_sequence']))

    async def order(self, url: str, order: EngineOrder) -> bool:
        """Issue an order; False if its fencing number is outdated."""
        fields = {
            'order_id': order.order_id,
            'kind': order.kind,
            'version': order.version,
            'fencing_number': order.fencing_number,
        }
        response = await self._post(f'{url}/orders', fields)
        if response.status == HTTPStatus.CONFLICT:
            return False
        _check_status(response)
        return True

    async def loaded_versions(self, url: str) -> frozenset[str]:
        """Return the versions that are loaded on the engine."""
        state = await self._get(f'{url}/orders')
        with _convert_field_errors():
            return frozenset(state['loaded'])

    async def _get(self, url: str) -> Any:
        response = await self._client.fetch(_management_call(url, 'GET'))
        _check_status(response)
        try:
            return orjson.loads(response.body)
        except ValueError as error:
            raise InvalidResponseError('the response is not JSON') from error

    async def _post(self, url: str, fields: Mapping[str, Any]):
        call = _management_call(url, 'POST', orjson.dumps(fields))
        return await self._client.fetch(call)


def make_engine(client: UpstreamClient | None = None) -> Engine:
    """Return the adapter for engines over HTTP."""
    return HttpEngine(client or make_upstream_client())


class _StreamSink(ResponseSink):
    """Splits the stream into events and validates them."""

    def __init__(self, request_id: str, listener: TokenListener) -> None:
        self._request_id = request_id
        self._listener = listener
        self._status = 0
        self._headers = HTTPHeaders()
        self._buffer = b''
        self._final_events: list[bytes] = []
        self._texts: list[str] = []
        self._final_texts: list[str] = []
        self._usage = EngineUsage()
        self._has_finish_reason = False
        self._has_end_marker = False
        self._error_body = b''

    def receive_head(self, status: int, headers: HTTPHeaders) -> None:
        """Store the head; the body of an error is kept for `StatusError`."""
        self._status = status
        self._headers = headers

    def receive_chunk(self, chunk: bytes) -> Awaitable[None] | None:
        """Relay the complete events received so far."""
        if self._status != _OK:
            if len(self._error_body) < _ERROR_BODY_LIMIT_BYTES:
                self._error_body += chunk
            return None
        _check_request_id(self._status, self._headers, self._request_id)
        block, separator, remainder = (self._buffer + chunk).rpartition(
            _EVENT_END
        )
        self._buffer = remainder
        if len(remainder) > _EVENT_LIMIT_BYTES:
            raise InvalidResponseError('a stream event exceeds the size limit')
        if not separator:
            return None
        return self._relay(block)

    def close(self) -> StreamEnd:
        """Return the end of the stream; raises if the stream is incomplete."""
        if self._status != _OK:
            raise StatusError(
                self._status, self._error_body, _retry_after_s(self._headers)
            )
        if not self._has_end_marker or not self._has_finish_reason:
            raise InvalidResponseError(
                'the stream ended without a finish reason and end marker'
            )
        final_chunk = b''.join(self._final_events)
        text = ''.join(self._texts + self._final_texts)
        return StreamEnd(final_chunk, text, self._usage)

    def _relay(self, block: bytes) -> Awaitable[None] | None:
        relayable_events = []
        text = ''
        tokens = 0
        for event in block.split(_EVENT_END):
            event_text = self._read_event(event)
            if event_text is None:
                continue
            relayable_events.append(event)
            text += event_text
            tokens += 1
        if not relayable_events:
            return None
        self._texts.append(text)
        relayed = _EVENT_END.join(relayable_events) + _EVENT_END
        return self._listener.receive_tokens(relayed, text, tokens)

    def _read_event(self, event: bytes) -> str | None:
        """Return the text of an event to relay, None for any other event."""
        if not event.startswith(_DATA_PREFIX):
            return None
        payload = event[len(_DATA_PREFIX) :].strip()
        if payload == _DONE:
            self._has_end_marker = True
            self._final_events.append(event + _EVENT_END)
            return None
        chunk = _parse_json(payload)
        if chunk.get('id') != self._request_id:
            raise InvalidResponseError(
                'a stream event has the id of another request'
            )
        self._update_usage(chunk)
        choices = chunk.get('choices') or [{}]
        text = choices[0].get('delta', {}).get('content') or ''
        if self._has_finish_reason or choices[0].get('finish_reason'):
            self._has_finish_reason = True
            self._final_texts.append(text)
            self._final_events.append(event + _EVENT_END)
            return None
        return text

    def _update_usage(self, chunk: Mapping[str, Any]) -> None:
        if chunk.get('usage'):
            self._usage = _parse_usage(chunk['usage'])


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


def _management_call(url: str, method: str, body: bytes = b'') -> UpstreamCall:
    return UpstreamCall(
        url=url,
        method=method,
        headers={'Content-Type': 'application/json'} if body else {},
        body=body,
        connect_timeout_s=_MANAGEMENT_TIMEOUT_S,
        first_byte_timeout_s=_MANAGEMENT_TIMEOUT_S,
        idle_timeout_s=_MANAGEMENT_TIMEOUT_S,
    )


def _check_request_id(
    status: int, headers: HTTPHeaders, request_id: str
) -> None:
    echoed_id = headers.get(_REQUEST_ID_HEADER, request_id)
    if status == _OK and echoed_id != request_id:
        raise InvalidResponseError('the response has the id of another request')


def _check_status(response: UpstreamResponse) -> None:
    if response.status != _OK:
        raise StatusError(
            response.status, response.body, _retry_after_s(response.headers)
        )


def _retry_after_s(headers: HTTPHeaders) -> float:
    try:
        return float(headers.get('Retry-After', '0'))
    except ValueError:
        return 0.0


@contextmanager
def _convert_field_errors() -> Iterator[None]:
    """Convert errors of reading fields to `InvalidResponseError`."""
    try:
        yield
    except (LookupError, TypeError, ValueError) as error:
        raise InvalidResponseError(
            'the response lacks a field or has one of a wrong type'
        ) from error


def _parse_json(payload: bytes) -> Any:
    try:
        return orjson.loads(payload)
    except ValueError as error:
        raise InvalidResponseError(
            'the response or an event is not JSON'
        ) from error


def _parse_usage(usage: Mapping[str, Any]) -> EngineUsage:
    return EngineUsage(
        prompt_tokens=int(usage.get('prompt_tokens', 0)),
        completion_tokens=int(usage.get('completion_tokens', 0)),
    )


def _parse_response(body: bytes, request_id: str) -> CompleteResponse:
    document = _parse_json(body)
    with _convert_field_errors():
        choice = document['choices'][0]
        text = choice['message']['content'] or ''
        usage = _parse_usage(document['usage'])
    if document.get('id') != request_id:
        raise InvalidResponseError('the response has the id of another request')
    if not choice.get('finish_reason'):
        raise InvalidResponseError('the response has no finish reason')
    return CompleteResponse(body, text, usage)
