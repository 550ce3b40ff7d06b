"""What the program meets outside itself.

Commands read and write only through an `Environment`, so that a test runs
them in-process with streams of its own.
"""

import io
import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TextIO


@dataclass(slots=True)
class Environment:
    """Streams and variables of one run of the program."""

    stdin: TextIO = field(default_factory=lambda: sys.stdin)
    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)


def make_captured_environment(
    stdin: str = '', variables: Mapping[str, str] | None = None
) -> Environment:
    """Return an environment whose output can be read back."""
    return Environment(
        stdin=io.StringIO(stdin),
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        variables=variables or {},
    )
