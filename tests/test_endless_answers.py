"""Tests that answers without end take no more memory than their VM has.

The process has the limits of the smallest VM. As many requests are in flight
as it admits when their upstreams begin to send, all at once.
"""

import asyncio
import contextlib
import types
from collections.abc import Callable, Mapping
from typing import ClassVar

from lentilgauge.platform import headers
from tests import conditions, crowd_fixtures, raw_upstream

_UPSTREAMS_COUNT = 950
_CROWD = 1000
_POLL_SECONDS = 0.1
_START_SECONDS = 1
#: With fewer requests sent to upstreams a test would show nothing.
_FEWEST_SENT_COUNT = 100
_SENDING_SECONDS = 4
#: Fewer than curl accepts in one head.
_LINES_COUNT = 4900
_LONG_LINE_BYTES = 65_000
_START = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_SHORT_LINES = b'a:b\r\n' * _LINES_COUNT
_LONG_LINES = (b'a: %b\r\n' % (b'x' * _LONG_LINE_BYTES)) * 4

#: Nearly as long as a head may be.
_LONGEST_LINES = (b'a: %b\r\n' % (b'x' * _LONG_LINE_BYTES)) * 4 + (
    b'a: %b\r\n' % (b'x' * 30_000)
)
_UNREAD_COUNT = 350

_ERROR_BYTES = 2_000_000
_IN_TURN_SECONDS = 0.01
#: Upstreams and callers whose bodies have chunks of one byte.
_CHUNKING_UPSTREAMS_COUNT = 3
_CHUNKS_CROWD = 300
_CHUNKS = b'1\r\nx\r\n' * 1_500_000
_CHUNKS_SECONDS = 15

#: Makes the bytes that answer a request, from its id and the number of the
#: attempt.
MakeReply = Callable[[str, int], bytes]


def make_answer(
    request_id: str, status: int, lines: bytes = b'', body: bytes = b''
) -> bytes:
    """Make a complete sealed answer with some lines in its head."""
    start = b'HTTP/1.1 %d X\r\n%b' % (status, lines)
    return raw_upstream.encode_reply(
        raw_upstream.Script(start=start.removesuffix(b'\r\n'), body=body),
        request_id,
    )


class HeldUpstream(raw_upstream.RawUpstream):
    """Upstream that answers all requests once it may, and closes nothing."""

    def __init__(
        self,
        attempts: raw_upstream.Attempts,
        make_reply: MakeReply,
        may_answer: asyncio.Event,
    ) -> None:
        """Share `attempts` and `may_answer` with the other upstreams."""
        super().__init__(attempts)
        self.make_reply = make_reply
        self.may_answer = may_answer
        self.open_count = 0

    async def close(self) -> None:
        """Stop listening, reset all connections and wait for their end."""
        self.may_answer.set()
        for writer in self._writers:
            writer.transport.abort()
        await super().close()
        await conditions.wait_until(lambda: not self.open_count)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        self.open_count += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while not writer.is_closing():
                target, fields = await raw_upstream.read_request(reader)
                request_id = fields.get(headers.REQUEST_ID, '')
                if request_id:
                    await self._answer_held(request_id, writer)
                else:
                    self._answer(target, request_id, writer)
        writer.close()
        self.open_count -= 1

    async def _answer_held(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        count_by_id = self.attempts.count_by_id
        count_by_id[request_id] = count_by_id.get(request_id, 0) + 1
        await self.may_answer.wait()
        writer.write(self.make_reply(request_id, count_by_id[request_id]))


class EndlessAnswersTest(crowd_fixtures.CrowdTestCase):
    """A gateway process with the limits of the smallest VM."""

    memory_mb: ClassVar[int] = 160
    max_fds: ClassVar[int] = 3075
    #: Nearly half of the requests may be sent twice.
    bounds: ClassVar[Mapping[str, object]] = types.MappingProxyType(
        {'grace': '3s', 'budgetExtra': 430}
    )

    async def asyncSetUp(self) -> None:
        """Replace the pooled upstream by those that a test starts."""
        await super().asyncSetUp()
        self.testbed.store.remove('servers', 'p0')
        self.attempts = raw_upstream.Attempts(script_by_target={})
        self.may_answer = asyncio.Event()

    async def start_upstreams(
        self, make_reply: MakeReply, count: int = _UPSTREAMS_COUNT
    ) -> None:
        """Start some upstreams."""
        for number in range(count):
            upstream = HeldUpstream(self.attempts, make_reply, self.may_answer)
            await upstream.start()
            self.addAsyncCleanup(upstream.close)
            self.upstream_ports.add(int(upstream.address.partition(':')[2]))
            self.testbed.store.put(
                'servers', f'h{number}', upstream.make_announcement('pooled')
            )

    async def wait_until_in_flight(self) -> int:
        """Wait until none of the crowd's requests waits for an upstream.

        Returns how many are in flight; the others have been refused.
        """
        unanswered_count = _CROWD
        while unanswered_count > len(self.attempts.count_by_id):
            await asyncio.sleep(_POLL_SECONDS)
            unanswered_count = self.crowd.count_unanswered()
        return unanswered_count

    async def assert_bounded(
        self, make_reply: MakeReply, path: str = '/pool/x'
    ) -> None:
        """Check what the answers to as many requests as possible take."""
        await self.start_upstreams(make_reply)
        await self.crowd.send_all(
            crowd_fixtures.make_head('GET', path, number)
            for number in range(_CROWD)
        )
        in_flight_count = await self.wait_until_in_flight()
        self.assertGreater(in_flight_count, _FEWEST_SENT_COUNT)
        self.may_answer.set()
        await asyncio.sleep(_SENDING_SECONDS)
        await self.assert_survives()

    async def assert_bounded_in_turn(
        self, make_reply: MakeReply, path: str
    ) -> None:
        """Check what answers take whose requests come one after the other."""
        self.may_answer.set()
        await self.start_upstreams(make_reply)
        await asyncio.sleep(_START_SECONDS)
        for number in range(_CROWD):
            await self.crowd.send(crowd_fixtures.make_head('GET', path, number))
            await asyncio.sleep(_IN_TURN_SECONDS)
        await self.assert_survives()
        self.assertGreater(len(self.attempts.count_by_id), _FEWEST_SENT_COUNT)

    async def test_heads_of_short_lines(self) -> None:
        """Guard against lines that take far more memory than they have bytes.

        An operator saw a process run out of memory by bytes without end.
        """
        await self.assert_bounded(lambda *_: _START + _SHORT_LINES)

    async def test_trailers_of_short_lines(self) -> None:
        """Guard against lines after a body, which are kept until its end."""
        await self.assert_bounded(
            lambda *_: b'%b%b0\r\n%b' % (_START, _CHUNKED, _SHORT_LINES)
        )

    async def test_bodies(self) -> None:
        """Guard against bodies that end nowhere."""
        body = b'x' * 1_000_000
        await self.assert_bounded(lambda *_: b'%b\r\n%b' % (_START, body))

    async def test_bytes_that_are_no_answer(self) -> None:
        """Guard against bytes without a line end."""
        await self.assert_bounded(lambda *_: b'\1' * 1_000_000)

    async def test_heads_of_long_lines(self) -> None:
        """Guard against what is held of a line before its end arrives."""
        await self.assert_bounded(lambda *_: _START + _LONG_LINES)

    async def test_errors_kept_during_another_attempt(self) -> None:
        """Guard against many answers that are kept while requests wait."""
        body = b'x' * _ERROR_BYTES
        await self.assert_bounded_in_turn(
            lambda request_id, attempt: (
                make_answer(request_id, 500, body=body) if attempt == 1 else b''
            ),
            '/large/x',
        )

    async def test_long_heads_that_callers_leave_unread(self) -> None:
        """Guard against long heads of whole answers that nobody reads."""
        await self.assert_bounded_in_turn(
            lambda request_id, _: make_answer(request_id, 200, _LONG_LINES),
            '/pool/x',
        )

    async def test_long_heads_beside_those_left_unread(self) -> None:
        """Guard against unread heads that leave no memory for others."""
        self.may_answer.set()
        await self.start_upstreams(
            lambda request_id, _: make_answer(request_id, 200, _LONGEST_LINES)
        )
        await asyncio.sleep(_START_SECONDS)
        for number in range(_UNREAD_COUNT):
            await self.crowd.send(
                crowd_fixtures.make_head('GET', '/pool/x', number)
            )
            await asyncio.sleep(_IN_TURN_SECONDS)
        await conditions.wait_until(lambda: not self.crowd.count_unanswered())
        self.assertGreater(len(self.attempts.count_by_id), _FEWEST_SENT_COUNT)
        self.may_answer.clear()
        self.attempts.count_by_id.clear()
        await self.crowd.send_all(
            crowd_fixtures.make_head('GET', '/pool/x', number)
            for number in range(_UNREAD_COUNT, _CROWD)
        )
        await self.wait_until_in_flight()
        self.may_answer.set()
        await asyncio.sleep(_SENDING_SECONDS)
        await self.assert_survives()

    async def test_bodies_in_chunks_of_one_byte(self) -> None:
        """Guard against bodies that keep a process from answering others."""
        self.may_answer.set()
        await self.start_upstreams(
            lambda *_: _START + _CHUNKED + _CHUNKS, _CHUNKING_UPSTREAMS_COUNT
        )
        await asyncio.sleep(_START_SECONDS)
        await self.crowd.send_all(
            crowd_fixtures.make_head('GET', '/pool/x', number)
            for number in range(_CHUNKS_CROWD)
        )
        statuses: set[int] = set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CHUNKS_SECONDS):
                while 200 not in statuses:
                    statuses.add(await self.call('GET', '/read/x'))
        self.assertIn(200, statuses)
