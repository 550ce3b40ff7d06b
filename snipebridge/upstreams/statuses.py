"""Statuses of responses, and the errors of responses without a valid one."""

from http import HTTPStatus

import httptools

from snipebridge.upstreams.errors import InvalidResponseError

_FIRST_STATUS = 100
_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599


def is_interim(status: int) -> bool:
    """Tell whether the response comes after this one (RFC 9110, 15.2).

    Raises `InvalidResponseError` for a number that is no status, and for a
    change of protocols, which no request asks for.

    >>> is_interim(103), is_interim(200)
    (True, False)
    """
    if not _FIRST_STATUS <= status <= _LAST_STATUS:
        raise InvalidResponseError(f'{status:03} is no status of a response')
    if status == HTTPStatus.SWITCHING_PROTOCOLS:
        raise InvalidResponseError('another protocol was not asked for')
    return status < _FIRST_FINAL_STATUS


def parser_error(error: httptools.HttpParserError) -> Exception:
    """Return what a callback of a parser raised, or that it is not HTTP."""
    return error.__context__ or InvalidResponseError(
        f'the response is not valid HTTP: {error}'
    )
