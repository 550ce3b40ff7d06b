"""What an entry knows of replicas, their software and the models there."""

from dataclasses import dataclass, field

from snipebridge.policy.prefill_speed import PrefillSpeedEstimator
from snipebridge.relay.replicas import ReplicaBook
from snipebridge.relay.software import SoftwareChoice


@dataclass(slots=True)
class Knowledge:
    """Learned from requests here, and from what control tells."""

    software: SoftwareChoice
    book: ReplicaBook = field(default_factory=ReplicaBook)
    paces: PrefillSpeedEstimator = field(default_factory=PrefillSpeedEstimator)
