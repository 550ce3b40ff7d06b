"""Keeps an unexpected error of a handler from passing unseen.

The error is logged with the method, the caller and the size of the message,
counted, and answered with INTERNAL. The process and its other calls go on.
"""

from collections.abc import Awaitable, Callable

import grpc
from google.protobuf.message import Message

from snipebridge.supervision import Supervisor

Continuation = Callable[
    [grpc.HandlerCallDetails], Awaitable[grpc.RpcMethodHandler]
]


class HandlerGuard(grpc.aio.ServerInterceptor):
    """Wraps each handler of a server."""

    def __init__(self, supervisor: Supervisor) -> None:
        """Log and count with the supervisor of the process."""
        self._supervisor = supervisor

    async def intercept_service(
        self,
        continuation: Continuation,
        handler_call_details: grpc.HandlerCallDetails,
    ) -> grpc.RpcMethodHandler:
        """Return the handler of a call, guarded."""
        handler = await continuation(handler_call_details)
        if handler is None or handler.unary_unary is None:
            return handler
        method = handler_call_details.method.rpartition('/')[2]
        return grpc.unary_unary_rpc_method_handler(
            self._guarded(method, handler.unary_unary),
            request_deserializer=handler.request_deserializer,
            response_serializer=handler.response_serializer,
        )

    def _guarded(self, method: str, handle):
        async def guarded(request: Message, context) -> Message:
            try:
                return await handle(request, context)
            except grpc.aio.AbortError:
                raise
            except Exception as error:
                self._supervisor.record(
                    f'handle_{method}',
                    error,
                    peer=context.peer(),
                    message_bytes=str(request.ByteSize()),
                )
            return await context.abort(
                grpc.StatusCode.INTERNAL, 'the handler failed'
            )

        return guarded
