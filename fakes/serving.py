"""What all stand-ins share: flags, faults, silence and the control endpoint.

A stand-in is started as ``python -m fakes.<kind> --port=0 --name=...`` and
prints one JSON line with its address when it listens:

    {"kind": "engine", "name": "engine-1", "url": "...", "pid": 71}
"""

import asyncio
import dataclasses
import json
import os
import random
import time
import weakref
from collections.abc import Callable
from typing import Any, Protocol

import orjson
from absl import app, flags
from tornado import httpserver, netutil, web

_PORT = flags.DEFINE_integer('port', 0, 'Port to listen on; 0 takes any.')
_HOST = flags.DEFINE_string('host', '127.0.0.1', 'Address to listen on.')
_NAME = flags.DEFINE_string('name', 'fake', 'Name of this stand-in.')
_SEED = flags.DEFINE_integer('seed', 0, 'Seed of the fault rates.')
_EXIT_WITH_PARENT = flags.DEFINE_boolean(
    'exit_with_parent', False, 'Stop when the starting process is gone.'
)

_PARENT_CHECK_INTERVAL_S = 1.0
_REFUSAL_RETRY_AFTER_S = 1
_JSON = 'application/json'


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that ``POST /control`` turns on; zero values mean healthy."""

    delay_s: float = 0.0
    error_rate: float = 0.0
    half_answer_rate: float = 0.0
    crossed_rate: float = 0.0
    late_s: float = 0.0
    silent: bool = False
    bad_versions: dict[str, float] = dataclasses.field(default_factory=dict)
    leaving: bool = False
    lag_s: float | None = None
    gap_rate: float = 0.0
    refuse: bool = False
    quality: dict[str, Any] = dataclasses.field(default_factory=dict)
    hosts: list[dict[str, str]] = dataclasses.field(default_factory=list)


class Counters(Protocol):
    """What a stand-in shows to whoever reads ``GET /control``."""

    def counts(self) -> dict[str, Any]:
        """Return the totals, as a JSON object."""

    def records(self) -> list[dict[str, Any]]:
        """Return one object for each piece of work, oldest first."""

    def faults_changed(self) -> None:
        """Take note of new faults."""


class Stand:
    """State of one stand-in: name, faults, random numbers and silence."""

    __slots__ = ('counters', 'faults', 'name', 'random', 'server', 'silenced')

    def __init__(self, name: str, seed: int) -> None:
        """Start healthy."""
        self.name = name
        self.faults = Faults()
        self.random = random.Random(f'{name}:{seed}')
        self.silenced: weakref.WeakSet[Any] = weakref.WeakSet()
        self.server: httpserver.HTTPServer | None = None
        self.counters: Counters | None = None

    def happens(self, rate: float) -> bool:
        """Draw whether a fault of this rate strikes now."""
        return rate > 0 and self.random.random() < rate

    def silence_connections(self, except_context: object) -> None:
        """Make all open connections but one say nothing from now on."""
        for connection in self.server._connections:
            if connection.context is not except_context:
                self.silenced.add(connection.context)


class StandHandler(web.RequestHandler):
    """Handler of one request, with the faults common to all stand-ins."""

    def initialize(self, stand: Stand, **owners: Any) -> None:
        """Keep the state; more owners become attributes."""
        self.stand = stand
        for name, owner in owners.items():
            setattr(self, name, owner)

    async def prepare(self) -> None:
        """Apply silence, delay, refusal and error before any work."""
        self.context = self.request.connection.context
        await self.hold_if_silent()
        faults = self.stand.faults
        if faults.refuse:
            self.set_header('Retry-After', str(_REFUSAL_RETRY_AFTER_S))
            self.fail(503, 'overloaded')
            return
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if self.stand.happens(faults.error_rate):
            self.fail(500, 'fault')

    @property
    def is_silent(self) -> bool:
        """Tell whether this connection must say nothing more."""
        return self.context in self.stand.silenced

    async def hold_if_silent(self) -> None:
        """Never return when this connection is silent."""
        if self.is_silent:
            await asyncio.Event().wait()

    def body_json(self) -> Any:
        """Return the request body, or answer 400."""
        try:
            return orjson.loads(self.request.body)
        except orjson.JSONDecodeError as error:
            raise web.HTTPError(400, 'broken JSON') from error

    def answer(self, payload: Any) -> None:
        """Finish with a JSON body."""
        self.set_header('Content-Type', _JSON)
        self.finish(orjson.dumps(payload))

    def fail(self, status: int, code: str) -> None:
        """Finish with an error in the form of the engines."""
        self.set_status(status)
        self.answer({'error': {'code': code, 'message': code}})

    def write_error(self, status_code: int, **details: Any) -> None:
        """Answer with JSON where tornado would send a page."""
        self.fail(status_code, 'bad_request')

    def log_exception(self, *details: Any) -> None:
        """Keep quiet about callers who left."""
        if not issubclass(details[0], web.HTTPError):
            super().log_exception(*details)


class ControlHandler(StandHandler):
    """Reads and sets faults; shows counts."""

    async def prepare(self) -> None:
        """Work under every fault."""
        self.context = self.request.connection.context

    def get(self, _part: str | None = None) -> None:
        """Return faults and counts, or all records."""
        counters = self.stand.counters
        if _part:
            self.answer({'records': counters.records()})
            return
        faults = dataclasses.asdict(self.stand.faults)
        self.answer({'faults': faults, **counters.counts()})

    def post(self, _part: str | None = None) -> None:
        """Change the faults that the body names, and no others."""
        known = {one.name for one in dataclasses.fields(Faults)}
        change = self.body_json()
        unknown = set(change) - known
        if unknown:
            self.fail(400, f'unknown faults: {sorted(unknown)}')
            return
        for name, setting in change.items():
            setattr(self.stand.faults, name, setting)
        if change.get('silent'):
            self.stand.silence_connections(self.context)
        self.stand.counters.faults_changed()
        self.answer(dataclasses.asdict(self.stand.faults))


Routes = list[tuple[Any, ...]]


def wall_ms() -> int:
    """Return milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


def start_stand_in(kind: str, make_routes: Callable[[Stand], Routes]) -> None:
    """Parse the flags, listen and serve until the process is stopped."""

    def main(_arguments: list[str]) -> None:  # noqa: WPS430 absl wants it
        try:
            asyncio.run(_serve(kind, make_routes))
        except KeyboardInterrupt:
            return

    app.run(main)


async def _serve(kind: str, make_routes: Callable[[Stand], Routes]) -> None:
    stand = Stand(_NAME.value, _SEED.value)
    routes = make_routes(stand)
    control = (r'/control(?:/(records))?', ControlHandler, {'stand': stand})
    application = web.Application([control, *routes], log_function=_no_log)
    sockets = netutil.bind_sockets(_PORT.value, _HOST.value)
    port = sockets[0].getsockname()[1]
    stand.server = httpserver.HTTPServer(application)
    stand.server.add_sockets(sockets)
    line = {
        'kind': kind,
        'name': _NAME.value,
        'url': f'http://{_HOST.value}:{port}',
        'pid': os.getpid(),
    }
    print(json.dumps(line), flush=True)
    await _wait_for_parent()


async def _wait_for_parent() -> None:
    parent = os.getppid()
    while not _EXIT_WITH_PARENT.value or os.getppid() == parent:
        await asyncio.sleep(_PARENT_CHECK_INTERVAL_S)


def _no_log(_handler: web.RequestHandler) -> None:
    """Write no access log."""
