"""Test how a gateway serves callers, with upstreams that a test plays."""

import asyncio
import dataclasses
import itertools
import unittest

from tornado import httputil, testing

from lentilgauge.callers import gateway_server
from lentilgauge.contracts import ownership
from lentilgauge.links import (
    http_client,
    upstream_link,
)
from lentilgauge.services import key_ranges
from lentilgauge.upstreams import upstream_load
from lentilgauge.vms import (
    beliefs,
    gateway_process,
    waiting_rooms,
)
from tests import conditions, gateway_parts

_DIALECT = gateway_server.Dialect(
    request_id='X-Id',
    deadline_ms='X-Deadline',
    key='X-Key',
    not_forwarded=('Content-Length',),
)


class GatewayServerTest(unittest.IsolatedAsyncioTestCase):
    """Send callers' requests over sockets."""

    async def asyncSetUp(self) -> None:
        """Start a gateway on a free port."""
        self.clock = gateway_parts.Clock()
        self.upstreams = gateway_parts.Upstreams()
        self.gateway = gateway_parts.make_gateway(self.upstreams, self.clock)
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
        named = httputil.HTTPHeaders({'Host': gateway_parts.HOST, 'X-Id': 'r1'})
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
        self.assertEqual(attempt.headers['Host'], gateway_parts.HOST)
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
        lines = ('GET /read/1 HTTP/1.1', f'Host: {gateway_parts.HOST}', '', '')
        writer.write('\r\n'.join(lines).encode())
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
        believed.configuration = gateway_parts.make_configuration(keyed=True)
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
        believed.configuration = gateway_parts.make_configuration(keyed=True)
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
        self.gateway.beliefs.upstream_by_id['u2'] = gateway_parts.make_upstream(
            'u2'
        )
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
        configuration = gateway_parts.make_configuration()
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
