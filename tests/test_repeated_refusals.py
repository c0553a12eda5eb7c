"""Test requests of which an upstream writes a refusal more than once."""

import asyncio
import dataclasses
import unittest

from returns import result
from tornado import httputil

from lentilgauge.callers import forwarding, gateway_request
from lentilgauge.contracts import ownership
from lentilgauge.links import http_client
from lentilgauge.platform import headers, upstream_adapter
from lentilgauge.services import key_ranges, routes
from lentilgauge.vms import admission_queues
from lentilgauge.vms import gateway as gateway_module
from tests import conditions, faulty_upstream, gateway_fixtures

_REQUEST_ID = 'r1'
_FULL = '503 Service Unavailable'
_NOT_OWNER = '421 Misdirected Request'
_TIMEOUT_MS = 60_000
#: Longer than an upstream that refused a request is suspended.
_SUSPENSION_MS = 100


def make_keyed_gateway(
    address: str, clock: gateway_fixtures.Clock
) -> gateway_module.Gateway:
    """Make a gateway with one upstream, which owns all keys of its service."""
    gateway = gateway_fixtures.make_gateway(
        gateway_fixtures.ScriptedUpstreams(), clock
    )
    gateway.upstreams = upstream_adapter.make_link(gateway.client)
    cache = gateway.state_cache
    cache.configuration = gateway_fixtures.make_configuration(keyed=True)
    cache.upstream_by_id = {
        'u0': dataclasses.replace(
            gateway_fixtures.make_upstream('u0'), address=address
        ),
    }
    range_table = key_ranges.make_table(key_ranges.split_key_space(1))
    range_table.ranges[0].holder = 'u0'
    range_table.ranges[0].served = True
    cache.ownership = ownership.Ownership(table_by_service={'s': range_table})
    return gateway


def make_request(
    gateway: gateway_module.Gateway, max_attempts: int
) -> gateway_request.Request:
    """Make a request with a key that isn't idempotent."""
    configuration = gateway.state_cache.configuration
    assert configuration is not None
    route = routes.find_route(configuration, gateway_fixtures.HOST, '/write/1')
    assert route is not None
    now_ms = gateway.now_ms()
    return gateway_request.Request(
        id=_REQUEST_ID,
        route=dataclasses.replace(
            route, max_attempts=max_attempts, target_ms=_TIMEOUT_MS
        ),
        service='s',
        key=7,
        method='POST',
        target='/write/1',
        headers=httputil.HTTPHeaders(
            {'Host': gateway_fixtures.HOST, headers.REQUEST_ID: _REQUEST_ID},
        ),
        body=b'b',
        arrived_ms=now_ms,
        deadline_ms=now_ms + _TIMEOUT_MS,
    )


class RepeatedRefusalsTest(unittest.IsolatedAsyncioTestCase):
    """A gateway retries at an upstream that repeats its refusal."""

    async def forward(
        self,
        upstream: faulty_upstream.FaultyUpstream,
        max_attempts: int = 2,
    ) -> forwarding.ForwardResult:
        """Forward a request, retrying when suspensions have ended."""
        await upstream.start()
        self.addAsyncCleanup(upstream.close)
        clock = gateway_fixtures.Clock()
        gateway = make_keyed_gateway(upstream.address, clock)
        forward_task = asyncio.ensure_future(
            forwarding.forward(gateway, make_request(gateway, max_attempts)),
        )
        wait_queue = admission_queues.get_admission_queue(gateway, 's')

        def is_done_or_waiting() -> bool:
            return forward_task.done() or any(
                not waiter.upstream_future.done()
                for waiter in wait_queue.waiters
            )

        for _ in range(1, max_attempts):
            await conditions.wait_until(is_done_or_waiting)
            if upstream.repetition is faulty_upstream.Repetition.ON_DEMAND:
                upstream.repeat_refusal()
            clock.now_ms += _SUSPENSION_MS
            admission_queues.admit_all_waiters(gateway)
        return await forward_task

    async def test_a_request_that_ran_is_not_answered_as_refused(self) -> None:
        """Guard against believing a refusal of an attempt that was retried."""
        for repetition in faulty_upstream.Repetition:
            for status_line in (_FULL, _NOT_OWNER):
                with self.subTest(repetition, status_line=status_line):
                    upstream = faulty_upstream.FaultyUpstream(
                        status_line, repetition
                    )
                    forwarded = await self.forward(upstream)
                    self.assertIsInstance(forwarded, result.Success)
                    self.assertEqual(forwarded.unwrap().status, 200)
                    self.assertEqual(upstream.executed_ids, [_REQUEST_ID])

    async def test_a_request_that_ran_is_not_sent_again(self) -> None:
        """Guard against a second execution after a repeated refusal."""
        for status_line in (_FULL, _NOT_OWNER):
            with self.subTest(status_line):
                upstream = faulty_upstream.FaultyUpstream(
                    status_line, faulty_upstream.Repetition.AFTER_RETRY
                )
                await self.forward(upstream, max_attempts=3)
                self.assertEqual(upstream.executed_ids, [_REQUEST_ID])

    async def test_only_a_retry_at_the_same_address_needs_a_new_connection(
        self,
    ) -> None:
        """Guard against a new connection for every request."""
        calls: list[http_client.Call] = []

        async def refuse_or_execute(
            call: http_client.Call,
        ) -> http_client.CallResult:
            calls.append(call)
            reply_headers = httputil.HTTPHeaders(
                {headers.REQUEST_ID: _REQUEST_ID, headers.SEAL: 's'},
            )
            if len(calls) == 1:
                reply_headers[headers.NOT_EXECUTED] = '1'
            return result.Success(
                http_client.Reply(
                    status=503 if len(calls) == 1 else 200,
                    headers=reply_headers,
                    body=b'',
                ),
            )

        gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), gateway_fixtures.Clock()
        )
        gateway.upstreams = upstream_adapter.make_link(
            http_client.Client(send=refuse_or_execute)
        )
        forwarded = await forwarding.forward(gateway, make_request(gateway, 2))
        self.assertIsInstance(forwarded, result.Success)
        self.assertEqual(len({call.url for call in calls}), 2)
        self.assertEqual(
            [call.new_connection for call in calls], [False, False]
        )
