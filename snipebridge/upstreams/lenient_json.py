"""Reads JSON of which some parts may be unreadable.

The entries of a list may have several writers. What one of them wrote must not
take the others away: values that no parser takes, since they are nested too
deeply or have a number of thousands of digits, are told apart from the rest by
their brackets alone.

>>> read_members('{"next": null, "odd": ' + '1' * 9999 + '}')
{'next': None, 'odd': Unreadable(reason='ValueError')}
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import orjson

_OPENING = frozenset('[{')
_CLOSING = frozenset(']}')


@dataclass(slots=True, frozen=True)
class Unreadable:
    """Stands for a value that could not be parsed."""

    reason: str


def read_value(text: str) -> Any:
    """Return a value, tolerating control characters in texts.

    >>> read_value('1' * 5000)
    Unreadable(reason='ValueError')
    """
    try:
        return orjson.loads(text)
    except (ValueError, RecursionError):
        pass  # noqa: WPS420 the other parser takes more
    try:
        return json.loads(text, strict=False)
    except (ValueError, RecursionError) as error:
        return Unreadable(type(error).__name__)


def read_members(text: str) -> dict[str, Any]:
    """Return the members of an object, those of a list in it one by one.

    Raises `ValueError` where the text is no object.
    """
    members = {}
    for part in _parts(text, '{}'):
        name, end = json.JSONDecoder(strict=False).raw_decode(part.strip())
        value = part.strip()[end:].strip().removeprefix(':').strip()
        if value.startswith('['):
            members[str(name)] = [
                read_value(one) for one in _parts(value, '[]')
            ]
        else:
            members[str(name)] = read_value(value)
    return members


def _parts(text: str, brackets: str) -> Iterator[str]:
    """Split an object or a list at its own commas.

    >>> list(_parts('[1, [2, 3], "],"]', '[]'))
    ['1', ' [2, 3]', ' "],"']
    """
    text = text.strip()
    if text[:1] != brackets[0] or text[-1:] != brackets[1]:
        raise ValueError(f'found no {brackets}')
    inside = text[1:-1]
    if not inside.strip():
        return
    first = 0
    for comma in _commas(inside):
        yield inside[first:comma]
        first = comma + 1
    yield inside[first:]


def _commas(text: str) -> Iterator[int]:
    """Return the places of commas outside of texts and inner brackets."""
    depth = 0
    is_text = False
    is_escaped = False
    for place, sign in enumerate(text):
        if is_escaped:
            is_escaped = False
        elif is_text:
            is_escaped = sign == '\\'
            is_text = sign != '"'
        elif sign == '"':
            is_text = True
        elif sign == ',' and not depth:
            yield place
        else:
            depth += (sign in _OPENING) - (sign in _CLOSING)
