"""The settings of a process as typed values.

Each field carries its unit as a suffix. Defaults are the ones documented in
docs/OPERATIONS.md.
"""

from dataclasses import dataclass, field


DEFAULT_RESEND_MS = 4000.0


@dataclass(slots=True)
class ProcessSettings:
    """Who this process is and where it stands."""

    name: str
    data_centre: str
    data_folder: str = ''
    seed: int = 0
    # The memory of the host; 0 if the settings do not tell it.
    memory_mb: int = 0


@dataclass(slots=True)
class ListenerSettings:
    """An address to listen on, its limits and its TLS files."""

    host: str = '127.0.0.1'
    port: int = 0
    # host:port in one; goes before the two where it is given.
    address: str = ''
    tls_certificate_file: str = ''
    tls_key_file: str = ''
    tls_client_ca_file: str = ''
    body_limit_bytes: int = 4_194_304
    header_limit_bytes: int = 32_768
    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 120.0

    def __post_init__(self) -> None:
        """Take host and port from the address."""
        if self.address:
            self.host, _, port = self.address.rpartition(':')
            self.port = int(port) if port.isdecimal() else 0


@dataclass(slots=True)
class SeedSettings:
    """Some control processes by which the others are found.

    Only their hosts count where ``rpc_port`` is set. ``bootstrap`` tells a
    control process that the system starts for the first time.
    """

    addresses: list[str] = field(default_factory=list)
    rpc_port: int = 0
    bootstrap: bool = False


@dataclass(slots=True)
class HeaderSettings:
    """Names of the headers by which routed requests are described."""

    key: str = 'Snipebridge-Key'
    attempt_id: str = 'Snipebridge-Attempt-Id'
    deadline_ms: str = 'Snipebridge-Deadline-Ms'
    session: str = 'Snipebridge-Session'
    model: str = 'Snipebridge-Model'
    tokens: str = 'Snipebridge-Tokens'
    prompt_parts: str = 'Snipebridge-Prompt-Parts'
    length_hint: str = 'Snipebridge-Length-Hint'
    account: str = 'Snipebridge-Account'
    replica: str = 'Snipebridge-Replica'
    priority: str = 'Snipebridge-Priority'
    signature: str = 'Snipebridge-Signature'
    not_run: str = 'Snipebridge-Not-Run'
    load: str = 'Snipebridge-Load'
    confidence: str = 'Snipebridge-Confidence'
    # Requests a second that a replica in need takes from all entries together.
    rate_limit: str = 'Snipebridge-Rate-Limit'
    # Rejections a second above which the replica falls over.
    rejection_limit: str = 'Snipebridge-Rejection-Limit'
    # In all answers of a replica that is about to stop.
    leaving: str = 'Snipebridge-Leaving'
    # Further headers that only the system may send to a replica.
    reserved: list[str] = field(default_factory=list)


@dataclass(slots=True)
class ReplicaListSettings:
    """Where the platform's list of replicas is, and how it is read."""

    url: str = ''
    # One process reads for all, so that the calls do not grow with them.
    interval_s: float = 1.0
    # An entry whose copy is older reads the list itself.
    fallback_after_s: float = 1.9


@dataclass(slots=True)
class DataCentreSettings:
    """A data centre and the region that it is in."""

    name: str
    region: str


@dataclass(slots=True)
class PromiseSettings:
    """What the operators were promised, in the units of their contract."""

    revocation_ms: float = 5000.0
    drain_ms: float = 3000.0
    convergence_ms: float = 2000.0
    grace_s: float = 8.0
    retry_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_slack: float = 20.0
    canary_share: float = 0.15
    # Requests that a bad version may get beyond its share.
    canary_slack: float = 0.0
    session_s: float = 5.0
    # For how long operators resend an order that is not a configuration.
    resend_ms: float = DEFAULT_RESEND_MS
    # A cold replica gets at most the requests a second that its service names,
    # times the ratio, and the slack, in any second and from all entries.
    warm_up_ratio: float = 1.0
    warm_up_slack: float = 0.0


@dataclass(slots=True)
class ControlAddress:
    """Where one control process listens for the other processes."""

    name: str
    address: str
    data_centre: str = ''


@dataclass(slots=True)
class PeerTlsSettings:
    """TLS between the system's own processes; empty means plain TCP."""

    certificate_file: str = ''
    key_file: str = ''
    ca_file: str = ''


@dataclass(slots=True)
class ControlSettings:
    """Timing and size limits of the replicated log."""

    election_timeout_s: float = 1.0
    heartbeat_interval_s: float = 0.15
    snapshot_after_entries: int = 4096
    entry_lease_s: float = 3.0
    bill_retention_s: float = 86_400.0
    record_retention_s: float = 86_400.0
    places_versions: bool = False
    join: bool = False
    # Losses at once that the log must bear; decides how many vote.
    tolerated_losses: int = 1


@dataclass(slots=True)
class EntrySettings:
    """Behaviour of an entry host."""

    # "chat" for the OpenAI form, "routed" for hosts and paths of services.
    form: str = 'chat'
    heartbeat_interval_s: float = 0.5
    without_lease: str = 'refuse'
    request_timeout_s: float = 120.0
    first_byte_timeout_s: float = 20.0
    idle_chunk_timeout_s: float = 20.0
    connect_timeout_s: float = 2.0
    upstream_idle_limit_s: float = 15.0
    bill_batch_interval_ms: float = 4.0
    bill_timeout_s: float = 6.0
    drain_timeout_s: float = 60.0
    host_list_url: str = ''
    host_list_interval_s: float = 1.0
    rater_url: str = ''


@dataclass(slots=True)
class PlacementSettings:
    """How an entry weighs replicas, beside the wait of the request itself."""

    # Cost of a millisecond by which a prompt pauses one running stream,
    # relative to one of its own wait; 0 leaves pauses out.
    pause_weight: float = 0.0
    # Only where replicas run at most so many requests at once. On engines of
    # 96 and 128 slots a weight cost 0.004 to 0.015 of the worth at usual load.
    pause_slots_limit: int = 32
    # Near replicas are preferred where the own data centre has at least so
    # many of a service, to save traffic between data centres; 0 is off.
    near_replicas: int = 0


@dataclass(slots=True)
class LogSettings:
    """Where decision log lines go; an empty file means standard output."""

    file: str = ''
    decisions: bool = True


@dataclass(slots=True)
class Settings:
    """All settings of one process."""

    process: ProcessSettings
    listener: ListenerSettings = field(default_factory=ListenerSettings)
    rpc_listener: ListenerSettings = field(default_factory=ListenerSettings)
    controls: list[ControlAddress] = field(default_factory=list)
    peer_tls: PeerTlsSettings = field(default_factory=PeerTlsSettings)
    control: ControlSettings = field(default_factory=ControlSettings)
    entry: EntrySettings = field(default_factory=EntrySettings)
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    log: LogSettings = field(default_factory=LogSettings)
    admin_key_hash: str = ''
    # Operators need no key: whoever reaches the listener is one.
    keyless_operators: bool = False
    ready_listener: ListenerSettings = field(default_factory=ListenerSettings)
    metrics_listener: ListenerSettings = field(default_factory=ListenerSettings)
    # Where other entries connect that reach no replica by themselves.
    tunnel_listener: ListenerSettings = field(default_factory=ListenerSettings)
    seeds: SeedSettings = field(default_factory=SeedSettings)
    headers: HeaderSettings = field(default_factory=HeaderSettings)
    replica_list: ReplicaListSettings = field(
        default_factory=ReplicaListSettings
    )
    # Needed where routes or accounts name the regions that they may use.
    data_centres: list[DataCentreSettings] = field(default_factory=list)
    promises: PromiseSettings = field(default_factory=PromiseSettings)
