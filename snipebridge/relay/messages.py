"""Routed requests and response heads, with their decoded headers."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from http import HTTPStatus

from snipebridge.settings.models import HeaderSettings
from snipebridge.upstreams.heads import encode_name, write_head

_MS_PER_S = 1000
_LAST_EVENT_ID = 'last-event-id'
_DIGEST_BYTES = 16
# Above every valid number in a header.
_NUMBER_LIMIT = 1_000_000_000
# Running and waiting requests, and slots; a pace may follow.
_LOAD_FIGURES = 3
# Hop-by-hop headers (RFC 9110, 7.6.1), and the length, which is set anew.
_CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

Headers = list[tuple[str, str]]


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that several requests may share."""

    identity: str
    tokens: int


@dataclass(slots=True)
class RelayRequest:
    """One request of a caller with decoded headers; the rest is unchanged."""

    method: str
    target: str
    path: str
    host: str
    headers: Headers
    body: bytes
    received_s: float
    attempt_id: str = ''
    key: str = ''
    session: str = ''
    model: str = ''
    # How long the caller waits; 0 if it does not say.
    caller_timeout_s: float = 0.0
    prompt_tokens: int = 0
    output_limit_tokens: int = 0
    # The caller's estimate: correct at the median, often far off.
    expected_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: str = ''
    # Collision-resistant digest of method, target and body.
    content_digest: bytes = b''

    def digest_for(self, account: str) -> str:
        """Return what requests of one account with the same content share.

        >>> request = HeaderCodec(HeaderSettings()).read_request(
        ...     'GET', '/a', [('Snipebridge-Attempt-Id', '1')], b'', 0.0
        ... )
        >>> request.digest_for('x') == request.digest_for('y')
        False
        """
        content = account.encode() + b'\0' + self.content_digest
        return blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have too: all but the last."""
        return self.prompt_parts[:-1]


@dataclass(slots=True)
class Dispatch:
    """What the system adds to a request for the replica."""

    replica: str
    account: str
    remaining_s: float
    model: str = ''
    priority: int | None = None
    last_event_id: str = ''


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What a replica says of its load with an answer."""

    running: int
    waiting: int
    slots: int
    # How long work takes there now, 100 as usual; 0 if it is not stated.
    pace_percent: int = 0


@dataclass(slots=True, frozen=True)
class RateSign:
    """What an answer says of the rate limit of its replica."""

    # Whether the replica names a limit; an answer without ends it.
    is_named: bool = False
    # Requests a second of all entries together; none if it can't be read.
    per_s: float | None = None


@dataclass(slots=True)
class ResponseHead:
    """Status and decoded headers of a replica's response."""

    status: int
    headers: Headers
    attempt_id: str = ''
    is_signed: bool = False
    # The replica states that it did not run the request.
    did_not_run: bool = False
    # Another replica responded at the address.
    is_misdirected: bool = False
    # Confidence of the model in its answer, 0 to 100; none if not stated.
    confidence: float | None = None
    load: LoadReport | None = None
    rate_sign: RateSign = RateSign()
    # The replica falls over if it has to reject too much.
    is_brittle: bool = False
    # Whether it names a time without requests, and the seconds if readable.
    has_back_off: bool = False
    back_off_s: float | None = None
    # The replica is about to stop.
    is_leaving: bool = False
    is_stream: bool = False
    is_encoded: bool = False


@dataclass(slots=True)
class _HeaderNames:
    """Configured header names, and those removed from requests."""

    settings: HeaderSettings
    stripped: frozenset[str] = field(init=False)

    def __post_init__(self) -> None:
        names = self.settings
        set_by_system = (
            names.key,
            names.account,
            names.replica,
            names.priority,
            names.deadline_ms,
            *names.reserved,
        )
        self.stripped = frozenset(name.lower() for name in set_by_system)


class HeaderCodec:
    """Decodes headers of requests and responses, and encodes dispatches.

    >>> codec = HeaderCodec(HeaderSettings())
    >>> request = codec.read_request(
    ...     'GET', '/a?b', [('Host', 'x:80'), ('Snipebridge-Key', 'k')], b'', 0.0
    ... )
    >>> request.host, request.path, request.key
    ('x', '/a', 'k')
    """

    __slots__ = ('_names',)

    def __init__(self, settings: HeaderSettings) -> None:
        """Use the header names of the settings."""
        self._names = _HeaderNames(settings)

    def read_request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        received_s: float,
    ) -> RelayRequest:
        """Return a request with its decoded headers."""
        fields = {name.lower(): text for name, text in headers}
        names = self._names.settings
        prompt_tokens, output_limit = _read_pair(fields, names.tokens)
        return RelayRequest(
            method=method,
            target=target,
            path=_path(target),
            host=fields.get('host', '').partition(':')[0].lower(),
            headers=headers,
            body=body,
            received_s=received_s,
            attempt_id=fields.get(names.attempt_id.lower(), ''),
            key=fields.get(names.key.lower(), ''),
            session=fields.get(names.session.lower(), ''),
            model=fields.get(names.model.lower(), ''),
            caller_timeout_s=_read_number(fields, names.deadline_ms)
            / _MS_PER_S,
            prompt_tokens=prompt_tokens,
            output_limit_tokens=output_limit,
            expected_tokens=int(_read_number(fields, names.length_hint)),
            prompt_parts=_read_parts(
                fields.get(names.prompt_parts.lower(), '')
            ),
            last_event_id=fields.get(_LAST_EVENT_ID, ''),
            content_digest=_digest(method, target, body),
        )

    def render(self, request: RelayRequest, dispatch: Dispatch) -> bytes:
        """Return the bytes of the request to send to a replica.

        Raises `InvalidHeadError` if they would not be one request.
        """
        fields = self._forwarded_headers(request, dispatch)
        if request.body or request.method in {'POST', 'PUT', 'PATCH'}:
            fields.append(('Content-Length', str(len(request.body))))
        request_line = f'{request.method} {request.target} HTTP/1.1'
        return write_head(request_line, fields) + request.body

    def read_head(self, status: int, headers: Headers) -> ResponseHead:
        """Return the head of a response with its decoded headers."""
        fields = {name.lower(): text for name, text in headers}
        names = self._names.settings
        content_type = fields.get('content-type', '')
        confidence = fields.get(names.confidence.lower(), '')
        return ResponseHead(
            status=status,
            headers=headers,
            attempt_id=fields.get(names.attempt_id.lower(), ''),
            is_signed=names.signature.lower() in fields,
            did_not_run=names.not_run.lower() in fields
            or status == HTTPStatus.MISDIRECTED_REQUEST,
            is_misdirected=status == HTTPStatus.MISDIRECTED_REQUEST,
            confidence=_number_or_none(confidence),
            load=_read_load(fields.get(names.load.lower(), '')),
            rate_sign=_read_rate_sign(fields.get(names.rate_limit.lower())),
            is_brittle=names.rejection_limit.lower() in fields,
            has_back_off='retry-after' in fields,
            back_off_s=_read_seconds(fields.get('retry-after', '')),
            is_leaving=fields.get(names.leaving.lower(), '').strip() == '1',
            is_stream=content_type.startswith('text/event-stream'),
            is_encoded='content-encoding' in fields,
        )

    def _forwarded_headers(
        self, request: RelayRequest, dispatch: Dispatch
    ) -> Headers:
        names = self._names.settings
        replaced = set(self._names.stripped)
        if dispatch.model:
            replaced.add(names.model.lower())
        if dispatch.last_event_id:
            replaced.add(_LAST_EVENT_ID)
        forwarded = [
            (name, text)
            for name, text in end_to_end_headers(request.headers)
            if name.lower() not in replaced
        ]
        remaining_ms = max(1, int(dispatch.remaining_s * _MS_PER_S))
        forwarded.append((names.deadline_ms, str(remaining_ms)))
        forwarded.append((names.replica, encode_name(dispatch.replica)))
        if dispatch.account:
            forwarded.append((names.account, encode_name(dispatch.account)))
        if dispatch.model:
            forwarded.append((names.model, encode_name(dispatch.model)))
        if dispatch.priority is not None:
            forwarded.append((names.priority, str(dispatch.priority)))
        if dispatch.last_event_id:
            forwarded.append(('Last-Event-Id', dispatch.last_event_id))
        return forwarded


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the end-to-end headers, without the hop-by-hop ones.

    >>> end_to_end_headers([('Connection', 'X-A'), ('X-A', '1'), ('X-B', '2')])
    [('X-B', '2')]
    """
    listed = list(headers)
    stripped = set(_CONNECTION_HEADERS)
    for name, text in listed:
        if name.lower() == 'connection':
            stripped.update(part.strip().lower() for part in text.split(','))
    return [pair for pair in listed if pair[0].lower() not in stripped]


def _digest(method: str, target: str, body: bytes) -> bytes:
    # Neither a method nor a target holds a space.
    digest = blake2b(f'{method} {target} '.encode(), digest_size=_DIGEST_BYTES)
    digest.update(body)
    return digest.digest()


def _path(target: str) -> str:
    path = target.partition('?')[0]
    if path.startswith('/'):
        return path
    # The absolute form, which a server must accept too (RFC 9112, 3.2.2).
    _, _, rest = path.partition('://')
    return f'/{rest.partition("/")[2]}'


def _number_or_none(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _read_seconds(text: str) -> float | None:
    """Return a time in seconds, none for a date or anything else."""
    seconds = _number_or_none(text)
    # Comparisons with NaN are false.
    if seconds is None or not seconds >= 0:
        return None
    return seconds


def _read_rate_sign(text: str | None) -> RateSign:
    if text is None:
        return RateSign()
    per_s = _number_or_none(text)
    # Comparisons with NaN are false.
    is_valid = per_s is not None and 0 <= per_s < _NUMBER_LIMIT
    return RateSign(is_named=True, per_s=per_s if is_valid else None)


def _read_number(fields: dict[str, str], name: str) -> float:
    number = _number_or_none(fields.get(name.lower(), ''))
    # Comparisons with NaN are false.
    if number is None or not 0 < number < _NUMBER_LIMIT:
        return 0.0
    return number


def _read_pair(fields: dict[str, str], name: str) -> tuple[int, int]:
    first, _, second = fields.get(name.lower(), '').partition(',')
    both = {'first': first, 'second': second}
    return int(_read_number(both, 'first')), int(_read_number(both, 'second'))


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(','):
        identity, _, tokens = entry.strip().partition(':')
        if identity and tokens.isdecimal():
            parts.append(PromptPart(identity, int(tokens)))
    return tuple(parts)


def _read_load(text: str) -> LoadReport | None:
    numbers = [part.strip() for part in text.split(',')]
    stated = numbers[:_LOAD_FIGURES]
    is_whole = len(stated) == _LOAD_FIGURES and all(map(str.isdecimal, stated))
    if not is_whole:
        return None
    running, waiting, slots = map(int, stated)
    pace = _number_or_none(numbers[-1]) if len(numbers) > len(stated) else None
    # Comparisons with NaN are false.
    is_valid = pace is not None and 0 < pace < _NUMBER_LIMIT
    return LoadReport(running, waiting, slots, int(pace) if is_valid else 0)
