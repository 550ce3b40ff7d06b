"""Dependencies shared by all forwarded requests of an entry."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from snipebridge.clock import Clock
from snipebridge.policy.congestion_price import CongestionPrice
from snipebridge.policy.latency_baseline import (
    SLOW_ANSWER,
    SLOW_STREAM,
    LatencyBaseline,
)
from snipebridge.policy.prefill_speed import PrefillSpeedEstimator
from snipebridge.policy.retry_window import RetryWindow
from snipebridge.policy.tiers import TierPolicy
from snipebridge.relay.back_offs import BackOffs
from snipebridge.relay.brittle_services import BrittleServices
from snipebridge.relay.buffers import BufferBudget
from snipebridge.relay.crash_watch import CrashWatch
from snipebridge.relay.messages import HeaderCodec
from snipebridge.relay.metrics import RelayMetrics
from snipebridge.relay.paths import PathFinder
from snipebridge.relay.prompt_guard import PromptGuard
from snipebridge.relay.replica_limits import ReplicaLimits
from snipebridge.relay.replica_placement import ReplicaPlacer
from snipebridge.relay.software_selection import SoftwareSelector
from snipebridge.upstreams.connections import ConnectionPool


@dataclass(slots=True)
class ForwardDependencies:
    """Long-lived objects used to forward requests."""

    placer: ReplicaPlacer
    pool: ConnectionPool
    paths: PathFinder
    codec: HeaderCodec
    software: SoftwareSelector
    prefill_speeds: PrefillSpeedEstimator
    prompts: PromptGuard
    limits: ReplicaLimits
    brittle: BrittleServices
    back_offs: BackOffs
    crashes: CrashWatch
    retries: RetryWindow
    metrics: RelayMetrics
    clock: Clock
    rng: random.Random
    # Number of entries that share the retry budget.
    entry_count: Callable[[], int]
    # Sends a heartbeat at once, to report that a version was stopped here.
    report_now: Callable[[], None]
    tiers: TierPolicy = field(default_factory=TierPolicy)
    price: CongestionPrice = field(default_factory=CongestionPrice)
    # Typical times of whole answers, and of the events of streams.
    answer_baseline: LatencyBaseline = field(
        default_factory=lambda: LatencyBaseline(SLOW_ANSWER)
    )
    stream_baseline: LatencyBaseline = field(
        default_factory=lambda: LatencyBaseline(SLOW_STREAM)
    )
    buffers: BufferBudget = field(default_factory=BufferBudget)
