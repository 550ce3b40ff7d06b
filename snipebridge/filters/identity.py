"""Authenticates callers by the API key of their client account."""

import hashlib
from collections import OrderedDict

from snipebridge.controllers.view import AccountView
from snipebridge.filters.chain import Proceed
from snipebridge.filters.errors import ForbiddenError, UnauthorizedError
from snipebridge.filters.exchange import Exchange
from snipebridge.keys import verify_key

_SCHEME = 'Bearer '
_MAX_CACHED_KEYS = 4096


class IdentityFilter:
    """Sets the account that a key ``<account>.<secret>`` belongs to."""

    __slots__ = ('_verified',)

    def __init__(self) -> None:
        """Start with no verified key."""
        self._verified: OrderedDict[bytes, str] = OrderedDict()

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Set the account, or refuse the request."""
        authorization = exchange.head.authorization
        if not authorization.startswith(_SCHEME):
            raise UnauthorizedError(
                'the Authorization header holds no Bearer key'
            )
        key = authorization.removeprefix(_SCHEME).strip()
        account = exchange.view.accounts.get(key.partition('.')[0])
        if account is None or not self._is_valid_key(account, key):
            raise UnauthorizedError('the key is invalid')
        if account.disabled:
            raise ForbiddenError(f'client account {account.name} is disabled')
        exchange.account = account
        await proceed()

    def _is_valid_key(self, account: AccountView, key: str) -> bool:
        # The cache holds digests only. A verified key is rejected once its
        # hash is removed from the configuration.
        digest = hashlib.sha256(key.encode()).digest()
        verified_hash = self._verified.get(digest)
        if verified_hash in account.key_hashes:
            return True
        for key_hash in account.key_hashes:
            if verify_key(key, key_hash):
                self._cache_key(digest, key_hash)
                return True
        return False

    def _cache_key(self, digest: bytes, key_hash: str) -> None:
        self._verified[digest] = key_hash
        while len(self._verified) > _MAX_CACHED_KEYS:
            self._verified.popitem(last=False)
