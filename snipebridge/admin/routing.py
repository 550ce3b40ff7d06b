"""Operators' pages on routes, roll-outs of software and evacuations.

``PUT /admin/v1/routing`` takes a whole configuration with its version, and
``GET`` returns the one in force as it was sent. ``POST
/admin/v1/software-rollouts`` orders a roll-out, and ``GET`` with the name of
the service behind it tells its state. ``POST`` and ``DELETE`` of
``/admin/v1/evacuations/DATA_CENTRE`` order an evacuation and withdraw it, and
``GET`` of ``/admin/v1/evacuations`` lists those in force.
"""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

import orjson

from snipebridge.admin.messages import (
    AdminError,
    AdminRequest,
    AdminResponse,
    json_response,
)
from snipebridge.admin.orders import OrderTaker
from snipebridge.control.leader import Leadership
from snipebridge.controllers.software_rollouts import MAX_DURATION_S
from snipebridge.logs import log_decision
from snipebridge.routing.documents import check_faults, read_table
from snipebridge.routing.errors import DocumentError
from snipebridge.routing.tables import RoutingTable
from snipebridge.rpc.commands_pb2 import (
    Command,
    CommandResult,
    EvacuationCommand,
    RoutingCommand,
    SoftwareRolloutCommand,
)

ROUTING_PATH = '/admin/v1/routing'
ROLLOUTS_PATH = '/admin/v1/software-rollouts'
EVACUATIONS_PATH = '/admin/v1/evacuations'
_MAX_NAME_LENGTH = 200

Operation = Callable[[AdminRequest], Awaitable[AdminResponse]]


class RoutingDesk:
    """Answers on the leader, from the replicated state."""

    __slots__ = ('_leadership', '_orders', '_replica')

    def __init__(self, leadership: Leadership, orders: OrderTaker) -> None:
        """Keep the state, the log, and what takes orders."""
        self._leadership = leadership
        self._orders = orders
        self._replica = leadership.replica

    def operations(self, path: str) -> dict[str, Operation] | None:
        """Return the operations of a page, if it is one of these."""
        if path == ROUTING_PATH:
            return {'GET': self._read_routing, 'PUT': self._put_routing}
        if path == ROLLOUTS_PATH:
            return {'POST': self._order_rollout}
        if path.startswith(f'{ROLLOUTS_PATH}/'):
            return {'GET': self._read_rollout}
        if path == EVACUATIONS_PATH:
            return {'GET': self._read_evacuations}
        if path.startswith(f'{EVACUATIONS_PATH}/'):
            return {'POST': self._evacuate, 'DELETE': self._evacuate}
        return None

    async def _read_routing(self, request: AdminRequest) -> AdminResponse:
        await self._replica.read_barrier()
        routings = self._leadership.machine.routing
        if not routings.version:
            raise AdminError(
                HTTPStatus.NOT_FOUND, 'no_routing', 'none was put yet'
            )
        return AdminResponse(int(HTTPStatus.OK), routings.document.decode())

    async def _put_routing(self, request: AdminRequest) -> AdminResponse:
        document = request.body.encode()
        try:
            table = read_table(document)
            self._check_faults(table, document)
        except DocumentError as error:
            log_decision('routing_refused', reason=error.message)
            raise AdminError(
                HTTPStatus.BAD_REQUEST, error.code, error.message
            ) from error
        command = Command(
            routing=RoutingCommand(version=table.version, document=document)
        )
        result = await self._submit(command)
        is_taken = result.code == CommandResult.OK
        log_decision(
            'routing',
            version=table.version,
            taken=is_taken,
            in_force=result.number,
            routes=len(table.routes),
        )
        return json_response({'version': result.number, 'taken': is_taken})

    def _check_faults(self, table: RoutingTable, document: bytes) -> None:
        """Raise `DocumentError` for a fault that earlier releases took.

        What is in force was acknowledged, maybe by an earlier release, and is
        acknowledged again.
        """
        if document != self._leadership.machine.routing.document:
            check_faults(table)

    async def _order_rollout(self, request: AdminRequest) -> AdminResponse:
        """Order a roll-out; the answer tells what is in force, as `GET` does.

        An order that was resent after a newer one is acknowledged, and leaves
        the newer one in force.
        """
        order = _read_order(request.body)
        outcome = await self._orders.take_rollout(order)
        rollouts = self._leadership.machine.software_rollouts
        rollout = rollouts.by_service[order.service]
        log_decision(
            'software_rollout_order',
            service=order.service,
            target=order.target,
            duration_s=order.duration_s,
            resent=outcome.is_resent,
            number=outcome.number,
            last_number=outcome.last_number,
            last_age_s=outcome.last_age_s,
            in_force=rollout.target,
            state=rollout.state,
        )
        return json_response({'state': rollout.state, 'target': rollout.target})

    async def _read_rollout(self, request: AdminRequest) -> AdminResponse:
        await self._replica.read_barrier()
        service = unquote(request.path.removeprefix(f'{ROLLOUTS_PATH}/'))
        rollouts = self._leadership.machine.software_rollouts.by_service
        rollout = rollouts.get(service)
        if rollout is None:
            raise AdminError(
                HTTPStatus.NOT_FOUND,
                'no_rollout',
                f'no roll-out of {service!r} was ordered',
            )
        return json_response(
            {
                'state': rollout.state,
                'target': rollout.target,
                'share_permille': rollout.share_permille,
                'reason': rollout.reason,
            }
        )

    async def _read_evacuations(self, request: AdminRequest) -> AdminResponse:
        await self._replica.read_barrier()
        in_force = self._leadership.machine.evacuations.in_force
        return json_response({'data_centres': in_force})

    async def _evacuate(self, request: AdminRequest) -> AdminResponse:
        """Order or withdraw an evacuation; durable before the answer.

        A data centre without a listed replica is accepted, as the list may be
        late; the answer counts the replicas, so that a wrong name shows. It
        says what is in force: an order that is resent after its opposite is
        acknowledged, and changes nothing.
        """
        name = _read_data_centre(request.path)
        is_withdrawn = request.method == 'DELETE'
        command = EvacuationCommand(data_centre=name, withdrawn=is_withdrawn)
        outcome = await self._orders.take_evacuation(command)
        is_evacuated = self._leadership.machine.evacuations.is_evacuated(name)
        replicas = sum(
            one.data_centre == name
            for one in self._leadership.routed.held.replicas
        )
        log_decision(
            'evacuation_order',
            data_centre=name,
            withdrawn=is_withdrawn,
            resent=outcome.is_resent,
            number=outcome.number,
            last_number=outcome.last_number,
            last_age_s=outcome.last_age_s,
            evacuated=is_evacuated,
            replicas=replicas,
        )
        return json_response(
            {
                'data_centre': name,
                'evacuated': is_evacuated,
                'replicas': replicas,
            }
        )

    async def _submit(self, command: Command) -> CommandResult:
        results = await self._replica.submit([command])
        return results[0]


def _read_data_centre(path: str) -> str:
    name = unquote(path.removeprefix(f'{EVACUATIONS_PATH}/'))
    if not 0 < len(name) <= _MAX_NAME_LENGTH or '/' in name:
        raise _bad_order(f'data centre: found {name!r}, allowed is one name')
    return name


def _read_order(body: str) -> SoftwareRolloutCommand:
    try:
        content: Any = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise _bad_order('the body is not valid JSON') from error
    fault = _fault_of_order(content)
    if fault:
        raise _bad_order(fault)
    return SoftwareRolloutCommand(
        service=content['service'],
        target=content['target'],
        duration_s=content['deadline_s'],
        state='active',
    )


def _fault_of_order(content: Any) -> str:
    """Return what is wrong with an order, empty where nothing is."""
    if not isinstance(content, dict):
        return f'found {content!r}, allowed is an object'
    for name in ('service', 'target'):
        if not isinstance(content.get(name), str) or not content[name]:
            return f'{name}: found {content.get(name)!r}, allowed is a text'
    duration_s = content.get('deadline_s')
    is_number = isinstance(duration_s, int | float)
    if not is_number or isinstance(duration_s, bool):
        return f'deadline_s: found {duration_s!r}, allowed is a number'
    if not 0 < duration_s <= MAX_DURATION_S:
        return (
            f'deadline_s: found {duration_s!r}, allowed is more than 0 and at '
            f'most {MAX_DURATION_S:.0f}'
        )
    return ''


def _bad_order(message: str) -> AdminError:
    return AdminError(HTTPStatus.BAD_REQUEST, 'bad_order', message)
