"""What the parts of the capacity measurement share."""

import dataclasses
import time

from bench.cluster import Cluster
from bench.layouts import SMALL_LAYOUT
from bench.nodes import Node
from snipebridge.controllers.members import EntryHost
from snipebridge.rpc.commands_pb2 import Command

_MS_PER_S = 1000
_REGIONS = 3
_DATA_CENTRES = 7
_PER_NETWORK = 250

# The least that starts: three controls, one entry, one of each stand-in.
CONTROLS_ONLY = dataclasses.replace(
    SMALL_LAYOUT, entry_count=1, engine_count=1, service_replicas=1
)


async def leader_and_follower(cluster: Cluster) -> tuple[Node, Node]:
    """Return the control that leads and one that follows."""
    leader = await cluster.leader()
    followers = [
        node for name, node in cluster.controls.items() if name != leader.name
    ]
    return leader, followers[0]


def set_wall_time(command: Command) -> Command:
    """Let a bill finish now."""
    command.bill.finished_at_ms = int(time.time() * _MS_PER_S)
    return command


def light_host(number: int) -> EntryHost:
    """Return name, data centre and address of an entry without callers."""
    data_centre = number % _DATA_CENTRES
    network, place = divmod(number, _PER_NETWORK)
    return EntryHost(
        name=f'light-{number:03}',
        data_centre=f'region-{data_centre % _REGIONS}-dc-{data_centre}',
        address=f'10.0.{network}.{place}:7001',
    )
