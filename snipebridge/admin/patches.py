"""`PATCH /admin/v1/config`: from the request to a command and back."""

import re
from http import HTTPStatus

import orjson

from snipebridge.admin.messages import (
    AdminError,
    AdminRequest,
    AdminResponse,
    json_response,
)
from snipebridge.controllers.results import is_key_reuse
from snipebridge.rpc.commands_pb2 import Command, CommandResult, PatchCommand

OPERATOR = 'operator'

_KEY_LIMIT_CHARACTERS = 200
_ENTITY_TAG = re.compile('"?([0-9]{1,18})"?')


def make_patch_command(request: AdminRequest) -> Command:
    """Return the command that a request asks for.

    Raises `AdminError` for what can be refused without the state.
    """
    patch = PatchCommand(
        operator=OPERATOR,
        idempotency_key=_key(request),
        base_number=_base_number(request),
        patch=request.body.encode(),
    )
    try:
        orjson.loads(patch.patch)
    except orjson.JSONDecodeError as error:
        raise AdminError(
            HTTPStatus.BAD_REQUEST, 'bad_json', f'not valid JSON: {error}'
        ) from error
    return Command(patch=patch)


def make_patch_response(result: CommandResult) -> AdminResponse:
    """Return the answer that tells the result of a patch."""
    if result.code in {CommandResult.OK, CommandResult.DUPLICATE}:
        response = json_response({'number': result.number})
        response.headers['ETag'] = f'"{result.number}"'
        return response
    if is_key_reuse(result):
        raise AdminError(HTTPStatus.CONFLICT, 'key_reused', result.message)
    if result.code == CommandResult.CONFLICT:
        raise AdminError(
            HTTPStatus.PRECONDITION_FAILED,
            'wrong_number',
            result.message,
            number=result.number,
        )
    raise AdminError(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'invalid_configuration',
        result.message,
    )


def _key(request: AdminRequest) -> str:
    key = request.idempotency_key
    if not 0 < len(key) <= _KEY_LIMIT_CHARACTERS:
        raise AdminError(
            HTTPStatus.BAD_REQUEST,
            'missing_key',
            'Idempotency-Key: allowed are 1 to '
            f'{_KEY_LIMIT_CHARACTERS} characters',
        )
    return key


def _base_number(request: AdminRequest) -> int:
    if not request.if_match:
        raise AdminError(
            HTTPStatus.PRECONDITION_REQUIRED,
            'missing_number',
            'If-Match: allowed is the number of the configuration, as "7"',
        )
    found = _ENTITY_TAG.fullmatch(request.if_match)
    if found is None:
        raise AdminError(
            HTTPStatus.BAD_REQUEST,
            'bad_number',
            f'If-Match: found {request.if_match!r}, '
            'allowed is the number of the configuration, as "7"',
        )
    return int(found.group(1))
