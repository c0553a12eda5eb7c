"""Test that a cancelled request keeps no permit and is not sent."""

import asyncio
import unittest

from lentilgauge.callers import upstream_choice
from lentilgauge.services import catalog, routes
from lentilgauge.upstreams import concurrency_limiter, upstream_load
from lentilgauge.vms import admission_queues
from tests import conditions, gateway_fixtures

_DEADLINE_MS = 60_000


class PermitsTest(unittest.IsolatedAsyncioTestCase):
    """Requests that wait for the only permit of a limiter."""

    async def asyncSetUp(self) -> None:
        """Make a limiter whose only permit is taken, and let a task wait."""
        self.limiter = concurrency_limiter.ConcurrencyLimiter(
            limit=1, in_flight=1
        )
        self.task = await self.start_waiting()

    async def start_waiting(self) -> asyncio.Task[bool]:
        """Start a task that waits for a permit."""
        waiter_count = len(self.limiter.waiters)
        task = asyncio.ensure_future(
            concurrency_limiter.acquire_permit(
                self.limiter, catalog.Priority.NORMAL, _DEADLINE_MS, 0
            ),
        )
        await conditions.wait_until(
            lambda: len(self.limiter.waiters) > waiter_count
        )
        return task

    async def test_a_task_cancelled_after_admission_keeps_no_permit(
        self,
    ) -> None:
        """Guard against a permit that nobody releases, or a lost cancel."""
        concurrency_limiter.release_permit(self.limiter)
        self.task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await self.task
        self.assertEqual(self.limiter.in_flight, 0)

    async def test_the_permit_of_a_cancelled_task_goes_to_the_next(
        self,
    ) -> None:
        """Guard against a request that waits although a permit is free."""
        next_task = await self.start_waiting()
        concurrency_limiter.release_permit(self.limiter)
        self.task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await self.task
        self.assertTrue(await next_task)
        self.assertEqual(self.limiter.in_flight, 1)

    async def test_a_task_cancelled_while_waiting_takes_no_permit(
        self,
    ) -> None:
        """Guard against a permit given to a request that has gone."""
        self.task.cancel()
        concurrency_limiter.release_permit(self.limiter)
        with self.assertRaises(asyncio.CancelledError):
            await self.task
        self.assertEqual(self.limiter.in_flight, 0)


class ReservationsTest(unittest.IsolatedAsyncioTestCase):
    """Requests that wait for capacity on a gateway's upstreams."""

    async def test_a_task_cancelled_after_admission_keeps_no_capacity(
        self,
    ) -> None:
        """Guard against capacity that nobody releases."""
        clock = gateway_fixtures.Clock()
        gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), clock
        )
        loads = [
            upstream_load.get_load(gateway.upstream_loads, name)
            for name in ('u0', 'u1')
        ]
        for load in loads:
            load.in_flight = upstream_load.UNKNOWN_LOAD_LIMIT
        configuration = gateway.state_cache.configuration
        assert configuration is not None
        route = routes.find_route(
            configuration, gateway_fixtures.HOST, '/write/1'
        )
        assert route is not None
        task = asyncio.ensure_future(
            upstream_choice.acquire_upstream(
                gateway,
                gateway_fixtures.make_request(
                    route, clock.now_ms, remaining_ms=_DEADLINE_MS
                ),
            ),
        )
        await conditions.wait_until(
            lambda: admission_queues.has_waiters(gateway)
        )
        loads[0].in_flight = 0
        admission_queues.admit_all_waiters(gateway)
        self.assertEqual(loads[0].in_flight, 1)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual(loads[0].in_flight, 0)
        self.assertFalse(admission_queues.has_waiters(gateway))
