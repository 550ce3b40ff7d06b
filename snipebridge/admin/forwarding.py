"""Passing operators' requests between control processes by gRPC."""

from http import HTTPStatus

import grpc
import orjson
from grpc import aio

from snipebridge.admin.api import AdminApi
from snipebridge.admin.messages import AdminError, AdminRequest, AdminResponse
from snipebridge.errors import Ran
from snipebridge.rpc.channels import ChannelPool

_SERVICE = 'snipebridge.v1.Operators'
_METHOD = 'Answer'
_TIMEOUT_S = 10.0
_RETRY_AFTER_S = 1.0


class GrpcForwarder:
    """Calls the leader over the channels of the system's own processes.

    A connection that went silent is found by the channel's keepalive; closing
    the channel here would cancel the other calls on it.
    """

    __slots__ = ('_pool',)

    def __init__(self, pool: ChannelPool) -> None:
        """Keep the channels."""
        self._pool = pool

    async def forward(
        self, request: AdminRequest, address: str
    ) -> AdminResponse:
        """Return the leader's answer; raises `AdminError` without one."""
        call = self._pool.channel(address).unary_unary(
            f'/{_SERVICE}/{_METHOD}',
            request_serializer=orjson.dumps,
            response_deserializer=_load_response,
        )
        try:
            return await call(request, timeout=_TIMEOUT_S)
        except aio.AioRpcError as error:
            raise _unreachable(error) from error

    async def close(self) -> None:
        """Close the channels."""
        await self._pool.close()


def add_operators_to_server(api: AdminApi, server: aio.Server) -> None:
    """Answer requests that other control processes pass on."""

    async def answer(request: AdminRequest, context) -> AdminResponse:
        return await api.answer_here(request)

    handler = grpc.unary_unary_rpc_method_handler(
        answer,
        request_deserializer=_load_request,
        response_serializer=orjson.dumps,
    )
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(_SERVICE, {_METHOD: handler}),)
    )


def _load_request(content: bytes) -> AdminRequest:
    return AdminRequest(**orjson.loads(content))


def _load_response(content: bytes) -> AdminResponse:
    return AdminResponse(**orjson.loads(content))


def _unreachable(error: aio.AioRpcError) -> AdminError:
    return AdminError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'leader_unreachable',
        f'the leader did not answer: {error.code().name}; '
        'resend with the same key',
        ran=Ran.UNKNOWN,
        retry_after_s=_RETRY_AFTER_S,
    )
