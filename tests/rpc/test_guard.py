"""Errors of handlers, and messages of other builds, over real gRPC."""

import asyncio

import grpc
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from snipebridge.control import service as control_service
from snipebridge.rpc.control_pb2 import HeartbeatRequest, SubmitRequest
from tests.random_messages import messages
from tests.running_control import RunningControl, run_with_control


def test_an_error_in_a_handler_is_counted_and_the_process_goes_on(monkeypatch):
    """The planted error is answered, and the next heartbeat gets a lease."""

    def fail(leadership, request):
        raise ZeroDivisionError('planted')

    async def scenario(control):
        sound = control_service.answer_heartbeat
        monkeypatch.setattr(control_service, 'answer_heartbeat', fail)
        with pytest.raises(grpc.aio.AioRpcError) as raised:
            await control.beat()
        assert raised.value.code() is grpc.StatusCode.INTERNAL
        monkeypatch.setattr(control_service, 'answer_heartbeat', sound)
        assert (await control.beat()).lease_s > 0
        page = (await control.call('/metrics')).text
        counted = 'snipebridge_duty_failures_total{duty="handle_Heartbeat"} 1'
        assert counted in page

    run_with_control(scenario)


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    st.lists(
        st.one_of(messages(HeartbeatRequest), messages(SubmitRequest)),
        max_size=12,
    )
)
def test_any_messages_of_entries_leave_a_leader_that_answers(requests):
    """No request ends the process, or keeps a sound entry from its lease."""

    async def scenario():
        async with RunningControl() as control:
            for request in requests:
                is_heartbeat = isinstance(request, HeartbeatRequest)
                call = (
                    control.stub.Heartbeat
                    if is_heartbeat
                    else control.stub.Submit
                )
                try:
                    await call(request, timeout=5)
                except grpc.aio.AioRpcError as error:
                    assert error.code() is not grpc.StatusCode.UNKNOWN
            control.clock.now_s += 5.0
            assert (await control.beat('sound')).lease_s > 0

    asyncio.run(scenario())


def test_an_oversized_message_is_refused():
    """A message over the limit of the channels does not end the process."""

    async def scenario(control):
        large = HeartbeatRequest(entry='e' * 20_000_000)
        with pytest.raises(grpc.aio.AioRpcError) as raised:
            await control.stub.Heartbeat(large)
        assert raised.value.code() is grpc.StatusCode.RESOURCE_EXHAUSTED
        assert (await control.beat()).lease_s > 0

    run_with_control(scenario)
