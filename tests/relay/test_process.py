"""Tests of a routed entry as seen by callers and replicas."""

import asyncio
import contextlib
import copy

import eliot
import pytest

from fakes.platform_caller import (
    CHAT_HEADERS,
    DOCUMENT,
    read_answer,
    request_bytes,
)
from fakes.platform_replica import PlatformReplica
from snipebridge.policy.circuit_breaker import CircuitBreaker
from snipebridge.rpc.control_pb2 import SoftwareRollout
from tests.relay.running_entry import RunningEntry


def run(scenario):
    """Run a scenario with a timeout."""
    asyncio.run(asyncio.wait_for(scenario, 30.0))


def plain_replica(name='d1', **fields):
    """Return a replica of the plain service."""
    return PlatformReplica(name, 'desk', '127.0.0.1', **fields)


def engine_replica(name='m1', **fields):
    """Return a replica of the model service."""
    return PlatformReplica(name, 'models', '127.0.0.1', **fields)


def test_request_passes_unchanged():
    """Replicas get method, target, body and the caller's own headers.

    Headers that the system sets are replaced or removed.
    """

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            answer = await entry.request(
                '/book/a%20b?c=1&c=2',
                'POST',
                b'\0body',
                {'X-Tenant': 'forged', 'X-Pin-Ms': '9', 'X-Own': 'kept'},
            )
            assert answer.status == 200
            assert answer.headers['x-response-signature'] == 'd1.sig'
            assert len(entry.replicas[0].runs) == 1
            one = entry.replicas[0].runs[0]
            assert (one.method, one.target) == ('POST', '/book/a%20b?c=1&c=2')
            assert one.body == b'\0body'
            assert one.headers['x-own'] == 'kept'
            assert one.headers['x-tenant'] == 'studio'
            assert one.headers['x-target-instance'] == 'd1'
            assert one.headers['host'] == 'a.example'
            assert 0 < int(one.headers['x-deadline-ms']) <= 1000
            assert 'x-key' not in one.headers
            assert 'x-pin-ms' not in one.headers

    run(scenario())


@pytest.mark.parametrize(
    ('path', 'headers', 'status'),
    [
        ('/none/', {}, 404),
        ('/look/', {'Host': 'b.example'}, 404),
        ('/look/', {'X-Key': 'wrong'}, 401),
        ('/look/', {'X-Key': ''}, 401),
        ('/open/', {'X-Key': ''}, 200),
    ],
)
def test_unknown_routes_and_keys_are_refused(path, headers, status):
    """Nothing runs without a route, nor without a valid key if one is needed."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            answer = await entry.request(path, headers=headers)
            assert answer.status == status
            assert len(entry.replicas[0].runs) == (status == 200)

    run(scenario())


def test_idempotent_request_is_retried_at_another_replica():
    """Callers do not see error responses, lost responses or crashes."""

    async def scenario():
        async with RunningEntry(
            plain_replica('d1'), plain_replica('d2')
        ) as entry:
            first, second = entry.replicas
            for fault in ('fails', 'loses_answers', 'drops_signature'):
                setattr(first.faults, fault, True)
                for _ in range(4):
                    answer = await entry.request('/look/x')
                    assert answer.body == b'answer of d2', fault
                setattr(first.faults, fault, False)
            await first.stop()
            for _ in range(4):
                assert (await entry.request('/look/x')).status == 200
            assert second.runs

    run(scenario())


def test_non_idempotent_request_runs_at_most_once():
    """After a lost response the outcome is unknown, so nothing is retried."""

    async def scenario():
        async with RunningEntry(
            plain_replica('d1'), plain_replica('d2')
        ) as entry:
            for replica in entry.replicas:
                replica.faults.loses_answers = True
            answer = await entry.request('/book/x', 'POST', b'b')
            assert answer.status == 502
            runs = [one for rep in entry.replicas for one in rep.runs]
            assert len(runs) == 1

    run(scenario())


def test_refused_non_idempotent_request_goes_to_another_replica():
    """A response saying that the request did not run allows a retry."""

    async def scenario():
        async with RunningEntry(
            plain_replica('d1'), plain_replica('d2')
        ) as entry:
            entry.replicas[0].faults.is_full = True
            for _ in range(6):
                answer = await entry.request('/book/x', 'POST', b'b')
                assert answer.body == b'answer of d2'

    run(scenario())


def test_full_replicas_give_503_with_retry_after():
    """When all replicas are full, the request has not run anywhere."""

    async def scenario():
        async with RunningEntry(
            plain_replica('d1'), plain_replica('d2')
        ) as entry:
            for replica in entry.replicas:
                replica.faults.is_full = True
            answer = await entry.request('/book/x', 'POST', b'b')
            assert answer.status == 503
            assert 0 < float(answer.headers['retry-after']) < 2
            assert not any(replica.ran() for replica in entry.replicas)

    run(scenario())


def test_error_response_of_a_replica_is_passed_on():
    """Its status is passed on together with its signature."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            entry.replicas[0].faults.fails = True
            answer = await entry.request('/book/x', 'POST', b'b')
            assert answer.status == 500
            assert answer.headers['x-response-signature'] == 'd1.sig'

    run(scenario())


def test_unsolicited_and_mismatched_responses_are_dropped():
    """Bytes that no request waits for close their connection.

    A response with the attempt id of another request is not passed on.
    """

    async def scenario():
        async with RunningEntry(
            plain_replica('d1'), plain_replica('d2')
        ) as entry:
            first = entry.replicas[0]
            first.faults.answers_twice = True
            for number in range(8):
                name = f'a{number}'
                answer = await entry.request(
                    '/look/x', headers={'X-Attempt-Id': name}
                )
                assert answer.headers['x-attempt-id'] == name
            first.faults.answers_twice = False
            first.faults.foreign_id = True
            for _ in range(6):
                answer = await entry.request('/look/x')
                assert answer.body == b'answer of d2'

    run(scenario())


def test_second_response_does_not_leak_into_the_first():
    """Both may arrive in one read; the caller gets only the first."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            entry.replicas[0].faults.answers_twice = True
            for _ in range(5):
                answer = await entry.request('/book/x', 'POST', b'b')
                assert answer.headers['x-response-signature'] == 'd1.sig'
                assert answer.body == b'answer of d1'

    run(scenario())


def test_truncated_response_is_not_a_success():
    """The caller gets 502 if a replica closes before the end of its body."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            entry.replicas[0].faults.cuts_answers = True
            answer = await entry.request('/book/x', 'POST', b'b')
            assert answer.status == 502

    run(scenario())


def test_wrong_replica_at_a_reused_address():
    """A replica refuses requests meant for another one; they are retried."""

    async def scenario():
        async with RunningEntry(
            plain_replica('d1'), plain_replica('d2')
        ) as entry:
            entry.replicas[0].name = 'other'
            for _ in range(6):
                answer = await entry.request('/book/x', 'POST', b'b')
                assert answer.status == 200
            assert not entry.replicas[0].ran()

    run(scenario())


def test_draining_replica_gets_no_new_work():
    """It is excluded as soon as a heartbeat brings the new list."""

    async def scenario():
        async with RunningEntry(
            plain_replica('d1'), plain_replica('d2')
        ) as entry:
            entry.replicas[0].state = 'draining'
            await entry.replace_list()
            for _ in range(6):
                await entry.request('/look/x')
            assert not entry.replicas[0].runs

    run(scenario())


def test_stream_is_complete():
    """The caller gets each event of one run once, in order."""

    async def scenario():
        async with RunningEntry(engine_replica()) as entry:
            answer = await entry.chat()
            assert answer.is_whole
            assert answer.body == b''.join(
                f'id: {number}\ndata: a1 {number}\n\n'.encode()
                for number in range(1, 5)
            )
            assert entry.replicas[0].runs[0].headers['x-model-id'] == 'small'

    run(scenario())


@pytest.mark.parametrize(
    'fault', ['breaks_after_events', 'stalls_after_events']
)
def test_broken_stream_is_resumed_at_another_replica(fault):
    """The response has each event once, across two runs."""

    async def scenario():
        async with RunningEntry(
            engine_replica('m1'), engine_replica('m2')
        ) as entry:
            for replica in entry.replicas:
                setattr(replica.faults, fault, 2)
            answer = await entry.chat()
            assert answer.is_whole
            ids = [
                line
                for line in answer.body.split(b'\n')
                if line.startswith(b'id')
            ]
            assert ids == [b'id: 1', b'id: 2', b'id: 3', b'id: 4']
            resumed = [
                one.headers['last-event-id']
                for replica in entry.replicas
                for one in replica.runs
                if 'last-event-id' in one.headers
            ]
            assert resumed == ['2']

    run(scenario())


def test_stream_that_can_not_be_resumed_looks_incomplete():
    """The connection is closed when no replica can resume the stream."""

    async def scenario():
        async with RunningEntry(engine_replica()) as entry:
            entry.replicas[0].faults.breaks_after_events = 2
            answer = await entry.chat()
            assert answer.status == 200
            assert not answer.is_whole

    run(scenario())


# Retry slack that allows a single retry.
ONE_RETRY = 1.2


def test_slow_stream_is_awaited_without_retry_budget():
    """Two streams stall, and the retry budget allows to resume only one.

    The entry keeps waiting for the other one, which must be complete.
    """

    async def scenario():
        async with RunningEntry(
            engine_replica('m1'), engine_replica('m2'), retry_slack=ONE_RETRY
        ) as entry:
            for replica in entry.replicas:
                replica.faults.stalls_after_events = 3
                # Longer than a replica that can be reached may be silent.
                replica.faults.stall_s = 2.5
            answers = await asyncio.gather(entry.chat(), entry.chat())
            assert all(answer.is_whole for answer in answers)
            runs = [one for replica in entry.replicas for one in replica.runs]
            assert len(runs) == 3

    run(scenario())


def test_slow_head_is_awaited_without_retry_budget():
    """The same applies before the first byte of the response."""

    async def scenario():
        async with RunningEntry(
            plain_replica('d1'), plain_replica('d2'), retry_slack=ONE_RETRY
        ) as entry:
            for replica in entry.replicas:
                replica.faults.delay_s = 1.0
            answers = await asyncio.gather(
                entry.request('/look/x'), entry.request('/look/x')
            )
            assert [answer.status for answer in answers] == [200, 200]

    run(scenario())


def test_draft_that_may_not_run_again_is_kept():
    """Guards against a route that is never served, its answers dropped."""
    document = copy.deepcopy(DOCUMENT)
    for route in document['routes']:
        route['resumable'] = False

    async def scenario():
        replica = PlatformReplica('m1', 'models', '127.0.0.1')
        replica.faults.confidence = {'small': 10, 'large': 10}
        async with RunningEntry(replica, document=document) as entry:
            statuses = [(await entry.chat()).status for _ in range(5)]
            assert set(statuses) == {200}
            assert len(replica.runs) == 5

    asyncio.run(scenario())


def test_low_confidence_draft_is_escalated_to_the_large_model():
    """The caller gets no part of the draft."""

    async def scenario():
        async with RunningEntry(engine_replica()) as entry:
            entry.replicas[0].faults.confidence = {'small': 20, 'large': 90}
            answer = await entry.chat()
            assert answer.headers['x-confidence'] == '90'
            models = [
                one.headers['x-model-id'] for one in entry.replicas[0].runs
            ]
            assert models == ['small', 'large']

    run(scenario())


def test_disconnected_caller_cancels_the_run():
    """The request ends at the entry when the caller disconnects."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            replica = entry.replicas[0]
            replica.faults.delay_s = 5.0
            _, writer = await entry.send_bytes(request_bytes('/look/x'))
            await entry.wait_until(lambda: replica.running == 1)
            writer.close()
            await entry.wait_until(lambda: not entry.process.running_requests)

    run(scenario())


def test_request_ends_at_the_route_timeout():
    """A request that may have run gets 504 soon after the timeout."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            entry.replicas[0].faults.is_silent = True
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            answer = await entry.request('/book/x', 'POST', b'b')
            assert answer.status == 504
            assert 0.9 < loop.time() - started_s < 1.4

    run(scenario())


def test_long_body_is_refused():
    """The limit of the configuration in force applies."""

    async def scenario():
        document = copy.deepcopy(DOCUMENT)
        document['limits'] = {'max_body_bytes': 100}
        async with RunningEntry(plain_replica(), document=document) as entry:
            answer = await entry.request('/book/x', 'POST', b'b' * 200)
            assert answer.status == 413
            assert not entry.replicas[0].runs

    run(scenario())


def test_smuggled_request_is_refused():
    """A request with two body lengths is invalid."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            reader, writer = await entry.send_bytes(
                b'POST /book/x HTTP/1.1\r\nHost: a.example\r\nX-Key: k1\r\n'
                b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'0\r\n\r\nGET /look/x HTTP/1.1\r\nHost: a.example\r\n\r\n'
            )
            answer = await read_answer(reader)
            assert answer.status == 400
            assert not entry.replicas[0].runs
            writer.close()

    run(scenario())


def test_incomplete_request_times_out():
    """An incomplete head or body neither runs nor holds its connection."""
    whole = request_bytes('/book/x', 'POST', b'body')

    async def scenario():
        document = copy.deepcopy(DOCUMENT)
        document['limits'] = {'idle_timeout_ms': 300}
        async with RunningEntry(plain_replica(), document=document) as entry:
            for part in (whole[:30], whole[:-2]):
                reader, writer = await entry.send_bytes(part)
                async with asyncio.timeout(3.0):
                    rest = await reader.read()
                assert b' 200 ' not in rest
                writer.close()
            assert not entry.replicas[0].runs
            assert (await entry.request('/look/x')).status == 200

    run(scenario())


def test_long_head_is_refused():
    """The connection is closed, and nothing runs."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            reader, writer = await entry.send_bytes(
                request_bytes('/look/x', headers={'X-Long': 'x' * 70_000})
            )
            rest = b''
            # Unread bytes may reset the connection.
            with contextlib.suppress(ConnectionError):
                rest = await reader.read()
            assert b' 200 ' not in rest
            writer.close()
            assert not entry.replicas[0].runs
            assert (await entry.request('/look/x')).status == 200

    run(scenario())


def test_chunked_body_arrives_complete():
    """The replica gets the same bytes, framed by Content-Length."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            head = request_bytes('/book/x', 'POST')[:-2]
            reader, writer = await entry.send_bytes(
                head + b'Transfer-Encoding: chunked\r\n\r\n'
                b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
            )
            assert (await read_answer(reader)).status == 200
            writer.close()
            assert entry.replicas[0].runs[0].body == b'abcde'

    run(scenario())


def test_response_before_the_body_is_read():
    """It is passed on, and the connection is not reused."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            entry.replicas[0].faults.answers_early = True
            for _ in range(3):
                answer = await entry.request('/book/x', 'POST', b'b' * 300_000)
                assert answer.status == 200

    run(scenario())


def test_entry_without_lease_refuses_requests_with_keys():
    """Requests of routes that need no key are still served."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            entry.control.reply.lease_s = 0.0
            await entry.wait_until(lambda: not entry.process.is_ready(), 8.0)
            assert (await entry.request('/look/x')).status == 503
            assert (await entry.request('/open/x')).status == 200
            assert len(entry.replicas[0].runs) == 1

    run(scenario())


def test_keep_alive_connection_serves_many_requests():
    """Sequential requests use one connection of caller and replica."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            reader, writer = await entry.send_bytes(request_bytes('/look/1'))
            for number in range(2, 6):
                assert (await read_answer(reader)).status == 200
                writer.write(request_bytes(f'/look/{number}'))
            assert (await read_answer(reader)).status == 200
            writer.close()
            assert entry.replicas[0].connections == 1

    run(scenario())


def test_failed_connections_add_no_attempts():
    """A route with two attempts sends a request to two replicas at most."""

    async def scenario():
        replicas = [plain_replica(f'd{number}') for number in range(5)]
        async with RunningEntry(*replicas) as entry:
            await replicas[0].stop()
            for replica in replicas[1:]:
                replica.faults.fails = True
            for number in range(12):
                name = f'b{number}'
                replicas_of_entry = entry.process._state.replicas.by_id
                replicas_of_entry['d0'].circuit_breaker = CircuitBreaker()
                await entry.request('/look/x', headers={'X-Attempt-Id': name})
                arrived = [
                    one
                    for replica in replicas
                    for one in replica.runs
                    if one.attempt_id == name
                ]
                assert len(arrived) <= 2

    run(scenario())


@pytest.mark.parametrize('is_gone', [False, True])
def test_silent_stream_moves_only_if_its_replica_is_gone(is_gone):
    """A replica that reads long prompts pauses all its streams.

    It is silent for longer than the pause objective, and can be reached. One
    that can't be reached any more is given up before the objective is over.
    """

    async def scenario():
        async with RunningEntry(
            engine_replica('m1'), engine_replica('m2')
        ) as entry:
            for replica in entry.replicas:
                replica.faults.stalls_after_events = 2
                replica.faults.stall_s = 1.0
            asked = asyncio.create_task(entry.chat())
            await entry.wait_until(
                lambda: any(replica.runs for replica in entry.replicas)
            )
            if is_gone:
                first = next(one for one in entry.replicas if one.runs)
                first.close_listener()
            answer = await asked
            assert answer.is_whole
            runs = [one for replica in entry.replicas for one in replica.runs]
            assert len(runs) == 1 + is_gone

    run(scenario())


def test_log_names_the_shared_parts_of_an_attempt_and_when_it_began():
    """The last part belongs to the request alone and is left out."""
    lines = []
    eliot.add_destinations(lines.append)

    async def scenario():
        async with RunningEntry(engine_replica()) as entry:
            await entry.chat()

    run(scenario())
    eliot.remove_destination(lines.append)
    attempt = [
        one for one in lines if one['message_type'] == 'decision:attempt'
    ][-1]
    assert attempt['shared_parts'] == ['5c']
    assert 0 < attempt['began_ms'] <= attempt['spent_ms']


def test_log_has_one_digest_for_the_same_path_caller_and_body():
    """The id of the attempt, the entry and other headers do not matter."""
    lines = []
    eliot.add_destinations(lines.append)

    async def scenario():
        async with RunningEntry(engine_replica()) as entry:
            for path, body in (('x', b'p'), ('x', b'p'), ('y', b'p')):
                attempt = {
                    **CHAT_HEADERS,
                    'X-Attempt-Id': f'{path}{len(lines)}',
                }
                await entry.request(f'/chat/{path}', 'POST', body, attempt)
            await entry.request('/chat/x', 'POST', b'q', CHAT_HEADERS)

    run(scenario())
    eliot.remove_destination(lines.append)
    digests = [
        one['digest']
        for one in lines
        if one['message_type'] == 'decision:attempt'
    ]
    assert len(digests) == 4
    assert digests[0] == digests[1]
    assert len(set(digests)) == 3


def replicas_of_two_versions():
    """Return two replicas of v1 and one of v2."""
    return [
        engine_replica(f'm{number}', events=40, software=software)
        for number, software in enumerate(('v1', 'v1', 'v2'))
    ]


async def start_rollout(entry, share_permille):
    """Start a roll-out of v2, and wait until the entry knows it."""
    rollout = SoftwareRollout(
        service='models',
        target='v2',
        share_permille=share_permille,
        number=1,
        state='active',
    )
    entry.control.reply.software_rollouts.append(rollout)
    await entry.replace_list()


def test_slow_stream_of_a_version_counts_before_its_end():
    """A slow version has few streams that end while it is on trial."""
    replicas = replicas_of_two_versions()
    replicas[2].faults.event_interval_s = 0.2

    def slow_answers(entry):
        return sum(
            one.slow
            for one in entry.control.requests[-1].software_outcomes
            if one.software == 'v2'
        )

    async def scenario():
        async with RunningEntry(*replicas) as entry:
            for _ in range(3):
                assert (await entry.chat()).is_whole
            await start_rollout(entry, share_permille=1000)
            stream = asyncio.create_task(entry.chat())
            await entry.wait_until(lambda: slow_answers(entry), 3.0)
            assert not stream.done()
            stream.cancel()

    run(scenario())


def test_dropped_drafts_say_nothing_of_the_pace_of_a_version():
    """A slow version would look good by the first tokens of its drafts."""
    replicas = replicas_of_two_versions()
    for replica in replicas:
        replica.faults.confidence['small'] = 10

    async def scenario():
        async with RunningEntry(*replicas) as entry:
            await start_rollout(entry, share_permille=0)
            for _ in range(3):
                assert (await entry.chat()).is_whole
            await entry.replace_list()
            runs = sum(len(one.runs) for one in replicas)
            answered = sum(
                one.answered
                for one in entry.control.requests[-1].software_outcomes
            )
            assert (runs, answered) == (6, 3)

    run(scenario())
