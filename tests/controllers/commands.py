"""Builds commands for tests."""

import orjson

from snipebridge.rpc.commands_pb2 import (
    BeginCommand,
    BillCommand,
    Command,
    CommandResult,
    FinishCommand,
    PatchCommand,
)

OK = CommandResult.OK
DUPLICATE = CommandResult.DUPLICATE
CONFLICT = CommandResult.CONFLICT
INVALID = CommandResult.INVALID
IN_PROGRESS = CommandResult.IN_PROGRESS
EXPIRED = CommandResult.EXPIRED

DOCUMENT = {
    'accounts': {
        'a': {'weight': 1.5, 'versions': ['m@1', 'm@2'], 'services': ['book']},
    },
    'versions': {
        'm@1': {'model': 'm', 'state': 'serving', 'pool': 'models'},
        'm@2': {'model': 'm', 'state': 'candidate', 'pool': 'models'},
    },
    'rollouts': {'m@2': {'stable': 'm@1', 'state': 'running'}},
    'upstreams': {
        'e1': {
            'kind': 'engine',
            'url': 'http://h:1',
            'pool': 'models',
            'versions': ['m@1'],
            'slots': 8,
        },
        's1': {
            'kind': 'service',
            'url': 'http://h:2',
            'pool': 'book',
            'service': 'book',
        },
    },
    'services': {'book': {'idempotent_methods': ['GET']}},
    'tasks': {'caption': {'priority': 0, 'deadline_ms': 2000}},
}


def patch(change, base=0, key='k', operator='operator'):
    """Return a patch; a change that is not bytes is encoded as JSON."""
    content = change if isinstance(change, bytes) else orjson.dumps(change)
    return PatchCommand(
        operator=operator,
        idempotency_key=key,
        base_number=base,
        patch=content,
    )


def bill(request_id='r', finished_at_ms=0, account='a', **fields):
    """Return a bill."""
    return BillCommand(
        account=account,
        request_id=request_id,
        finished_at_ms=finished_at_ms,
        **fields,
    )


def begin(request_id='r', attempt='t1', digest=b'd', entry='e1'):
    """Return a command that begins an attempt."""
    return BeginCommand(
        account='a',
        request_id=request_id,
        attempt=attempt,
        digest=digest,
        entry=entry,
    )


def finish(ran, request_id='r', attempt='t1', **fields):
    """Return a command that finishes an attempt."""
    return FinishCommand(
        account='a',
        request_id=request_id,
        attempt=attempt,
        ran=ran,
        **fields,
    )


def command(now_ms=0, **body):
    """Return a command with one body and its proposal time."""
    return Command(proposed_at_ms=now_ms, **body)
