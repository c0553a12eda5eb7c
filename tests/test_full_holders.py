"""Test retries of requests whose key's holder is full."""

import asyncio
import dataclasses
import unittest

import loguru
from returns import result
from tornado import httputil

from lentilgauge.callers import forwarding
from lentilgauge.contracts import ownership
from lentilgauge.links import upstream_link
from lentilgauge.services import key_ranges
from lentilgauge.vms import admission_queues
from tests import gateway_fixtures

_STEP_MS = 5
#: A holder of two places and a mean latency of 80 ms frees one in this time.
_FREEING_MS = 40


class FullHolder:
    """A holder that resets each request that comes before it has room."""

    def __init__(self, clock: gateway_fixtures.Clock, *, full_ms: int) -> None:
        """Stay full for some time."""
        self.clock = clock
        self.room_ms = clock.now_ms + full_ms
        self.sent_ms: list[int] = []

    async def answer(self, _: upstream_link.Attempt) -> upstream_link.Outcome:
        """Execute the request, or reset it."""
        self.sent_ms.append(self.clock.now_ms)
        if self.clock.now_ms < self.room_ms:
            return upstream_link.Outcome(proof=upstream_link.Proof.UNKNOWN)
        return upstream_link.Outcome(
            proof=upstream_link.Proof.EXECUTED,
            status=200,
            headers=httputil.HTTPHeaders(),
        )


class FullHolderTest(unittest.IsolatedAsyncioTestCase):
    """The only upstream that may serve a key resets requests for it."""

    def setUp(self) -> None:
        """Make a gateway with a keyed service, all keys at u0."""
        loguru.logger.remove()
        self.clock = gateway_fixtures.Clock()
        self.gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), self.clock
        )
        cache = self.gateway.state_cache
        cache.configuration = gateway_fixtures.make_configuration(keyed=True)
        range_table = key_ranges.make_table(key_ranges.split_key_space(1))
        range_table.ranges[0].holder = 'u0'
        range_table.ranges[0].served = True
        cache.ownership = ownership.Ownership(
            table_by_service={'s': range_table}
        )

    async def send(
        self, holder: FullHolder, prefix: str
    ) -> forwarding.ForwardResult:
        """Send one request for a key, and let time pass until it ends."""
        self.gateway.upstreams = dataclasses.replace(
            self.gateway.upstreams, send_attempt=holder.answer
        )
        configuration = self.gateway.state_cache.configuration
        assert configuration is not None
        route = configuration.route_by_host_and_prefix[
            gateway_fixtures.HOST, prefix
        ]
        request = gateway_fixtures.make_request(route, self.clock.now_ms)
        request.key = 7
        sending = asyncio.ensure_future(
            forwarding.forward(self.gateway, request)
        )
        while not sending.done():
            await asyncio.sleep(0)
            self.clock.now_ms += _STEP_MS
            admission_queues.admit_all_waiters(self.gateway)
        return sending.result()

    async def test_a_retry_waits_until_the_holder_may_have_room(self) -> None:
        """Guard against a second reset within the same moment."""
        holder = FullHolder(self.clock, full_ms=_FREEING_MS)
        answer = await self.send(holder, '/read/')
        self.assertIsInstance(answer, result.Success)
        self.assertEqual(len(holder.sent_ms), 2)

    async def test_other_requests_wait_too(self) -> None:
        holder = FullHolder(self.clock, full_ms=_FREEING_MS)
        await self.send(holder, '/write/')
        answer = await self.send(holder, '/write/')
        self.assertIsInstance(answer, result.Success)
        self.assertEqual(len(holder.sent_ms), 2)

    async def test_a_reset_of_what_may_have_run_is_not_repeated(self) -> None:
        holder = FullHolder(self.clock, full_ms=_FREEING_MS)
        answer = await self.send(holder, '/write/')
        self.assertNotIsInstance(answer, result.Success)
        self.assertEqual(len(holder.sent_ms), 1)

    async def test_a_slow_holder_is_not_left_alone_for_long(self) -> None:
        """Guard against a wait in which the answer would become late."""
        load = self.gateway.upstream_loads
        holder = FullHolder(self.clock, full_ms=100)
        started_ms = self.clock.now_ms
        await self.send(holder, '/write/')
        load.load_by_id['u0'].mean_latency_ms = 5000
        await self.send(FullHolder(self.clock, full_ms=0), '/write/')
        self.assertLess(self.clock.now_ms - started_ms, 300)
