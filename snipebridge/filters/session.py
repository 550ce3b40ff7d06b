"""Keeps a session on the version of its first request."""

from snipebridge.controllers.sessions import SessionDirectory
from snipebridge.filters.chain import Proceed
from snipebridge.filters.errors import BadRequestError
from snipebridge.filters.exchange import Exchange
from snipebridge.filters.permission import is_permitted

_NAME_LIMIT_CHARACTERS = 256


class SessionFilter:
    """Looks up the version that a session is bound to."""

    __slots__ = ('_directory',)

    def __init__(self, directory: SessionDirectory) -> None:
        """Keep the directory of session bindings."""
        self._directory = directory

    async def run(self, exchange: Exchange, proceed: Proceed) -> None:
        """Set the bound version of a known session.

        The binding to a withdrawn version is ignored and the session bound
        again, since a withdrawal applies to sessions too.
        """
        session = exchange.head.session
        if len(session) > _NAME_LIMIT_CHARACTERS:
            raise BadRequestError('Snipebridge-Session is too long')
        if session:
            account = exchange.account.name
            name = session_name(exchange)
            bound = await self._directory.find(account, name)
            if bound and is_permitted(exchange.view, account, bound):
                exchange.session_version = bound
        await proceed()


def session_name(exchange: Exchange) -> str:
    """Return the name under which the session is bound.

    A session that uses several models keeps one version of each.
    """
    return f'{exchange.chat.model}/{exchange.head.session}'
