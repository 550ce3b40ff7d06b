"""Builds the filter chain of routed requests."""

import random
from collections.abc import Sequence

from snipebridge.clock import Clock
from snipebridge.controllers.control_link import ControlLink
from snipebridge.filters.chain import Filter
from snipebridge.policy.retry_window import RetryWindow
from snipebridge.relay.crash_watch import CrashWatch
from snipebridge.relay.dependencies import ForwardDependencies
from snipebridge.relay.filters import (
    AccountFilter,
    FreshnessCheck,
    DeadlineFilter,
    LogFilter,
    RouteFilter,
)
from snipebridge.relay.forwarding import ForwardFilter
from snipebridge.relay.messages import HeaderCodec
from snipebridge.relay.metrics import RelayMetrics
from snipebridge.relay.paths import PathFinder
from snipebridge.relay.replica_placement import ReplicaPlacer
from snipebridge.relay.reporting import RelayReporter
from snipebridge.relay.state import RelayState
from snipebridge.relay.stopping import StopFilter
from snipebridge.settings.models import Settings
from snipebridge.upstreams.connections import ConnectionPool

_MS_PER_S = 1000


def make_filters(
    settings: Settings,
    link: ControlLink,
    reporter: RelayReporter,
    state: RelayState,
    pool: ConnectionPool,
    paths: PathFinder,
    metrics: RelayMetrics,
    clock: Clock,
    rng: random.Random,
) -> Sequence[Filter]:
    """Return the filters of an entry, in order."""
    promises = settings.promises
    dependencies = ForwardDependencies(
        placer=ReplicaPlacer(state, clock, rng, settings),
        pool=pool,
        paths=paths,
        codec=HeaderCodec(settings.headers),
        software=state.software,
        prefill_speeds=state.prefill_speeds,
        prompts=state.prompts,
        limits=state.limits,
        brittle=state.brittle,
        back_offs=state.back_offs,
        crashes=CrashWatch(state.prompts, paths, clock, link.send_now),
        retries=RetryWindow(
            promises.retry_ratio,
            promises.retry_slack,
            promises.retry_window_s,
        ),
        metrics=metrics,
        clock=clock,
        rng=rng,
        entry_count=lambda: reporter.entry_count,
        report_now=link.send_now,
    )
    freshness = FreshnessCheck(link, clock, promises.convergence_ms / _MS_PER_S)
    return [
        LogFilter(clock, metrics),
        RouteFilter(freshness),
        AccountFilter(link, clock, freshness),
        DeadlineFilter(clock),
        StopFilter(state.stop, clock),
        ForwardFilter(dependencies),
    ]
