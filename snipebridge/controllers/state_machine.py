"""The state machine of the control processes, driven by the log."""

from collections.abc import Callable, Mapping, Sequence

import orjson

from snipebridge.controllers.configuration import Configuration
from snipebridge.controllers.evacuations import (
    EvacuationChange,
    Evacuations,
)
from snipebridge.controllers.fencing import Fencing
from snipebridge.controllers.ledger import Ledger
from snipebridge.controllers.members import EntryMembers
from snipebridge.controllers.prompt_quarantines import PromptQuarantines
from snipebridge.controllers.records import RequestRecords
from snipebridge.controllers.results import invalid
from snipebridge.controllers.rollouts import RolloutStates
from snipebridge.controllers.routing_state import RoutingState
from snipebridge.controllers.software_rollouts import (
    SoftwareOrder,
    SoftwareRollouts,
)
from snipebridge.rpc.commands_pb2 import Command, CommandResult
from snipebridge.settings.models import ControlSettings

# The kind of an order, its subject, and its number there.
OrderName = tuple[str, str, int]
NumberedOrder = SoftwareOrder | EvacuationChange

_MS_PER_S = 1000
_FORMAT = 1


class ControlStateMachine:
    """Dispatches each command to the part of the state that it changes.

    The current time is the latest proposal time in the log, so it never
    decreases, even when the clock of a new leader is behind.

    >>> machine = make_control_state_machine(ControlSettings())
    >>> command = Command(proposed_at_ms=5)
    >>> command.patch.patch = b'{}'
    >>> machine.apply(1, command).number
    1
    """

    __slots__ = (
        '_handlers',
        'applied_index',
        'configuration',
        'evacuations',
        'fencing',
        'ledger',
        'members',
        'now_ms',
        'prompt_quarantines',
        'records',
        'rollouts',
        'routing',
        'software_rollouts',
    )

    def __init__(
        self, record_retention_ms: int, bill_retention_ms: int
    ) -> None:
        """Initialize the state before the first command."""
        self.applied_index = 0
        self.now_ms = 0
        self.configuration = Configuration(record_retention_ms)
        self.members = EntryMembers()
        self.ledger = Ledger(bill_retention_ms)
        self.records = RequestRecords(self.ledger, record_retention_ms)
        self.fencing = Fencing()
        self.rollouts = RolloutStates()
        self.routing = RoutingState()
        self.software_rollouts = SoftwareRollouts()
        self.prompt_quarantines = PromptQuarantines()
        self.evacuations = Evacuations()
        self._handlers: dict[str, Callable[[Command], CommandResult]] = {
            'patch': self._apply_patch,
            'entry': lambda one: self.members.apply(one.entry),
            'bill': lambda one: self.ledger.apply(one.bill, self.now_ms),
            'begin': lambda one: self.records.begin(one.begin, self.now_ms),
            'finish': lambda one: self.records.finish(one.finish, self.now_ms),
            'leadership': lambda one: self.fencing.assign(one.leadership),
            'order': lambda one: self.fencing.record_order(one.order),
            'rollout': lambda one: self.rollouts.apply(one.rollout),
            'routing': lambda one: self.routing.apply(one.routing),
            'software_rollout': lambda one: self.software_rollouts.apply(
                one.software_rollout, self.now_ms
            ),
            'prompt_quarantine': lambda one: self.prompt_quarantines.apply(
                one.prompt_quarantine, self.now_ms
            ),
            'evacuation': lambda one: self.evacuations.apply(
                one.evacuation, self.now_ms
            ),
        }

    def apply(self, index: int, command: Command) -> CommandResult:
        """Apply one committed command."""
        self.applied_index = index
        self.now_ms = max(self.now_ms, command.proposed_at_ms)
        handler = self._handlers.get(command.WhichOneof('body') or '')
        if handler is None:
            return invalid('the command is empty or of an unknown type')
        return handler(command)

    def ordered_at_ms(self) -> dict[OrderName, int]:
        """Return when each order that may be resent was proposed."""
        orders = self.software_rollouts.all_orders()
        changes = self.evacuations.all_changes()
        return {
            **_ordered_at_ms('software', orders),
            **_ordered_at_ms('evacuation', changes),
        }

    def snapshot(self) -> bytes:
        """Return the whole state in serialized form."""
        return orjson.dumps(
            {
                'format': _FORMAT,
                'applied_index': self.applied_index,
                'now_ms': self.now_ms,
                'configuration': self.configuration.dump(),
                'members': self.members.dump(),
                'ledger': self.ledger.dump(),
                'records': self.records.dump(),
                'fencing': self.fencing.dump(),
                'rollouts': self.rollouts.dump(),
                'routings': self.routing.dump(),
                'software_rollouts': self.software_rollouts.dump(),
                'rejected_software': self.software_rollouts.dump_rejected(),
                'software_in_use': self.software_rollouts.dump_in_use(),
                'software_orders': self.software_rollouts.dump_orders(),
                'prompt_quarantines': self.prompt_quarantines.dump(),
                'evacuations': self.evacuations.dump(),
                'evacuation_changes': self.evacuations.dump_changes(),
            },
            option=orjson.OPT_SORT_KEYS,
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state with a snapshot."""
        state = orjson.loads(snapshot)
        self.applied_index = state['applied_index']
        self.now_ms = state['now_ms']
        self.configuration.load(state['configuration'])
        self.members.load(state['members'])
        self.ledger.load(state['ledger'])
        self.records.load(state['records'])
        self.fencing.load(state['fencing'])
        self.rollouts.load(state['rollouts'])
        # Older snapshots lack these keys.
        self.routing.load(state.get('routings', [0, '']))
        self.software_rollouts.load(state.get('software_rollouts', []))
        self.software_rollouts.load_rejected(state.get('rejected_software', {}))
        self.software_rollouts.load_in_use(state.get('software_in_use', {}))
        self.software_rollouts.load_orders(state.get('software_orders', {}))
        self.prompt_quarantines.load(state.get('prompt_quarantines', []))
        self.evacuations.load(state.get('evacuations', []))
        self.evacuations.load_changes(state.get('evacuation_changes', {}))

    def _apply_patch(self, command: Command) -> CommandResult:
        previous = self.configuration.document
        result = self.configuration.apply(
            command.patch, self.now_ms, self.ledger.bills.last
        )
        if result.code == CommandResult.OK:
            self._reconcile_configuration(previous)
        return result

    def _reconcile_configuration(self, previous: dict) -> None:
        document = self.configuration.document
        self.rollouts.reconcile(
            previous.get('rollouts', {}), document.get('rollouts', {})
        )
        self.fencing.keep_upstreams(document.get('upstreams', {}))
        self.ledger.bills.release_through(self.configuration.exported_through())


def make_control_state_machine(
    settings: ControlSettings,
) -> ControlStateMachine:
    """Return a state machine with the configured retention periods."""
    return ControlStateMachine(
        record_retention_ms=int(settings.record_retention_s * _MS_PER_S),
        bill_retention_ms=int(settings.bill_retention_s * _MS_PER_S),
    )


def _ordered_at_ms(
    kind: str, by_subject: Mapping[str, Sequence[NumberedOrder]]
) -> dict[OrderName, int]:
    return {
        (kind, subject, order.number): order.ordered_at_ms
        for subject, orders in by_subject.items()
        for order in orders
    }
