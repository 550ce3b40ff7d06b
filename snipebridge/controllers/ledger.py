"""Bills: exactly one for each request.

The key of a bill is its client account and request id. The digest of the
key is remembered until a resent bill would be too old to be accepted, so
that forgetting a key never lets a bill in twice. The bill itself is kept
until an operator acknowledges an export, see `bill_segments`.
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
    """Sums over all bills of a client account since the first."""

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
    """Replicated state: keys, unexported bills and totals.

    >>> ledger = Ledger(retention_ms=1000)
    >>> bill = BillCommand(account='a', request_id='r', finished_at_ms=5)
    >>> first = ledger.apply(bill, now_ms=6)
    >>> ledger.apply(bill, now_ms=7).code == CommandResult.DUPLICATE
    True
    """

    __slots__ = ('_retention_ms', '_key_digests', 'bills', 'totals')

    def __init__(self, retention_ms: int) -> None:
        """Accept bills that are not older than the retention."""
        self.bills = BillSegments()
        self.totals: dict[str, AccountTotal] = {}
        self._retention_ms = retention_ms
        self._key_digests = DigestWindow(retention_ms)

    def apply(self, bill: BillCommand, now_ms: int) -> CommandResult:
        """Keep the bill unless its key is known or too old."""
        error = self._validation_error(bill, now_ms)
        if error:
            return error
        digest = make_digest(bill.account, bill.request_id)
        if digest in self._key_digests:
            return duplicate()
        # An entry's clock may run ahead: the key is kept until the bill is
        # too old by the time that the bill itself carries.
        retained_from_ms = max(now_ms, bill.finished_at_ms)
        self._key_digests.add(digest, retained_from_ms, now_ms)
        self.bills.append(bill)
        self.totals.setdefault(bill.account, AccountTotal()).add(bill)
        return accepted()

    def read(self, after: int, limit: int) -> Iterator[NumberedBill]:
        """Return unexported bills after a cursor."""
        return self.bills.read(after, limit)

    def key_count(self) -> int:
        """Return how many keys are remembered."""
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
        """Replace the state by a dumped one."""
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
            return invalid('a bill needs an account and a request id')
        if bill.finished_at_ms < now_ms - self._retention_ms:
            return expired('the bill is older than the retention')
        if bill.finished_at_ms > now_ms + self._retention_ms:
            return invalid('the clock of the entry is a retention ahead')
        return None
