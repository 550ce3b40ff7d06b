"""State of an entry: replicas, versions, prefill speeds and prompts."""

from dataclasses import dataclass, field

from snipebridge.policy.prefill_speed import PrefillSpeedEstimator
from snipebridge.relay.back_offs import BackOffs
from snipebridge.relay.brittle_services import BrittleServices
from snipebridge.relay.prompt_guard import PromptGuard
from snipebridge.relay.replica_limits import ReplicaLimits
from snipebridge.relay.replicas import ReplicaRegistry
from snipebridge.relay.software_selection import SoftwareSelector
from snipebridge.relay.stopping import PlannedStop


@dataclass(slots=True)
class RelayState:
    """State updated by the entry's own requests and by heartbeats."""

    software: SoftwareSelector
    replicas: ReplicaRegistry = field(default_factory=ReplicaRegistry)
    prefill_speeds: PrefillSpeedEstimator = field(
        default_factory=PrefillSpeedEstimator
    )
    prompts: PromptGuard = field(default_factory=PromptGuard)
    limits: ReplicaLimits = field(default_factory=ReplicaLimits)
    brittle: BrittleServices = field(default_factory=BrittleServices)
    back_offs: BackOffs = field(default_factory=BackOffs)
    stop: PlannedStop = field(default_factory=PlannedStop)
