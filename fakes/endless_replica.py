"""A replica that sends bytes which are no answer, until the caller closes.

replica = EndlessReplica('header_value')
await replica.start()
"""

import asyncio

_FILLER = b'x' * 65_536
_HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n'
    b'Content-Type: %s\r\n%s\r\n'
)
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_PLAIN = b'text/plain'
_EVENTS = b'text/event-stream'
_FIRST_EVENT = b'id: 1\ndata: one\n\n'


def _chunk(content: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(content), content)


# What comes once, and what comes again and again.
FORMS = {
    'status_line': (b'HTTP/1.1 200 ', _FILLER),
    'header_name': (b'HTTP/1.1 200 OK\r\n', _FILLER),
    'header_value': (b'HTTP/1.1 200 OK\r\nX-Long: ', _FILLER),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'X-One: 1\r\n' * 4096),
    'interim': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 1024),
    'chunk_extension': (_HEAD % (_PLAIN, _CHUNKED) + b'5;x=', _FILLER),
    'trailers': (
        _HEAD % (_PLAIN, _CHUNKED) + b'0\r\n',
        b'X-One: 1\r\n' * 4096,
    ),
    'body': (_HEAD % (_PLAIN, b''), _FILLER),
    'beyond_length': (_HEAD % (_PLAIN, b'Content-Length: 1\r\n'), _FILLER),
    'event': (
        _HEAD % (_EVENTS, _CHUNKED) + _chunk(_FIRST_EVENT),
        _chunk(b'data: ' + _FILLER),
    ),
    'first_event': (_HEAD % (_EVENTS, _CHUNKED), _chunk(_FILLER)),
}


class EndlessReplica:
    """Sends one of the forms to each connection."""

    def __init__(self, form: str, service: str = 'desk') -> None:
        """Prepare; `start` listens."""
        self.name = 'endless'
        self.service = service
        self.host = '127.0.0.1'
        self.zone = 'a'
        self.software = 'v1'
        self.slots = 100
        self.state = 'ready'
        self.port = 0
        self.open_connections = 0
        self.connections = 0
        self._once, self._again = FORMS[form]
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Take no more connections."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.open_connections += 1
        self.connections += 1
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self._once)
            while True:
                writer.write(self._again)
                await writer.drain()
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()
        finally:
            self.open_connections -= 1
