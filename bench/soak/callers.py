"""Callers of a soak: kept connections, all kinds of request, no mercy.

Each caller has one connection and sends its next request on it until it is
asked to leave or the connection ends, as the clients of the platform do.
"""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Callable

from bench.soak.promises import Call, Record
from fakes.platform_caller import CHAT_HEADERS, read_answer, request_bytes

# Between two requests of one caller, on average.
_PAUSE_S = 0.08
# Above the time of every route: whoever gets nothing by then goes.
_PATIENCE_S = 8.0
_TIMEOUTS_S = {'look': 2.0, 'book': 1.0, 'chat': 4.0}


class Callers:
    """All callers of a run."""

    def __init__(
        self,
        record: Record,
        hosts: Callable[[], list[str]],
        key: Callable[[], str],
        port: int,
        seed: int,
    ) -> None:
        """Call at hosts that the balancer uses, under keys as they change."""
        self._record = record
        self._hosts = hosts
        self._key = key
        self._port = port
        self._rng = random.Random(f'callers {seed}')
        self._numbers = itertools.count(1)
        self._begun_s = asyncio.get_running_loop().time()

    @property
    def now_s(self) -> float:
        """Seconds since the run began."""
        return asyncio.get_running_loop().time() - self._begun_s

    async def run(self, count: int) -> None:
        """Call until cancelled."""
        await asyncio.gather(*(self._call_on() for _ in range(count)))

    async def _call_on(self) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / _PAUSE_S))
            hosts = self._hosts()
            if hosts:
                with contextlib.suppress(OSError, TimeoutError):
                    await self._use_connection(self._rng.choice(hosts))

    async def _use_connection(self, host: str) -> None:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, self._port)
        try:
            is_kept = True
            while is_kept:
                is_kept = await self._call(host, reader, writer)
                await asyncio.sleep(self._rng.expovariate(1 / _PAUSE_S))
        finally:
            writer.transport.abort()

    async def _call(self, host: str, reader, writer) -> bool:
        kind = self._rng.choice(('look', 'book', 'chat'))
        call = Call(
            attempt_id=f's{next(self._numbers)}',
            kind=kind,
            key=self._key(),
            entry=host,
            sent_s=self.now_s,
            timeout_s=_TIMEOUTS_S[kind],
        )
        self._record.calls.append(call)
        writer.write(_request(call))
        try:
            async with asyncio.timeout(_PATIENCE_S):
                answer = await read_answer(reader)
        except (OSError, TimeoutError, EOFError) as error:
            call.fault = type(error).__name__
            return False
        except asyncio.CancelledError:
            call.is_cut_off = True
            raise
        finally:
            call.ended_s = self.now_s
        call.status = answer.status
        call.is_whole = answer.is_whole
        call.body = answer.body
        call.named = answer.headers.get('x-attempt-id', '')
        call.signature = answer.headers.get('x-response-signature', '')
        closes = answer.headers.get('connection', '').lower() == 'close'
        return answer.is_whole and not closes


def _request(call: Call) -> bytes:
    headers = {
        'X-Attempt-Id': call.attempt_id,
        'X-Key': call.key,
        'X-Deadline-Ms': str(int(call.timeout_s * 1000)),
    }
    if call.kind == 'chat':
        headers |= CHAT_HEADERS
    method = 'GET' if call.kind == 'look' else 'POST'
    body = b'' if call.kind == 'look' else b'please'
    return request_bytes(f'/{call.kind}/x', method, body, headers)
