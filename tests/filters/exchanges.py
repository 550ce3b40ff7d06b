"""Test doubles and exchanges for tests of single filters."""

import orjson

from snipebridge.controllers.view import make_view
from snipebridge.filters.exchange import Exchange, RequestHead
from snipebridge.keys import make_key_hash
from snipebridge.rpc.commands_pb2 import CommandResult

KEY = 'studio-a.secret'

CONFIGURATION = {
    'accounts': {
        'studio-a': {
            'key_hashes': [make_key_hash(KEY, bytes(16))],
            'versions': ['small@1', 'large@1', 'old@1'],
            'services': ['bookings'],
        },
        'closed': {
            'key_hashes': [make_key_hash('closed.secret', bytes(16))],
            'disabled': True,
        },
    },
    'versions': {
        'small@1': {'model': 'small', 'cost_micros_per_token': 10},
        'large@1': {'model': 'large', 'cost_micros_per_token': 100},
        'old@1': {'model': 'old', 'state': 'withdrawn'},
        'other@1': {'model': 'other'},
    },
    'services': {'bookings': {'cost_micros_per_call': 5}},
    'tasks': {'caption': {'priority': 0, 'deadline_ms': 2000}},
    'upstreams': {
        'engine-1': {
            'url': 'http://127.0.0.1:1',
            'versions': ['small@1', 'large@1'],
        },
        'engine-2': {
            'url': 'http://127.0.0.1:2',
            'versions': ['small@1', 'large@1'],
        },
        'bookings-1': {
            'kind': 'service',
            'service': 'bookings',
            'url': 'http://127.0.0.1:3',
        },
        'bookings-2': {
            'kind': 'service',
            'service': 'bookings',
            'url': 'http://127.0.0.1:4',
        },
    },
}


class MemoryReply:
    """Records the reply that a caller would receive."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.started = False
        self.finished = False
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''

    def set_header(self, name: str, value: str) -> None:
        """Keep a header."""
        self.headers[name] = value

    def start(self, status: int, content_type: str) -> None:
        """Keep the status."""
        self.started = True
        self.status = status

    def write(self, chunk: bytes) -> None:
        """Keep a chunk."""
        self.body += chunk

    async def finish(self, chunk: bytes = b'') -> None:
        """Keep the last chunk."""
        self.body += chunk
        self.finished = True


class MemoryRecorder:
    """Records commands immediately, with results set by the test."""

    def __init__(self, *results: CommandResult) -> None:
        """Return the results in turn, then OK."""
        self.results = list(results)
        self.commands = []
        self.timeouts_s: list[float] = []
        self.on_record = None

    async def record(self, command, timeout_s: float) -> CommandResult:
        """Keep the command and return the next result."""
        self.commands.append(command)
        self.timeouts_s.append(timeout_s)
        if self.on_record is not None:
            await self.on_record(command)
        return self.results.pop(0) if self.results else CommandResult()


def make_exchange(view=None, **head) -> Exchange:
    """Return an exchange of an unparsed chat request."""
    view = view or make_view(1, orjson.dumps(CONFIGURATION))
    fields = {
        'method': 'POST',
        'path': '/v1/chat/completions',
        'query': '',
        'headers': {},
        'body': make_body(),
        'received_s': 1000.0,
        'authorization': f'Bearer {KEY}',
        **head,
    }
    exchange = Exchange(
        'r1', RequestHead(**fields), MemoryReply(), view, 'chat'
    )
    exchange.account = view.accounts['studio-a']
    exchange.deadline_s = 1060.0
    return exchange


def make_body(model: str = 'auto', **fields) -> bytes:
    """Return the body of a chat request."""
    messages = [{'role': 'user', 'content': 'A prayer, please.'}]
    return orjson.dumps({'model': model, 'messages': messages, **fields})


async def proceed_noop() -> None:
    """Replace the rest of the chain."""
