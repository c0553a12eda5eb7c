"""Test that a request whose memory is needed for others is answered."""

import asyncio
import unittest
from unittest import mock

from lentilgauge.callers import gateway_server, memory_account
from tests import conditions, test_gateway_server

_REQUEST = b'GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: r1\r\n\r\n'


class DroppedRequestsTest(test_gateway_server.GatewayTestCase):
    """A gateway whose requests are dropped for others."""

    def drop_all(self) -> None:
        """Drop what a small claim may displace."""
        for holding in tuple(self.gateway.account.holdings):
            if memory_account.is_unfinished(holding):
                memory_account.drop(self.gateway.account, holding)

    async def ask(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request on a new connection."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(_REQUEST)
        return reader, writer

    async def test_a_request_is_not_dropped_before_its_task_begins(
        self,
    ) -> None:
        """Guard against a caller that is never answered.

        A task that is cancelled before it begins runs no part of its code.
        """
        finish = gateway_server.ServedExchange.finish

        def finish_and_drop(exchange: gateway_server.ServedExchange) -> None:
            finish(exchange)
            self.drop_all()

        with mock.patch.object(
            gateway_server.ServedExchange, 'finish', finish_and_drop
        ):
            reader, _ = await self.ask()
            head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 10)
        self.assertIn(b' 200 ', head)

    async def test_a_waiting_request_is_refused_as_not_run(self) -> None:
        """Guard against a refusal of a request that may have run."""
        self.gateway.state_cache.upstream_by_id = {}
        reader, _ = await self.ask()
        await conditions.wait_until(lambda: self.gateway.in_flight)
        self.drop_all()
        answer = await asyncio.wait_for(reader.read(), 10)
        self.assertIn(b' 503 ', answer)
        self.assertIn(b'\r\nRetry-After: 1', answer)
        self.assertIn(b'memory_short', answer)
        self.assertEqual(self.scripted_upstreams.attempts, [])
        await conditions.wait_until(lambda: not self.gateway.in_flight)
        self.assertFalse(self.gateway.account.holdings)

    async def test_a_request_that_was_sent_is_never_dropped(self) -> None:
        """Guard against cutting off a request that may have run."""
        self.scripted_upstreams.answer_allowed = asyncio.Event()
        reader, _ = await self.ask()
        await conditions.wait_until(lambda: self.scripted_upstreams.attempts)
        self.drop_all()
        await asyncio.sleep(0.1)
        self.scripted_upstreams.answer_allowed.set()
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 10)
        self.assertIn(b' 200 ', head)


if __name__ == '__main__':
    unittest.main()
