"""Metrics of the control process."""

from collections.abc import Sequence

import aioprometheus

from snipebridge.control.leader import Leadership
from snipebridge.rpc.commands_pb2 import Command, CommandResult

_PREFIX = 'snipebridge_control_'
_NO_LABELS: dict[str, str] = {}


class ControlMetrics:
    """Counters that grow as things happen, and gauges read at a scrape."""

    __slots__ = (
        '_commands',
        '_gauges',
        '_heartbeats',
        '_leadership',
        'registry',
    )

    def __init__(self, leadership: Leadership) -> None:
        """Register all metrics."""
        self.registry = aioprometheus.Registry()
        self._leadership = leadership
        self._heartbeats = aioprometheus.Counter(
            f'{_PREFIX}heartbeats_total',
            'Heartbeats received.',
            registry=self.registry,
        )
        self._commands = aioprometheus.Counter(
            f'{_PREFIX}commands_total',
            'Commands of entries and operators by kind and result.',
            registry=self.registry,
        )
        self._gauges: dict[str, aioprometheus.Gauge] = {}

    def note_heartbeat(self) -> None:
        """Count one heartbeat."""
        self._heartbeats.inc(_NO_LABELS)

    def note_commands(
        self, commands: Sequence[Command], results: Sequence[CommandResult]
    ) -> None:
        """Count commands by their results."""
        for command, result in zip(commands, results, strict=True):
            code = CommandResult.Code.Name(result.code).lower()
            kind = command.WhichOneof('body') or ''
            self._commands.inc({'kind': kind, 'result': code})

    def refresh(self) -> None:
        """Set the gauges to what holds now."""
        leadership = self._leadership
        machine = leadership.machine
        bills = machine.ledger.bills
        in_office = leadership.is_in_office()
        self._set('leader', 'Whether this process leads.', in_office)
        self._set('term', 'Current term.', leadership.replica.term())
        self._set(
            'number', 'Configuration number.', machine.configuration.number
        )
        self._set('entries', 'Registered entries.', len(machine.members.hosts))
        self._set(
            'bills_kept',
            'Bills not exported yet.',
            bills.unacknowledged_count(),
        )
        self._set(
            'bills_kept_bytes', 'Size of these bills.', bills.retained_bytes()
        )
        self._set(
            'records_unknown',
            'Requests whose outcome is unknown for good.',
            machine.records.unknown_count(),
        )
        if in_office:
            voters = leadership.routed.voters
            self._set(
                'voters_staying',
                'Voters of the log that can be counted on.',
                voters.staying,
            )
            self._set('voters_wanted', 'Voters to have.', voters.wanted)
            self._set(
                'standbys', 'Members ready to take a vote.', voters.standbys
            )
            self._set(
                'number_in_force',
                'Configuration number in force at all entries.',
                leadership.in_force().number,
            )

    def _set(self, name: str, text: str, measured: float) -> None:
        if name not in self._gauges:
            self._gauges[name] = aioprometheus.Gauge(
                f'{_PREFIX}{name}', text, registry=self.registry
            )
        self._gauges[name].set(_NO_LABELS, int(measured))
