"""Typed values of a routing configuration, and the table indexed by host.

>>> route = Route('r', 'a.example', '/x/', RouteKind.IDEMPOTENT, 1.0)
>>> table = RoutingTable(1, routes=(route,))
>>> table.find_route('a.example', '/x/y').name
'r'
>>> table.find_route('a.example', '/z/') is None
True
"""

import enum
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field


@enum.unique
class RouteKind(enum.StrEnum):
    """Whether requests may be retried, and whether responses are streams."""

    STREAMING = 'streaming'
    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'


@dataclass(slots=True, frozen=True)
class Split:
    """One service of a route and its weight."""

    service: str
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class Route:
    """Services, limits and objectives of requests of one host and path."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float = 0.0
    # 0 is the most urgent.
    priority: int = 0
    attempts_limit: int = 1
    splits: tuple[Split, ...] = ()
    is_keyless: bool = False
    # A stream can be resumed at another replica after the last event id.
    is_resumable: bool = False
    pause_objective_s: float = 0.0
    # Models that the system selects from, smallest first.
    tiers: tuple[str, ...] = ()
    # Regions that its requests may reach; empty: any.
    allowed_regions: tuple[str, ...] = ()
    # Why a replica can't be told one of its tiers, empty if it can.
    fault: str = ''

    @property
    def allows_retry(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(slots=True, frozen=True)
class Tier:
    """A model that the engines of a service serve, and its price."""

    model: str
    # Per 1,000 generated tokens; a prompt token costs a quarter.
    price: float


@dataclass(slots=True, frozen=True)
class Engine:
    """Capacity and models of the replicas of a service of model engines."""

    slots: int
    memory_tokens: int
    tiers: tuple[Tier, ...] = ()

    def price_of(self, model: str) -> float:
        """Return the price of a model, 0 where it has none."""
        for tier in self.tiers:
            if tier.model == model:
                return tier.price
        return 0.0


@dataclass(slots=True, frozen=True)
class Service:
    """A service that receives requests."""

    name: str
    health_path: str = ''
    # Connections that one replica accepts from all hosts in total; 0: no limit.
    connection_limit: int = 0
    engine: Engine | None = None
    # How long a replica is cold after its start, and the requests a second
    # that it bears meanwhile; 0: it bears any.
    warm_up_s: float = 0.0
    warm_up_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class RoutedAccount:
    """A client account and its keys."""

    name: str
    keys: tuple[str, ...] = ()
    # Overrides the priority of the route if given.
    priority: int | None = None
    # Regions that its requests may reach; empty: any.
    allowed_regions: tuple[str, ...] = ()
    # Why a replica can't be told its name, empty if it can.
    fault: str = ''


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on the size of requests and on slow or idle connections."""

    header_limit_bytes: int = 32_768
    body_limit_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@dataclass(slots=True)
class RoutingTable:
    """One version of the routing configuration, indexed by host and key."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    # None: requests need no key. Empty: no key works.
    accounts: tuple[RoutedAccount, ...] | None = None
    limits: CallerLimits = field(default_factory=CallerLimits)
    _by_host: dict[str, list[Route]] = field(init=False, repr=False)
    _by_key: dict[str, RoutedAccount] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        """Index routes by host, longest prefix first, and accounts by key."""
        self._by_host = {}
        longest_first = sorted(
            self.routes, key=lambda route: -len(route.path_prefix)
        )
        for route in longest_first:
            self._by_host.setdefault(route.host, []).append(route)
        self._by_key = {
            key: account
            for account in self.accounts or ()
            for key in account.keys
        }

    @property
    def requires_keys(self) -> bool:
        """Tell whether requests need the key of an account."""
        return self.accounts is not None

    @property
    def faults(self) -> list[str]:
        """Names that replicas can't be told, and routes that are never found."""
        owners = (*self.routes, *(self.accounts or ()))
        places = ((route.host, route.path_prefix) for route in self.routes)
        return [
            *(one.fault for one in owners if one.fault),
            *duplicate_faults(places),
        ]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching prefix.

        The case of a host counts for nothing (RFC 9110, 4.2.3).
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_account(self, key: str) -> RoutedAccount | None:
        """Return the account of a key."""
        return self._by_key.get(key)


def duplicate_faults(places: Iterable[tuple[str, str]]) -> list[str]:
    """Return what is wrong with routes of the same host and prefix.

    >>> duplicate_faults([('a', '/'), ('a', '/')])
    ['routes: found 2 routes of a/, allowed is one']
    """
    return [
        f'routes: found {count} routes of {host}{prefix}, allowed is one'
        for (host, prefix), count in Counter(places).items()
        if count > 1
    ]
