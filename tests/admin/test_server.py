"""The operators' HTTP listener."""

import asyncio

from snipebridge.admin.messages import json_response
from snipebridge.admin.server import make_admin_server
from snipebridge.settings.models import ListenerSettings


class SlowApi:
    """Answers when it is told to."""

    def __init__(self):
        """Wait."""
        self.may_answer = asyncio.Event()
        self.is_asked = asyncio.Event()
        self.is_dropped = asyncio.Event()

    async def answer(self, request):
        """Answer once it may."""
        self.is_asked.set()
        try:
            await self.may_answer.wait()
        except asyncio.CancelledError:
            self.is_dropped.set()
            raise
        return json_response({'ok': True})


async def ask(api):
    """Send an order; return the connection and the server."""
    server = make_admin_server(api, None, lambda: True, ListenerSettings())
    server.listen(0, '127.0.0.1')
    port = next(iter(server._sockets.values())).getsockname()[1]
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'POST /admin/v1/x HTTP/1.1\r\nHost: x\r\n\r\n')
    await asyncio.wait_for(api.is_asked.wait(), 5)
    return server, reader, writer


def test_call_is_dropped_when_its_operator_has_left():
    """Guards against an old copy of an order that is carried out later."""

    async def scenario():
        api = SlowApi()
        server, _, writer = await ask(api)
        writer.close()
        await asyncio.wait_for(api.is_dropped.wait(), 5)
        server.stop()

    asyncio.run(scenario())


def test_call_is_answered_when_its_operator_waits():
    """Guards against answers that are dropped."""

    async def scenario():
        api = SlowApi()
        server, reader, writer = await ask(api)
        await asyncio.sleep(0.1)
        api.may_answer.set()
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 5)
        assert head.startswith(b'HTTP/1.1 200 ')
        writer.close()
        server.stop()

    asyncio.run(scenario())
