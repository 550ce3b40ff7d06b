"""State of one request in the filter chain."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from snipebridge.controllers.view import AccountView, ConfigurationView
from snipebridge.errors import Ran
from snipebridge.policy.prefixes import Prefix
from snipebridge.policy.version_selection import VersionDecision
from snipebridge.rpc.commands_pb2 import BillCommand


class Reply(Protocol):
    """The HTTP response to the caller."""

    started: bool

    def set_header(self, name: str, value: str) -> None:
        """Set a header, before the reply has started."""

    def start(self, status: int, content_type: str) -> None:
        """Set status and content type of a reply that is sent in chunks."""

    def write(self, chunk: bytes):
        """Send a chunk; returns an awaitable while the caller reads slowly."""

    async def finish(self, chunk: bytes = b'') -> None:
        """Send the last chunk and end the reply."""


@dataclass(slots=True)
class RequestHead:
    """An HTTP request of any kind, as the listener read it."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    received_s: float
    authorization: str = ''
    idempotency_key: str = ''
    session: str = ''
    deadline_ms: str = ''


@dataclass(slots=True)
class ChatRequest:
    """A chat completion request."""

    body: Mapping[str, Any]
    model: str
    stream: bool
    task: str
    prompt: str
    prompt_tokens: int
    expected_tokens: int
    length_class: str
    prefixes: tuple[Prefix, ...]


@dataclass(slots=True)
class ServiceRequest:
    """A call of a plain service."""

    service: str
    path: str
    is_idempotent: bool


@dataclass(slots=True)
class DeliveryRecord:
    """Execution results that the bill and the access log report."""

    version: str = ''
    upstream: str = ''
    prompt_tokens: int = 0
    completion_tokens: int = 0
    internal_cost_micros: float = 0
    text: str = ''
    first_token_s: float = 0
    attempts: int = 0
    ran: Ran = Ran.NO


@dataclass(slots=True)
class Exchange:
    """A request, the results of the filters, and the reply."""

    request_id: str
    head: RequestHead
    reply: Reply
    view: ConfigurationView
    kind: str
    account: AccountView | None = None
    chat: ChatRequest | None = None
    service: ServiceRequest | None = None
    priority: int = 1
    deadline_s: float | None = None
    pool: str = ''
    candidates: list[str] = field(default_factory=list)
    session_version: str = ''
    decision: VersionDecision | None = None
    delivered: DeliveryRecord = field(default_factory=DeliveryRecord)
    # The end of the response, withheld until the bill is durable.
    final_chunk: bytes = b''
    bill: BillCommand | None = None
    outcome: str = ''

    @property
    def bill_key(self) -> str:
        """The key that identifies the bill of the request."""
        return self.head.idempotency_key or self.request_id
