"""Entries without callers: the real control link, many in one process."""

import asyncio
import time
from dataclasses import dataclass, field

from bench.capacity.system import light_host
from snipebridge.clock import SystemClock
from snipebridge.controllers.control_link import ControlLink
from snipebridge.controllers.view import ConfigurationView
from snipebridge.rpc.channels import make_channel_pool
from snipebridge.rpc.control_pb2 import (
    AccountDemand,
    HeartbeatReply,
    HeartbeatRequest,
    QualityCell,
    VersionOutcome,
)
from snipebridge.settings.models import (
    ControlAddress,
    PeerTlsSettings,
    ProcessSettings,
    Settings,
)

_START_PAUSE_S = 0.02
# What an entry at work reports: two versions, ten client accounts.
_REPORTED_VERSIONS = ('small@1', 'large@1')
_REPORTED_ACCOUNTS = 10
_REPORTED_SUM = 12.5


@dataclass(slots=True)
class Traffic:
    """Counts over all light entries."""

    heartbeats: int = 0
    request_bytes: int = 0
    reply_bytes: int = 0
    last_reply_bytes: int = 0
    term: int = 0
    granted_at_s: float = 0.0
    seen_at_s: dict[int, list[float]] = field(default_factory=dict)


class LightReporter:
    """Fills in a report of usual size and counts bytes both ways."""

    __slots__ = ('_entries_digest', '_report_id', '_traffic', 'entry_count')

    def __init__(self, traffic: Traffic) -> None:
        """Count into the traffic of all."""
        self._traffic = traffic
        self._report_id = 0
        self._entries_digest = 0
        # The interval of the settings is what is measured here.
        self.entry_count = 1

    def fill_request(self, request: HeartbeatRequest) -> None:
        """Add outcomes, ratings and demands."""
        self._report_id += 1
        request.report_id = self._report_id
        request.MergeFrom(_REPORT)
        request.entries_digest = self._entries_digest
        self._traffic.heartbeats += 1
        self._traffic.request_bytes += request.ByteSize()

    def apply_reply(self, reply: HeartbeatReply) -> None:
        """Count the reply, and keep which list of entries it brought."""
        if reply.entries:
            self._entries_digest = reply.entries_digest
        size_bytes = reply.ByteSize()
        self._traffic.reply_bytes += size_bytes
        self._traffic.last_reply_bytes = size_bytes
        self._traffic.granted_at_s = time.monotonic()
        self._traffic.term = max(self._traffic.term, reply.term)


class LightEntries:
    """A growing set of light entries."""

    __slots__ = ('_addresses', '_links', '_tasks', 'traffic')

    def __init__(self, addresses: list[str]) -> None:
        """Keep the gRPC addresses of the controls."""
        self._addresses = [
            ControlAddress(f'control-{number + 1}', address)
            for number, address in enumerate(addresses)
        ]
        self._links: list[ControlLink] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.traffic = Traffic()

    @property
    def count(self) -> int:
        """Return how many entries there are."""
        return len(self._links)

    async def grow(self, count: int) -> None:
        """Start entries until there are so many."""
        while len(self._links) < count:
            link = self._make_link(len(self._links))
            self._links.append(link)
            self._tasks.append(asyncio.create_task(link.run()))
            await asyncio.sleep(_START_PAUSE_S)

    def seen(self, number: int) -> list[float]:
        """Return when each entry took a configuration."""
        return self.traffic.seen_at_s.get(number, [])

    async def close(self) -> None:
        """Stop all."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(link.close() for link in self._links))

    def _make_link(self, number: int) -> ControlLink:
        host = light_host(number)
        settings = Settings(
            ProcessSettings(host.name, host.data_centre),
            controls=self._addresses,
        )
        link = ControlLink(
            settings,
            SystemClock(),
            make_channel_pool(PeerTlsSettings()),
            LightReporter(self.traffic),
        )
        link.set_address(host.address)
        link.on_view = self._note_view
        return link

    def _note_view(self, view: ConfigurationView) -> None:
        seen = self.traffic.seen_at_s.setdefault(view.number, [])
        seen.append(time.monotonic())


def _outcomes() -> list[VersionOutcome]:
    return [
        VersionOutcome(
            version=version,
            answered=7,
            rated=2,
            rated_good=2,
            rating_sum=_REPORTED_SUM,
            rating_square_sum=_REPORTED_SUM,
            first_token_s_sum=_REPORTED_SUM,
            first_token_s_square_sum=_REPORTED_SUM,
            first_tokens=7,
        )
        for version in _REPORTED_VERSIONS
    ]


def _cells() -> list[QualityCell]:
    return [
        QualityCell(
            version=version,
            task='caption',
            length_class='short',
            good=_REPORTED_SUM,
            total=_REPORTED_SUM,
        )
        for version in _REPORTED_VERSIONS
    ]


def _demands() -> list[AccountDemand]:
    return [
        AccountDemand(
            account=f'account-{number:02}',
            pool='models',
            running=_REPORTED_SUM,
            waiting=1,
            completed=_REPORTED_SUM,
        )
        for number in range(_REPORTED_ACCOUNTS)
    ]


def usual_report() -> HeartbeatRequest:
    """Return what an entry at work reports."""
    return HeartbeatRequest(
        outcomes=_outcomes(), quality=_cells(), demands=_demands()
    )


_REPORT = usual_report()
