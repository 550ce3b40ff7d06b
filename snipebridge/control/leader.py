"""The office of the leader: when this process may answer for the system.

A replica that gains the lead records the leadership, which gives it a
fencing number, and starts with empty soft state. Until that record is
applied it answers no heartbeat: from then on its state holds all that was
acknowledged before.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from snipebridge.clock import Clock
from snipebridge.consensus.errors import ConsensusError
from snipebridge.consensus.interfaces import Replica
from snipebridge.control.withdrawals import make_withdrawals
from snipebridge.controllers.leases import EntryLeases, InForce
from snipebridge.controllers.members import EntryHost
from snipebridge.controllers.planners import (
    NullRolloutPlanner,
    RolloutPlanner,
    SharePlanner,
    WeightedSharePlanner,
)
from snipebridge.controllers.records import RequestRecord
from snipebridge.controllers.reports import ReportAggregator
from snipebridge.controllers.state_machine import ControlStateMachine
from snipebridge.fleet.state import RoutedState
from snipebridge.logs import log_decision
from snipebridge.policy.resent_orders import OrderArrivals
from snipebridge.rpc.commands_pb2 import (
    Command,
    EntryCommand,
    LeadershipCommand,
)
from snipebridge.rpc.control_pb2 import AccountShare, EntryMember
from snipebridge.settings.models import ControlSettings


@dataclass(slots=True)
class Planners:
    """The policies that the leader follows."""

    rollouts: RolloutPlanner = field(default_factory=NullRolloutPlanner)
    shares: SharePlanner = field(default_factory=WeightedSharePlanner)


@dataclass(slots=True)
class EntryList:
    """The list of live entries, made once for many replies.

    ``moment`` is the span of time and the number of registered entries that
    it was made for.
    """

    moment: tuple[int, int]
    members: list[EntryMember]
    digest: int


class Leadership:
    """The leader's soft state, and whether it is in office."""

    __slots__ = (
        '_settings',
        '_term',
        'clock',
        'entry_list',
        'fencing_number',
        'leases',
        'lost_records',
        'machine',
        'order_arrivals',
        'planners',
        'replica',
        'reports',
        'routed',
        'shares',
        'withdrawals',
    )

    def __init__(
        self,
        replica: Replica,
        machine: ControlStateMachine,
        settings: ControlSettings,
        clock: Clock,
        planners: Planners,
    ) -> None:
        """Start out of office."""
        self.replica = replica
        self.machine = machine
        self.clock = clock
        self.planners = planners
        self.fencing_number = 0
        # Kept beyond an office: it holds also what others took.
        self.order_arrivals = OrderArrivals()
        self._settings = settings
        self._term = 0
        self._clear()

    def is_in_office(self) -> bool:
        """Tell whether this process may answer for the system now."""
        return (
            self.fencing_number > 0
            and self.replica.is_leader()
            and self.replica.term() == self._term
        )

    def in_force(self) -> InForce:
        """Return the number in force at all registered entries."""
        return self.leases.in_force(
            self.machine.configuration.number,
            self.machine.members.hosts,
            self.clock.monotonic_s(),
        )

    async def register(self, host: EntryHost, incarnation: int) -> None:
        """Make sure that an entry is registered under its address.

        A late heartbeat of an older process doesn't bring its address back.
        """
        if self.machine.members.hosts.get(host.name) == host:
            return
        if incarnation < self.leases.incarnation(host.name):
            return
        command = EntryCommand(
            name=host.name,
            data_centre=host.data_centre,
            address=host.address,
        )
        await self.replica.submit([Command(entry=command)])
        log_decision('entry_registered', entry=host.name)

    async def follow_replica(self) -> None:
        """Take or leave office as the replica gains or loses the lead."""
        self.look_for_orders()
        if not self.replica.is_leader():
            self.fencing_number = 0
        elif not self.is_in_office():
            await self._take_office()

    def look_for_orders(self) -> None:
        """Note when orders arrived that other processes took."""
        self.order_arrivals.look(
            self.machine.ordered_at_ms(),
            self.clock.monotonic_s(),
            self.clock.wall_ms(),
        )

    def leave_office(self) -> None:
        """Answer for nothing until the log confirms the lead again."""
        log_decision('leadership_left', fencing_number=self.fencing_number)
        self.fencing_number = 0

    async def _take_office(self) -> None:
        term = self.replica.term()
        command = LeadershipCommand(leader=self.replica.name, term=term)
        started_s = self.clock.monotonic_s()
        try:
            results = await self.replica.submit([Command(leadership=command)])
        except ConsensusError as error:
            log_decision('leadership_lost', term=term, reason=error.message)
            return
        number = results[0].fencing_number
        self._term = term
        self._clear()
        self.leases.start(sorted(self.machine.members.hosts), started_s)
        self.planners.rollouts.begin(number)
        self.fencing_number = number
        log_decision('leadership', term=term, fencing_number=number)

    def _clear(self) -> None:
        self.reports = ReportAggregator()
        self.entry_list: EntryList | None = None
        self.routed = RoutedState(since_s=self.clock.monotonic_s())
        self.withdrawals = make_withdrawals()
        self.shares: Mapping[str, Sequence[AccountShare]] = {}
        # Under way at an entry process that is known to be gone.
        self.lost_records: list[RequestRecord] = []
        self.leases = EntryLeases(
            lease_s=self._settings.entry_lease_s,
            predecessor_timeout_s=self._settings.election_timeout_s,
        )
