"""Test what an entry writes on a caller's connection, and what follows."""

import asyncio
import socket
import unittest
from unittest import mock

from returns import result
from tornado import httputil, testing

from lentilgauge.callers import idempotency, kinds, server
from lentilgauge.callers import request as request_module
from lentilgauge.links import upstream_data
from lentilgauge.services import catalog
from lentilgauge.vms import entry as entry_module
from tests import conditions, test_dispatch

_DEAD_PORT = 1
_FRESH_MS = 1_000_000
#: A caller that has left is noticed within this time.
_NOTICE_S = 0.5
_NEXT = b'GET /k HTTP/1.1\r\nHost: a\r\nX-Next: 1\r\n\r\n'


def make_head(method: str, *lines: str) -> bytes:
    """Make the head of a request."""
    fields = (f'{method} /k HTTP/1.1', 'Host: a', *lines)
    return '\r\n'.join((*fields, '', '')).encode()


class EntryConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """An entry whose requests are answered with a status by the test."""

    async def asyncSetUp(self) -> None:
        """Start an entry on a free port."""
        self.status = 200
        self.served: list[request_module.CallerRequest] = []
        self.entry: entry_module.Entry = test_dispatch.make_entry(_DEAD_PORT)
        self.entry.fresh_deadline_ms = _FRESH_MS
        self.entry.templates_by_shape = kinds.index_kinds(
            tuple(
                catalog.Kind(
                    name=method,
                    service='s',
                    method=method,
                    template='/k',
                    idempotent=True,
                )
                for method in ('GET', 'HEAD', 'POST')
            )
        )
        probe, port = testing.bind_unused_port()
        probe.close()
        self.port = port
        self.entry.section = self.entry.section.model_copy(
            update={'port': self.port, 'body_limit_bytes': 4}
        )
        patcher = mock.patch.object(idempotency, 'serve_once', self.serve_once)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.server = server.start_caller_server(
            self.entry, address='127.0.0.1'
        )

    async def asyncTearDown(self) -> None:
        """Stop the entry."""
        self.server.stop()
        await self.server.close_all_connections()

    async def serve_once(
        self, _: entry_module.Entry, request: request_module.CallerRequest
    ) -> object:
        """Answer a request with the status chosen by the test."""
        self.served.append(request)
        return result.Success(
            upstream_data.Executed(
                status=self.status, headers=httputil.HTTPHeaders(), body=b''
            )
        )

    async def exchange(self, sent: bytes) -> bytes:
        """Send bytes on a connection and return all that is answered."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(sent)
        answer = await asyncio.wait_for(reader.read(), 10)
        # What is still buffered may be read after the end.
        await asyncio.sleep(0.1)
        return answer

    async def test_nothing_runs_behind_a_refused_body(self) -> None:
        """Guard against requests that run behind a refusal which closes."""
        head = make_head('POST', 'Content-Length: 5')
        answer = await self.exchange(b''.join((head, b'12345', _NEXT)))
        self.assertTrue(answer.startswith(b'HTTP/1.1 413 '), answer)
        self.assertEqual(self.served, [])

    async def test_nothing_runs_behind_a_request_that_closes(self) -> None:
        """Guard against requests behind one that closes the connection."""
        head = make_head('GET', 'Connection: close')
        answer = await self.exchange(b''.join((head, _NEXT)))
        self.assertTrue(answer.startswith(b'HTTP/1.1 200 '), answer)
        self.assertEqual(len(self.served), 1)

    async def test_nothing_runs_behind_a_stopping_entrys_answer(self) -> None:
        """Guard against requests behind an answer that announces the end."""
        self.entry.leaving = True
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.writelines((make_head('GET'), _NEXT))
        head = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b'\r\nConnection: close\r\n', head)
        self.assertIn(b' 503 ', await reader.readuntil(b'\r\n\r\n'))
        self.assertEqual(len(self.served), 1)

    async def test_a_request_just_read_keeps_the_process(self) -> None:
        """Guard against a stop that misses a request before its first step."""
        finish = server.Exchange.finish
        counts: list[int] = []

        def finish_and_count(exchange: server.Exchange) -> None:
            finish(exchange)
            counts.append(self.entry.in_flight)

        with mock.patch.object(server.Exchange, 'finish', finish_and_count):
            await self.exchange(make_head('GET', 'Connection: close'))
        self.assertEqual(counts, [1])
        self.assertEqual(self.entry.in_flight, 0)

    async def test_nothing_runs_for_a_caller_that_has_left(self) -> None:
        """Guard against requests sent ahead that are served for nobody."""
        answer_allowed = asyncio.Event()

        async def serve_late(
            entry: entry_module.Entry, request: request_module.CallerRequest
        ) -> object:
            outcome = await self.serve_once(entry, request)
            await answer_allowed.wait()
            return outcome

        with mock.patch.object(idempotency, 'serve_once', serve_late):
            connection = socket.create_connection(('127.0.0.1', self.port))
            connection.sendall(make_head('GET') + _NEXT)
            await conditions.wait_until(lambda: self.served)
            connection.close()
            await asyncio.sleep(_NOTICE_S)
            answer_allowed.set()
            await asyncio.sleep(_NOTICE_S)
        self.assertEqual(len(self.served), 1)

    async def test_an_answer_with_an_unusual_status_is_delivered(self) -> None:
        """Guard against losing an answer whose status has no name."""
        self.status = 299
        answer = await self.exchange(make_head('GET', 'Connection: close'))
        self.assertTrue(answer.startswith(b'HTTP/1.1 299 '), answer)

    async def test_a_refused_head_request_is_answered(self) -> None:
        """Guard against a body in the answer, which ends the connection."""
        self.entry.fresh_deadline_ms = 0
        answer = await self.exchange(make_head('HEAD', 'Connection: close'))
        self.assertTrue(answer.startswith(b'HTTP/1.1 503 '), answer)
        self.assertTrue(answer.endswith(b'\r\n\r\n'))

    async def test_a_long_number_as_length_is_rejected(self) -> None:
        """Guard against an unhandled error at a number of many digits."""
        length = '9' * 5000
        with self.assertNoLogs('tornado.application', 'ERROR'):
            answer = await self.exchange(
                make_head('POST', f'Content-Length: {length}')
            )
        self.assertTrue(answer.startswith(b'HTTP/1.1 413 '), answer)


if __name__ == '__main__':
    unittest.main()
