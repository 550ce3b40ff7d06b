"""What callers and replicas see of an entry in routed form."""

import asyncio
import contextlib
import copy

import pytest

from fakes.platform_caller import DOCUMENT, read_answer, request_bytes
from fakes.platform_replica import PlatformReplica
from tests.relay.running_entry import RunningEntry


def run(scenario):
    """Run a scenario with a limit."""
    asyncio.run(asyncio.wait_for(scenario, 30.0))


def plain_replica(name='d1', **fields):
    """Return a replica of the plain service."""
    return PlatformReplica(name, 'desk', '127.0.0.1', **fields)


def engine_replica(name='m1', **fields):
    """Return a replica of the model service."""
    return PlatformReplica(name, 'models', '127.0.0.1', **fields)


def test_request_passes_unchanged():
    """Method, target, body and headers, but for those the system sets."""

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
def test_who_may_ask_for_what(path, headers, status):
    """Unknown routes and keys are refused, and nothing runs."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            answer = await entry.request(path, headers=headers)
            assert answer.status == status
            assert len(entry.replicas[0].runs) == (status == 200)

    run(scenario())


def test_idempotent_request_goes_on_elsewhere():
    """A failure, a lost answer and a crash are not the caller's."""

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


def test_booking_runs_at_most_once():
    """After a lost answer the outcome is not known, and nobody runs it."""

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


def test_refused_booking_goes_to_another_replica():
    """A replica's word that it did not run lets the request go on."""

    async def scenario():
        async with RunningEntry(
            plain_replica('d1'), plain_replica('d2')
        ) as entry:
            entry.replicas[0].faults.is_full = True
            for _ in range(6):
                answer = await entry.request('/book/x', 'POST', b'b')
                assert answer.body == b'answer of d2'

    run(scenario())


def test_refusal_is_true_and_tells_when_to_come_back():
    """Where all are full, the request has not run anywhere."""

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


def test_failure_of_a_replica_is_passed_on():
    """Its status and signature stay together."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            entry.replicas[0].faults.fails = True
            answer = await entry.request('/book/x', 'POST', b'b')
            assert answer.status == 500
            assert answer.headers['x-response-signature'] == 'd1.sig'

    run(scenario())


def test_second_and_foreign_answers_reach_nobody():
    """Bytes that no request waits for end their connection."""

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


def test_second_answer_leaves_no_trace_in_the_first():
    """Both may come in one read; the caller gets the first alone."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            entry.replicas[0].faults.answers_twice = True
            for _ in range(5):
                answer = await entry.request('/book/x', 'POST', b'b')
                assert answer.headers['x-response-signature'] == 'd1.sig'
                assert answer.body == b'answer of d1'

    run(scenario())


def test_answer_that_was_cut_does_not_look_whole():
    """A replica that breaks off leaves the caller without a success."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            entry.replicas[0].faults.cuts_answers = True
            answer = await entry.request('/book/x', 'POST', b'b')
            assert answer.status == 502

    run(scenario())


def test_wrong_instance_at_a_reused_address():
    """A replica that is not the one that was meant runs nothing."""

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
    """The list takes it out within a heartbeat."""

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


def test_stream_comes_whole_and_once():
    """Each event of one run, in order."""

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
def test_broken_stream_goes_on_at_another_replica(fault):
    """The answer has each event once, across two runs."""

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


def test_stream_that_can_not_go_on_does_not_look_whole():
    """Without a replica to resume at, the connection is broken off."""

    async def scenario():
        async with RunningEntry(engine_replica()) as entry:
            entry.replicas[0].faults.breaks_after_events = 2
            answer = await entry.chat()
            assert answer.status == 200
            assert not answer.is_whole

    run(scenario())


# Room for one repeat in all.
ONE_REPEAT = 1.2


def test_slow_stream_is_not_given_up():
    """Two streams stall, and the budget has room to move one of them.

    The other one is waited for, and comes whole.
    """

    async def scenario():
        async with RunningEntry(
            engine_replica('m1'), engine_replica('m2'), retry_slack=ONE_REPEAT
        ) as entry:
            for replica in entry.replicas:
                replica.faults.stalls_after_events = 3
                replica.faults.stall_s = 1.0
            answers = await asyncio.gather(entry.chat(), entry.chat())
            assert all(answer.is_whole for answer in answers)
            runs = [one for replica in entry.replicas for one in replica.runs]
            assert len(runs) == 3

    run(scenario())


def test_slow_head_is_not_given_up():
    """The same before the first byte."""

    async def scenario():
        async with RunningEntry(
            plain_replica('d1'), plain_replica('d2'), retry_slack=ONE_REPEAT
        ) as entry:
            for replica in entry.replicas:
                replica.faults.delay_s = 1.0
            answers = await asyncio.gather(
                entry.request('/look/x'), entry.request('/look/x')
            )
            assert [answer.status for answer in answers] == [200, 200]

    run(scenario())


def test_unsure_draft_is_dropped_for_the_large_model():
    """The caller gets nothing of the draft."""

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


def test_caller_who_leaves_stops_the_run():
    """The connection to the replica ends with the caller's."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            replica = entry.replicas[0]
            replica.faults.delay_s = 5.0
            _, writer = await entry.send_bytes(request_bytes('/look/x'))
            await entry.wait_until(lambda: replica.running == 1)
            writer.close()
            await entry.wait_until(lambda: not entry.process.running_requests)

    run(scenario())


def test_route_gives_up_at_its_timeout():
    """A request that may have run ends in 504 soon after."""

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
    """The limit is that of the configuration in force."""

    async def scenario():
        document = copy.deepcopy(DOCUMENT)
        document['limits'] = {'max_body_bytes': 100}
        async with RunningEntry(plain_replica(), document=document) as entry:
            answer = await entry.request('/book/x', 'POST', b'b' * 200)
            assert answer.status == 413
            assert not entry.replicas[0].runs

    run(scenario())


def test_smuggled_request_is_refused():
    """A body with two lengths is no request."""

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


def test_half_a_request_ends_with_its_time():
    """Neither half a head nor half a body runs, or holds a connection."""
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


def test_head_that_is_too_long_is_refused():
    """The connection ends, and nothing runs."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            reader, writer = await entry.send_bytes(
                request_bytes('/look/x', headers={'X-Long': 'x' * 70_000})
            )
            rest = b''
            # What is not read may reset the connection.
            with contextlib.suppress(ConnectionError):
                rest = await reader.read()
            assert b' 200 ' not in rest
            writer.close()
            assert not entry.replicas[0].runs
            assert (await entry.request('/look/x')).status == 200

    run(scenario())


def test_body_in_chunks_arrives_whole():
    """Its bytes are those of the caller, framed by their length."""

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


def test_answer_that_comes_before_the_body_is_read():
    """It is the answer; the connection is not used for another request."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            entry.replicas[0].faults.answers_early = True
            for _ in range(3):
                answer = await entry.request('/book/x', 'POST', b'b' * 300_000)
                assert answer.status == 200

    run(scenario())


def test_cut_off_entry_serves_no_key():
    """When the lease is over, what needs a key is refused; the rest runs."""

    async def scenario():
        async with RunningEntry(plain_replica()) as entry:
            entry.control.reply.lease_s = 0.0
            await entry.wait_until(lambda: not entry.process.is_ready(), 8.0)
            assert (await entry.request('/look/x')).status == 503
            assert (await entry.request('/open/x')).status == 200
            assert len(entry.replicas[0].runs) == 1

    run(scenario())


def test_kept_connection_serves_many_requests():
    """Requests of a caller follow each other on one connection."""

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
