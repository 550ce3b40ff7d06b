"""The numbered configuration and the stored results of patches.

A patch names the configuration number that it is based on and is accepted
only while that number is current, so concurrent operators never overwrite
changes that they have not seen. The result is stored under the idempotency
key of the patch, so a resent patch gets its first result.
"""

import copy
import hashlib
from dataclasses import dataclass

import json_merge_patch
import orjson

from snipebridge.controllers.configuration_rules import (
    check_document,
    exceeds_max_depth,
    withdrawn_versions,
)
from snipebridge.controllers.results import (
    accepted,
    conflict,
    duplicate,
    invalid,
    key_reuse,
)
from snipebridge.rpc.commands_pb2 import CommandResult, PatchCommand

# The operator name of patches that the system itself submits.
SYSTEM_OPERATOR = 'snipebridge'

# Validating a larger patch would delay applying the log.
MAX_PATCH_BYTES = 1_048_576

_MAX_RESULTS = 10_000


@dataclass(slots=True)
class StoredPatchResult:
    """The first result for an idempotency key of an operator."""

    operator: str
    key: str
    digest: str
    answered_at_ms: int
    code: int
    message: str
    number: int


class Configuration:
    """Replicated state: number, document and stored patch results.

    >>> configuration = Configuration(result_retention_ms=1000)
    >>> patch = PatchCommand(idempotency_key='k', patch=b'{"tasks": {}}')
    >>> configuration.apply(patch, now_ms=0).number
    1
    """

    __slots__ = ('_result_retention_ms', '_results', 'document', 'number')

    def __init__(self, result_retention_ms: int) -> None:
        """Start with an empty document and number 0."""
        self.number = 0
        self.document: dict = {}
        self._result_retention_ms = result_retention_ms
        self._results: dict[tuple[str, str], StoredPatchResult] = {}

    def apply(
        self, patch: PatchCommand, now_ms: int, last_bill: int = 0
    ) -> CommandResult:
        """Apply a patch, or return the stored result of a resent one."""
        self._expire_results(now_ms)
        key = (patch.operator, patch.idempotency_key)
        digest = _digest(patch)
        stored = self._results.get(key)
        if stored is not None:
            return self._repeat_result(stored, digest)
        result = self._apply_new(patch, last_bill)
        self._results[key] = StoredPatchResult(
            patch.operator,
            patch.idempotency_key,
            digest,
            now_ms,
            result.code,
            result.message,
            result.number,
        )
        return result

    def body(self) -> bytes:
        """Return the document as JSON."""
        return orjson.dumps(self.document, option=orjson.OPT_SORT_KEYS)

    def exported_through(self) -> int:
        """Return the cursor up to which exported bills are acknowledged."""
        billing = self.document.get('billing', {})
        # JSON Schema accepts 5.0 as an integer.
        return int(billing.get('exported_through', 0))

    def dump(self) -> dict:
        """Return the state as JSON types."""
        return {
            'number': self.number,
            'document': self.document,
            'answers': list(self._results.values()),
        }

    def load(self, state: dict) -> None:
        """Replace the state with a dumped one."""
        self.number = state['number']
        self.document = state['document']
        answers = [StoredPatchResult(**stored) for stored in state['answers']]
        self._results = {(one.operator, one.key): one for one in answers}

    def _apply_new(self, patch: PatchCommand, last_bill: int) -> CommandResult:
        if patch.base_number != self.number:
            return conflict(
                f'the current number is {self.number}, '
                f'the patch is against {patch.base_number}',
                number=self.number,
            )
        if len(patch.patch) > MAX_PATCH_BYTES:
            return self._invalid(
                f'(document): found {len(patch.patch)} bytes, '
                f'allowed are {MAX_PATCH_BYTES}'
            )
        try:
            change = orjson.loads(patch.patch)
        except orjson.JSONDecodeError as error:
            return self._invalid(f'(document): not valid JSON: {error}')
        if not isinstance(change, dict):
            return self._invalid('(document): allowed is an object')
        if exceeds_max_depth(change):
            return self._invalid('(document): nested too deeply')
        return self._merge(patch.operator, change, last_bill)

    def _merge(
        self, operator: str, change: dict, last_bill: int
    ) -> CommandResult:
        # The library mutates its first argument.
        document = json_merge_patch.merge(copy.deepcopy(self.document), change)
        error = check_document(document, self.document, last_bill)
        error = error or self._reinstatement_error(operator, document)
        if error:
            return self._invalid(error)
        self.document = document
        self.number += 1
        return accepted(number=self.number)

    def _reinstatement_error(self, operator: str, document: dict) -> str:
        if operator != SYSTEM_OPERATOR:
            return ''
        reinstated = withdrawn_versions(self.document) - withdrawn_versions(
            document
        )
        if not reinstated:
            return ''
        return (
            f'versions.{min(reinstated)}.state: withdrawn, '
            'only an operator may change that'
        )

    def _invalid(self, message: str) -> CommandResult:
        return invalid(message, number=self.number)

    def _repeat_result(
        self, stored: StoredPatchResult, digest: str
    ) -> CommandResult:
        if stored.digest != digest:
            return key_reuse(stored.key, number=self.number)
        if stored.code == CommandResult.OK:
            return duplicate(number=stored.number)
        return CommandResult(
            code=stored.code, message=stored.message, number=stored.number
        )

    def _expire_results(self, now_ms: int) -> None:
        # Expiry is safe at any time: a resent patch fails on its base number.
        oldest_ms = now_ms - self._result_retention_ms
        expired = []
        surplus = len(self._results) - _MAX_RESULTS
        for key, stored in self._results.items():
            if stored.answered_at_ms >= oldest_ms and surplus < 0:
                break
            surplus -= 1
            expired.append(key)
        for key in expired:
            self._results.pop(key)


def _digest(patch: PatchCommand) -> str:
    hashed = hashlib.sha256(b'%d:' % patch.base_number)
    hashed.update(patch.patch)
    return hashed.hexdigest()
