"""Records of requests that may run at most once.

A record is created before the request is dispatched and finished with the
outcome of the attempt. A second request with the same key gets the result of
the record; it runs only if the first attempt certainly did not.
"""

import base64
from collections.abc import Iterator
from dataclasses import dataclass

from snipebridge.controllers.ledger import Ledger
from snipebridge.controllers.response_store import ResponseStore
from snipebridge.controllers.results import (
    accepted,
    conflict,
    duplicate,
    invalid,
    key_reuse,
)
from snipebridge.rpc.commands_pb2 import (
    RAN_NO,
    RAN_UNKNOWN,
    RAN_YES,
    BeginCommand,
    CommandResult,
    FinishCommand,
)

# Far above the request timeout of an entry. An attempt that is unfinished
# after this time was lost together with its entry process.
RUNNING_TIMEOUT_MS = 600_000

Key = tuple[str, str]


@dataclass(slots=True)
class RequestRecord:
    """One request that may run at most once."""

    account: str
    request_id: str
    attempt: str
    digest: bytes
    entry: str
    changed_at_ms: int

    def key(self) -> Key:
        """Return the client account and request id."""
        return (self.account, self.request_id)


class RequestRecords:
    """Replicated state: the records by client account and request id.

    Finished records are removed after the retention period. Records that
    stay unfinished for `RUNNING_TIMEOUT_MS` become unknown, and unknown
    records are kept permanently.
    """

    __slots__ = ('_done', '_ledger', '_responses', '_retention_ms', '_running', '_unknown')  # fmt: skip

    def __init__(self, ledger: Ledger, retention_ms: int) -> None:
        """Record the bills of finished requests in the ledger."""
        self._ledger = ledger
        self._retention_ms = retention_ms
        self._responses = ResponseStore()
        # Each ordered by the time of the last change, oldest first.
        self._running: dict[Key, RequestRecord] = {}
        self._done: dict[Key, RequestRecord] = {}
        self._unknown: dict[Key, RequestRecord] = {}

    def begin(self, begin: BeginCommand, now_ms: int) -> CommandResult:
        """Create a record, or return the result of the existing one."""
        if not begin.account or not begin.request_id or not begin.attempt:
            return invalid(
                'a record requires an account, a request id and an attempt'
            )
        self._expire(now_ms)
        record = RequestRecord(
            begin.account,
            begin.request_id,
            begin.attempt,
            begin.digest,
            begin.entry,
            now_ms,
        )
        existing = self._find(record.key())
        if existing is not None:
            return self._existing_result(existing, record)
        self._running[record.key()] = record
        return accepted()

    def finish(self, finish: FinishCommand, now_ms: int) -> CommandResult:
        """Store the outcome of an attempt and its bill."""
        key = (finish.account, finish.request_id)
        existing = self._find(key)
        if existing is None:
            return _finish_without_record(finish)
        if existing.attempt != finish.attempt:
            return conflict('the record belongs to another attempt')
        if key not in self._running:
            return self._finish_closed(key, finish)
        if finish.ran == RAN_NO:
            self._running.pop(key)
            return accepted(ran=RAN_NO)
        return self._close(existing, finish, now_ms)

    def running(self, entry: str) -> Iterator[RequestRecord]:
        """Yield the unfinished records of an entry."""
        for record in self._running.values():
            if record.entry == entry:
                yield record

    def running_count(self) -> int:
        """Return the number of unfinished requests."""
        return len(self._running)

    def unknown_count(self) -> int:
        """Return the number of requests whose outcome stays unknown."""
        return len(self._unknown)

    def dump(self) -> dict:
        """Return the state as JSON types."""
        return {
            'running': _dump_records(self._running),
            'done': _dump_records(self._done),
            'unknown': _dump_records(self._unknown),
            'answers': self._responses.dump(),
        }

    def load(self, state: dict) -> None:
        """Replace the state with a dumped one."""
        self._running = _load_records(state['running'])
        self._done = _load_records(state['done'])
        self._unknown = _load_records(state['unknown'])
        self._responses.load(state['answers'])

    def _find(self, key: Key) -> RequestRecord | None:
        return (
            self._running.get(key)
            or self._done.get(key)
            or self._unknown.get(key)
        )

    def _existing_result(
        self, existing: RequestRecord, requested: RequestRecord
    ) -> CommandResult:
        key = existing.key()
        if existing.digest != requested.digest:
            return key_reuse(existing.request_id)
        if key in self._done:
            return self._repeat_result(key)
        if key in self._unknown:
            return duplicate(ran=RAN_UNKNOWN)
        if existing.attempt == requested.attempt:
            # The acknowledgement of this attempt was lost.
            return accepted()
        return CommandResult(code=CommandResult.IN_PROGRESS)

    def _finish_closed(self, key: Key, finish: FinishCommand) -> CommandResult:
        if key in self._done:
            if finish.ran == RAN_YES:
                return self._repeat_result(key)
            return conflict('the request has already run', ran=RAN_YES)
        if finish.ran == RAN_UNKNOWN:
            return duplicate(ran=RAN_UNKNOWN)
        return conflict('the outcome is permanently unknown', ran=RAN_UNKNOWN)

    def _repeat_result(self, key: Key) -> CommandResult:
        response = self._responses.get(key)
        if response is None:
            return duplicate(ran=RAN_YES)
        return duplicate(ran=RAN_YES, answer=response)

    def _close(
        self, record: RequestRecord, finish: FinishCommand, now_ms: int
    ) -> CommandResult:
        key = record.key()
        if finish.HasField('bill'):
            bill = finish.bill
            if (bill.account, bill.request_id) != key:
                return invalid('the bill belongs to another request')
            billed = self._ledger.apply(bill, now_ms)
            if billed.code == CommandResult.INVALID:
                return billed
        record.changed_at_ms = now_ms
        self._running.pop(key)
        if finish.ran == RAN_YES:
            self._done[key] = record
            self._responses.put(key, finish.answer)
        else:
            self._unknown[key] = record
        return accepted(ran=finish.ran)

    def _expire(self, now_ms: int) -> None:
        done_ms = now_ms - self._retention_ms
        for record in _pop_older_than(self._done, done_ms):
            self._responses.remove(record.key())
        running_ms = now_ms - RUNNING_TIMEOUT_MS
        for record in _pop_older_than(self._running, running_ms):
            self._unknown[record.key()] = record


def _finish_without_record(finish: FinishCommand) -> CommandResult:
    if finish.ran == RAN_NO:
        return duplicate(ran=RAN_NO)
    return invalid('the request has no record, or its record has expired')


def _pop_older_than(
    records: dict[Key, RequestRecord], oldest_ms: int
) -> list[RequestRecord]:
    older = []
    for record in records.values():
        if record.changed_at_ms >= oldest_ms:
            break
        older.append(record)
    for record in older:
        records.pop(record.key())
    return older


def _dump_records(records: dict[Key, RequestRecord]) -> list:
    return [
        [
            record.account,
            record.request_id,
            record.attempt,
            base64.b64encode(record.digest).decode(),
            record.entry,
            record.changed_at_ms,
        ]
        for record in records.values()
    ]


def _load_records(state: list) -> dict[Key, RequestRecord]:
    records = {}
    for account, request_id, attempt, digest, entry, changed_at_ms in state:
        record = RequestRecord(
            account,
            request_id,
            attempt,
            base64.b64decode(digest),
            entry,
            changed_at_ms,
        )
        records[record.key()] = record
    return records
