"""Stores exactly one bill per request.

The key of a bill is its client account and request id. The digest of the
key is stored until a resent bill would be rejected for its age, so removing
a digest never allows a duplicate. The bill itself is retained until an
operator acknowledges its export, see `bill_segments`.
"""

from collections.abc import Iterator
from dataclasses import asdict, dataclass

from snipebridge.controllers.bill_segments import BillSegments, NumberedBill
from snipebridge.controllers.digest_window import DigestWindow, make_digest
from snipebridge.controllers.results import (
    accepted,
    duplicate,
    expired,
    invalid,
)
from snipebridge.rpc.commands_pb2 import BillCommand, CommandResult


@dataclass(slots=True)
class AccountTotal:
    """Sums over all bills ever recorded for a client account."""

    bills: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cost_micros: int = 0
    internal_cost_micros: int = 0

    def add(self, bill: BillCommand) -> None:
        """Add one bill."""
        self.bills += 1
        self.prompt_tokens += bill.prompt_tokens
        self.completion_tokens += bill.completion_tokens
        self.cost_micros += bill.cost_micros
        self.internal_cost_micros += bill.internal_cost_micros


class Ledger:
    """Replicated state: key digests, unexported bills and totals.

    >>> ledger = Ledger(retention_ms=1000)
    >>> bill = BillCommand(account='a', request_id='r', finished_at_ms=5)
    >>> first = ledger.apply(bill, now_ms=6)
    >>> ledger.apply(bill, now_ms=7).code == CommandResult.DUPLICATE
    True
    """

    __slots__ = ('_retention_ms', '_key_digests', 'bills', 'totals')

    def __init__(self, retention_ms: int) -> None:
        """Accept bills that are at most `retention_ms` old."""
        self.bills = BillSegments()
        self.totals: dict[str, AccountTotal] = {}
        self._retention_ms = retention_ms
        self._key_digests = DigestWindow(retention_ms)

    def apply(self, bill: BillCommand, now_ms: int) -> CommandResult:
        """Record the bill unless it is a duplicate, expired or invalid."""
        error = self._validation_error(bill, now_ms)
        if error:
            return error
        digest = make_digest(bill.account, bill.request_id)
        if digest in self._key_digests:
            return duplicate()
        # The clock of an entry may be ahead of the log, so the digest is
        # retained until the bill has expired by its own timestamp.
        retained_from_ms = max(now_ms, bill.finished_at_ms)
        self._key_digests.add(digest, retained_from_ms, now_ms)
        self.bills.append(bill)
        self.totals.setdefault(bill.account, AccountTotal()).add(bill)
        return accepted()

    def read(self, after: int, limit: int) -> Iterator[NumberedBill]:
        """Return at most `limit` unexported bills after a cursor."""
        return self.bills.read(after, limit)

    def key_count(self) -> int:
        """Return the number of stored key digests."""
        return self._key_digests.count()

    def dump(self) -> dict:
        """Return the state as JSON types."""
        return {
            'window': self._key_digests.dump(),
            'bills': self.bills.dump(),
            'totals': {
                account: asdict(total)
                for account, total in sorted(self.totals.items())
            },
        }

    def load(self, state: dict) -> None:
        """Replace the state with a dumped one."""
        self._key_digests.load(state['window'])
        self.bills.load(state['bills'])
        self.totals = {
            account: AccountTotal(**total)
            for account, total in state['totals'].items()
        }

    def _validation_error(
        self, bill: BillCommand, now_ms: int
    ) -> CommandResult | None:
        if not bill.account or not bill.request_id:
            return invalid('a bill requires an account and a request id')
        if bill.finished_at_ms < now_ms - self._retention_ms:
            return expired('the bill is older than the retention period')
        if bill.finished_at_ms > now_ms + self._retention_ms:
            return invalid(
                'the bill is dated more than the retention period ahead'
            )
        return None
