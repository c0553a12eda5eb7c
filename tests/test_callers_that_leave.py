"""Test that callers which leave are noticed whatever they sent ahead."""

import asyncio
import socket
import struct
from collections.abc import Callable

from tests import conditions, gateway_fixtures, test_gateway_server

#: Upstreams may work on a request for this long after its caller has left.
_BOUND_S = 0.5
_ALL_AHEAD = 4
_LARGE_BODY = bytes(range(250)) * 4000
_LONG_LINES = 200
#: Without lingering, a close resets the connection.
_RESETTING = struct.pack('ii', 1, 0)


def make_request(path: str, *lines: str) -> bytes:
    """Make a request without a body."""
    head_lines = (
        f'GET {path} HTTP/1.1',
        f'Host: {gateway_fixtures.HOST}',
        *lines,
    )
    return '\r\n'.join((*head_lines, '', '')).encode()


_FIRST = make_request('/read/1')


def close(connection: socket.socket) -> None:
    """Close a connection."""
    connection.close()


def reset(connection: socket.socket) -> None:
    """Close a connection with a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESETTING)
    connection.close()


def end_sending(connection: socket.socket) -> None:
    """End the sending side, as a caller does that sends nothing more."""
    connection.shutdown(socket.SHUT_WR)


class CallersThatLeaveTest(test_gateway_server.GatewayTestCase):
    """A gateway with callers that send more than a request and leave."""

    async def asyncSetUp(self) -> None:
        """Let upstreams work until the test lets them answer."""
        await super().asyncSetUp()
        self.answer_allowed = asyncio.Event()
        self.scripted_upstreams.answer_allowed = self.answer_allowed

    def connect(self, sent: bytes) -> socket.socket:
        """Connect and send, before the gateway runs."""
        connection = socket.create_connection(('127.0.0.1', self.port))
        self.addCleanup(connection.close)
        connection.sendall(sent)
        return connection

    async def check_leaving(
        self,
        ahead: bytes,
        leave: Callable[[socket.socket], None] = close,
    ) -> None:
        """Leave while the first request runs; expect its end, and no other."""
        upstreams = self.scripted_upstreams
        connection = self.connect(b''.join((_FIRST, ahead)))
        await conditions.wait_until(lambda: upstreams.attempts)
        leave(connection)
        await asyncio.wait_for(
            conditions.wait_until(lambda: upstreams.cancelled_count), _BOUND_S
        )
        await conditions.wait_until(lambda: not self.gateway.in_flight)
        await asyncio.sleep(_BOUND_S)
        self.assertEqual(len(upstreams.attempts), 1)
        self.assertFalse(self.gateway.connections.open_streams)

    async def test_requests_sent_ahead(self) -> None:
        """Guard against a caller that is noticed only if it sent nothing."""
        await self.check_leaving(make_request('/read/2') * _ALL_AHEAD)

    async def test_half_a_request_sent_ahead(self) -> None:
        """Guard against a watch only of complete requests."""
        await self.check_leaving(make_request('/read/2')[:9])

    async def test_more_sent_ahead_than_is_read(self) -> None:
        """Guard against an end that shows only once all is read."""
        await self.check_leaving(make_request('/read/2') * 500)

    async def test_a_body_sent_ahead(self) -> None:
        """Guard against a watch that ends with a body."""
        head = make_request('/read/2', 'Content-Length: 1000')
        await self.check_leaving(b''.join((head, b'half of it')))

    async def test_a_reset_after_requests_sent_ahead(self) -> None:
        """Guard against a watch for orderly ends only."""
        await self.check_leaving(make_request('/read/2') * _ALL_AHEAD, reset)

    async def test_an_end_of_sending_after_requests_sent_ahead(self) -> None:
        """Guard against another rule for callers that sent ahead."""
        await self.check_leaving(
            make_request('/read/2') * _ALL_AHEAD, end_sending
        )

    async def test_a_caller_that_left_before_it_was_read(self) -> None:
        """Guard against requests that are sent though nobody waits."""
        self.connect(_FIRST * _ALL_AHEAD).close()
        lines = [f'X-Line-{number}: {number}' for number in range(_LONG_LINES)]
        self.connect(make_request('/read/1', *lines)).close()
        await asyncio.sleep(_BOUND_S)
        self.assertEqual(self.scripted_upstreams.attempts, [])
        self.assertFalse(self.gateway.connections.open_streams)

    async def test_a_caller_that_leaves_behind_its_first_answer(self) -> None:
        """Guard against a watch that ends with the first answer."""
        upstreams = self.scripted_upstreams
        connection = self.connect(_FIRST * 3)
        await conditions.wait_until(lambda: upstreams.attempts)
        self.answer_allowed.set()
        upstreams.answer_allowed = asyncio.Event()
        await conditions.wait_until(lambda: len(upstreams.attempts) == 2)
        connection.close()
        await asyncio.wait_for(
            conditions.wait_until(lambda: upstreams.cancelled_count), _BOUND_S
        )
        await asyncio.sleep(_BOUND_S)
        self.assertEqual(len(upstreams.attempts), 2)

    async def test_a_caller_that_stays_gets_all_answers(self) -> None:
        """Guard against a watch that ends connections of its own accord."""
        self.scripted_upstreams.answer_body = _LARGE_BODY
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(_FIRST * _ALL_AHEAD)
        await asyncio.sleep(_BOUND_S)
        self.answer_allowed.set()
        for _ in range(_ALL_AHEAD):
            head = await reader.readuntil(b'\r\n\r\n')
            self.assertIn(b' 200 ', head)
            self.assertEqual(
                await reader.readexactly(len(_LARGE_BODY)), _LARGE_BODY
            )
