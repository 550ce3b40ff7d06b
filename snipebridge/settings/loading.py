"""Reading a settings file and checking it against the schema.

>>> parse_settings('[process]\\nname = "a"\\ndata_centre = "d"\\n', 'x').process
ProcessSettings(name='a', data_centre='d', data_folder='', seed=0, memory_mb=0)
"""

import dataclasses
import tomllib
import types
import typing
from pathlib import Path

from snipebridge.settings.errors import SettingsError
from snipebridge.settings.models import Settings

_ALLOWED_VALUES = types.MappingProxyType(
    {
        'entry.without_lease': ('refuse', 'serve_last'),
        'entry.form': ('chat', 'routed'),
    }
)
_UNIT_SUFFIXES = ('_s', '_ms', '_bytes', '_entries')


def load_settings(path: str) -> Settings:
    """Read the file and return checked settings.

    Raises `SettingsError` when the file is missing, is not TOML, or holds a
    key or value that the schema does not allow.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: can not be read: {error}') from error
    return parse_settings(text, path)


def parse_settings(text: str, source: str) -> Settings:
    """Check the text of a settings file; `source` names it in errors."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f'{source}: not valid TOML: {error}') from error
    return _build(Settings, document, source, '')


def _build(model, table, source: str, prefix: str):
    if not isinstance(table, dict):
        raise SettingsError(
            f'{source}: {prefix.rstrip(".")}: found {table!r}, '
            'allowed is a table',
        )
    hints = typing.get_type_hints(model)
    for key in table:
        if key not in hints:
            raise SettingsError(_unknown_key(source, prefix, key, hints))
    arguments = {}
    for model_field in dataclasses.fields(model):
        name = model_field.name
        if name in table:
            arguments[name] = _convert(
                hints[name], table[name], source, prefix + name
            )
        elif _is_required(model_field):
            raise SettingsError(f'{source}: {prefix}{name}: is missing')
    return model(**arguments)


def _is_required(model_field) -> bool:
    missing = dataclasses.MISSING
    return (
        model_field.default is missing
        and model_field.default_factory is missing
    )


def _unknown_key(source: str, prefix: str, key: str, hints) -> str:
    stem = key
    for suffix in _UNIT_SUFFIXES:
        stem = stem.removesuffix(suffix)
    for name in hints:
        if any(name == stem + suffix for suffix in _UNIT_SUFFIXES):
            return f'{source}: {prefix}{key}: wrong unit, allowed is {name}'
    allowed = ', '.join(sorted(hints))
    return f'{source}: {prefix}{key}: unknown key, allowed are {allowed}'


def _convert(kind, found, source: str, key: str):
    if dataclasses.is_dataclass(kind):
        return _build(kind, found, source, f'{key}.')
    if typing.get_origin(kind) is list:
        return _convert_list(kind, found, source, key)
    return _convert_scalar(kind, found, source, key)


def _convert_list(kind, found, source: str, key: str):
    if not isinstance(found, list):
        raise SettingsError(
            f'{source}: {key}: found {found!r}, allowed is an array of tables',
        )
    element = typing.get_args(kind)[0]
    return [
        _convert(element, one, source, f'{key}[{position}]')
        for position, one in enumerate(found)
    ]


def _convert_scalar(kind, found, source: str, key: str):
    if kind is float and type(found) is int:
        found = float(found)
    if type(found) is not kind:
        raise SettingsError(
            f'{source}: {key}: found {found!r}, allowed is a {kind.__name__}',
        )
    if kind in {int, float} and found < 0:
        raise SettingsError(
            f'{source}: {key}: found {found!r}, allowed is 0 or more',
        )
    allowed = _ALLOWED_VALUES.get(key)
    if allowed and found not in allowed:
        listing = ', '.join(allowed)
        raise SettingsError(
            f'{source}: {key}: found {found!r}, allowed are {listing}',
        )
    return found
