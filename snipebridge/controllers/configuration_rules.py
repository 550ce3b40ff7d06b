"""Validates configuration documents.

The JSON schema checks the structure of the document; the rules check
references between its parts. Each error message states the path, the value
that was found and what is allowed.

>>> check_document({'accounts': {'a': {'versions': ['x@1']}}}, {})
"accounts.a.versions[0]: found 'x@1', allowed are versions: none"
"""

import functools
from collections.abc import Iterable, Iterator
from importlib import resources

import orjson

MAX_DEPTH = 16

_MAX_FOUND_CHARACTERS = 80
_WITHDRAWN = 'withdrawn'
_SCHEMA = orjson.loads(
    resources.files(__package__)
    .joinpath('configuration_schema.json')
    .read_bytes()
)


@functools.cache
def _validator():
    """Return the schema validator, created at the first patch.

    Importing its library takes a sixth of the start-up time of a control
    process, which would delay the recovery of a restarted host.
    """
    import jsonschema  # noqa: PLC0415 - see above

    return jsonschema.Draft202012Validator(_SCHEMA)


def check_document(document, previous, last_bill: int = 0) -> str:
    """Return the first error of a new document, empty when it is valid.

    `last_bill` is the number of the last bill, the upper limit for
    `exported_through`.
    """
    # Most patches change one section of a document that may be large.
    changed = {
        part: content
        for part, content in document.items()
        if not _equal_as_json(previous.get(part), content)
    }
    error = _check_schema(changed)
    if error:
        return error
    return next(_rule_errors(document, previous, last_bill), '')


def exceeds_max_depth(document) -> bool:
    """Return whether the nesting is too deep for the recursive checks."""
    level = [document]
    for _ in range(MAX_DEPTH):
        level = [child for one in level for child in _children(one)]
        if not level:
            return False
    return True


def withdrawn_versions(document) -> frozenset[str]:
    """Return the names of the withdrawn versions."""
    versions = document.get('versions', {})
    return frozenset(
        name
        for name, version in versions.items()
        if version['state'] == _WITHDRAWN
    )


def _equal_as_json(before, after) -> bool:
    # Compared as JSON, because True equals 1 in Python.
    return orjson.dumps(before) == orjson.dumps(after)


def _children(node) -> Iterable:
    if isinstance(node, dict):
        return node.values()
    if isinstance(node, list):
        return node
    return ()


def _check_schema(document) -> str:
    errors = sorted(_validator().iter_errors(document), key=_error_sort_key)
    if not errors:
        return ''
    error = errors[0]
    path = _format_path(error.absolute_path)
    return f'{path}: {_format_error(error)}'


def _error_sort_key(error) -> tuple[str, str]:
    return (_format_path(error.absolute_path), error.message)


def _format_path(parts: Iterable) -> str:
    text = ''.join(
        f'[{part}]' if isinstance(part, int) else f'.{part}' for part in parts
    )
    return text.removeprefix('.') or '(document)'


def _format_error(error) -> str:
    found = _truncate(repr(error.instance))
    if error.validator == 'additionalProperties':
        known = error.schema.get('properties', {})
        unknown = sorted(key for key in error.instance if key not in known)
        return f'found key {unknown[0]!r}, allowed are {_join_names(known)}'
    if error.validator == 'enum':
        return (
            f'found {found}, allowed are {_join_names(error.validator_value)}'
        )
    if error.validator == 'required':
        missing = _join_names(
            key for key in error.validator_value if key not in error.instance
        )
        return f'found no {missing}, allowed is an object with it'
    return (
        f'found {found}, allowed is {error.validator} {error.validator_value}'
    )


def _truncate(text: str) -> str:
    if len(text) <= _MAX_FOUND_CHARACTERS:
        return text
    return f'{text[:_MAX_FOUND_CHARACTERS]}...'


def _join_names(names: Iterable[str]) -> str:
    return ', '.join(sorted(names)) or 'none'


def _rule_errors(document, previous, last_bill: int) -> Iterator[str]:
    yield from _account_errors(document)
    yield from _rollout_errors(document)
    yield from _upstream_errors(document)
    yield from _export_errors(document, previous, last_bill)


def _account_errors(document) -> Iterator[str]:
    for name, account in sorted(document.get('accounts', {}).items()):
        for kind in ('versions', 'services'):
            yield from _unknown_name_errors(
                f'accounts.{name}.{kind}',
                account.get(kind, ()),
                kind,
                document.get(kind, {}),
            )


def _unknown_name_errors(path: str, names, kind: str, known) -> Iterator[str]:
    for position, name in enumerate(names):
        if name not in known:
            yield (
                f'{path}[{position}]: found {name!r}, '
                f'allowed are {kind}: {_join_names(known)}'
            )


def _rollout_errors(document) -> Iterator[str]:
    versions = document.get('versions', {})
    withdrawn = withdrawn_versions(document)
    for name, rollout in sorted(document.get('rollouts', {}).items()):
        path = f'rollouts.{name}'
        stable = rollout['stable']
        if name not in versions:
            yield (
                f'{path}: found {name!r}, '
                f'allowed are versions: {_join_names(versions)}'
            )
        if stable not in versions or stable == name:
            others = _join_names(set(versions) - {name})
            yield (
                f'{path}.stable: found {stable!r}, '
                f'allowed are versions: {others}'
            )
        if rollout['state'] == 'running' and name in withdrawn:
            yield (
                f"{path}.state: found 'running' for a withdrawn version, "
                'allowed are complete, paused, stopped'
            )


def _upstream_errors(document) -> Iterator[str]:
    versions = document.get('versions', {})
    services = document.get('services', {})
    for name, upstream in sorted(document.get('upstreams', {}).items()):
        path = f'upstreams.{name}'
        served = upstream.get('versions', ())
        yield from _unknown_name_errors(
            f'{path}.versions', served, 'versions', versions
        )
        yield from _pool_errors(path, upstream, versions)
        if upstream['kind'] == 'service':
            yield from _service_errors(path, upstream, services)


def _pool_errors(path: str, upstream, versions) -> Iterator[str]:
    for name in upstream.get('versions', ()):
        pool = versions.get(name, {}).get('pool', upstream['pool'])
        if pool != upstream['pool']:
            yield (
                f'{path}.pool: found {upstream["pool"]!r}, '
                f'allowed is {pool!r}, the pool of version {name!r}'
            )


def _service_errors(path: str, upstream, services) -> Iterator[str]:
    service = upstream.get('service', '')
    if service not in services:
        yield (
            f'{path}.service: found {service!r}, '
            f'allowed are services: {_join_names(services)}'
        )


def _export_errors(document, previous, last_bill: int) -> Iterator[str]:
    found = _exported_through(document)
    lowest = _exported_through(previous)
    if not lowest <= found <= last_bill:
        yield (
            f'billing.exported_through: found {found}, '
            f'allowed are {lowest} to {last_bill}'
        )


def _exported_through(document) -> int:
    return document.get('billing', {}).get('exported_through', 0)
