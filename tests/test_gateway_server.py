"""Test how a gateway serves callers, with upstreams that a test plays."""

import asyncio
import dataclasses
import itertools
import random
import unittest
from collections.abc import Awaitable, Callable

from tornado import httputil, testing

from lentilgauge import metrics
from lentilgauge.callers import choosing, gateway_request, gateway_server
from lentilgauge.contracts import ownership
from lentilgauge.links import (
    http_client,
    peer_link,
    store_link,
    upstream_link,
)
from lentilgauge.services import key_ranges, routes
from lentilgauge.upstreams import roster, upstream_load
from lentilgauge.vms import (
    beliefs,
    gateway,
    gateway_process,
    peer_routes,
    waiting_rooms,
)
from tests import conditions

_HOST = 'a.example'
_DIALECT = gateway_server.Dialect(
    request_id='X-Id',
    deadline_ms='X-Deadline',
    key='X-Key',
    not_forwarded=('Content-Length',),
)
Answer = Callable[[upstream_link.Attempt], Awaitable[upstream_link.Outcome]]


class Clock:
    """Hold a time that a test sets."""

    def __init__(self) -> None:
        """Start somewhere."""
        self.now_ms = 1_000_000

    def read(self) -> int:
        """Read the time."""
        return self.now_ms


async def refuse_store(*_: object) -> object:
    """Stand for a store that no test here asks."""
    raise AssertionError('the store is not asked')


def make_configuration(*, keyed: bool = False) -> routes.Configuration:
    """Make a configuration of two routes to one service."""
    made = [
        routes.Route(
            name=name,
            host=_HOST,
            prefix=f'/{name}/',
            idempotent=name == 'read',
            timeout_ms=900,
            target_ms=300,
            rank=0,
            most_attempts=2,
            parts=(routes.Part(service='s'),),
        )
        for name in ('read', 'write')
    ]
    return routes.Configuration(
        version=1,
        route_by_place={(one.host, one.prefix): one for one in made},
        service_by_name={
            's': routes.Service(
                name='s',
                keyed=keyed,
                health_path='/health',
                most_connections=10,
                cold_per_second=5,
                cold_ms=3000,
            ),
        },
        idle_timeout_ms=1000,
        header_timeout_ms=1000,
        most_body_bytes=1000,
        most_header_bytes=1000,
    )


def make_upstream(name: str, domain: str = 'd') -> roster.Upstream:
    """Make an upstream that takes work."""
    return roster.Upstream(
        id=name,
        service='s',
        address=f'{name}:1',
        failure_domain=domain,
        concurrency=2,
        state=roster.State.READY,
        life=1,
        warm_ms=0,
    )


class Upstreams:
    """Answer attempts as a test says, and keep them."""

    def __init__(self) -> None:
        """Start by executing everything."""
        self.attempts: list[upstream_link.Attempt] = []
        self.proofs: list[upstream_link.Proof] = []
        self.hold: asyncio.Event | None = None
        self.cancelled = 0

    async def answer(
        self,
        attempt: upstream_link.Attempt,
    ) -> upstream_link.Outcome:
        """Answer one attempt."""
        copied = httputil.HTTPHeaders(attempt.headers)
        self.attempts.append(dataclasses.replace(attempt, headers=copied))
        if self.hold is not None:
            try:
                await self.hold.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        proof = upstream_link.Proof.EXECUTED
        if self.proofs:
            proof = self.proofs.pop(0)
        return upstream_link.Outcome(
            proof=proof,
            status=200,
            headers=httputil.HTTPHeaders({'X-Seal': 'sealed'}),
            body=b'done',
        )


def make_gateway(upstreams: Upstreams, clock: Clock) -> gateway.Gateway:
    """Make a gateway that knows a configuration and two upstreams."""
    believed = beliefs.make_beliefs(
        beliefs.Decoders(
            read_configuration=lambda _: None,
            read_upstream=lambda *_: None,
        ),
        clock.read,
    )
    believed.configuration = make_configuration()
    believed.upstream_by_id = {
        name: make_upstream(name) for name in ('u0', 'u1')
    }
    return gateway.Gateway(
        me=peer_link.Peer(
            vm='vm',
            address='vm:1',
            failure_domain='d',
            incarnation='i',
        ),
        seeds=(),
        first_start=True,
        bounds=gateway.Bounds(
            hold_ms=10_000,
            cold_burst_factor=1.5,
            cold_slack=5,
            retry_ratio=0.2,
            retry_window_ms=10_000,
            retry_extra=60,
            drain_ms=2000,
            evacuate_ms=5000,
            grace_ms=6000,
        ),
        beliefs=believed,
        store=store_link.Store(
            list_topic=refuse_store,  # type: ignore[arg-type]
            watch_topic=refuse_store,  # type: ignore[arg-type]
            read_record=refuse_store,  # type: ignore[arg-type]
            write_record=refuse_store,  # type: ignore[arg-type]
        ),
        upstreams=upstream_link.UpstreamLink(
            send_attempt=upstreams.answer,
            grant_keys=refuse_store,  # type: ignore[arg-type]
            release_keys=refuse_store,  # type: ignore[arg-type]
        ),
        client=http_client.make_client(),
        metrics=metrics.Metrics(),
        now_ms=clock.read,
        random=random.Random(1),
        loads=upstream_load.Loads(failure_domain='d'),
    )


class GatewayServerTest(unittest.IsolatedAsyncioTestCase):
    """Send callers' requests over sockets."""

    async def asyncSetUp(self) -> None:
        """Start a gateway on a free port."""
        self.clock = Clock()
        self.upstreams = Upstreams()
        self.gateway = make_gateway(self.upstreams, self.clock)
        probe, port = testing.bind_unused_port()
        probe.close()
        self.port = port
        self.server = gateway_server.start_gateway_server(
            self.gateway,
            _DIALECT,
            address='127.0.0.1',
            port=self.port,
        )
        self.client = http_client.make_client()

    async def asyncTearDown(self) -> None:
        """Stop it."""
        self.server.stop()
        await self.server.close_all_connections()

    async def send(
        self,
        path: str,
        method: str = 'GET',
        **headers: str,
    ) -> http_client.Reply:
        """Send a request; return the answer."""
        named = httputil.HTTPHeaders({'Host': _HOST, 'X-Id': 'r1'})
        for name, text in headers.items():
            named[name.replace('_', '-')] = text
        sent = await http_client.send_call(
            self.client,
            http_client.Call(
                method=method,
                url=f'http://127.0.0.1:{self.port}',
                target=path,
                timeout_ms=5000,
                body=b'b' if method == 'POST' else None,
                headers=named,
            ),
        )
        return sent.unwrap()

    async def test_a_kept_connection_costs_a_request_no_time(self) -> None:
        """The time until a caller sends again is not the request's."""
        await self.send('/read/1', X_Deadline='800')
        self.clock.now_ms += 60_000
        reply = await self.send('/read/2', X_Deadline='800')
        self.assertEqual(reply.status, 200)
        left = [attempt.left_ms for attempt in self.upstreams.attempts]
        self.assertEqual(left, [800, 800])

    async def test_a_request_is_passed_on_as_it_came(self) -> None:
        reply = await self.send('/write/x?y=%20z', 'POST', X_Other='kept')
        attempt = self.upstreams.attempts[0]
        self.assertEqual(attempt.target, '/write/x?y=%20z')
        self.assertEqual(attempt.body, b'b')
        self.assertEqual(attempt.headers['X-Other'], 'kept')
        self.assertEqual(attempt.headers['Host'], _HOST)
        self.assertEqual(reply.body, b'done')
        self.assertEqual(reply.headers['X-Seal'], 'sealed')

    async def test_no_route_is_404_and_no_configuration_503(self) -> None:
        self.assertEqual((await self.send('/none/1')).status, 404)
        self.gateway.beliefs.configuration = None
        self.assertEqual((await self.send('/none/1')).status, 503)

    async def test_what_may_have_run_is_sent_again_only_if_idempotent(
        self,
    ) -> None:
        self.upstreams.proofs = [upstream_link.Proof.UNKNOWN]
        self.assertEqual((await self.send('/read/1')).status, 200)
        self.assertEqual(len(self.upstreams.attempts), 2)
        self.upstreams.attempts.clear()
        self.upstreams.proofs = [upstream_link.Proof.UNKNOWN]
        reply = await self.send('/write/1', 'POST')
        self.assertEqual(reply.status, 502)
        self.assertEqual(len(self.upstreams.attempts), 1)

    async def test_what_was_refused_goes_to_another_upstream(self) -> None:
        self.upstreams.proofs = [upstream_link.Proof.REFUSED]
        reply = await self.send('/write/1', 'POST')
        self.assertEqual(reply.status, 200)
        used = {attempt.upstream.id for attempt in self.upstreams.attempts}
        self.assertEqual(used, {'u0', 'u1'})

    async def test_a_caller_that_leaves_ends_the_attempt(self) -> None:
        self.upstreams.hold = asyncio.Event()
        _, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(f'GET /read/1 HTTP/1.1\r\nHost: {_HOST}\r\n\r\n'.encode())
        await conditions.wait_until(lambda: self.upstreams.attempts)
        writer.close()
        await conditions.wait_until(lambda: self.upstreams.cancelled)
        await conditions.wait_until(lambda: not self.gateway.in_flight)
        load = self.gateway.loads.load_by_id
        self.assertEqual(sum(one.in_flight for one in load.values()), 0)

    async def test_whoever_waits_at_the_end_is_answered(self) -> None:
        """A process that must end says what is known of the request."""
        self.upstreams.hold = asyncio.Event()
        asked = asyncio.ensure_future(self.send('/write/1', 'POST'))
        await conditions.wait_until(lambda: self.upstreams.attempts)
        gateway_server.end_exchanges(self.gateway)
        self.assertEqual((await asked).status, 504)
        self.gateway.closing = True
        reply = await self.send('/write/2', 'POST')
        self.assertEqual(reply.status, 503)
        self.assertEqual(len(self.upstreams.attempts), 1)

    async def test_a_key_without_a_holder_waits_and_is_refused(self) -> None:
        """Refused as not run, with a time to come back; nothing was sent."""
        believed = self.gateway.beliefs
        believed.configuration = make_configuration(keyed=True)
        table = key_ranges.make_table(key_ranges.cut_equally(1))
        believed.ownership = ownership.Ownership(
            table_by_service={'s': table},
        )
        asked = asyncio.ensure_future(self.send('/write/1', 'POST', X_Key='7'))
        room = waiting_rooms.get_room(self.gateway, 's')
        await conditions.wait_until(lambda: room.waiters)
        self.clock.now_ms += 500
        waiting_rooms.admit_all_waiters(self.gateway)
        reply = await asked
        self.assertEqual(reply.status, 503)
        self.assertIn('Retry-After', reply.headers)
        self.assertEqual(self.upstreams.attempts, [])

    async def test_a_waiting_key_is_served_once_it_has_a_holder(self) -> None:
        believed = self.gateway.beliefs
        believed.configuration = make_configuration(keyed=True)
        table = key_ranges.make_table(key_ranges.cut_equally(1))
        believed.ownership = ownership.Ownership(
            table_by_service={'s': table},
        )
        asked = asyncio.ensure_future(self.send('/write/1', 'POST', X_Key='7'))
        room = waiting_rooms.get_room(self.gateway, 's')
        await conditions.wait_until(lambda: room.waiters)
        table.ranges[0].holder = 'u1'
        table.ranges[0].served = True
        waiting_rooms.admit_all_waiters(self.gateway)
        self.assertEqual((await asked).status, 200)
        self.assertEqual(self.upstreams.attempts[0].upstream.id, 'u1')

    async def test_a_route_bounds_how_many_upstreams_are_tried(self) -> None:
        """The third upstream would have had room."""
        self.gateway.beliefs.upstream_by_id['u2'] = make_upstream('u2')
        self.upstreams.proofs = list(
            itertools.repeat(upstream_link.Proof.REFUSED, 2),
        )
        reply = await self.send('/write/1', 'POST')
        self.assertEqual(reply.status, 503)
        self.assertEqual(len(self.upstreams.attempts), 2)

    async def test_repeats_stay_within_the_budget_of_this_vm(self) -> None:
        """Upstreams refuse everything; callers go on coming."""
        requests = 150
        self.upstreams.proofs = list(
            itertools.repeat(upstream_link.Proof.REFUSED, requests * 2),
        )
        for number in range(requests):
            await self.send(f'/read/{number}')
            # What was refused lately is passed over for a moment.
            self.clock.now_ms += upstream_load.FULL_MS
        bounds = self.gateway.bounds
        repeats = len(self.upstreams.attempts) - requests
        self.assertGreater(repeats, 0)
        self.assertLessEqual(
            repeats,
            bounds.retry_ratio * requests + bounds.retry_extra,
        )

    async def test_idle_callers_are_kept_as_long_as_operators_allow(
        self,
    ) -> None:
        """The limit may change while connections are open."""
        configuration = make_configuration()
        self.gateway.beliefs.configuration = dataclasses.replace(
            configuration,
            idle_timeout_ms=120_000,
        )
        beliefs.note_change(self.gateway.beliefs)
        kept_s = self.server.conn_params.header_timeout
        assert kept_s is not None
        self.assertGreaterEqual(kept_s, 120)

    def is_asleep(self) -> bool:
        """Tell whether nobody is looked after."""
        return not self.gateway.waiting_began.is_set()

    async def test_who_waits_is_looked_after_and_sleep_follows(self) -> None:
        """Room comes with time alone, and then nothing ticks any more."""
        for name in self.gateway.beliefs.upstream_by_id:
            load = upstream_load.get_load(self.gateway.loads, name)
            load.suspended_ms = self.clock.now_ms + 100
        job = asyncio.ensure_future(
            gateway_process.look_after_waiters(self.gateway),
        )
        began = self.gateway.waiting_began
        for _ in range(2):
            asked = asyncio.ensure_future(self.send('/write/1', 'POST'))
            await conditions.wait_until(began.is_set)
            self.clock.now_ms += 100
            self.assertEqual((await asked).status, 200)
            await conditions.wait_until(self.is_asleep)
            for load in self.gateway.loads.load_by_id.values():
                load.suspended_ms = self.clock.now_ms + 100
        job.cancel()

    def count_chosen(self, span_ms: int) -> int:
        """Choose as often as there is room, for a while; no work takes time."""
        load = upstream_load.get_load(self.gateway.loads, 'u0')
        chosen = 0
        for _ in range(0, span_ms, 10):
            now_ms = self.clock.now_ms
            request = gateway_request.Request(
                id='r',
                route=make_configuration().route_by_place[_HOST, '/write/'],
                service='s',
                key=None,
                method='POST',
                target='/write/1',
                headers=httputil.HTTPHeaders(),
                body=b'',
                arrived_ms=now_ms,
                deadline_ms=now_ms + 900,
            )
            if choosing.choose_upstream(self.gateway, request) is not None:
                chosen += 1
                load.in_flight -= 1
            self.clock.now_ms += 10
        return chosen

    def lose_and_reach(self) -> None:
        """Let the only upstream be out of reach, and then answer again."""
        self.gateway.beliefs.upstream_by_id.pop('u1')
        self.gateway.beliefs.ownership.vms = ('vm',)
        load = upstream_load.get_load(self.gateway.loads, 'u0')
        for _ in range(2):
            upstream_load.note_unreachable(load, 1)
        doubt_ms = gateway.find_doubt_ms(self.gateway, 's')
        upstream_load.note_reached(load, self.clock.now_ms, doubt_ms)

    async def test_who_comes_back_in_an_outage_may_be_cold(self) -> None:
        """Its announcement is of its earlier start: it can't renew it."""
        self.gateway.outage_told_ms = self.clock.now_ms
        self.lose_and_reach()
        self.assertLessEqual(self.count_chosen(1000), 12.5)
        self.clock.now_ms += 2000
        self.assertEqual(self.count_chosen(1000), 100)

    async def test_a_new_announcement_ends_the_doubt(self) -> None:
        self.gateway.outage_told_ms = self.clock.now_ms
        self.lose_and_reach()
        renewed = dataclasses.replace(make_upstream('u0'), life=2)
        self.gateway.beliefs.upstream_by_id['u0'] = renewed
        self.assertEqual(self.count_chosen(1000), 100)

    async def test_with_the_store_at_hand_the_doubt_is_short(self) -> None:
        """An announcement would have gone round by its end."""
        self.lose_and_reach()
        self.assertLessEqual(self.count_chosen(1000), 12.5)
        self.assertEqual(self.count_chosen(1000), 100)

    async def follow(self, serial: int) -> peer_link.FollowReply:
        """Ask as a VM that follows."""
        return await peer_routes.answer_follower(
            self.gateway,
            peer_link.FollowMessage(
                peer=peer_link.Peer(
                    vm='asker',
                    address='asker:1',
                    failure_domain='d',
                    incarnation='i',
                ),
                mark_by_topic={},
                term=1,
                serial=serial,
                wait_ms=0,
            ),
        )

    async def test_a_large_fleet_is_answered_less_often(self) -> None:
        """News that comes meanwhile goes out in the same answer."""
        self.gateway.beliefs.ownership = ownership.Ownership(
            term=1,
            serial=1,
            vms=tuple(f'vm-{number}' for number in range(86)),
        )
        await self.follow(0)
        asked = asyncio.ensure_future(self.follow(0))
        await asyncio.sleep(0)
        self.gateway.beliefs.ownership.serial = 2
        reply = await asked
        assert reply.news is not None
        self.assertEqual(reply.news.serial, 2)
