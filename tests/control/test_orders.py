"""Orders of the leader to engines, with a log and engines in memory."""

import asyncio
import copy
import time

import pytest
from aioprometheus import Registry
from aioprometheus.renderer import render

from snipebridge.control import orders as control_orders
from snipebridge.control.duties import LeaderDuties
from snipebridge.control.orders import RESEND_S, make_orders
from snipebridge.control.placement import READ_BACK_S, RUN_LIMIT_S
from snipebridge.policy.placement import (
    INITIAL_BACKOFF_S,
    ORDER_TIMEOUT_S,
    OrderKind,
)
from snipebridge.rpc.commands_pb2 import LeadershipCommand
from snipebridge.rpc.control_pb2 import AccountDemand
from snipebridge.settings.models import ControlSettings
from snipebridge.supervision import Supervisor
from snipebridge.upstreams.client import make_upstream_client
from snipebridge.upstreams.engine import make_engine
from snipebridge.upstreams.errors import ResponseTimeoutError
from tests.controllers.commands import DOCUMENT, command
from tests.running_control import run_with_control

URL = 'http://h:1'
OTHER_URL = 'http://h:9'


class MemoryEngine:
    """Engines by address; a test makes them fail or lose answers."""

    def __init__(self, checks_fencing=True):
        """Start with nothing loaded."""
        self.checks_fencing = checks_fencing
        self.loaded = {}
        self.highest = 0
        self.orders = []
        self.read = []
        self.silent = set()
        self.loses_answers = False
        self.before_order = None

    async def order(self, url, order):
        """Carry an order out, unless its number is refused."""
        if self.before_order is not None:
            self.before_order()
        if url in self.silent:
            raise ResponseTimeoutError('nothing came')
        if self.checks_fencing and order.fencing_number < self.highest:
            return False
        self.orders.append((url, order))
        if self.loses_answers:
            raise ResponseTimeoutError('the answer was lost')
        versions = self.loaded.setdefault(url, set())
        if order.kind == OrderKind.LOAD:
            versions.add(order.version)
        else:
            versions.discard(order.version)
        return True

    async def loaded_versions(self, url):
        """Return what is loaded."""
        self.read.append(url)
        if url in self.silent:
            raise ResponseTimeoutError('nothing came')
        return frozenset(self.loaded.get(url, ()))

    def kinds(self):
        """Return what was ordered, in short."""
        return [(one.kind, one.version) for _, one in self.orders]


class Setting:
    """A leader in office, its orders and its engines."""

    def __init__(self, control, engine, **settings):
        """Drive the orders of a running control process by hand."""
        self.control = control
        self.engine = engine
        self.leadership = control.process.leadership
        self.orders = make_orders(
            self.leadership, engine, ControlSettings(**settings)
        )
        self.duties = LeaderDuties(self.leadership, self.orders)

    async def go(self, rounds=4, step_s=READ_BACK_S):
        """Do rounds, each after a step of the clock."""
        for _ in range(rounds):
            self.control.clock.now_s += step_s
            await self.duties.do_round()
            while self.orders.under_way:
                await asyncio.sleep(0)

    def states(self):
        """Return the states of the order commands in the log."""
        return [
            one.order.state
            for one in self.control.replica.log
            if one.HasField('order')
        ]


def make_document(checks_fencing=True, **upstreams):
    """Return the usual configuration with engines as asked."""
    document = copy.deepcopy(DOCUMENT)
    document['upstreams']['e1']['checks_fencing'] = checks_fencing
    for name, url in upstreams.items():
        fields = {**document['upstreams']['e1'], 'url': url}
        document['upstreams'][name] = fields
    return document


def run_orders(scenario, engine=None, document=None, **settings):
    """Run a scenario with a configured leader."""

    async def run(control):
        await control.patch(document or make_document(), 0)
        made = Setting(control, engine or MemoryEngine(), **settings)
        await scenario(made)
        made.orders.close()

    run_with_control(run)


def test_order_is_durable_before_it_is_sent():
    """The log holds it as issued when the engine gets it, then as done."""

    async def scenario(made):
        seen = []
        made.engine.before_order = lambda: seen.append(made.states())
        await made.go()
        assert made.engine.kinds() == [('load', 'm@1')]
        assert seen == [['issued']]
        assert made.states() == ['issued', 'done']
        order = next(made.control.machine.fencing.orders())
        assert (order.upstream, order.fencing_number) == ('e1', 1)

    run_orders(scenario)


def test_order_that_is_not_durable_is_not_sent():
    """A lost acknowledgement of the log is asked for again."""

    async def scenario(made):
        made.control.replica.loses_acknowledgement = True
        await made.go()
        assert not made.engine.orders
        made.control.replica.loses_acknowledgement = False
        await made.go()
        assert made.engine.kinds() == [('load', 'm@1')]

    run_orders(scenario)


def test_number_refused_by_an_engine_stops_the_leader():
    """It leaves office and orders nothing more under that number."""

    async def scenario(made):
        made.engine.highest = 2
        await made.go(2)
        assert not made.leadership.is_in_office()
        await made.leadership.follow_replica()
        assert made.leadership.is_in_office()
        made.engine.highest = 0
        await made.go()
        assert not made.engine.orders

    run_orders(scenario)


def test_number_refused_by_the_log_stops_the_leader():
    """A later leadership in the log keeps the order from being sent."""

    async def scenario(made):
        await made.go(1)
        later = LeadershipCommand(leader='c2', term=9)
        await made.control.replica.submit([command(leadership=later)])
        await made.go(1)
        assert not made.leadership.is_in_office()
        assert not made.engine.orders

    run_orders(scenario)


@pytest.mark.parametrize('checks_fencing', [True, False])
def test_new_leader_waits_where_the_number_is_ignored(checks_fencing):
    """It waits out the old lease and the longest order, then reads back."""
    engine = MemoryEngine(checks_fencing)

    async def scenario(made):
        await made.go()
        assert bool(engine.orders) == checks_fencing
        await made.go(1, ORDER_TIMEOUT_S - 3 * READ_BACK_S)
        assert bool(engine.orders) == checks_fencing
        # An order of the old leader arrives; it is read back.
        engine.loaded[URL] = {'m@1'}
        await made.go(4)
        assert bool(engine.orders) == checks_fencing
        engine.loaded[URL] = set()
        await made.go()
        assert engine.kinds()[-1] == ('load', 'm@1')

    run_orders(scenario, engine, make_document(checks_fencing))


def test_order_without_an_answer_is_sent_again_under_its_id():
    """The engine can tell that it is the same order."""

    async def scenario(made):
        made.engine.loses_answers = True
        await made.go(9, RESEND_S)
        made.engine.loses_answers = False
        await made.go(12, RESEND_S)
        ids = [one.order_id for _, one in made.engine.orders]
        assert len(ids) > 2
        assert set(ids) == {'1-1'}
        assert made.states() == ['issued', 'done']

    run_orders(scenario)


def test_withdrawn_version_is_unloaded_when_nothing_of_it_runs():
    """It is in force everywhere and the longest request has ended."""

    async def scenario(made):
        made.engine.loaded[URL] = {'m@1', 'm@2'}
        await made.go()
        assert not made.engine.orders
        change = {
            'versions': {'m@2': {'state': 'withdrawn'}},
            'rollouts': {'m@2': {'state': 'stopped'}},
        }
        await made.control.patch(change, 1, 'k2')
        await made.go()
        await made.go(1, RUN_LIMIT_S - 4 * READ_BACK_S)
        assert not made.engine.orders
        await made.go()
        assert made.engine.kinds() == [('unload', 'm@2')]
        assert made.states() == ['issued', 'done']

    run_orders(scenario)


def test_withdrawal_that_an_entry_may_not_know_unloads_nothing():
    """The entry holds a lease that was granted with the older number."""

    async def scenario(made):
        made.engine.loaded[URL] = {'m@1', 'm@2'}
        await made.control.beat(number=1)
        change = {
            'versions': {'m@2': {'state': 'withdrawn'}},
            'rollouts': {'m@2': {'state': 'stopped'}},
        }
        await made.control.patch(change, 1, 'k2')
        made.control.clock.now_s += 1.0
        await made.go(1, 0)
        await made.control.beat(number=1)
        assert made.leadership.in_force().number == 1
        assert made.orders._ending.may_run('m@2', float('inf'))

    run_orders(scenario)


@pytest.mark.parametrize('at', ['round', 'send'])
def test_nothing_is_sent_out_of_office(at):
    """Neither by a round nor between the record and the send."""

    async def scenario(made):
        submit = made.control.replica.submit

        async def submit_and_lose(commands):
            results = await submit(commands)
            made.control.replica.leads = False
            return results

        if at == 'send':
            made.control.replica.submit = submit_and_lose
        else:
            made.control.replica.leads = False
        await made.go()
        assert not made.engine.orders
        assert made.states() == (['issued'] if at == 'send' else [])

    run_orders(scenario)


def test_leader_frozen_after_the_record_sends_nothing():
    """The clock is read again right before the send."""

    async def scenario(made):
        submit = made.control.replica.submit

        async def submit_and_freeze(commands):
            results = await submit(commands)
            made.control.clock.now_s += ORDER_TIMEOUT_S
            return results

        await made.go(1)
        made.control.replica.submit = submit_and_freeze
        await made.go(1)
        assert made.states() == ['issued']
        assert not made.engine.orders

    run_orders(scenario)


def test_leader_frozen_while_it_connects_sends_nothing(monkeypatch):
    """What it was about to write is dropped when it wakes up."""
    monkeypatch.setattr(control_orders, 'EXCHANGE_LIMIT_S', 0.05)
    received = []

    async def keep(reader, writer):
        received.append(await reader.read(1))
        writer.close()

    class FreezingEngine(MemoryEngine):
        async def order(self, url, order):
            self.orders.append((url, order))
            # Stands for a process that is stopped and goes on.
            time.sleep(0.2)
            return await make_engine(make_upstream_client()).order(url, order)

    async def scenario(made):
        server = await asyncio.start_server(keep, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        change = {'upstreams': {'e1': {'url': f'http://127.0.0.1:{port}'}}}
        await made.control.patch(change, 1, 'k2')
        await made.go(2)
        await asyncio.sleep(0.1)
        server.close()
        assert made.engine.orders
        assert b'P' not in received

    run_orders(scenario, FreezingEngine())


def test_order_that_is_no_longer_asked_for_is_not_sent_again():
    """The version was withdrawn while the engine was silent."""

    async def scenario(made):
        await made.go(1)
        made.engine.silent.add(URL)
        await made.go(1)
        assert made.states() == ['issued']
        made.engine.silent.clear()
        change = {
            'versions': {'m@1': {'state': 'withdrawn'}},
            'rollouts': {'m@2': {'state': 'stopped'}},
        }
        await made.control.patch(change, 1, 'k2')
        await made.go()
        assert not made.engine.orders
        assert made.states() == ['issued', 'failed']

    run_orders(scenario)


def test_fault_in_an_exchange_is_not_lost():
    """The next round counts it, and orders go on once it is over."""

    class FaultyEngine(MemoryEngine):
        async def loaded_versions(self, url):
            if not self.read:
                self.read.append(url)
                raise ZeroDivisionError
            return await super().loaded_versions(url)

    registry = Registry()

    async def scenario(made):
        made.duties = LeaderDuties(
            made.leadership,
            made.orders,
            Supervisor(registry, made.control.clock),
        )
        await made.go(2)
        counted = render(registry, ['text/plain'])[0].decode()
        assert 'snipebridge_duty_failures_total{duty="orders"} 1' in counted
        await made.go()
        assert made.engine.kinds() == [('load', 'm@1')]

    run_orders(scenario, FaultyEngine())


def test_silent_engine_backs_off_and_holds_no_other_up():
    """It is asked less and less; the other gets its order."""

    async def scenario(made):
        made.engine.silent.add(URL)
        await made.go(30)
        assert [url for url, _ in made.engine.orders] == [OTHER_URL]
        assert made.engine.read.count(OTHER_URL) == 30
        assert 3 <= made.engine.read.count(URL) <= 6

    run_orders(scenario, document=make_document(e2=OTHER_URL))


def test_many_engines_are_read_back_at_a_bounded_rate():
    """An engine with an open order is read more often than the others."""
    names = {f'x{number:02}': f'http://x:{number}' for number in range(39)}

    async def scenario(made):
        for url in (URL, *names.values()):
            made.engine.loaded[url] = {'m@1'}
        await made.go(21)
        # 40 engines at 10 a second in 40 s, after the first reading.
        assert len(made.engine.read) == 40 * 11
        made.engine.loaded[URL] = set()
        made.engine.loses_answers = True
        made.engine.read.clear()
        await made.go(10)
        assert made.engine.read.count(URL) >= 8
        assert made.engine.read.count('http://x:1') == 5

    run_orders(scenario, document=make_document(**names))


def test_engine_that_hangs_holds_no_round_up():
    """A round returns while an exchange is open."""

    async def scenario(made):
        gate = asyncio.Event()
        read = made.engine.loaded_versions

        async def read_slowly(url):
            if url == URL:
                await gate.wait()
            return await read(url)

        made.engine.loaded_versions = read_slowly
        for _ in range(9):
            made.control.clock.now_s += READ_BACK_S
            made.orders.do_round()
            for _ in range(9):
                await asyncio.sleep(0)
        assert made.orders.under_way == 1
        assert [url for url, _ in made.engine.orders] == [OTHER_URL]

    run_orders(scenario, document=make_document(e2=OTHER_URL))


def test_order_without_effect_fails_and_is_given_anew_later():
    """After its time limit and a wait, under another id."""

    async def scenario(made):
        made.engine.loses_answers = True
        await made.go(2)
        await made.go(1, ORDER_TIMEOUT_S)
        assert made.states() == ['issued', 'failed']
        await made.go(1, INITIAL_BACKOFF_S - 1)
        assert made.states() == ['issued', 'failed']
        await made.go(1, READ_BACK_S)
        assert made.engine.orders[-1][1].order_id == '1-2'

    run_orders(scenario)


def test_placement_takes_no_listed_version_away():
    """Entries route by the list, so what is spare there stays."""
    document = make_document()
    document['upstreams']['e1']['versions'] = ['m@1', 'm@2']
    document['versions']['m@3'] = {
        'model': 'm',
        'state': 'serving',
        'pool': 'models',
    }
    for name in ('e2', 'e3', 'e4'):
        document['upstreams'][name] = {
            **document['upstreams']['e1'],
            'url': f'http://h:{name}',
        }

    async def scenario(made):
        for fields in document['upstreams'].values():
            made.engine.loaded[fields['url']] = {'m@1', 'm@2'}
        await made.go(9)
        assert not made.engine.orders
        assert made.orders._next_id == 1

    run_orders(scenario, document=document, places_versions=True)


def test_placement_follows_demand_where_it_is_switched_on():
    """A version without a listed upstream is loaded by the policy."""

    async def scenario(made):
        made.engine.loaded[URL] = {'m@1'}
        await made.control.beat(
            report_id=1,
            demands=[AccountDemand(account='a', pool='models', running=4)],
        )
        await made.go(9)
        assert made.engine.kinds() == [('load', 'm@2')]
        assert made.states() == ['issued', 'done']

    run_orders(scenario, places_versions=True)
