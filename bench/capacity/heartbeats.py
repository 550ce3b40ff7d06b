"""Answers to heartbeats by the machines alone, beyond what processes reach."""

import random
import time
from pathlib import Path
from typing import Any

from bench.capacity.fits import fit_rows
from bench.capacity.light import usual_report
from bench.capacity.system import light_host
from snipebridge.clock import SystemClock
from snipebridge.consensus.replica import make_replica
from snipebridge.control.heartbeats import answer_heartbeat
from snipebridge.control.leader import Leadership, Planners
from snipebridge.control.rollouts import PlannedRollouts
from snipebridge.controllers.share_planner import make_share_planner
from snipebridge.controllers.state_machine import make_control_state_machine
from snipebridge.rpc.commands_pb2 import Command, EntryCommand
from snipebridge.rpc.control_pb2 import HeartbeatReply, HeartbeatRequest
from snipebridge.settings.models import ProcessSettings, Settings

_COUNTS = (3, 6, 12, 24, 50, 150, 340)
_BEATS = 1020
_US_PER_S = 1_000_000


async def measure_heartbeats(folder: Path, seed: int) -> dict[str, Any]:
    """Answer heartbeats of registered entries, without any transport."""
    rng = random.Random(seed)
    rows = [_measure_count(folder, count, rng) for count in _COUNTS]
    return {
        'answers': rows,
        'fits': [
            fit_rows(rows, 'entries', 'answer_with_list_us'),
            fit_rows(rows, 'entries', 'answer_us'),
            fit_rows(rows, 'entries', 'full_reply_bytes'),
        ],
    }


def _measure_count(
    folder: Path, count: int, rng: random.Random
) -> dict[str, Any]:
    leadership = make_leadership(folder, count)
    requests = [_make_request(number) for number in range(count)]
    _renew_leases(leadership, requests)
    chosen = rng.choices(requests, k=_BEATS)
    with_list_us, full = _time_answers(leadership, chosen)
    digest = HeartbeatRequest(entries_digest=full.entries_digest)
    chosen = [request + digest.SerializeToString() for request in chosen]
    _renew_leases(leadership, requests)
    answer_us, short = _time_answers(leadership, chosen)
    row = {
        'entries': count,
        'answer_with_list_us': with_list_us,
        'answer_us': answer_us,
        'listed_entries': len(full.entries),
        'full_reply_bytes': full.ByteSize(),
        'reply_bytes': short.ByteSize(),
    }
    print(row, flush=True)
    return row


def _renew_leases(leadership: Leadership, requests: list[bytes]) -> None:
    """Let no entry leave the list while the answers are timed."""
    for request in requests:
        answer_heartbeat(leadership, HeartbeatRequest.FromString(request))


def _time_answers(
    leadership: Leadership, requests: list[bytes]
) -> tuple[float, HeartbeatReply]:
    begun_s = time.process_time()
    for request in requests:
        reply = _answer(leadership, request)
    spent_s = time.process_time() - begun_s
    answer_us = round(spent_s / len(requests) * _US_PER_S, 1)
    return answer_us, HeartbeatReply.FromString(reply)


def _answer(leadership: Leadership, request: bytes) -> bytes:
    reply = answer_heartbeat(leadership, HeartbeatRequest.FromString(request))
    return reply.SerializeToString()


def make_leadership(folder: Path, count: int) -> Leadership:
    settings = Settings(ProcessSettings('control-1', 'dc-0', str(folder)))
    machine = make_control_state_machine(settings.control)
    clock = SystemClock()
    for number in range(count):
        host = light_host(number)
        command = EntryCommand(
            name=host.name, data_centre=host.data_centre, address=host.address
        )
        machine.apply(number + 1, Command(entry=command))
    return Leadership(
        make_replica(settings, machine),
        machine,
        settings.control,
        clock,
        Planners(PlannedRollouts(), make_share_planner(clock)),
    )


def _make_request(number: int) -> bytes:
    host = light_host(number)
    request = HeartbeatRequest(
        entry=host.name,
        data_centre=host.data_centre,
        address=host.address,
        incarnation=1,
        report_id=1,
    )
    request.MergeFrom(usual_report())
    return request.SerializeToString()
