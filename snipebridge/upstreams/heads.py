r"""Writes the heads of requests to upstreams.

Field values are handled as Latin-1 text, one character for each byte on the
wire, as they were read from callers. Names from a configuration or a replica
list are Unicode and have to be encoded first:

>>> [encode_name(name) for name in ('studio', 'Télé', '福')]
['studio', 'Télé', 'ç¦\x8f']
"""

import re
from collections.abc import Iterable

from snipebridge.upstreams.errors import InvalidHeadError

_CHARSET = 'latin1'
# Control characters other than a tab (RFC 9110, 5.5).
_CONTROL = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')
_LINE_BREAKING = re.compile(r'[\r\n\0]')
_OPTIONAL_SPACE = ' \t'


def encode_name(name: str) -> str:
    r"""Return a name as a field value, different for each name.

    The value is the name itself in Latin-1, or in UTF-8 if the name has other
    characters or its Latin-1 bytes could be read as UTF-8. A receiver gets the
    name back if it decodes the value as UTF-8, and as Latin-1 if that fails.

    >>> encode_name('é'), encode_name('Ã©')
    ('é', 'Ã\x83Â©')
    """
    if name.isascii():
        return name
    try:
        name.encode(_CHARSET).decode()
    except UnicodeEncodeError:
        return name.encode().decode(_CHARSET)
    except UnicodeDecodeError:
        return name
    return name.encode().decode(_CHARSET)


def name_fault(name: str) -> str:
    r"""Return what a field value must not be or have, empty if all is well.

    >>> name_fault('Sfax'), name_fault('Sfax\n')
    ('', 'control character')
    """
    if not name:
        return 'empty name'
    if _CONTROL.search(name):
        return 'control character'
    if name.strip(_OPTIONAL_SPACE) != name:
        # Not part of the value for its receiver (RFC 9110, 5.5).
        return 'white space around a name'
    return ''


def write_head(request_line: str, fields: Iterable[tuple[str, str]]) -> bytes:
    """Return the head of a request with its empty line.

    Raises `InvalidHeadError` for text that would end a line early or is not
    Latin-1, so that no field can add another one.
    """
    lines = [request_line]
    lines.extend(f'{name}: {text}' for name, text in fields)
    for line in lines:
        if _LINE_BREAKING.search(line):
            raise InvalidHeadError(
                f'found {line!r}, allowed is a line without CR, LF and NUL'
            )
    try:
        return '\r\n'.join((*lines, '', '')).encode(_CHARSET)
    except UnicodeEncodeError as error:
        raise InvalidHeadError(
            f'found {error.object[error.start]!r} in a request head, '
            'allowed is Latin-1'
        ) from error
