"""Cost of an entry's decisions and of its tables, without a network."""

import random
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

from bench.capacity.fits import fit_rows
from bench.layouts import POOL, SMALL
from snipebridge.clock import SystemClock
from snipebridge.controllers.sessions import SessionDirectory, SessionTable
from snipebridge.policy.admission import (
    AdmissionRequest,
    Admitted,
    make_admission,
)
from snipebridge.policy.prefixes import Prefix
from snipebridge.policy.quality import make_quality_estimator
from snipebridge.policy.replica_selection import (
    LoadReport,
    ReplicaRequest,
    ReplicaView,
    make_replica_selector,
)
from snipebridge.policy.version_selection import make_version_selector
from snipebridge.policy.version_types import VersionCandidate, VersionRequest
from snipebridge.rpc.control_pb2 import EntryMember, SessionRecord

_REPLICA_COUNTS = (10, 50, 150, 340, 690)
_VERSION_COUNTS = (2, 5, 14)
_ACCOUNT_COUNTS = (10, 100)
_ENTRY_COUNTS = (3, 6, 12, 24, 50, 150, 340)
_SESSION_COUNTS = (1000, 10_000, 50_000)
_ROUNDS = 2000
_FEW_ROUNDS = 200
_US_PER_S = 1_000_000
_DATA_CENTRES = 7
_PREFIXES = tuple(Prefix(f'{n:016x}', 64 << n) for n in range(5))


async def measure_policy(folder: Path, seed: int) -> dict[str, Any]:
    """Time each decision by the size that it grows with."""
    rng = random.Random(seed)
    replicas = [_measure_replicas(n, rng) for n in _REPLICA_COUNTS]
    versions = [_measure_versions(n, rng) for n in _VERSION_COUNTS]
    accounts = [_measure_admission(n) for n in _ACCOUNT_COUNTS]
    owners = [await _measure_owners(n) for n in _ENTRY_COUNTS]
    sessions = [_measure_sessions(n) for n in _SESSION_COUNTS]
    for row in (*replicas, *versions, *accounts, *owners, *sessions):
        print(row, flush=True)
    return {
        'replicas': replicas,
        'versions': versions,
        'admission': accounts,
        'session_owners': owners,
        'sessions': sessions,
        'fits': [
            fit_rows(replicas, 'replicas', 'choose_us'),
            fit_rows(replicas, 'replicas', 'book_bytes'),
            fit_rows(versions, 'versions', 'version_us'),
            fit_rows(accounts, 'accounts', 'offer_release_us'),
            fit_rows(owners, 'entries', 'session_find_us'),
            fit_rows(sessions, 'sessions', 'table_bytes'),
        ],
    }


def _measure_replicas(count: int, rng: random.Random) -> dict[str, Any]:
    tracemalloc.start()
    book = make_replica_selector('dc-0', entry='entry-1')
    views = [
        ReplicaView(
            f'engine-{number:03}',
            f'dc-{number % _DATA_CENTRES}',
            POOL,
            frozenset((SMALL,)),
            8,
        )
        for number in range(count)
    ]
    book.set_replicas(views, 0.0)
    for view in views:
        report = LoadReport(rng.randrange(8), 0, 8, 0.3)
        book.record_report(view.name, report, 1.0)
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    request = ReplicaRequest(SMALL, 2000, _PREFIXES, pool=POOL)
    return {
        'replicas': count,
        'choose_us': _time_us(lambda _: book.choose(request, 1.1, rng)),
        'book_bytes': size_bytes,
    }


def _measure_versions(count: int, rng: random.Random) -> dict[str, Any]:
    choice = make_version_selector('budget', make_quality_estimator())
    candidates = [
        VersionCandidate(f'model-{n}@1', 10.0 * (n + 1), 0.7 + n / 100)
        for n in range(count)
    ]
    request = VersionRequest('account-01', 0.95, 'summary', 'short', 300, 80)
    return {
        'versions': count,
        'version_us': _time_us(
            lambda n: choice.choose(request, candidates, n / 10, rng)
        ),
    }


def _measure_admission(count: int) -> dict[str, Any]:
    policy = make_admission()
    policy.set_limit(POOL, 1000, 0.0)

    def offer(number: int) -> None:
        request = AdmissionRequest(f'account-{number % count}', 1.0, POOL)
        now_s = number / 100
        answer = policy.offer(request, now_s)
        if isinstance(answer, Admitted):
            policy.release(answer.ticket, now_s)

    return {'accounts': count, 'offer_release_us': _time_us(offer)}


class _AnsweringPool:
    """Stands for the other entries, which know no session and answer so."""

    __slots__ = ()

    def channel(self, address: str) -> '_AnsweringPool':
        """Return itself for each address."""
        return self

    def unary_unary(self, *names: object, **options: object) -> Callable:
        """Return a call that is answered at once."""

        async def answer(request: object, timeout: float) -> SessionRecord:
            return SessionRecord()

        return answer


async def _measure_owners(count: int) -> dict[str, Any]:
    directory = SessionDirectory('entry-000', SystemClock(), _AnsweringPool())
    directory.set_members(
        [
            EntryMember(
                name=f'entry-{n:03}',
                data_centre=f'dc-{n % _DATA_CENTRES}',
                address=f'10.0.0.{n}:1',
            )
            for n in range(count)
        ]
    )
    begun_s = time.process_time()
    for number in range(_FEW_ROUNDS):
        await directory.find('account-01', f'session-{number}')
    spent_s = time.process_time() - begun_s
    return {
        'entries': count,
        'session_find_us': round(spent_s / _FEW_ROUNDS * _US_PER_S, 1),
    }


def _measure_sessions(count: int) -> dict[str, Any]:
    tracemalloc.start()
    table = SessionTable()
    for number in range(count):
        record = SessionRecord(
            account=f'account-{number % 10}',
            session=f'session-{number:016x}',
            version=SMALL,
            bound_at_ms=number,
            used_at_ms=number,
        )
        table.bind(record)
    size_bytes = tracemalloc.get_traced_memory()[0]
    kept = len(table.records())
    tracemalloc.stop()
    return {'sessions': count, 'kept': kept, 'table_bytes': size_bytes}


def _time_us(action: Callable[[int], Any]) -> float:
    begun_s = time.process_time()
    for number in range(_ROUNDS):
        action(number)
    spent_s = time.process_time() - begun_s
    return round(spent_s / _ROUNDS * _US_PER_S, 2)
