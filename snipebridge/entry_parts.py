"""The long-lived parts of an entry process, and how they are wired."""

import random
from dataclasses import dataclass

from snipebridge.clock import Clock
from snipebridge.controllers.control_link import ControlLink, make_control_link
from snipebridge.controllers.pool_limits import PoolLimits, make_pool_limits
from snipebridge.controllers.recorder import Recorder, make_recorder
from snipebridge.controllers.sessions import SessionDirectory
from snipebridge.controllers.upstream_monitor import UpstreamMonitor
from snipebridge.controllers.version_monitor import (
    VersionMonitor,
    make_version_monitor,
)
from snipebridge.controllers.view import ConfigurationView
from snipebridge.filters.admission import AdmissionGate
from snipebridge.filters.ratings import RatingClient
from snipebridge.metrics import EntryMetrics, make_entry_metrics
from snipebridge.policy.admission import make_admission
from snipebridge.policy.replica_selection import (
    ReplicaSelector,
    make_replica_selector,
)
from snipebridge.reporting import EntryReporter
from snipebridge.rpc.channels import make_channel_pool
from snipebridge.settings.models import Settings
from snipebridge.supervision import Supervisor
from snipebridge.upstreams.client import UpstreamClient, make_upstream_client
from snipebridge.upstreams.engine import make_engine
from snipebridge.upstreams.hosts import make_host_directory
from snipebridge.upstreams.rater import make_rater


@dataclass(slots=True)
class EntryParts:
    """The long-lived parts of an entry."""

    link: ControlLink
    recorder: Recorder
    directory: SessionDirectory
    learning: VersionMonitor
    replicas: ReplicaSelector
    gate: AdmissionGate
    limits: PoolLimits
    watch: UpstreamMonitor
    metrics: EntryMetrics
    supervisor: Supervisor
    ratings: RatingClient
    client: UpstreamClient


def make_entry_parts(
    settings: Settings, clock: Clock, rng: random.Random
) -> EntryParts:
    """Return the parts of an entry, wired."""
    name = settings.process.name
    pool = make_channel_pool(settings.peer_tls)
    directory = SessionDirectory(name, clock, pool)
    learning = make_version_monitor(clock, rng)
    gate = AdmissionGate(make_admission(), clock)
    limits = make_pool_limits(name, gate, clock)
    client = make_upstream_client()
    replicas = make_replica_selector(settings.process.data_centre, entry=name)
    metrics = make_entry_metrics()
    supervisor = Supervisor(metrics.registry, clock)
    watch = UpstreamMonitor(
        replicas,
        make_engine(client),
        make_host_directory(client, settings.entry.host_list_url),
        clock,
        settings.entry.host_list_interval_s,
        limits,
        supervisor,
    )
    reporter = EntryReporter(
        name, learning, directory, gate, limits, watch, clock, rng
    )
    link = make_control_link(settings, clock, reporter)

    def take_view(view: ConfigurationView) -> None:
        watch.set_view(view)
        limits.set_view(view)
        learning.set_view(view)
        directory.set_withdrawn_versions(_withdrawn(view))

    link.on_view = take_view
    learning.on_stop = link.send_now
    return EntryParts(
        link=link,
        recorder=make_recorder(
            link, clock, settings.entry.bill_batch_interval_ms
        ),
        directory=directory,
        learning=learning,
        replicas=replicas,
        gate=gate,
        limits=limits,
        watch=watch,
        metrics=metrics,
        supervisor=supervisor,
        ratings=RatingClient(
            make_rater(client, settings.entry.rater_url), learning
        ),
        client=client,
    )


def _withdrawn(view: ConfigurationView) -> frozenset[str]:
    return frozenset(
        version.name
        for version in view.versions.values()
        if version.state == 'withdrawn'
    )
