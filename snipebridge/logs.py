"""Decision log: JSON lines by eliot.

Each routing or placement decision is one line, tied to its request id by
the ``request_id`` field. Keys and message contents never reach the log.

>>> log_decision('replica', request_id='r1', chosen='engine-1')
"""

import atexit
import logging
import sys

import eliot
import orjson
from eliot.stdlib import EliotHandler

from snipebridge.log_writer import LogWriter
from snipebridge.settings.models import LogSettings


class _Switch:
    """Whether decisions are logged; off costs nothing in the request path."""

    __slots__ = ('decisions', 'writer')

    def __init__(self) -> None:
        self.decisions = True
        self.writer: LogWriter | None = None


class _Destination:
    """Takes eliot's messages and queues them as JSON."""

    __slots__ = ('_writer',)

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer

    def __call__(self, message) -> None:
        # Neither is of use where each line stands for itself.
        message.pop('task_level', None)
        message.pop('task_uuid', None)
        self._writer.write(orjson.dumps(message, default=repr))


_switch = _Switch()


def start_logging(settings: LogSettings, process_name: str) -> None:
    """Send log lines to the file of the settings, or to standard output."""
    if settings.file:
        stream = open(settings.file, 'ab')  # noqa: SIM115, WPS515 - lives as long as the process
    else:
        stream = sys.stdout.buffer
    _switch.decisions = settings.decisions
    writer = LogWriter(stream)
    _switch.writer = writer
    atexit.register(writer.close)
    eliot.add_global_fields(process=process_name)
    eliot.add_destinations(_Destination(writer))
    # What libraries log goes the same way, so that each line is JSON.
    logging.basicConfig(
        level=logging.WARNING, handlers=[EliotHandler()], force=True
    )
    # Tells of callers' messages that are too long or no HTTP.
    logging.getLogger('tornado.general').setLevel(logging.INFO)


def dropped_lines() -> int:
    """Return how many lines were dropped because too many came."""
    return _switch.writer.dropped if _switch.writer else 0


def log_decision(kind: str, **fields) -> None:
    """Write one line for a decision."""
    if _switch.decisions:
        eliot.log_message(message_type=f'decision:{kind}', **fields)


def log_event(kind: str, **fields) -> None:
    """Write one line for something that happened and is no decision."""
    eliot.log_message(message_type=f'event:{kind}', **fields)
