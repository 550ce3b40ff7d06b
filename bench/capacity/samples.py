"""What the kernel says of a process: time, memory, sockets, disk."""

import re
import shutil
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path

from bench.processes import cpu_seconds

_KIB_BYTES = 1024
_SENT = re.compile(r'bytes_sent:(\d+)')
_RECEIVED = re.compile(r'bytes_received:(\d+)')


@dataclass(slots=True)
class Sample:
    """Counters of one process at one moment."""

    at_s: float
    cpu_s: float
    resident_bytes: int
    sent_bytes: int
    received_bytes: int
    written_bytes: int


@dataclass(slots=True)
class Usage:
    """What a process used between two samples."""

    cpu_share: float
    resident_bytes: int
    sent_bytes_per_s: float
    received_bytes_per_s: float
    written_bytes_per_s: float


def take_sample(pid: int) -> Sample:
    """Read the counters of a process."""
    sent_bytes, received_bytes = socket_bytes(pid)
    return Sample(
        at_s=time.monotonic(),
        cpu_s=cpu_seconds(pid),
        resident_bytes=resident_bytes(pid),
        sent_bytes=sent_bytes,
        received_bytes=received_bytes,
        written_bytes=_written_bytes(pid),
    )


def usage_between(before: Sample, after: Sample) -> Usage:
    """Return the use between two samples, a second.

    Only sockets that stay open count, so it fits long-lived connections.
    """
    spent_s = after.at_s - before.at_s
    return Usage(
        cpu_share=round((after.cpu_s - before.cpu_s) / spent_s, 4),
        resident_bytes=after.resident_bytes,
        sent_bytes_per_s=_rate(before.sent_bytes, after.sent_bytes, spent_s),
        received_bytes_per_s=_rate(
            before.received_bytes, after.received_bytes, spent_s
        ),
        written_bytes_per_s=_rate(
            before.written_bytes, after.written_bytes, spent_s
        ),
    )


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * _KIB_BYTES
    return 0


def socket_bytes(pid: int) -> tuple[int, int]:
    """Return bytes sent and received on the open TCP sockets."""
    if shutil.which('ss') is None:
        return 0, 0
    listed = subprocess.run(
        ['ss', '-tinpOH'], capture_output=True, text=True, check=True
    )
    mark = f'pid={pid},'
    lines = [line for line in listed.stdout.splitlines() if mark in line]
    return _sum(_SENT, lines), _sum(_RECEIVED, lines)


def _sum(pattern: re.Pattern[str], lines: list[str]) -> int:
    found = [pattern.search(line) for line in lines]
    return sum(int(match.group(1)) for match in found if match)


def _written_bytes(pid: int) -> int:
    for line in Path(f'/proc/{pid}/io').read_text().splitlines():
        if line.startswith('wchar:'):
            return int(line.split()[1])
    return 0


def _rate(before: int, after: int, spent_s: float) -> float:
    return round((after - before) / spent_s, 1)
