"""Heads of requests to upstreams, with names that are not ASCII."""

import itertools

import pytest

from snipebridge.upstreams.errors import InvalidHeadError
from snipebridge.upstreams.heads import encode_name, name_fault, write_head

ALPHABET = ('a', '?', '\x80', '\xa0', '¦', 'Ã', 'ç', 'é', 'Ā', '福', '😀')
NAMES = [
    ''.join(letters)
    for length in (1, 2, 3)
    for letters in itertools.product(ALPHABET, repeat=length)
]


def decode(value: str) -> str:
    """Read a value as its receiver should."""
    sent = value.encode('latin1')
    try:
        return sent.decode()
    except UnicodeDecodeError:
        return sent.decode('latin1')


def test_each_name_has_a_value_of_its_own():
    """Guards against two accounts that are one to a replica."""
    values = {encode_name(name) for name in NAMES}
    assert len(values) == len(NAMES)
    assert all(decode(encode_name(name)) == name for name in NAMES)


@pytest.mark.parametrize('name', ['studio', 'Télé', 'Tèlé', 'é', 'Straße 5'])
def test_names_that_were_sent_before_keep_their_bytes(name):
    """Guards against a change of accounts that replicas know already."""
    assert encode_name(name) == name


@pytest.mark.parametrize(
    'name', ['', ' x', 'x ', '\tx', 'x\t', 'x\n', 'x\r\ny: 1', '\0', '\x7f']
)
def test_name_that_no_field_can_have_has_a_fault(name):
    """Guards against names that arrive as another one or split a request."""
    assert name_fault(name)


@pytest.mark.parametrize('name', ['a b', 'a\tb', 'Télé', '福岡', '\xa0x', '?'])
def test_other_names_have_none(name):
    """Guards against a configuration that is refused for no reason."""
    assert not name_fault(name)


@pytest.mark.parametrize('character', ['\r', '\n', '\0', '福'])
def test_head_with_a_broken_line_is_not_written(character):
    """Guards against a header or request inside of a name or a target."""
    text = f'a{character}b'
    for line, fields in (
        (f'GET /{text} HTTP/1.1', []),
        ('GET / HTTP/1.1', [('Name', text)]),
        ('GET / HTTP/1.1', [(text, 'value')]),
    ):
        with pytest.raises(InvalidHeadError):
            write_head(line, fields)


def test_bytes_of_callers_are_unchanged():
    """Guards against headers of callers that are encoded once more."""
    sent = bytes(range(0x80, 0x100))
    head = write_head('GET / HTTP/1.1', [('X', sent.decode('latin1'))])
    assert head == b'GET / HTTP/1.1\r\nX: ' + sent + b'\r\n\r\n'
