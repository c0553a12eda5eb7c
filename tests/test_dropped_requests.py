"""Test that a request whose memory is needed for others is answered."""

import asyncio
import unittest
import weakref
from unittest import mock

from lentilgauge.callers import answers, gateway_server, memory_account
from tests import conditions, test_gateway_server

_HEAD = b'GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: r1\r\n'
#: Longer than the test runs.
_LONG_SECONDS = 1000


class DroppedRequestsTest(test_gateway_server.GatewayTestCase):
    """A gateway whose requests are dropped for others."""

    def drop_all(self) -> None:
        """Drop what a small claim may displace."""
        for holding in tuple(self.gateway.account.holdings):
            if memory_account.is_unfinished(holding):
                memory_account.drop(self.gateway.account, holding)

    async def ask(
        self, more: bytes = b''
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request with more headers on a new connection."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.writelines((_HEAD, more, b'\r\n'))
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

    async def test_a_caller_that_leaves_after_a_refusal_is_forgotten(
        self,
    ) -> None:
        """Guard against heads that are kept for the rest of a body."""
        account = self.gateway.account
        account.limit_bytes = memory_account.make_account(160).limit_bytes
        memory_account.hold(
            account,
            memory_account.Holding(
                kind=memory_account.Kind.REQUESTS,
                held_bytes=account.limit_bytes,
                moved_ms=self.clock.now_ms,
                drop=lambda: None,
            ),
        )
        _, writer = await self.ask(b'Content-Length: 100000\r\n')
        made: list[weakref.ref[gateway_server.ServedExchange]] = []
        begin = gateway_server.ServedExchange.headers_received

        def begin_and_note(
            exchange: gateway_server.ServedExchange, *received: object
        ) -> None:
            made.append(weakref.ref(exchange))
            begin(exchange, *received)  # type: ignore[arg-type]

        with (
            mock.patch.object(
                gateway_server.ServedExchange,
                'headers_received',
                begin_and_note,
            ),
            mock.patch.object(answers, '_LINGER_S', _LONG_SECONDS),
        ):
            await conditions.wait_until(lambda: made)
        writer.transport.abort()
        await conditions.wait_until(lambda: made[0]() is None)

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
