"""Parses and validates a routing configuration from its JSON document.

The fields of the document are listed in docs/OPERATIONS.md. Unknown fields are
ignored, so that operators may use new ones before every host is updated; known
fields are validated completely before the document is accepted.

>>> read_table(b'{"version": 1, "routes": [], "services": []}').version
1
>>> read_table(b'{"version": 1')
Traceback (most recent call last):
...
snipebridge.routing.errors.DocumentError: the document is not valid JSON
"""

from collections.abc import Iterable, Mapping
from typing import Any

import orjson

from snipebridge.routing.errors import DocumentError
from snipebridge.routing.tables import (
    CallerLimits,
    Engine,
    Route,
    RoutedAccount,
    RouteKind,
    RoutingTable,
    Service,
    Split,
    Tier,
    duplicate_faults,
)
from snipebridge.upstreams.heads import name_fault

_MS_PER_S = 1000
_NUMBER_TYPES = (int, float)


class _Section:
    """One object of the document, with its path for error messages."""

    __slots__ = ('_content', 'path')

    def __init__(self, content: Any, path: str) -> None:
        if not isinstance(content, dict):
            raise DocumentError(f'{path}: found {content!r}, allowed is {{}}')
        self._content: Mapping[str, Any] = content
        self.path = path

    def text(self, name: str, default: str | None = None) -> str:
        return self._read(name, str, 'text', default)

    def flag(self, name: str) -> bool:
        return self._read(name, bool, 'true or false', default=False)

    def number(self, name: str, default: float | None = None) -> float:
        return self._read(name, _NUMBER_TYPES, 'a number', default)

    def seconds(self, name: str, default_s: float | None = None) -> float:
        """Return a field in milliseconds as seconds."""
        default = None if default_s is None else default_s * _MS_PER_S
        return self.number(name, default) / _MS_PER_S

    def sections(self, name: str) -> list['_Section']:
        return [
            _Section(content, f'{self.path}{name}[{position}].')
            for position, content in enumerate(self.items(name))
        ]

    def items(self, name: str) -> list[Any]:
        actual = self._content.get(name)
        if actual is None:
            return []
        if not isinstance(actual, list):
            self.reject(name, actual, 'a list')
        return actual

    def texts(self, name: str) -> tuple[str, ...]:
        actual = self.items(name)
        if not all(isinstance(one, str) for one in actual):
            self.reject(name, actual, 'a list of texts')
        return tuple(actual)

    def has(self, name: str) -> bool:
        return self._content.get(name) is not None

    def section(self, name: str) -> '_Section':
        return _Section(self._content.get(name), f'{self.path}{name}.')

    def reject(self, name: str, actual: Any, allowed: str) -> None:
        raise DocumentError(
            f'{self.path}{name}: found {actual!r}, allowed is {allowed}'
        )

    def _read(self, name: str, kind, allowed: str, default):
        actual = self._content.get(name)
        if actual is None and default is not None:
            return default
        is_flag = isinstance(actual, bool)
        if not isinstance(actual, kind) or (is_flag and kind is not bool):
            self.reject(name, actual, allowed)
        return actual


# Far above the largest document that fits into a message between processes.
DOCUMENT_LIMIT_BYTES = 16_777_216


def read_table(document: bytes) -> RoutingTable:
    """Return the table that a document describes.

    Raises `DocumentError` with the path of the first invalid field.
    """
    try:
        content = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        raise DocumentError('the document is not valid JSON') from error
    root = _Section(content, '')
    version = root.number('version')
    if version <= 0 or version != int(version):
        root.reject('version', version, 'a whole number above 0')
    services = {
        service.name: service
        for service in map(_read_service, root.sections('services'))
    }
    sections = root.sections('routes')
    routes = tuple(_read_route(section, services) for section in sections)
    accounts = None
    if root.has('accounts'):
        accounts = tuple(map(_read_account, root.sections('accounts')))
        _check_keys(accounts)
    _check_unique_routes(sections)
    limits = CallerLimits()
    if root.has('limits'):
        limits = _read_limits(root.section('limits'))
    return RoutingTable(int(version), routes, services, accounts, limits)


def check_faults(table: RoutingTable) -> None:
    """Raise `DocumentError` for what earlier releases took and this doesn't.

    Not part of `read_table`: a configuration that is in force already must
    stay readable, so that one fault takes nothing away from the others.
    """
    if table.faults:
        raise DocumentError(table.faults[0])


def _read_route(section: _Section, services: Mapping[str, Service]) -> Route:
    prefix = section.text('path_prefix')
    if not (prefix.startswith('/') and prefix.endswith('/')):
        section.reject('path_prefix', prefix, '/ at its begin and end')
    timeout_s = section.seconds('timeout_ms')
    if timeout_s <= 0:
        section.reject('timeout_ms', timeout_s, 'a number above 0')
    tiers = section.texts('tiers')
    return Route(
        name=section.text('name'),
        # Hosts are compared in small letters (RFC 9110, 4.2.3).
        host=section.text('host').lower(),
        path_prefix=prefix,
        kind=_read_kind(section),
        timeout_s=timeout_s,
        objective_s=section.seconds('objective_ms', 0.0),
        priority=int(section.number('priority', 0)),
        attempts_limit=max(1, int(section.number('attempts_limit', 1))),
        splits=_read_splits(section, services),
        is_keyless=section.flag('keyless'),
        is_resumable=section.flag('resumable'),
        pause_objective_s=section.seconds('pause_objective_ms', 0.0),
        tiers=tiers,
        allowed_regions=section.texts('allowed_regions'),
        fault=_first_fault(f'{section.path}tiers', tiers),
    )


def _read_kind(section: _Section) -> RouteKind:
    kind = section.text('kind')
    try:
        return RouteKind(kind)
    except ValueError as error:
        allowed = ', '.join(RouteKind)
        raise DocumentError(
            f'{section.path}kind: found {kind!r}, allowed are {allowed}'
        ) from error


def _read_splits(
    section: _Section, services: Mapping[str, Service]
) -> tuple[Split, ...]:
    if section.has('split'):
        splits = tuple(
            Split(part.text('service'), part.number('weight'))
            for part in section.sections('split')
        )
    else:
        splits = (Split(section.text('service')),)
    for split in splits:
        if split.service not in services:
            section.reject('service', split.service, 'a service of this file')
        if split.weight < 0:
            section.reject('weight', split.weight, '0 or more')
    if not sum(split.weight for split in splits):
        section.reject('split', 'weights that add up to 0', 'a weight above 0')
    return splits


def _read_service(section: _Section) -> Service:
    engine = None
    if section.has('engine'):
        engine = _read_engine(section.section('engine'))
    return Service(
        name=section.text('name'),
        health_path=section.text('health_check_path', ''),
        connection_limit=int(section.number('max_connections', 0)),
        engine=engine,
        warm_up_s=section.number('warm_up_s', 0.0),
        warm_up_per_s=section.number('warm_up_per_s', 0.0),
    )


def _read_engine(section: _Section) -> Engine:
    return Engine(
        slots=int(section.number('slots', 0)),
        memory_tokens=int(section.number('memory_tokens', 0)),
        tiers=tuple(
            Tier(part.text('name'), part.number('price', 0.0))
            for part in section.sections('models')
        ),
    )


def _read_account(section: _Section) -> RoutedAccount:
    priority = None
    if section.has('priority'):
        priority = int(section.number('priority'))
    name = section.text('name')
    return RoutedAccount(
        name,
        section.texts('keys'),
        priority,
        section.texts('allowed_regions'),
        _first_fault(f'{section.path}name', (name,)),
    )


def _first_fault(path: str, names: Iterable[str]) -> str:
    """Return what is wrong with the first name that can't be a header."""
    for name in names:
        fault = name_fault(name)
        if fault:
            return f'{path}: found {name!r}, allowed is no {fault}'
    return ''


def _read_limits(section: _Section) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_limit_bytes=int(
            section.number('max_header_bytes', defaults.header_limit_bytes)
        ),
        body_limit_bytes=int(
            section.number('max_body_bytes', defaults.body_limit_bytes)
        ),
        header_timeout_s=section.seconds(
            'header_timeout_ms', defaults.header_timeout_s
        ),
        idle_timeout_s=section.seconds(
            'idle_timeout_ms', defaults.idle_timeout_s
        ),
    )


def _check_unique_routes(sections: Iterable[_Section]) -> None:
    """Raise `DocumentError` for two routes whose hosts are written alike.

    Earlier releases took hosts that differ in the case of a letter, so these
    are among the faults of the table.
    """
    faults = duplicate_faults(
        (section.text('host'), section.text('path_prefix'))
        for section in sections
    )
    if faults:
        raise DocumentError(faults[0])


def _check_keys(accounts: Iterable[RoutedAccount]) -> None:
    owners: dict[str, str] = {}
    for account in accounts:
        for key in account.keys:
            owner = owners.setdefault(key, account.name)
            if owner != account.name:
                raise DocumentError(
                    f'accounts: {owner} and {account.name} share a key'
                )
