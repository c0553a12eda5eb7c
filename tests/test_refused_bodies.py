"""Test what callers get from a gateway that is short of memory."""

import asyncio

from tornado import httputil

from lentilgauge.callers import memory_account
from lentilgauge.links import upstream_link
from lentilgauge.vms import gateway_process
from tests import conditions, test_gateway_server

_LARGE_BYTES = 60_000_000
_ANSWER_BYTES = 12_000_000
_READ_BYTES = 65_536


def make_head(length: int, *lines: str) -> bytes:
    """Make the head of an upload."""
    head_lines = [
        'POST /write/1 HTTP/1.1',
        'Host: a.example',
        'X-Id: r1',
        f'Content-Length: {length}',
        *lines,
    ]
    return '\r\n'.join((*head_lines, '', '')).encode()


class RefusedBodiesTest(test_gateway_server.GatewayTestCase):
    """A gateway with the budget of a VM of 160 MB."""

    async def asyncSetUp(self) -> None:
        """Start a gateway with a budget."""
        await super().asyncSetUp()
        limited = memory_account.make_account(160)
        self.account = self.gateway.account
        self.account.limit_bytes = limited.limit_bytes

    async def open(
        self, sent: bytes
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and send bytes on it."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(sent)
        return reader, writer

    async def begin_upload(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send the head and the first byte of a large body."""
        streams = await self.open(make_head(_LARGE_BYTES))
        streams[1].write(b'x')
        await conditions.wait_until(lambda: self.account.holdings)
        return streams

    def assert_is_refusal(self, head: bytes) -> None:
        """Check that a head refuses a request as not run."""
        self.assertIn(b' 503 ', head)
        self.assertIn(b'\r\nRetry-After: 1', head)
        self.assertIn(b'\r\nConnection: close\r\n', head)
        self.assertEqual(self.scripted_upstreams.attempts, [])

    async def test_a_body_is_refused_before_it_is_read(self) -> None:
        """Guard against reading a body for which there is no memory."""
        await self.begin_upload()
        reader, writer = await self.open(make_head(_LARGE_BYTES))
        self.assert_is_refusal(await reader.readuntil(b'\r\n\r\n'))
        # The rest of the body is discarded, and the connection then closed.
        writer.write(b'x' * _READ_BYTES)
        await reader.read()
        held_bytes = self.account.bytes_by_kind[memory_account.Kind.UPLOADS]
        self.assertEqual(held_bytes, _LARGE_BYTES)

    async def test_a_caller_that_waits_is_refused_at_once(self) -> None:
        """Guard against permission to send a body that was refused."""
        await self.begin_upload()
        reader, _ = await self.open(
            make_head(_LARGE_BYTES, 'Expect: 100-continue')
        )
        answer = await reader.read()
        self.assert_is_refusal(answer)
        self.assertNotIn(b'HTTP/1.1 100', answer)

    async def test_a_stalled_upload_makes_way(self) -> None:
        """Guard against unfinished uploads that keep others out."""
        reader, _ = await self.begin_upload()
        self.clock.now_ms += 5000
        next_reader, _ = await self.open(make_head(_LARGE_BYTES))
        self.assert_is_refusal(await reader.readuntil(b'\r\n\r\n'))
        self.assertFalse(next_reader.at_eof())

    async def test_an_aborted_upload_is_counted_no_longer(self) -> None:
        """Guard against a budget that callers use up by leaving."""
        _, writer = await self.begin_upload()
        writer.close()
        await conditions.wait_until(lambda: not self.account.holdings)
        self.assertEqual(sum(self.account.bytes_by_kind.values()), 0)

    async def test_served_requests_leave_nothing_counted(self) -> None:
        """Guard against a budget that shrinks with each request."""
        for _ in range(20):
            self.assertEqual((await self.send('/write/1', 'POST')).status, 200)
            self.assertEqual((await self.send('/read/1')).status, 200)
        await conditions.wait_until(lambda: not self.gateway.in_flight)
        self.assertFalse(self.account.holdings)
        self.assertEqual(sum(self.account.bytes_by_kind.values()), 0)


class LargeAnswersTest(test_gateway_server.GatewayTestCase):
    """A caller that reads a large answer slowly."""

    async def asyncSetUp(self) -> None:
        """Start a gateway whose upstreams give large answers."""
        await super().asyncSetUp()
        self.answer_body = bytes(range(250)) * (_ANSWER_BYTES // 250)
        self.gateway.upstreams = upstream_link.UpstreamLink(
            send_attempt=self.answer,
            grant_keys=self.gateway.upstreams.grant_keys,
            release_keys=self.gateway.upstreams.release_keys,
        )
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.reader = reader
        self.writer = writer
        self.addCleanup(writer.close)
        writer.write(
            b'GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Id: r1\r\n\r\n'
        )

    async def answer(self, _: upstream_link.Attempt) -> upstream_link.Outcome:
        """Answer an attempt with a large body."""
        return upstream_link.Outcome(
            proof=upstream_link.Proof.EXECUTED,
            status=200,
            headers=httputil.HTTPHeaders({'X-Seal': 'sealed'}),
            body=self.answer_body,
        )

    def count_replies(self) -> int:
        """Return the bytes held for replies."""
        kind = memory_account.Kind.REPLIES
        return self.gateway.account.bytes_by_kind[kind]

    async def test_a_request_is_in_flight_until_its_answer_is_written(
        self,
    ) -> None:
        """Guard against a planned stop that truncates large answers."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        self.assertIn(b' 200 ', head)
        self.assertEqual(self.gateway.in_flight, 1)
        header_lines = head.partition(b'\r\n')[2].removesuffix(b'\r\n')
        self.assertEqual(
            self.count_replies(), len(header_lines) + len(self.answer_body)
        )
        body = await self.reader.readexactly(len(self.answer_body))
        self.assertEqual(body, self.answer_body)
        await conditions.wait_until(lambda: not self.gateway.in_flight)
        self.assertEqual(self.count_replies(), 0)

    async def test_a_caller_that_leaves_is_no_longer_in_flight(self) -> None:
        """Guard against a stop that waits for callers that have gone."""
        await self.reader.readuntil(b'\r\n\r\n')
        self.assertEqual(self.gateway.in_flight, 1)
        self.writer.transport.abort()
        await conditions.wait_until(lambda: not self.gateway.in_flight)
        self.assertEqual(self.count_replies(), 0)
        outcomes = [
            count
            for metric_key, count in self.gateway.metrics.count_by_key.items()
            if metric_key.family == 'requests'
        ]
        self.assertEqual(outcomes, [1])

    async def test_a_stalled_reader_makes_way(self) -> None:
        """Guard against unread answers that keep requests out."""
        await self.reader.readuntil(b'\r\n\r\n')
        self.clock.now_ms += 5000
        account = self.gateway.account
        account.limit_bytes = _ANSWER_BYTES
        self.assertTrue(
            memory_account.make_room(
                account,
                memory_account.Claim.UPLOAD,
                _READ_BYTES,
                self.clock.now_ms,
            )
        )
        await conditions.wait_until(lambda: not self.gateway.in_flight)
        self.assertEqual(self.count_replies(), 0)

    async def test_a_stop_lets_a_slow_reader_finish(self) -> None:
        """Guard against answers that a planned stop truncates."""
        await self.reader.readuntil(b'\r\n\r\n')
        stopping = asyncio.ensure_future(
            gateway_process.stop_gracefully(self.gateway, self.server)
        )
        await conditions.wait_until(lambda: self.gateway.draining)
        # Past the time in which callers may still arrive.
        self.clock.now_ms += gateway_process.STOP_NOTICE_MS
        await asyncio.sleep(0.2)
        self.assertFalse(stopping.done())
        body = await self.reader.readexactly(len(self.answer_body))
        self.assertEqual(body, self.answer_body)
        await stopping
