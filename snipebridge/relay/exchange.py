"""State of a routed request while it passes the filters."""

from dataclasses import dataclass, field
from typing import Protocol

from snipebridge.errors import Ran
from snipebridge.relay.messages import Headers, RelayRequest
from snipebridge.routing.tables import Route, RoutedAccount, RoutingTable


class RelayReply(Protocol):
    """The response to the caller."""

    started: bool

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""

    async def finish(self) -> None:
        """End the response as complete."""

    def abort(self) -> None:
        """Close the connection, so that the response looks incomplete."""


@dataclass(slots=True, frozen=True)
class BrokenRun:
    """A run that had begun when its connection broke off."""

    replica: str
    broke_s: float


@dataclass(slots=True)
class Progress:
    """Results of the attempts so far, for decisions and the log."""

    service: str = ''
    replica: str = ''
    software: str = ''
    model: str = ''
    attempts: int = 0
    escalations: int = 0
    resumptions: int = 0
    first_dispatch_s: float = 0.0
    first_byte_s: float = 0.0
    # Combined run state of all attempts.
    ran: Ran = Ran.NO
    status: int = 0
    confidence: float | None = None
    last_event_id: str = ''
    # Software versions whose replicas failed this request in any way, and
    # those that responded with status 5xx.
    failed_software: set[str] = field(default_factory=set)
    erring_software: set[str] = field(default_factory=set)
    broken_runs: list[BrokenRun] = field(default_factory=list)


@dataclass(slots=True)
class RelayExchange:
    """A request, the results of the filters, and the reply."""

    request: RelayRequest
    reply: RelayReply
    table: RoutingTable
    route: Route | None = None
    account: RoutedAccount | None = None
    # On the monotonic clock: the sooner of caller timeout and route timeout.
    deadline_s: float = 0.0
    priority: int = 0
    outcome: str = ''
    progress: Progress = field(default_factory=Progress)

    @property
    def account_name(self) -> str:
        """The account of the caller, empty on a route without keys."""
        return self.account.name if self.account else ''

    @property
    def digest(self) -> str:
        """What this request shares with those of the same content."""
        return self.request.digest_for(self.account_name)
