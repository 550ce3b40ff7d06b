"""Checks what a client account may use, on arrival and at each dispatch."""

from collections.abc import Sequence

from snipebridge.clock import Clock
from snipebridge.controllers.lease import Lease
from snipebridge.controllers.view import (
    AccountView,
    ConfigurationView,
    VersionView,
)
from snipebridge.filters.chain import Proceed
from snipebridge.filters.errors import (
    ForbiddenError,
    NoLeaseError,
    NotFoundError,
)
from snipebridge.filters.exchange import Exchange, ServiceRequest
from snipebridge.filters.parsing import parse_chat

_ANY_MODEL = 'auto'
_RETRY_AFTER_S = 2.0
_SERVE_LAST = 'serve_last'


class LeaseGuard:
    """Refuses requests once the entry's lease has expired."""

    __slots__ = ('_clock', '_lease', '_serves_last')

    def __init__(self, lease: Lease, clock: Clock, without_lease: str) -> None:
        """Keep the lease and the setting for operation without one."""
        self._lease = lease
        self._clock = clock
        self._serves_last = without_lease == _SERVE_LAST

    def check(self, view: ConfigurationView) -> None:
        """Raise `NoLeaseError` if no request may be dispatched."""
        if self._lease.is_valid(self._clock.monotonic_s()):
            return
        if self._serves_last and view.number > 0:
            return
        raise NoLeaseError(
            'this entry host has no valid lease from control',
            retry_after_s=_RETRY_AFTER_S,
        )


class ChatPermissionFilter:
    """Finds the versions that may serve a chat request."""

    __slots__ = ('_guard',)

    def __init__(self, guard: LeaseGuard) -> None:
        """Keep the guard that checks the lease."""
        self._guard = guard

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Parse the request and set its candidate versions, or refuse it."""
        self._guard.check(exchange.view)
        exchange.chat = parse_chat(exchange.head.body)
        task = exchange.view.task(exchange.chat.task)
        exchange.priority = task.priority
        versions = find_permitted(
            exchange.view, exchange.account, exchange.chat.model
        )
        exchange.candidates = [version.name for version in versions]
        exchange.pool = versions[0].pool
        await proceed()


class ServicePermissionFilter:
    """Checks that the client account may call the service."""

    __slots__ = ('_guard',)

    def __init__(self, guard: LeaseGuard) -> None:
        """Keep the guard that checks the lease."""
        self._guard = guard

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Set the service and its path, or refuse the request."""
        self._guard.check(exchange.view)
        relative = exchange.head.path.removeprefix('/services/')
        name, slash, path = relative.partition('/')
        if name not in exchange.account.services:
            raise ForbiddenError(
                f'service {name} is not allowed for this account'
            )
        service = exchange.view.services.get(name)
        if service is None:
            raise NotFoundError(f'service {name} does not exist')
        exchange.service = ServiceRequest(
            service=name,
            path=slash + path,
            is_idempotent=exchange.head.method in service.idempotent_methods,
        )
        exchange.pool = name
        await proceed()


def find_permitted(
    view: ConfigurationView, account: AccountView, model: str
) -> Sequence[VersionView]:
    """Return the permitted versions that ``model`` selects.

    It names a model or a version, or is ``auto`` for any.
    """
    permitted = view.permitted_versions(account)
    versions = [
        version
        for version in permitted
        if model in {_ANY_MODEL, version.name, version.model}
    ]
    if versions:
        return versions
    known_models = {version.model for version in view.versions.values()}
    if model == _ANY_MODEL or model in known_models or model in view.versions:
        raise ForbiddenError(
            f'model {model} is withdrawn or not allowed for this account'
        )
    raise NotFoundError(f'model {model} does not exist')


def is_permitted(
    view: ConfigurationView, account_name: str, version_name: str
) -> bool:
    """Tell whether a version may serve the account now."""
    account = view.accounts.get(account_name)
    version = view.versions.get(version_name)
    if account is None or version is None or account.disabled:
        return False
    return version.state != 'withdrawn' and version_name in account.versions
