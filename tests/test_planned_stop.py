"""Test what callers get from a gateway that is told to stop."""

import asyncio
import dataclasses
import socket
import time
from collections.abc import Awaitable, Callable
from unittest import mock

from lentilgauge.callers import gateway_server
from lentilgauge.links import http_client, upstream_link
from lentilgauge.upstreams import upstream_load
from lentilgauge.vms import gateway_process
from tests import conditions, sending_callers, test_gateway_server

_GRACE_MS = 1500
_PAUSE_S = 0.05
_EXECUTION_S = 0.3
_SENDING_COUNT = 60
_READ_BYTES = 65_536
_REQUEST = b'GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: r\r\n\r\n'
_DEADLINES = ('350', '600', '900')
#: Requests that the two upstreams of the fixtures take at a time.
_CAPACITY = 2 * upstream_load.UNKNOWN_LOAD_LIMIT


class PlannedStopTest(test_gateway_server.GatewayTestCase):
    """A request is taken only if it can be answered before the end."""

    async def test_only_what_fits_in_the_grace_is_taken(self) -> None:
        """Guard against requests that the end of the grace period cuts."""
        self.gateway.draining = True
        self.gateway.stop_deadline_ms = self.clock.now_ms + 500
        taken = await self.send('/write/1', 'POST', X_Deadline='500')
        self.assertEqual(
            (taken.status, taken.headers['Connection']), (200, 'close')
        )
        refused = await self.send('/write/2', 'POST', X_Deadline='501')
        self.assertEqual(refused.status, 503)
        self.assertEqual(refused.headers['Connection'], 'close')
        self.assertIn('Retry-After', refused.headers)
        self.assertEqual(len(self.scripted_upstreams.attempts), 1)

    async def test_a_route_without_a_deadline_counts_its_timeout(self) -> None:
        self.gateway.draining = True
        self.gateway.stop_deadline_ms = self.clock.now_ms + 500
        self.assertEqual((await self.send('/read/1')).status, 503)

    async def test_a_wait_during_the_body_counts(self) -> None:
        """Guard against a request that was read too late to be answered."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(
            b'POST /write/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: r1\r\n'
            b'X-Deadline: 800\r\nContent-Length: 2\r\n\r\na'
        )
        await asyncio.sleep(_PAUSE_S)
        self.gateway.draining = True
        self.gateway.stop_deadline_ms = self.clock.now_ms + 700
        writer.write(b'b')
        status_line = await reader.readline()
        self.assertIn(b'503', status_line)
        self.assertEqual(self.scripted_upstreams.attempts, [])
        writer.close()
        await writer.wait_closed()

    async def test_no_request_is_cut_at_the_end_of_the_grace(self) -> None:
        """Guard against answers of our own while an upstream works."""
        self.use_real_time()
        self.gateway.upstreams = upstream_link.UpstreamLink(
            send_attempt=self.delay(self.scripted_upstreams.answer),
            grant_keys=self.gateway.upstreams.grant_keys,
            release_keys=self.gateway.upstreams.release_keys,
        )
        stopping = asyncio.ensure_future(
            gateway_process.stop_gracefully(self.gateway, self.server)
        )
        replies: list[asyncio.Task[http_client.Reply]] = []
        while not self.gateway.closing:
            replies.extend(
                asyncio.ensure_future(
                    self.send('/write/1', 'POST', X_Deadline=deadline)
                )
                for deadline in _DEADLINES
            )
            await asyncio.sleep(_PAUSE_S)
        answers = await asyncio.gather(*replies, return_exceptions=True)
        await stopping
        statuses = [
            answer.status
            for answer in answers
            if isinstance(answer, http_client.Reply)
        ]
        attempt_count = len(self.scripted_upstreams.attempts)
        self.assertGreater(attempt_count, 0)
        self.assertEqual(statuses.count(200), attempt_count)
        self.assertLessEqual(set(statuses), {200, 429, 503})

    async def test_a_request_read_as_the_process_ends_is_refused(self) -> None:
        """Guard against a connection that ends without an answer.

        A task that is cancelled before its first step runs no part of its code.
        """
        finish = gateway_server.ServedExchange.finish

        def finish_and_end(exchange: gateway_server.ServedExchange) -> None:
            finish(exchange)
            self.gateway.closing = True
            gateway_server.abort_exchanges(self.gateway)

        with mock.patch.object(
            gateway_server.ServedExchange, 'finish', finish_and_end
        ):
            reply = await asyncio.wait_for(self.send('/read/1'), 1)
        self.assertEqual(reply.status, 503)
        self.assertEqual(self.scripted_upstreams.attempts, [])

    async def test_requests_read_as_connections_close_are_answered(
        self,
    ) -> None:
        """Guard against requests that are read while others' connections end.

        Each caller sends on, also while the gateway closes.
        """
        self.use_real_time()
        read_ids: set[str] = set()
        finish = gateway_server.ServedExchange.finish

        def finish_and_note(exchange: gateway_server.ServedExchange) -> None:
            read_ids.add(exchange.headers['X-Id'])
            finish(exchange)

        callers = [
            sending_callers.SendingCaller(port=self.port, number=number)
            for number in range(_SENDING_COUNT)
        ]
        with mock.patch.object(
            gateway_server.ServedExchange, 'finish', finish_and_note
        ):
            sending = [
                asyncio.ensure_future(caller.send_on()) for caller in callers
            ]
            await asyncio.sleep(_PAUSE_S)
            await gateway_process.stop_gracefully(self.gateway, self.server)
            await asyncio.gather(*sending)
        unanswered = set().union(*(caller.unanswered for caller in callers))
        self.assertGreater(len(read_ids), _SENDING_COUNT)
        self.assertEqual(unanswered & read_ids, set())

    async def test_an_answer_outlasts_what_is_unread_behind_it(self) -> None:
        """Guard against a reset that overtakes an answer just written.

        Closing a connection with unread bytes resets it.
        """
        self.use_real_time()
        connection = socket.create_connection(('127.0.0.1', self.port))
        self.addCleanup(connection.close)
        connection.sendall(_REQUEST)
        await conditions.wait_until(lambda: self.scripted_upstreams.attempts)
        await conditions.wait_until(lambda: not self.gateway.in_flight)
        close_all_connections = self.server.close_all_connections

        async def close_with_unread_bytes() -> None:
            connection.sendall(_REQUEST)
            await close_all_connections()

        with mock.patch.object(
            self.server, 'close_all_connections', close_with_unread_bytes
        ):
            await gateway_process.stop_gracefully(self.gateway, self.server)
        self.assertIn(b' 200 ', connection.recv(_READ_BYTES))
        # An orderly end, not a reset.
        self.assertEqual(connection.recv(_READ_BYTES), b'')

    async def test_a_request_just_read_keeps_the_process(self) -> None:
        """Guard against a stop that misses a request before its first step."""
        finish = gateway_server.ServedExchange.finish
        counts: list[int] = []

        def finish_and_count(exchange: gateway_server.ServedExchange) -> None:
            finish(exchange)
            counts.append(self.gateway.in_flight)

        with mock.patch.object(
            gateway_server.ServedExchange, 'finish', finish_and_count
        ):
            await self.send('/read/1')
        self.assertEqual(counts, [1])
        self.assertEqual(self.gateway.in_flight, 0)

    async def test_a_request_that_still_waits_is_refused(self) -> None:
        """Guard against 504 for a request that no upstream has received."""
        self.scripted_upstreams.answer_allowed = asyncio.Event()
        replies = [
            asyncio.ensure_future(
                self.send(f'/write/{number}', 'POST', X_Deadline='900')
            )
            for number in range(_CAPACITY + 1)
        ]
        await conditions.wait_until(
            lambda: self.gateway.in_flight == len(replies)
        )
        await conditions.wait_until(
            lambda: len(self.scripted_upstreams.attempts) == _CAPACITY
        )
        gateway_server.abort_exchanges(self.gateway)
        answers = await asyncio.gather(*replies)
        statuses = [answer.status for answer in answers]
        self.assertEqual(statuses.count(504), _CAPACITY)
        self.assertEqual(statuses.count(503), 1)

    def use_real_time(self) -> None:
        """Let the gateway's clock go on, and its grace period be short."""
        self.gateway.now_ms = lambda: time.monotonic_ns() // 1_000_000
        self.gateway.state_cache.now_ms = self.gateway.now_ms
        self.gateway.bounds = dataclasses.replace(
            self.gateway.bounds, stop_grace_ms=_GRACE_MS
        )

    def delay(
        self,
        answer: Callable[
            [upstream_link.Attempt], Awaitable[upstream_link.Outcome]
        ],
    ) -> Callable[[upstream_link.Attempt], Awaitable[upstream_link.Outcome]]:
        """Make upstreams that take some time for each attempt."""

        async def answer_later(
            attempt: upstream_link.Attempt,
        ) -> upstream_link.Outcome:
            await asyncio.sleep(_EXECUTION_S)
            return await answer(attempt)

        return answer_later
