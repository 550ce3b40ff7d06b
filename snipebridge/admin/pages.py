"""The pages that operators read, as JSON documents."""

from dataclasses import asdict

import orjson
from google.protobuf.json_format import MessageToDict

from snipebridge.consensus.interfaces import Replica
from snipebridge.control.leader import Leadership
from snipebridge.controllers.bill_segments import NumberedBill

_NUMBER_SUFFIXES = ('_tokens', '_micros', '_ms')


def configuration_page(leadership: Leadership) -> dict:
    """Return the configuration, and where which number is in force."""
    configuration = leadership.machine.configuration
    in_force = leadership.in_force()
    return {
        'number': configuration.number,
        'body': configuration.document,
        'in_force': {
            'number': in_force.number,
            'members': _entries(leadership),
            'lagging': in_force.lagging,
        },
    }


def status_page(leadership: Leadership) -> dict:
    """Return what an operator looks at first."""
    machine = leadership.machine
    return {
        'leader': leadership.replica.name,
        'term': leadership.replica.term(),
        'fencing_number': leadership.fencing_number,
        'applied_index': machine.applied_index,
        'number': machine.configuration.number,
        'in_force': asdict(leadership.in_force()),
        'controls': member_list(leadership.replica),
        'voters': asdict(leadership.routed.voters),
        'entries': _entries(leadership),
        'signs': _signs(leadership),
        'rollouts': _rollouts(leadership),
        'routing_version': machine.routing.version,
        'software_rollouts': [
            asdict(one) for one in machine.software_rollouts.by_service.values()
        ],
        'evacuated': machine.evacuations.in_force,
        'replicas_listed': len(leadership.routed.held.replicas),
        'orders': [asdict(order) for order in machine.fencing.orders()],
        'bills': _bills(leadership),
        'records': {
            'running': machine.records.running_count(),
            'unknown': machine.records.unknown_count(),
        },
    }


def member_list(replica: Replica) -> list[dict]:
    """Return the members of the replicated log."""
    return [
        MessageToDict(
            member,
            preserving_proto_field_name=True,
            always_print_fields_with_no_presence=True,
        )
        for member in replica.members()
    ]


def bill_line(numbered: NumberedBill) -> str:
    """Return one bill as a line of JSON."""
    fields = MessageToDict(
        numbered.bill,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    # The mapping of protobuf to JSON makes texts of 64-bit numbers.
    numbers = {
        name: int(value)
        for name, value in fields.items()
        if name.endswith(_NUMBER_SUFFIXES)
    }
    line = {'cursor': numbered.cursor, **fields, **numbers}
    return orjson.dumps(line).decode()


def _entries(leadership: Leadership) -> list[dict]:
    leases = {one.name: one for one in leadership.leases.entries()}
    now_s = leadership.clock.monotonic_s()
    entries = []
    for name, host in sorted(leadership.machine.members.hosts.items()):
        lease = leases.get(name)
        entries.append(
            {
                **asdict(host),
                'number': lease.number if lease else 0,
                'leaving': lease.leaving if lease else False,
                'lease_over': lease.has_expired(now_s) if lease else False,
            }
        )
    return entries


def _signs(leadership: Leadership) -> list[dict]:
    now_s = leadership.clock.monotonic_s()
    return [
        {
            'upstream': sign.upstream,
            'state': sign.state,
            'valid_s': round(sign.valid_s, 1),
            'reporter': sign.reporter,
        }
        for sign in leadership.reports.signals.all_signals(now_s)
    ]


def _rollouts(leadership: Leadership) -> list[dict]:
    return [
        {
            'version': one.version,
            'stage': one.stage,
            'state': one.state,
            'reason': one.reason,
        }
        for _, one in sorted(leadership.machine.rollouts.progress.items())
    ]


def _bills(leadership: Leadership) -> dict:
    ledger = leadership.machine.ledger
    return {
        'last': ledger.bills.last,
        'exported_through': ledger.bills.released_through,
        'kept_bytes': ledger.bills.retained_bytes(),
        'totals': {
            account: asdict(total)
            for account, total in sorted(ledger.totals.items())
        },
    }
