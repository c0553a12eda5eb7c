"""Test what follows the last answer on a caller's connection."""

import asyncio
import unittest

from lentilgauge.callers import connection_limits, memory_account
from tests import conditions, test_gateway_server

_LARGE_BYTES = 60_000_000
_SMALL_BYTES = 2_000_000
#: Without a body, so that it isn't refused for lack of memory.
_NEXT = b'GET /read/next HTTP/1.1\r\nHost: a.example\r\nX-Id: r2\r\n\r\n'


def make_head(request_line: str, *lines: str) -> bytes:
    """Make the head of a request."""
    fields = (request_line, 'Host: a.example', 'X-Id: r1', *lines)
    return '\r\n'.join((*fields, '', '')).encode()


class ConnectionEndsTest(test_gateway_server.GatewayTestCase):
    """A gateway whose callers send requests behind each other."""

    async def exchange(self, sent: bytes) -> bytes:
        """Send bytes on a connection and return all that is answered."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(sent)
        answer = await asyncio.wait_for(reader.read(), 10)
        # What is still buffered may be read after the end.
        await asyncio.sleep(0.1)
        return answer

    def fill_memory(self) -> None:
        """Leave no memory for large bodies."""
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

    def assert_one_answer(self, answer: bytes, status: int) -> None:
        """Check that there is one answer, which closes, and no attempt."""
        self.assertTrue(answer.startswith(f'HTTP/1.1 {status} '.encode()))
        self.assertIn(b'\r\nConnection: close\r\n', answer)
        self.assertEqual(answer.count(b'HTTP/1.1 '), 1)
        attempts = self.scripted_upstreams.attempts
        targets = [attempt.target for attempt in attempts]
        self.assertNotIn('/read/next', targets)

    async def test_nothing_runs_behind_a_refused_body(self) -> None:
        """Guard against requests that run behind a refusal which closes."""
        self.fill_memory()
        head = make_head(
            'POST /write/1 HTTP/1.1', f'Content-Length: {_SMALL_BYTES}'
        )
        answer = await self.exchange(head + b'x' * _SMALL_BYTES + _NEXT)
        self.assert_one_answer(answer, 503)

    async def test_nothing_runs_behind_a_refused_small_body(self) -> None:
        """Guard against the same where all bytes arrive at once."""
        self.fill_memory()
        head = make_head('POST /write/1 HTTP/1.1', 'Content-Length: 5')
        answer = await self.exchange(head + b'x' * 5 + _NEXT)
        self.assert_one_answer(answer, 503)

    async def test_nothing_runs_behind_a_refused_expectation(self) -> None:
        """Guard against the same if the caller doesn't wait to send."""
        self.fill_memory()
        head = make_head(
            'POST /write/1 HTTP/1.1',
            'Content-Length: 5',
            'Expect: 100-continue',
        )
        answer = await self.exchange(head + b'x' * 5 + _NEXT)
        self.assert_one_answer(answer, 503)

    async def test_nothing_runs_behind_an_answer_of_a_stopping_gateway(
        self,
    ) -> None:
        """Guard against requests behind an answer that announces the end.

        Closing the connection could cut that answer, so they are refused.
        """
        self.gateway.draining = True
        self.gateway.stop_deadline_ms = self.clock.now_ms + 1_000_000
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.writelines((make_head('GET /read/1 HTTP/1.1'), _NEXT))
        head = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b' 200 ', head)
        self.assertIn(b'\r\nConnection: close\r\n', head)
        await reader.readexactly(len(b'done'))
        self.assertIn(b' 503 ', await reader.readuntil(b'\r\n\r\n'))
        self.assertEqual(len(self.scripted_upstreams.attempts), 1)

    async def test_nothing_runs_behind_a_request_that_closes(self) -> None:
        """Guard against requests behind one that closes the connection."""
        head = make_head('GET /read/1 HTTP/1.1', 'Connection: close')
        answer = await self.exchange(head + _NEXT)
        self.assert_one_answer(answer, 200)

    async def test_nothing_runs_behind_an_answer_that_makes_room(self) -> None:
        """Guard against the same if other callers want the connection."""
        connection_limits.want_room(self.gateway.connections)
        answer = await self.exchange(make_head('GET /read/1 HTTP/1.1') + _NEXT)
        self.assert_one_answer(answer, 200)
        self.assertFalse(self.gateway.connections.open_streams)
        self.assertFalse(self.gateway.connections.retiring)

    async def test_a_refused_head_request_is_answered(self) -> None:
        """Guard against a body in the answer, which ends the connection."""
        self.gateway.state_cache.configuration = None
        head = make_head('HEAD /read/1 HTTP/1.1', 'Connection: close')
        answer = await self.exchange(head)
        self.assert_one_answer(answer, 503)
        self.assertIn(b'\r\nRetry-After: ', answer)
        self.assertTrue(answer.endswith(b'\r\n\r\n'))

    async def test_a_dropped_head_request_harms_no_other(self) -> None:
        """Guard against an error in the exchange that displaces another."""
        account = self.gateway.account
        account.limit_bytes = memory_account.make_account(160).limit_bytes
        length = f'Content-Length: {_LARGE_BYTES}'
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(make_head('HEAD /read/1 HTTP/1.1', length))
        await conditions.wait_until(lambda: account.holdings)
        self.clock.now_ms += 5000
        other_reader, other_writer = await asyncio.open_connection(
            '127.0.0.1', self.port
        )
        self.addCleanup(other_writer.close)
        other_writer.write(make_head('POST /write/1 HTTP/1.1', length))
        answer = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b' 503 ', answer)
        await asyncio.sleep(0.1)
        self.assertFalse(other_reader.at_eof())

    async def test_a_long_number_as_length_is_rejected(self) -> None:
        """Guard against an unhandled error at a number of many digits."""
        length = '9' * 5000
        with self.assertNoLogs('tornado.application', 'ERROR'):
            answer = await self.exchange(
                make_head('POST /write/1 HTTP/1.1', f'Content-Length: {length}')
            )
        self.assertTrue(answer.startswith(b'HTTP/1.1 400 '), answer)

    async def test_both_kinds_of_length_are_rejected(self) -> None:
        """Guard against a body whose end is ambiguous."""
        head = make_head(
            'POST /write/1 HTTP/1.1',
            'Content-Length: 5',
            'Transfer-Encoding: chunked',
        )
        answer = await self.exchange(b''.join((head, b'0\r\n\r\n', _NEXT)))
        self.assertTrue(answer.startswith(b'HTTP/1.1 400 '), answer)
        self.assertEqual(self.scripted_upstreams.attempts, [])
        self.assertFalse(self.gateway.account.holdings)

    async def test_a_request_behind_a_large_answer_is_not_evicted(self) -> None:
        """Guard against closing a connection whose request may have run.

        The next request of a connection may be read before the end of the last
        one is noticed.
        """
        self.scripted_upstreams.answer_body = b'x' * _SMALL_BYTES
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.writelines((make_head('GET /read/1 HTTP/1.1'), _NEXT))
        await reader.readuntil(b'\r\n\r\n')
        self.scripted_upstreams.answer_allowed = asyncio.Event()
        await reader.readexactly(_SMALL_BYTES)
        attempts = self.scripted_upstreams.attempts
        await conditions.wait_until(lambda: len(attempts) == 2)
        await asyncio.sleep(0.1)
        connections = self.gateway.connections
        self.assertEqual(len(connections.open_streams), 1)
        self.assertIsNone(connection_limits.choose_evicted(connections))
        self.scripted_upstreams.answer_allowed.set()
        await reader.readuntil(b'\r\n\r\n')
        await reader.readexactly(_SMALL_BYTES)
        await conditions.wait_until(lambda: connections.kept)


if __name__ == '__main__':
    unittest.main()
