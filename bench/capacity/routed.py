"""Heartbeats of entries that route to services: bytes and the leader's time.

The machines alone, without transport. All replicas are in use, and each
entry has something under way at a few of them.
"""

import random
import time
from pathlib import Path
from typing import Any

from bench.capacity.fits import fit_rows
from bench.capacity.heartbeats import make_leadership
from bench.capacity.system import light_host
from snipebridge.control.heartbeats import (
    ENTRY_LIST_AGE_S,
    answer_heartbeat,
)
from snipebridge.control.leader import Leadership
from snipebridge.rpc.commands_pb2 import Command, RoutingCommand
from snipebridge.rpc.control_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    ListedReplica,
    ModelPace,
    ReplicaUse,
)

# Entries and replicas: small sites, grown ones, and letter 1.
_SIZES = ((6, 12), (9, 8), (60, 33), (83, 34), (83, 64), (340, 690))
_USED_BY_ENTRY = 4
_BEATS = 2000
_US_PER_S = 1_000_000
_ROUTING = b'{"version": 1, "routes": [], "services": []}'


async def measure_routed(folder: Path, seed: int) -> dict[str, Any]:
    """Answer heartbeats of the routed form."""
    rng = random.Random(seed)
    rows = [
        _measure_size(folder, entries, replicas, rng)
        for entries, replicas in _SIZES
    ]
    return {
        'answers': rows,
        'fits': [
            fit_rows(rows, 'replicas', 'reply_bytes'),
            fit_rows(rows, 'replicas', 'answer_us'),
        ],
    }


def _measure_size(
    folder: Path, entries: int, replicas: int, rng: random.Random
) -> dict[str, Any]:
    leadership = make_leadership(folder, entries)
    command = RoutingCommand(version=1, document=_ROUTING)
    leadership.machine.apply(entries + 1, Command(routing=command))
    listed = [_replica(number) for number in range(replicas)]
    leadership.routed.take_list(listed, leadership.clock.monotonic_s(), 1)
    requests = [_request(number, listed, rng) for number in range(entries)]
    for request in requests:
        _answer(leadership, request)
    # The list of entries is made anew when it is so old: now of all of them.
    time.sleep(2 * ENTRY_LIST_AGE_S)
    whole = _answer(leadership, requests[0])
    held = HeartbeatRequest(
        entries_digest=whole.entries_digest,
        routing_version=whole.routing_version,
        replicas_edition=whole.replicas.edition,
    ).SerializeToString()
    requests = [request + held for request in requests]
    for request in requests:
        _answer(leadership, request)
    begun_s = time.process_time()
    for _ in range(_BEATS):
        reply = _answer(leadership, rng.choice(requests))
    spent_s = time.process_time() - begun_s
    row = {
        'entries': entries,
        'replicas': replicas,
        'request_bytes': max(len(request) for request in requests),
        'reply_bytes': reply.ByteSize(),
        'loads_bytes': reply.replica_loads.ByteSize(),
        'list_bytes': whole.replicas.ByteSize(),
        'answer_us': round(spent_s / _BEATS * _US_PER_S, 1),
    }
    print(row, flush=True)
    return row


def _answer(leadership: Leadership, request: bytes) -> HeartbeatReply:
    reply = answer_heartbeat(leadership, HeartbeatRequest.FromString(request))
    return HeartbeatReply.FromString(reply.SerializeToString())


def _replica(number: int) -> ListedReplica:
    return ListedReplica(
        id=f'i-{number:010x}',
        service='models',
        address=f'10.{number // 250}.64.{number % 250}:8762',
        data_centre=f'dc-{number % 7}',
        software='v1',
        slots=96,
    )


def _request(
    number: int, listed: list[ListedReplica], rng: random.Random
) -> bytes:
    host = light_host(number)
    request = HeartbeatRequest(
        entry=host.name,
        data_centre=host.data_centre,
        address=host.address,
        incarnation=1,
    )
    # Every replica is in use by some entry.
    used = {rng.choice(listed).id for _ in range(_USED_BY_ENTRY)}
    used.add(listed[number % len(listed)].id)
    request.replica_uses.extend(
        ReplicaUse(replica=name, running=2, backlog_ms=rng.randrange(900))
        for name in sorted(used)
    )
    request.model_paces.extend(
        ModelPace(model=f'model-{rank}', ms_per_token=0.05 * (rank + 1))
        for rank in range(3)
    )
    return request.SerializeToString()
