"""Exchanges state with control by the heartbeats of a routed entry."""

from collections.abc import Callable, Sequence

from snipebridge.clock import Clock
from snipebridge.fleet.packing import PackingError, unpack
from snipebridge.logs import log_decision, log_event
from snipebridge.relay.state import RelayState
from snipebridge.routing.documents import DOCUMENT_LIMIT_BYTES, read_table
from snipebridge.routing.errors import DocumentError
from snipebridge.routing.tables import RoutingTable
from snipebridge.rpc.control_pb2 import (
    EntryMember,
    HeartbeatReply,
    HeartbeatRequest,
    ModelPace,
)

# Names in a line of the log; there may be thousands of accounts.
_LOGGED_FAULTS = 3

TableListener = Callable[[RoutingTable], None]


class RelayReporter:
    """Fills heartbeat requests and applies their replies."""

    __slots__ = (
        '_replicas',
        '_clock',
        '_entries_digest',
        '_limits',
        '_prefill_speeds',
        '_prompts',
        '_sent_at_s',
        '_software',
        'entry_count',
        'on_entries',
        'on_replica_removed',
        'on_table_change',
        'report_now',
        'table',
    )

    def __init__(self, state: RelayState, clock: Clock) -> None:
        """Start with an empty routing table."""
        self._replicas = state.replicas
        self._software = state.software
        self._prefill_speeds = state.prefill_speeds
        self._prompts = state.prompts
        self._limits = state.limits
        self._clock = clock
        self._entries_digest = 0
        self._sent_at_s = 0.0
        self.entry_count = 1
        self.table = RoutingTable()
        # Called with the entries of the fleet where they have changed.
        self.on_entries: Callable[[Sequence[EntryMember]], None] = _do_nothing
        self.on_table_change: TableListener = _do_nothing
        self.on_replica_removed: Callable[[str], None] = _do_nothing
        # Sends the next heartbeat at once.
        self.report_now: Callable[[], None] = lambda: None
        self._software.report_now = lambda: self.report_now()

    def fill_request(self, request: HeartbeatRequest) -> None:
        """Add the versions in force, request outcomes and loads."""
        self._sent_at_s = self._clock.monotonic_s()
        request.entries_digest = self._entries_digest
        request.routing_version = self.table.version
        request.reads_packed_routing = True
        request.replicas_edition = self._replicas.edition
        request.software_outcomes.extend(self._software.pop_outcomes())
        request.replica_uses.extend(self._replicas.local_usage())
        request.replica_paces.extend(self._replicas.pop_stated_paces())
        request.pinned_draws.extend(self._software.pop_pinned_draws())
        request.target_draws.extend(self._software.pop_target_draws())
        request.model_paces.extend(
            ModelPace(model=one.model, ms_per_token=one.ms_per_token)
            for one in self._prefill_speeds.learned_speeds()
        )
        self._prompts.fill_request(request, self._sent_at_s)
        self._limits.fill_request(request, self._sent_at_s)

    def apply_reply(self, reply: HeartbeatReply) -> bool:
        """Apply routes, replicas and roll-outs; tell whether all are current.

        A host with routes but without replicas would refuse all requests, so
        it gets no lease before it has both.
        """
        if reply.entries:
            self._entries_digest = reply.entries_digest
            staying = [one for one in reply.entries if not one.leaving]
            self.entry_count = max(1, len(staying))
            self.on_entries(reply.entries)
        self._take_routing(reply)
        self._take_replicas(reply)
        if reply.HasField('evacuations'):
            self._replicas.set_evacuated(reply.evacuations.data_centres)
        for lost in reply.lost_replicas:
            self._replicas.note_lost(lost.replica, self._sent_at_s - lost.age_s)
        self._limits.apply_reply(reply, self._sent_at_s, self.entry_count)
        self._software.apply_rollouts(reply.software_rollouts)
        self._replicas.apply_loads(reply.replica_loads)
        for speed in reply.model_paces:
            self._prefill_speeds.set_fleet_speed(
                speed.model, speed.ms_per_token
            )
        self._software.apply_pinned_draws(
            reply.pinned_draws, self._clock.monotonic_s()
        )
        self._software.apply_target_draws(
            reply.target_draws, self._clock.monotonic_s()
        )
        if self._prompts.apply_reply(reply, self._clock.monotonic_s()):
            self.report_now()
        holds_routes = self.table.version >= reply.routing_version
        return holds_routes and (
            not self.table.version or self._replicas.has_list
        )

    def _take_routing(self, reply: HeartbeatReply) -> None:
        document = reply.routing or reply.packed_routing
        if not document or reply.routing_version <= self.table.version:
            return
        try:
            if not reply.routing:
                document = unpack(document, DOCUMENT_LIMIT_BYTES)
            table = read_table(document)
        except (DocumentError, PackingError) as error:
            # Control has validated it, so this process is of an older release
            # or the message was damaged.
            log_event(
                'routing_unread',
                version=reply.routing_version,
                error=error.message,
            )
            return
        self.table = table
        self.on_table_change(table)
        log_decision(
            'routing_in_force',
            version=table.version,
            routes=len(table.routes),
            accounts=None if table.accounts is None else len(table.accounts),
            faults=table.faults[:_LOGGED_FAULTS],
        )

    def _take_replicas(self, reply: HeartbeatReply) -> None:
        listed = reply.replicas
        if not listed.edition:
            return
        # The age is as of the reply, which was made after sending the request.
        # The result may be too old, but is never too new.
        requested_at_s = self._sent_at_s - listed.age_s
        if listed.edition == self._replicas.edition:
            self._replicas.confirm_list(requested_at_s)
            return
        if not listed.replicas:
            # Empty list: no replica has started yet, or the list is faulty.
            # The replicas of the previous list stay in use.
            self._replicas.edition = listed.edition
            return
        now_s = self._clock.monotonic_s()
        if requested_at_s > self._replicas.requested_at_s:
            self._replicas.edition = listed.edition
        for gone in self._replicas.update_list(
            listed.replicas, requested_at_s, now_s
        ):
            self.on_replica_removed(gone)


def _do_nothing(_) -> None:
    """Stand in for a callback that the process has not set yet."""
