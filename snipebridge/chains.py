"""The filters of each kind of request, in their order."""

import random

from snipebridge.clock import Clock
from snipebridge.entry_parts import EntryParts
from snipebridge.filters.admission import AdmissionFilter
from snipebridge.filters.attempts import AttemptRunner
from snipebridge.filters.billing import BillingFilter
from snipebridge.filters.chat import ChatDependencies, ChatFilter
from snipebridge.filters.deadline import DeadlineFilter
from snipebridge.filters.identity import IdentityFilter
from snipebridge.filters.logging import LogFilter
from snipebridge.filters.models import ModelsFilter
from snipebridge.filters.permission import (
    ChatPermissionFilter,
    LeaseGuard,
    ServicePermissionFilter,
)
from snipebridge.filters.service import ServiceDependencies, ServiceFilter
from snipebridge.filters.session import SessionFilter
from snipebridge.filters.version import VersionFilter
from snipebridge.listener import Chains
from snipebridge.policy.retries import make_retry_policy
from snipebridge.settings.models import Settings
from snipebridge.upstreams.engine import make_engine
from snipebridge.upstreams.services import make_service


def make_chains(
    settings: Settings, clock: Clock, parts: EntryParts, rng: random.Random
) -> Chains:
    """Return the filters of each kind of request, in order."""
    name = settings.process.name
    guard = LeaseGuard(parts.link.lease, clock, settings.entry.without_lease)
    attempts = AttemptRunner(
        parts.link, guard, parts.replicas, make_retry_policy(), clock, rng
    )
    first = (LogFilter(parts.metrics, clock), IdentityFilter())
    deadline = DeadlineFilter(clock, settings.entry.request_timeout_s)
    admission = AdmissionFilter(parts.gate)
    chat = ChatFilter(
        ChatDependencies(
            engine=make_engine(parts.client),
            attempt_runner=attempts,
            learning=parts.learning,
            ratings=parts.ratings,
            clock=clock,
            limits=settings.entry,
        ),
    )
    service = ServiceFilter(
        ServiceDependencies(
            service=make_service(parts.client),
            attempt_runner=attempts,
            recorder=parts.recorder,
            clock=clock,
            limits=settings.entry,
            entry=name,
        ),
    )
    return Chains(
        chat=(
            *first,
            ChatPermissionFilter(guard),
            deadline,
            SessionFilter(parts.directory),
            admission,
            VersionFilter(
                parts.learning, parts.directory, parts.link, clock, rng
            ),
            BillingFilter(
                parts.recorder, clock, name, settings.entry.bill_timeout_s
            ),
            chat,
        ),
        service=(
            *first,
            ServicePermissionFilter(guard),
            deadline,
            admission,
            service,
        ),
        models=(*first, ModelsFilter()),
    )
