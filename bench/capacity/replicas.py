"""One process that stands for many replicas which only report.

    python -m bench.capacity.replicas --replicas=690

Each replica has a loopback address of its own and one common port. It answers
`GET /load` and `GET /cache_events`, one request a connection. `GET /count`
tells how many requests all of them answered. It prints one JSON line when it
listens.
"""

import asyncio
import json
import os
import sys

from absl import app, flags

_REPLICAS = flags.DEFINE_integer('replicas', 10, 'Replicas to stand for.')
_PORT = flags.DEFINE_integer('port', 0, 'Port on each address.')

_PER_NETWORK = 200
_PARENT_CHECK_INTERVAL_S = 1.0
_BACKLOG = 64
_LOAD = {'running': 2, 'waiting': 0, 'slots': 8, 'age_s': 0.3, 'state': 'live'}
_EVENTS = {'events': [], 'last_sequence': 0}


def replica_host(number: int) -> str:
    """Return the address of a replica, unlike that of any other.

    >>> replica_host(0), replica_host(200)
    ('127.2.0.1', '127.2.1.1')
    """
    network, place = divmod(number, _PER_NETWORK)
    return f'127.2.{network}.{place + 1}'


class Reports:
    """The prepared answers, and how many were given."""

    __slots__ = ('_load', '_events', 'answered')

    def __init__(self) -> None:
        """Render the answers once."""
        self._load = _render(_LOAD)
        self._events = _render(_EVENTS)
        self.answered = 0

    def answer(self, head: bytes) -> bytes:
        """Return the answer to a request."""
        if head.startswith(b'GET /count'):
            return _render({'answered': self.answered})
        self.answered += 1
        return self._load if head.startswith(b'GET /load') else self._events


class ReportProtocol(asyncio.Protocol):
    """Answers one request and closes."""

    __slots__ = ('_received', '_reports', '_transport')

    def __init__(self, reports: Reports) -> None:
        """Keep the answers."""
        self._reports = reports
        self._received = b''
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection."""
        self._transport = transport

    def data_received(self, content: bytes) -> None:
        """Answer when the head is whole."""
        self._received += content
        if b'\r\n\r\n' in self._received:
            self._transport.write(self._reports.answer(self._received))
            self._transport.close()


async def serve(count: int, port: int) -> None:
    """Listen on all addresses until the parent is gone."""
    loop = asyncio.get_running_loop()
    reports = Reports()
    server = await loop.create_server(
        lambda: ReportProtocol(reports),
        [replica_host(number) for number in range(count)],
        port,
        backlog=_BACKLOG,
    )
    print(json.dumps({'kind': 'replicas', 'port': port}), flush=True)
    parent = os.getppid()
    async with server:
        while os.getppid() == parent:
            await asyncio.sleep(_PARENT_CHECK_INTERVAL_S)


def _render(fields: dict) -> bytes:
    body = json.dumps(fields).encode()
    head = (
        'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
    )
    return head.encode() + body


def main(_arguments: list[str]) -> int:
    """Serve."""
    asyncio.run(serve(_REPLICAS.value, _PORT.value))
    return 0


if __name__ == '__main__':
    sys.exit(app.run(main))
