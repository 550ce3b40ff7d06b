"""Passes over the tests of KNOWN-RED.txt, and prints them.

Each entry of the file begins with the name of the test at the start of a
line; the lines that go on with its story are indented.
"""

from pathlib import Path

import pytest

_LIST = Path(__file__).resolve().parents[1] / 'KNOWN-RED.txt'


def known_red():
    """Return the names of the tests that are known to fail."""
    if not _LIST.exists():
        return []
    lines = _LIST.read_text(encoding='utf-8').splitlines()
    return [line.split()[0] for line in lines if line[:5] == 'tests']


def pytest_collection_modifyitems(items):
    """Let the listed tests run without failing the whole."""
    names = known_red()
    for one in items:
        if one.nodeid in names:
            mark = pytest.mark.xfail(reason='KNOWN-RED.txt', strict=False)
            one.add_marker(mark)


def pytest_terminal_summary(terminalreporter):
    """Print the list."""
    for name in known_red():
        terminalreporter.write_line(f'known red: {name}')
