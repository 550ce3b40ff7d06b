"""Stand-in for a model engine with continuous batching.

python -m fakes.engine --port=0 --name=engine-1 --versions=small@1
"""

import json
from typing import Any

from absl import flags

from fakes.batching import Speed
from fakes.completions import CompletionsHandler
from fakes.engine_state import Engine, EngineOptions
from fakes.serving import Routes, Stand, StandHandler, start_stand_in, wall_ms

_VERSIONS = flags.DEFINE_list('versions', [], 'Versions loaded at the start.')
_SLOTS = flags.DEFINE_integer('slots', 8, 'Runs decoded at once.')
_PREFILL_MS = flags.DEFINE_float(
    'prefill_ms_per_token', 0.1, 'Time for a prompt token that is not cached.'
)
_DECODE_MS = flags.DEFINE_float(
    'decode_ms_per_token', 10.0, 'Time between tokens of a run alone.'
)
_BATCH_GROWTH = flags.DEFINE_float(
    'batch_growth', 0.05, 'Growth of the decode time for each further run.'
)
_SPEEDS = flags.DEFINE_string('speeds', '{}', 'JSON: version to speed factor.')
_QUALITY = flags.DEFINE_string(
    'quality', '{}', 'JSON: version to share of good answers, by task.'
)
_TOKENS_PER_CHUNK = flags.DEFINE_integer(
    'tokens_per_chunk', 1, 'Tokens in one event of a streamed answer.'
)
_DEFAULT_TOKENS = flags.DEFINE_integer(
    'default_tokens', 32, 'Length of an answer without max_tokens.'
)
_CACHE_PREFIXES = flags.DEFINE_integer(
    'cache_prefixes', 512, 'Prefixes kept in the cache.'
)
_LOAD_LAG_S = flags.DEFINE_float('load_lag_s', 0.3, 'Age of load reports.')
_EVENT_LAG_S = flags.DEFINE_float('event_lag_s', 0.5, 'Age of cache events.')
_CHECKS_FENCING = flags.DEFINE_boolean(
    'checks_fencing', True, 'Refuse orders with an old fencing number.'
)
_LOAD_S = flags.DEFINE_float('load_s', 0.5, 'Time to load a version.')
_WEIGHTS_URL = flags.DEFINE_string(
    'weights_url', '', 'Weight store to fetch versions from.'
)

_MS_PER_S = 1000


class CancelHandler(StandHandler):
    """``POST /v1/cancel``."""

    engine: Engine

    def post(self) -> None:
        """Cancel all runs of a request id."""
        request_id = self.body_json()['request_id']
        runs = tuple(self.engine.active.get(request_id, ()))
        for run in runs:
            self.engine.close(run)
            run.sink.__self__.done.set()
        self.answer({'cancelled': len(runs)})


class ReportsHandler(StandHandler):
    """``GET /load`` and ``GET /cache_events``, late and with gaps."""

    engine: Engine

    def get(self, kind: str) -> None:
        """Return the load or the cache events after a sequence."""
        if kind == 'load':
            self.answer(self.engine.load())
            return
        after = int(self.get_query_argument('after', '0'))
        lag_s = self.engine.event_lag_s()
        gap_rate = self.stand.faults.gap_rate
        self.answer(
            self.engine.cache.events(
                after, lag_s, lambda: self.stand.happens(gap_rate)
            )
        )


class OrdersHandler(StandHandler):
    """``POST /orders`` and ``GET /orders``."""

    engine: Engine

    def get(self) -> None:
        """Return loaded versions and the last order of each."""
        self.answer(self.engine.orders.state())

    def post(self) -> None:
        """Take an order, or refuse its old fencing number."""
        orders = self.engine.orders
        order = self.body_json()
        if not {'order_id', 'kind', 'version'} <= set(order):
            self.fail(400, 'bad_order')
            return
        is_taken = orders.take({**order, 'taken_at_ms': wall_ms()})
        self.set_status(200 if is_taken else 409)
        self.answer({'highest_fencing_number': orders.highest_fencing_number})


class KvHandler(StandHandler):
    """``POST /kv/export`` and ``POST /kv/import``."""

    engine: Engine

    def post(self, direction: str) -> None:
        """Hand out a cached prefix, or take one in."""
        order = self.body_json()
        prefix = order['prefix']
        if direction == 'import':
            self.engine.cache.store(prefix, int(order['characters']))
        characters = self.engine.cache.length_characters(prefix)
        if not characters:
            self.fail(404, 'prefix_not_cached')
            return
        self.answer({'prefix': prefix, 'characters': characters})


def _speed_from_flags() -> Speed:
    return Speed(
        slots=_SLOTS.value,
        prefill_s_per_token=_PREFILL_MS.value / _MS_PER_S,
        decode_s_per_token=_DECODE_MS.value / _MS_PER_S,
        batch_growth=_BATCH_GROWTH.value,
        versions=json.loads(_SPEEDS.value),
    )


def _options_from_flags() -> EngineOptions:
    return EngineOptions(
        speed=_speed_from_flags(),
        versions=_VERSIONS.value,
        quality=json.loads(_QUALITY.value),
        tokens_per_chunk=_TOKENS_PER_CHUNK.value,
        default_tokens=_DEFAULT_TOKENS.value,
        cache_prefixes=_CACHE_PREFIXES.value,
        load_lag_s=_LOAD_LAG_S.value,
        event_lag_s=_EVENT_LAG_S.value,
        checks_fencing=_CHECKS_FENCING.value,
        load_s=_LOAD_S.value,
        weights_url=_WEIGHTS_URL.value,
    )


def make_routes(stand: Stand) -> Routes:
    """Return the routes of an engine with its own state."""
    engine = Engine(stand, _options_from_flags())
    owners: dict[str, Any] = {'stand': stand, 'engine': engine}
    handlers = [
        ('/v1/chat/completions', CompletionsHandler),
        ('/v1/cancel', CancelHandler),
        ('/(load|cache_events)', ReportsHandler),
        ('/orders', OrdersHandler),
        ('/kv/(export|import)', KvHandler),
    ]
    return [(path, handler, owners) for path, handler in handlers]


if __name__ == '__main__':
    start_stand_in('engine', make_routes)
