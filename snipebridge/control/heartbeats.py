"""Answers to heartbeats.

An answer is made in one step, without waiting in between, so that a lease
and the configuration that comes with it belong together.
"""

import xxhash

from snipebridge.control.leader import EntryList, Leadership
from snipebridge.controllers.leases import EntryReport
from snipebridge.fleet.heartbeats import add_routed_part
from snipebridge.rpc.control_pb2 import (
    EntryMember,
    HeartbeatReply,
    HeartbeatRequest,
)

# How old the list of entries in a reply may be, but for a new entry.
ENTRY_LIST_AGE_S = 0.2


def answer_heartbeat(
    leadership: Leadership, request: HeartbeatRequest
) -> HeartbeatReply:
    """Merge the report of a registered entry and grant it a lease.

    Call it only in office. A heartbeat of an older process of the same
    entry gets no lease.
    """
    now_s = leadership.clock.monotonic_s()
    number = leadership.machine.configuration.number
    reply = HeartbeatReply(
        leader=True,
        leader_address=leadership.replica.leader_address(),
        term=leadership.replica.term(),
        number=number,
        report_id=request.report_id,
    )
    reply.known_incarnation = leadership.leases.incarnation(request.entry)
    if not _note_entry(leadership, request, now_s):
        return reply
    reply.lease_s = leadership.leases.grant(request.entry, number, now_s)
    if request.number < number:
        reply.configuration = leadership.machine.configuration.body()
    _take_report(leadership, request, now_s)
    _add_decisions(leadership, request, reply, now_s)
    process = process_name(request.entry, request.incarnation)
    add_routed_part(leadership, request, reply, process)
    return reply


def _note_entry(
    leadership: Leadership, request: HeartbeatRequest, now_s: float
) -> bool:
    if request.entry not in leadership.machine.members.hosts:
        return False
    report = EntryReport(
        request.entry, request.incarnation, request.number, request.leaving
    )
    leases = leadership.leases
    known = leases.incarnation(request.entry)
    if known and request.incarnation > known:
        # The new process holds no lease yet, so all of these are the old's.
        leadership.lost_records.extend(
            leadership.machine.records.running(request.entry)
        )
    return leases.record_heartbeat(report, now_s)


def _take_report(
    leadership: Leadership, request: HeartbeatRequest, now_s: float
) -> None:
    if leadership.reports.add(request, now_s):
        leadership.planners.rollouts.report(
            process_name(request.entry, request.incarnation),
            request.outcomes,
            now_s,
        )
        entry_count = len(leadership.machine.members.hosts)
        leadership.withdrawals.report(request, entry_count, now_s)


def _add_decisions(
    leadership: Leadership,
    request: HeartbeatRequest,
    reply: HeartbeatReply,
    now_s: float,
) -> None:
    process = process_name(request.entry, request.incarnation)
    reply.grants.extend(leadership.planners.rollouts.grants(process, now_s))
    reply.shares.extend(leadership.shares.get(request.entry, ()))
    _add_entries(leadership, request, reply, now_s)
    reply.signs.extend(leadership.reports.signals.pending(request.entry, now_s))
    reply.quality.extend(leadership.reports.quality.cells(request.entry, now_s))


def _add_entries(
    leadership: Leadership,
    request: HeartbeatRequest,
    reply: HeartbeatReply,
    now_s: float,
) -> None:
    """Add the list of entries where it differs from the one held there."""
    listed = leadership.entry_list
    moment = (
        int(now_s / ENTRY_LIST_AGE_S),
        len(leadership.machine.members.hosts),
    )
    if listed is None or listed.moment != moment:
        listed = _list_entries(leadership, moment, now_s)
        leadership.entry_list = listed
    reply.entries_digest = listed.digest
    if listed.digest != request.entries_digest:
        reply.entries.extend(listed.members)


def _list_entries(
    leadership: Leadership, moment: tuple[int, int], now_s: float
) -> EntryList:
    members = _live_entries(leadership, now_s)
    whole = HeartbeatReply(entries=members).SerializeToString(
        deterministic=True
    )
    return EntryList(moment, members, xxhash.xxh3_64_intdigest(whole))


def process_name(entry: str, incarnation: int) -> str:
    """Return the name of one process of an entry.

    >>> process_name('e1', 7)
    'e1/7'
    """
    return f'{entry}/{incarnation}'


def _live_entries(leadership: Leadership, now_s: float) -> list[EntryMember]:
    """Return the registered entries, without those whose lease is over."""
    hosts = leadership.machine.members.hosts
    members = []
    for entry in leadership.leases.entries():
        host = hosts.get(entry.name)
        if host is not None and not entry.has_expired(now_s):
            member = EntryMember(
                name=host.name,
                data_centre=host.data_centre,
                address=host.address,
                leaving=entry.leaving,
            )
            members.append(member)
    return members
