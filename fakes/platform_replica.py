"""A replica of the users' platform, by its published protocol.

It serves plain answers and streams of events under the headers of that
platform, and misbehaves as a test asks: it refuses, fails, loses or spoils
answers, breaks streams off, answers twice, or falls silent.

    replica = PlatformReplica('r1', 'models', '127.0.0.1')
    await replica.start()
    replica.faults.breaks_after_events = 2
"""

import asyncio
import random
import socket
import struct
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

import httptools

_NEVER_S = 3600.0
# Closing a socket with this option resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)

_LAST_CHUNK = b'0\r\n\r\n'

# How a stream that breaks off inside an event ends: with an orderly end of its
# connection, a reset, or the last chunk of a body.
BREAK_CLOSE = 'close'
BREAK_RESET = 'reset'
BREAK_LAST_CHUNK = 'last_chunk'


@dataclass(slots=True)
class ReplicaFaults:
    """What goes wrong; zero values mean a healthy replica."""

    fails: bool = False
    is_full: bool = False
    is_silent: bool = False
    loses_answers: bool = False
    cuts_answers: bool = False
    answers_twice: bool = False
    answers_early: bool = False
    foreign_id: bool = False
    drops_signature: bool = False
    breaks_after_events: int = 0
    break_form: str = BREAK_CLOSE
    after_last_event: bytes = b''
    # Answers a stream that is to go on with these bytes and closes; ID stands
    # for the id of the attempt.
    answers_resumed: bytes = b''
    stalls_after_events: int = 0
    stall_s: float = _NEVER_S
    # Neither a length nor chunks: answers end with their connection.
    unframed: bool = False
    delay_s: float = 0.0
    event_interval_s: float = 0.005
    # Part of a prompt under which the replica crashes once it has begun to
    # answer, and for how long it is away then.
    crashes_on: str = ''
    # Target of requests under which it crashes once it has begun to run them,
    # and in which share of the runs.
    crashes_on_target: str = ''
    crash_share: float = 1.0
    crash_delay_s: float = 0.06
    restart_s: float = 1.5
    # Requests a second that it says it takes; nothing is said if empty.
    rate_limit: str = ''
    # Seconds for which it asks for no more requests, with each that it turns
    # away, and the share of these; nothing is said if empty.
    back_off_s: str = ''
    back_off_share: float = 1.0
    is_leaving: bool = False
    # Writes its last refusal on a connection again before the next answer.
    repeats_refusals: bool = False
    # Refuses the next so many requests, without their ids where asked for.
    refuses_next: int = 0
    refuses_without_id: bool = False
    # Requests that it may turn away in a second; nothing is said if empty.
    rejection_limit: str = ''
    confidence: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class ReplicaRun:
    """One request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    # By the clock of the event loop.
    arrived_s: float = 0.0
    outcome: str = 'arrived'

    @property
    def attempt_id(self) -> str:
        """The caller's id of the attempt."""
        return self.headers.get('x-attempt-id', '')

    def shares_part(self, part: str) -> bool:
        """Tell whether a part is in the prompt, and not its last one."""
        entries = self.headers.get('x-prefix-hash', '').split(',')[:-1]
        return part in [entry.partition(':')[0] for entry in entries]


class PlatformReplica:
    """One replica with an address of its own."""

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        *,
        software: str = 'v1',
        zone: str = 'a',
        slots: int = 8,
        events: int = 4,
    ) -> None:
        """Prepare; `start` listens."""
        self.name = name
        self.service = service
        self.host = host
        self.software = software
        self.zone = zone
        self.slots = slots
        self.events = events
        self.state = 'ready'
        self.port = 0
        self.faults = ReplicaFaults()
        self.runs: list[ReplicaRun] = []
        self.running = 0
        self.connections = 0
        # When it crashed, by the clock of the event loop.
        self.crashes: list[float] = []
        # The requests under which it crashed, in the order of `crashes`.
        self.crashed_under: list[ReplicaRun] = []
        self._crash: asyncio.Task | None = None
        self._rng = random.Random(name)
        # The last refusal on each connection.
        self._refusals: WeakKeyDictionary[asyncio.StreamWriter, bytes] = (
            WeakKeyDictionary()
        )
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stay away: the listener and all connections end at once."""
        if self._crash is not None:
            self._crash.cancel()
        await self._end()

    async def _end(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def close_listener(self) -> None:
        """Take no new connections; the open ones stay silent or go on."""
        self._server.close()

    def entry(self) -> dict:
        """Return the entry of the platform's list."""
        return {
            'id': self.name,
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'data_centre': self.zone,
            'version': self.software,
            'slots': self.slots,
            'state': self.state,
            'warm_up_left_ms': 0,
        }

    def ran(self) -> list[ReplicaRun]:
        """Return the requests that were worked on."""
        return [run for run in self.runs if run.outcome != 'refused']

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self.connections += 1
        try:
            is_kept = True
            while is_kept:
                is_kept = await self._serve_one(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            # The caller left, or the test stopped this replica.
            return
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve_one(self, reader, writer) -> bool:
        run = await _read_request(reader, head_only=self.faults.answers_early)
        if run is None:
            return False
        self.runs.append(run)
        if self._refuses(run, writer):
            run.outcome = 'refused'
            await writer.drain()
            return True
        self.running += 1
        try:
            return await self._run(run, writer)
        finally:
            self.running -= 1

    def _refuses(self, run: ReplicaRun, writer) -> bool:
        wanted = run.headers.get('x-target-instance', self.name)
        if wanted != self.name:
            writer.write(_head(421, [('X-Instance-Id', self.name)], 0))
            return True
        faults = self.faults
        asks = faults.back_off_s and self._rng.random() < faults.back_off_share
        if not (asks or faults.is_full or faults.refuses_next):
            return False
        faults.refuses_next = max(0, faults.refuses_next - 1)
        refusal = _head(503, self._refusal_headers(run, asks=asks), 0)
        self._refusals[writer] = refusal
        writer.write(refusal)
        return True

    def _refusal_headers(self, run, *, asks) -> list[tuple[str, str]]:
        headers = [('X-Not-Executed', '1'), *self._signs()]
        if not self.faults.refuses_without_id:
            headers.append(('X-Attempt-Id', run.attempt_id))
        if asks:
            headers.append(('Retry-After', self.faults.back_off_s))
        return headers

    async def _run(self, run: ReplicaRun, writer) -> bool:
        run.outcome = 'running'
        faults = self.faults
        if faults.repeats_refusals and writer in self._refusals:
            writer.write(self._refusals.pop(writer))
        if run.target == faults.crashes_on_target:
            await self._run_deadly(run)
        await asyncio.sleep(_NEVER_S if faults.is_silent else faults.delay_s)
        if faults.loses_answers:
            run.outcome = 'lost'
            return False
        if faults.fails:
            run.outcome = 'failed'
            await self._answer(run, writer, 500, b'failed')
            return True
        if 'x-prefix-hash' in run.headers:
            return await self._stream(run, writer)
        await self._answer(run, writer, 200, b'answer of ' + self.name.encode())
        run.outcome = 'done'
        return not faults.unframed

    async def _answer(self, run, writer, status, body) -> None:
        length = None if self.faults.unframed else len(body)
        head = _head(status, self._headers(run), length)
        if self.faults.cuts_answers:
            writer.write(head + body[: len(body) // 2])
            await writer.drain()
            raise ConnectionError('cut')
        writer.write(head + body)
        if self.faults.answers_twice:
            other = head.replace(b'.sig', b'.other')
            writer.write(other + body)
        await writer.drain()

    async def _stream(self, run: ReplicaRun, writer) -> bool:
        if self.faults.answers_resumed and 'last-event-id' in run.headers:
            answer = self.faults.answers_resumed
            writer.write(answer.replace(b'ID', run.attempt_id.encode()))
            await writer.drain()
            return False
        headers = self._headers(run)
        headers.append(('Content-Type', 'text/event-stream'))
        model = run.headers.get('x-model-id', '')
        confidence = self.faults.confidence.get(model, 100)
        headers.append(('X-Confidence', str(confidence)))
        if not self.faults.unframed:
            headers.append(('Transfer-Encoding', 'chunked'))
        writer.write(_head(200, headers, None))
        if run.shares_part(self.faults.crashes_on):
            self._crash_soon(run)
        start = int(run.headers.get('last-event-id', '0'))
        for number in range(start + 1, self.events + 1):
            await self._event(run, writer, number, number - start)
        if self.faults.after_last_event:
            writer.write(self._framed(self.faults.after_last_event))
        if not self.faults.unframed:
            writer.write(_LAST_CHUNK)
        await writer.drain()
        run.outcome = 'done'
        return not self.faults.unframed

    async def _event(self, run, writer, number: int, made: int) -> None:
        faults = self.faults
        event = f'id: {number}\ndata: {run.attempt_id} {number}\n\n'.encode()
        if faults.breaks_after_events and made > faults.breaks_after_events:
            writer.write(self._framed(event[:7]))
            await self._break_off(writer)
            run.outcome = 'broken'
            raise ConnectionError('broken off inside an event')
        if faults.stalls_after_events and made > faults.stalls_after_events:
            await asyncio.sleep(faults.stall_s)
        writer.write(self._framed(event))
        await writer.drain()
        await asyncio.sleep(faults.event_interval_s)

    async def _run_deadly(self, run: ReplicaRun) -> None:
        if self._rng.random() >= self.faults.crash_share:
            return
        self._crash_soon(run)
        if 'x-prefix-hash' not in run.headers:
            await asyncio.sleep(_NEVER_S)

    def _crash_soon(self, run: ReplicaRun) -> None:
        if self._crash is None:
            self._crash = asyncio.create_task(self._crash_and_return(run))

    async def _crash_and_return(self, run: ReplicaRun) -> None:
        await asyncio.sleep(self.faults.crash_delay_s)
        self.crashes.append(asyncio.get_running_loop().time())
        self.crashed_under.append(run)
        await self._end()
        await asyncio.sleep(self.faults.restart_s)
        self.name = f'{self.name.partition(".")[0]}.{len(self.crashes)}'
        self._crash = None
        await self.start(self.port)

    async def _break_off(self, writer) -> None:
        if self.faults.break_form == BREAK_LAST_CHUNK:
            writer.write(_LAST_CHUNK)
        await writer.drain()
        if self.faults.break_form == BREAK_RESET:
            # A reset overtakes bytes that the peer has not read.
            await asyncio.sleep(0.05)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )

    def _framed(self, event: bytes) -> bytes:
        return event if self.faults.unframed else _chunk(event)

    def _headers(self, run: ReplicaRun) -> list[tuple[str, str]]:
        named = 'other' if self.faults.foreign_id else run.attempt_id
        headers = [
            ('X-Attempt-Id', named),
            ('X-Instance-Load', f'{self.running},0,{self.slots}'),
        ]
        headers.extend(self._signs())
        if not self.faults.drops_signature:
            headers.append(('X-Response-Signature', f'{self.name}.sig'))
        return headers

    def _signs(self) -> list[tuple[str, str]]:
        named = {
            'Server-Leaving': '1' if self.faults.is_leaving else '',
            'Server-Limit': self.faults.rate_limit,
            'Server-Brittle': self.faults.rejection_limit,
        }
        return [(name, text) for name, text in named.items() if text]


class _Parsed:
    """Collects one request from the parser."""

    def __init__(self) -> None:
        self.target = b''
        self.headers: dict[str, str] = {}
        self.body = b''
        self.has_head = False
        self.is_complete = False

    def on_headers_complete(self) -> None:
        self.has_head = True

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode('latin1')

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.is_complete = True


async def _read_request(reader, *, head_only: bool) -> ReplicaRun | None:
    parsed = _Parsed()
    parser = httptools.HttpRequestParser(parsed)
    while not parsed.is_complete and not (head_only and parsed.has_head):
        data = await reader.read(65_536)
        if not data:
            return None
        parser.feed_data(data)
    return ReplicaRun(
        parser.get_method().decode(),
        parsed.target.decode(),
        parsed.headers,
        parsed.body,
        asyncio.get_running_loop().time(),
    )


def _head(
    status: int, headers: list[tuple[str, str]], length: int | None
) -> bytes:
    lines = [f'HTTP/1.1 {status} X']
    lines.extend(f'{name}: {text}' for name, text in headers)
    if length is not None:
        lines.append(f'Content-Length: {length}')
    return '\r\n'.join((*lines, '', '')).encode()


def _chunk(data: bytes) -> bytes:
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'
