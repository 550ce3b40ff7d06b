"""What an entry knows of replicas, their software and the models there."""

from dataclasses import dataclass, field

from snipebridge.policy.prefill_speed import PrefillSpeedEstimator
from snipebridge.relay.replicas import ReplicaRegistry
from snipebridge.relay.software_selection import SoftwareSelector


@dataclass(slots=True)
class RelayState:
    """Learned from requests here, and from what control tells."""

    software: SoftwareSelector
    replicas: ReplicaRegistry = field(default_factory=ReplicaRegistry)
    prefill_speeds: PrefillSpeedEstimator = field(
        default_factory=PrefillSpeedEstimator
    )
