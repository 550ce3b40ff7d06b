"""Typed, immutable views of the numbered configuration at an entry.

A view is built once per configuration number and replaced as a whole, so a
request that holds a view sees a single configuration.

>>> view = make_view(1, b'{"versions": {"small@1": {"model": "small"}}}')
>>> view.versions['small@1'].state
'serving'
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

import orjson

DEFAULT_QUALITY_TARGET = 0.95
DEFAULT_TASK = 'general'
DEFAULT_PRIORITY = 1
IDEMPOTENT_METHODS = ('GET', 'HEAD', 'OPTIONS')


@dataclass(frozen=True, slots=True)
class AccountView:
    """A client account and what it may use."""

    name: str
    weight: float
    quality_target: float
    key_hashes: tuple[str, ...]
    versions: tuple[str, ...]
    services: tuple[str, ...]
    disabled: bool


@dataclass(frozen=True, slots=True)
class VersionView:
    """A version of a model."""

    name: str
    model: str
    state: str
    cost_micros_per_token: float
    prior_quality: float
    pool: str


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """An engine or a replica of a plain service."""

    name: str
    kind: str
    url: str
    data_centre: str
    pool: str
    versions: tuple[str, ...]
    service: str
    slots: int
    checks_fencing: bool
    state: str


@dataclass(frozen=True, slots=True)
class ServiceView:
    """A plain service and its methods that are safe to retry."""

    name: str
    idempotent_methods: tuple[str, ...]
    cost_micros_per_call: int


@dataclass(frozen=True, slots=True)
class TaskView:
    """A task with its priority (0 is the highest) and its deadline."""

    name: str
    priority: int
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class RolloutView:
    """A version under roll-out and the stable version to compare it with."""

    version: str
    stable: str
    state: str


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """One numbered configuration."""

    number: int
    accounts: Mapping[str, AccountView]
    versions: Mapping[str, VersionView]
    upstreams: Mapping[str, UpstreamView]
    services: Mapping[str, ServiceView]
    tasks: Mapping[str, TaskView]
    rollouts: Mapping[str, RolloutView]

    def task(self, name: str) -> TaskView:
        """Return the task, with defaults if it is not configured."""
        return self.tasks.get(name) or TaskView(name, DEFAULT_PRIORITY, 0)

    def permitted_versions(self, account: AccountView) -> list[VersionView]:
        """Return the versions, except withdrawn ones, an account may use."""
        found = (self.versions.get(name) for name in account.versions)
        return [
            version
            for version in found
            if version is not None and version.state != 'withdrawn'
        ]


def make_view(number: int, body: bytes) -> ConfigurationView:
    """Build the view of a configuration body."""
    document = orjson.loads(body) if body else {}
    return ConfigurationView(
        number=number,
        accounts=_section(document, 'accounts', _account),
        versions=_section(document, 'versions', _version),
        upstreams=_section(document, 'upstreams', _upstream),
        services=_section(document, 'services', _service),
        tasks=_section(document, 'tasks', _task),
        rollouts=_section(document, 'rollouts', _rollout),
    )


def _section(document, key: str, make):
    section = document.get(key) or {}
    return MappingProxyType(
        {name: make(name, fields) for name, fields in section.items()},
    )


def _strings(fields, key: str, default: Sequence[str] = ()) -> tuple[str, ...]:
    return tuple(fields.get(key, default))


def _account(name: str, fields) -> AccountView:
    return AccountView(
        name=name,
        weight=float(fields.get('weight', 1)),
        quality_target=fields.get('quality_target', DEFAULT_QUALITY_TARGET),
        key_hashes=_strings(fields, 'key_hashes'),
        versions=_strings(fields, 'versions'),
        services=_strings(fields, 'services'),
        disabled=fields.get('disabled', False),
    )


def _version(name: str, fields) -> VersionView:
    return VersionView(
        name=name,
        model=fields.get('model', name.partition('@')[0]),
        state=fields.get('state', 'serving'),
        cost_micros_per_token=float(fields.get('cost_micros_per_token', 0)),
        prior_quality=float(fields.get('prior_quality', 0.5)),
        pool=fields.get('pool', 'models'),
    )


def _upstream(name: str, fields) -> UpstreamView:
    service = fields.get('service', '')
    return UpstreamView(
        name=name,
        kind=fields.get('kind', 'engine'),
        url=fields['url'].rstrip('/'),
        data_centre=fields.get('data_centre', ''),
        pool=fields.get('pool', service or 'models'),
        versions=_strings(fields, 'versions'),
        service=service,
        slots=fields.get('slots', 8),
        checks_fencing=fields.get('checks_fencing', False),
        state=fields.get('state', 'live'),
    )


def _service(name: str, fields) -> ServiceView:
    return ServiceView(
        name=name,
        idempotent_methods=_strings(
            fields, 'idempotent_methods', IDEMPOTENT_METHODS
        ),
        cost_micros_per_call=fields.get('cost_micros_per_call', 0),
    )


def _task(name: str, fields) -> TaskView:
    return TaskView(
        name=name,
        priority=fields.get('priority', DEFAULT_PRIORITY),
        deadline_ms=fields.get('deadline_ms', 0),
    )


def _rollout(name: str, fields) -> RolloutView:
    return RolloutView(
        version=name,
        stable=fields.get('stable', ''),
        state=fields.get('state', 'running'),
    )
