"""The operators' interface: what each request does.

Any control process answers: what only the leader knows is passed on to it.
"""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Protocol

from snipebridge.admin.members import (
    MemberChange,
    apply_member_change,
    read_member_change,
)
from snipebridge.admin.messages import (
    JSON_LINES_TYPE,
    AdminError,
    AdminRequest,
    AdminResponse,
    json_response,
)
from snipebridge.admin.orders import OrderTaker
from snipebridge.admin.pages import (
    bill_line,
    configuration_page,
    member_list,
    status_page,
)
from snipebridge.admin.patches import make_patch_command, make_patch_response
from snipebridge.admin.routing import RoutingDesk
from snipebridge.consensus.errors import (
    ConsensusError,
    NotLeaderError,
)
from snipebridge.control.leader import Leadership
from snipebridge.control.metrics import ControlMetrics
from snipebridge.errors import Ran
from snipebridge.keys import verify_key
from snipebridge.logs import log_decision
from snipebridge.rpc.commands_pb2 import CommandResult
from snipebridge.settings.models import DEFAULT_RESEND_MS

_BEARER = 'Bearer '
_BILLS_LIMIT = 10_000
_RETRY_AFTER_S = 1.0

Operation = Callable[[AdminRequest], Awaitable[AdminResponse]]


class Forwarder(Protocol):
    """Passes a request on to the leader."""

    async def forward(
        self, request: AdminRequest, address: str
    ) -> AdminResponse:
        """Return the leader's answer; raises `AdminError` without one."""


class AdminApi:
    """Answers operators' requests from the state of this process."""

    __slots__ = (
        '_forwarder',
        '_key_hash',
        '_is_keyless',
        '_leadership',
        '_metrics',
        '_operations',
        '_replica',
        '_routing',
        'under_way',
    )

    def __init__(
        self,
        leadership: Leadership,
        metrics: ControlMetrics,
        forwarder: Forwarder,
        key_hash: str,
        *,
        is_keyless: bool = False,
        resend_ms: float = DEFAULT_RESEND_MS,
    ) -> None:
        """Keep the parts and list the operations."""
        self._replica = leadership.replica
        self._leadership = leadership
        self._metrics = metrics
        self._forwarder = forwarder
        self._key_hash = key_hash
        self._is_keyless = is_keyless
        orders = OrderTaker(leadership, resend_ms)
        self._routing = RoutingDesk(leadership, orders)
        self.under_way = 0
        self._operations: dict[str, dict[str, Operation]] = {
            '/admin/v1/config': {
                'GET': self._read_configuration,
                'PATCH': self._patch_configuration,
            },
            '/admin/v1/status': {'GET': self._read_status},
            '/admin/v1/bills': {'GET': self._read_bills},
            '/admin/v1/members': {'POST': self._change_member},
        }

    async def answer(self, request: AdminRequest) -> AdminResponse:
        """Answer a request, by way of the leader where it needs to."""
        self.under_way += 1
        try:
            self._check_key(request)
            return await self._answer_or_forward(request)
        except AdminError as error:
            return error.response()
        finally:
            self.under_way -= 1

    async def answer_here(self, request: AdminRequest) -> AdminResponse:
        """Answer a request that another control process passed on."""
        self.under_way += 1
        try:
            self._check_key(request)
            return await self._run(request)
        except NotLeaderError:
            return _no_leader().response()
        except AdminError as error:
            return error.response()
        finally:
            self.under_way -= 1

    async def _answer_or_forward(self, request: AdminRequest) -> AdminResponse:
        try:
            return await self._run(request)
        except NotLeaderError as error:
            address = error.leader_address
        if not address:
            raise _no_leader()
        return await self._forwarder.forward(request, address)

    async def _run(self, request: AdminRequest) -> AdminResponse:
        operation = self._find(request)
        self._check_office()
        try:
            return await operation(request)
        except NotLeaderError:
            raise
        except ConsensusError as error:
            raise _outcome_unknown(error) from error

    def _find(self, request: AdminRequest) -> Operation:
        operations = self._operations.get(
            request.path, self._routing.operations(request.path)
        )
        if operations is None:
            raise AdminError(
                HTTPStatus.NOT_FOUND, 'not_found', f'no page {request.path}'
            )
        operation = operations.get(request.method)
        if operation is None:
            allowed = ', '.join(sorted(operations))
            raise AdminError(
                HTTPStatus.METHOD_NOT_ALLOWED,
                'bad_method',
                f'found {request.method}, allowed are {allowed}',
            )
        return operation

    def _check_key(self, request: AdminRequest) -> None:
        if self._is_keyless:
            return
        key = request.authorization.removeprefix(_BEARER)
        known = self._key_hash and request.authorization.startswith(_BEARER)
        if not known or not verify_key(key, self._key_hash):
            raise AdminError(
                HTTPStatus.UNAUTHORIZED, 'bad_key', 'the key is not known'
            )

    def _check_office(self) -> None:
        if self._leadership.is_in_office():
            return
        # A leader that is not in office yet has nobody to pass requests to.
        leads = self._replica.is_leader()
        address = '' if leads else self._replica.leader_address()
        raise NotLeaderError('', address)

    async def _read_configuration(self, request: AdminRequest) -> AdminResponse:
        await self._replica.read_barrier()
        page = configuration_page(self._leadership)
        response = json_response(page)
        response.headers['ETag'] = f'"{page["number"]}"'
        return response

    async def _patch_configuration(
        self, request: AdminRequest
    ) -> AdminResponse:
        command = make_patch_command(request)
        results = await self._replica.submit([command])
        self._metrics.note_commands([command], results)
        log_decision(
            'patch',
            base_number=command.patch.base_number,
            number=results[0].number,
            result=CommandResult.Code.Name(results[0].code).lower(),
        )
        return make_patch_response(results[0])

    async def _read_status(self, request: AdminRequest) -> AdminResponse:
        return json_response(status_page(self._leadership))

    async def _read_bills(self, request: AdminRequest) -> AdminResponse:
        after = _query_number(request, 'after', 0)
        limit = min(_query_number(request, 'limit', 1000), _BILLS_LIMIT)
        await self._replica.read_barrier()
        bills = self._leadership.machine.ledger.read(after, limit)
        lines = [f'{bill_line(one)}\n' for one in bills]
        return AdminResponse(
            int(HTTPStatus.OK), ''.join(lines), JSON_LINES_TYPE
        )

    async def _change_member(self, request: AdminRequest) -> AdminResponse:
        change = read_member_change(request.body)
        # A change of several steps is not left half done by a dropped call.
        await asyncio.shield(self._apply_member_change(change))
        return json_response({'members': member_list(self._replica)})

    async def _apply_member_change(self, change: MemberChange) -> None:
        await apply_member_change(self._replica, change)
        log_decision('member', action=change.action, name=change.name)


def _no_leader() -> AdminError:
    return AdminError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'no_leader',
        'no leader is known now; nothing was done',
        retry_after_s=_RETRY_AFTER_S,
    )


def _outcome_unknown(error: ConsensusError) -> AdminError:
    return AdminError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        error.code,
        f'{error.message}; resend with the same key',
        ran=Ran.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
    )


def _query_number(request: AdminRequest, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    if not text.isdecimal():
        raise AdminError(
            HTTPStatus.BAD_REQUEST,
            'bad_query',
            f'{name}: found {text!r}, allowed is a number, 0 or more',
        )
    return int(text)
