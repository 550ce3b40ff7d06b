"""The part of a heartbeat that concerns entries which route to services."""

from collections.abc import Sequence

from snipebridge.control.leader import Leadership
from snipebridge.controllers.software_rollouts import SoftwareRolloutState
from snipebridge.fleet.prompts import add_prompt_state, take_prompt_report
from snipebridge.rpc.control_pb2 import (
    Evacuations,
    HeartbeatReply,
    HeartbeatRequest,
    ModelPace,
    ReplicaList,
    SoftwareRollout,
)


def add_routed_part(
    leadership: Leadership,
    request: HeartbeatRequest,
    reply: HeartbeatReply,
    process: str,
) -> None:
    """Take an entry's report and add what it has not got yet."""
    now_s = leadership.clock.monotonic_s()
    machine = leadership.machine
    routed = leadership.routed
    routed.take_report(request, process, now_s)
    take_prompt_report(routed.crashes, request, now_s)
    add_prompt_state(leadership, reply, now_s)
    reply.evacuations.CopyFrom(
        Evacuations(data_centres=machine.evacuations.in_force)
    )
    routed.rate_limits.add_reply(request, reply, now_s)
    reply.routing_version = machine.routing.version
    if request.routing_version < machine.routing.version:
        _add_routing(leadership, request, reply)
    reply.controls.extend(
        member.address for member in leadership.replica.members()
    )
    if not machine.routing.version:
        return
    rollouts = machine.software_rollouts
    reply.software_rollouts.extend(
        _rollout(
            one,
            rollouts.rejected(one.service),
            rollouts.in_use(one.service),
        )
        for one in rollouts.by_service.values()
    )
    routed.add_draws(request.entry, reply)
    reply.model_paces.extend(
        ModelPace(model=one.model, ms_per_token=one.ms_per_token)
        for one in routed.paces.middle(now_s)
    )
    if routed.held.edition:
        reply.replicas.CopyFrom(_list(leadership, request, now_s))
        reply.replica_loads.CopyFrom(
            routed.loads.of_others(request.entry, routed.held.order, now_s)
        )


def _add_routing(
    leadership: Leadership, request: HeartbeatRequest, reply: HeartbeatReply
) -> None:
    routing = leadership.machine.routing
    if request.reads_packed_routing:
        reply.packed_routing = leadership.routed.packed.pack(
            routing.version, routing.document
        )
    else:
        reply.routing = routing.document


def _list(
    leadership: Leadership, request: HeartbeatRequest, now_s: float
) -> ReplicaList:
    held = leadership.routed.held
    listed = ReplicaList(edition=held.edition, age_s=now_s - held.asked_at_s)
    if request.replicas_edition != held.edition:
        listed.replicas.extend(held.replicas)
    return listed


def _rollout(
    state: SoftwareRolloutState, rejected: Sequence[str], in_use: str
) -> SoftwareRollout:
    return SoftwareRollout(
        service=state.service,
        target=state.target,
        share_permille=state.share_permille,
        number=state.number,
        state=state.state,
        rejected=rejected,
        in_use=in_use,
    )
