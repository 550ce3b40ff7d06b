"""A routed request on its way through the filters."""

from dataclasses import dataclass, field
from typing import Protocol

from snipebridge.errors import Ran
from snipebridge.relay.messages import Headers, RelayRequest
from snipebridge.routing.tables import Route, RoutedAccount, RoutingTable


class RelayReply(Protocol):
    """The answer to the caller."""

    started: bool

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the answer as whole."""

    def abort(self) -> None:
        """Close the connection, so that the answer does not look whole."""


@dataclass(slots=True)
class Progress:
    """What came of the work so far, for decisions and the log."""

    service: str = ''
    replica: str = ''
    software: str = ''
    model: str = ''
    attempts: int = 0
    escalations: int = 0
    resumptions: int = 0
    first_dispatch_s: float = 0.0
    first_byte_s: float = 0.0
    # What is known of all runs together.
    ran: Ran = Ran.NO
    status: int = 0
    confidence: float | None = None
    last_event_id: str = ''
    # Software versions whose replicas failed this request in any way, and
    # those that answered it with a failure.
    failed_software: set[str] = field(default_factory=set)
    erring_software: set[str] = field(default_factory=set)


@dataclass(slots=True)
class RelayExchange:
    """A request, what the filters found out, and the reply."""

    request: RelayRequest
    reply: RelayReply
    table: RoutingTable
    route: Route | None = None
    account: RoutedAccount | None = None
    # On the steady clock: when the caller leaves or the route gives up.
    deadline_s: float = 0.0
    priority: int = 0
    outcome: str = ''
    progress: Progress = field(default_factory=Progress)
