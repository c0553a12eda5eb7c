"""Tests of replies that are cut short or endless, over a real connection."""

import asyncio
import contextlib
import dataclasses
import functools
import itertools
import tracemalloc
import unittest
from collections.abc import Iterable

from returns import result
from tornado import httputil

from lentilgauge.links import http_client, store_link, upstream_link
from lentilgauge.platform import headers, store_adapter, upstream_adapter
from tests import conditions, gateway_fixtures

_STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
_HEAD = b'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 10\r\n'
_CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n'
_HEAD_WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\n\r\n'
_INTERIM_HEAD = b'HTTP/1.1 103 Early\r\nLink: x\r\n\r\n'
_BODY = b'ten bytes.'
_TIMEOUT_MS = 60_000
_MEBIBYTE = 1 << 20
_BLOCK = bytes(1 << 16)
_BLOCKS_PER_MEBIBYTE = 16
#: More than may be buffered, but little enough for a client without bounds.
_ENDLESS_MEBIBYTES = 64


CallTask = asyncio.Task[http_client.CallResult]


def name_end(call_result: http_client.CallResult) -> str:
    """Name a call's failure or status, without the reply's body."""
    if isinstance(call_result, result.Success):
        return f'status {call_result.unwrap().status}'
    return str(call_result.failure())


def make_attempt(address: str) -> upstream_link.Attempt:
    """Make an attempt at a request with the id `r0`."""
    return upstream_link.Attempt(
        upstream=dataclasses.replace(
            gateway_fixtures.make_upstream('u0'),
            address=address,
        ),
        request_id='r0',
        method='POST',
        target='/x',
        headers=httputil.HTTPHeaders({headers.REQUEST_ID: 'r0'}),
        body=b'',
        remaining_ms=_TIMEOUT_MS,
    )


class FramingTest(unittest.IsolatedAsyncioTestCase):
    """A client and raw servers on loopback."""

    async def asyncSetUp(self) -> None:
        """Create the client."""
        self.client = http_client.make_client()
        self.open_count = 0
        self.addAsyncCleanup(self.wait_for_close)

    async def send_blocks(
        self,
        blocks: Iterable[bytes],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        stalls: bool = False,
    ) -> None:
        """Answer a bodiless request; close the connection unless it stalls."""
        self.open_count += 1
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b'\r\n\r\n')
            for block in blocks:
                writer.write(block)
                await writer.drain()
            if stalls:
                await reader.read()
        writer.close()
        self.open_count -= 1

    async def serve(
        self, blocks: Iterable[bytes], *, stalls: bool = False
    ) -> str:
        """Start a server that sends blocks of bytes; return its address."""
        server = await asyncio.start_server(
            functools.partial(self.send_blocks, blocks, stalls=stalls),
            '127.0.0.1',
        )
        self.addCleanup(server.close)
        return '127.0.0.1:{1}'.format(*server.sockets[0].getsockname())

    async def fetch(
        self, blocks: Iterable[bytes], *, stalls: bool = False
    ) -> http_client.CallResult:
        """Send a call to which a server answers with blocks of bytes."""
        return await self.call(await self.serve(blocks, stalls=stalls))

    async def wait_for_close(self) -> None:
        """Wait until the servers have no connection."""
        await conditions.wait_until(lambda: not self.open_count)

    async def call(self, address: str) -> http_client.CallResult:
        """Send a call that must be sent only once."""
        return await http_client.send_call(
            self.client,
            http_client.Call(
                method='POST',
                url=f'http://{address}/',
                body=b'',
                timeout_ms=_TIMEOUT_MS,
                send_once=True,
            ),
        )


class CutHeadTest(FramingTest):
    """Heads that end early, interim heads and trailers."""

    async def test_a_cut_head_is_no_success(self) -> None:
        for cut_head in (
            _STATUS_LINE,
            _STATUS_LINE[:-2],
            b'HTTP/1.1 204 No Content\r\nA: b\r\n',
            b'HTTP/1.1 500 Failed\r\nA: b\r\n',
            *(_HEAD[:end] for end in range(len(_STATUS_LINE), len(_HEAD) + 1)),
            b'%b\r' % _HEAD,
        ):
            with self.subTest(cut_head):
                call_result = await self.fetch((cut_head,))
                self.assertEqual(name_end(call_result), 'broken')

    async def test_a_cut_head_after_an_interim_one_is_no_success(self) -> None:
        for cut_head in (
            _INTERIM_HEAD,
            b'HTTP/1.1 100 Continue\r\n\r\n',
            b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n',
            _INTERIM_HEAD + _HEAD,
            _INTERIM_HEAD + _STATUS_LINE,
        ):
            with self.subTest(cut_head):
                call_result = await self.fetch((cut_head,))
                self.assertEqual(name_end(call_result), 'broken')

    async def test_a_whole_head_is_not_taken_for_a_cut_one(self) -> None:
        for whole_reply, body in (
            (b'%b\r\n%b' % (_HEAD, _BODY), _BODY),
            (b'HTTP/1.1 200 OK\nA: b\n\nx', b'x'),
            (b'HTTP/1.0 200 OK\r\nA: b\r\nHTTP-1.1: c\r\n\r\n', b''),
            (b'%b%b\r\n%b' % (_INTERIM_HEAD, _HEAD, _BODY), _BODY),
        ):
            with self.subTest(whole_reply):
                reply = (await self.fetch((whole_reply,))).unwrap()
                self.assertEqual((reply.status, reply.body), (200, body))
                self.assertEqual(reply.headers['A'], 'b')
                self.assertNotIn('Link', reply.headers)

    async def test_trailers_replace_and_add_no_headers(self) -> None:
        for trailers in (
            b'X-Late: 1\r\n',
            b'HTTP-1.1: x\r\nA: c\r\nX-Late: 1\r\n',
            b'HTTP: 1.1 204 No\r\nX-Late: 1\r\n',
        ):
            with self.subTest(trailers):
                reply = (
                    await self.fetch(
                        (
                            b'%b1\r\nx\r\n0\r\n%b\r\n'
                            % (_CHUNKED_HEAD, trailers),
                        )
                    )
                ).unwrap()
                self.assertEqual((reply.status, reply.body), (200, b'x'))
                self.assertEqual(
                    sorted(reply.headers.get_all()),
                    [('A', 'b'), ('Transfer-Encoding', 'chunked')],
                )

    async def test_a_status_line_is_no_header_or_trailer(self) -> None:
        for line in (b'HTTP/1.1: c', b'HTTP/1.1 204 No: x', b'HTTP/1.1 204 No'):
            for reply in (
                b'%bA: b\r\n%b\r\n\r\n' % (_STATUS_LINE, line),
                b'%b0\r\n%b\r\n\r\n' % (_CHUNKED_HEAD, line),
            ):
                with self.subTest(reply):
                    call_result = await self.fetch((reply,))
                    self.assertEqual(name_end(call_result), 'invalid')

    async def test_a_cut_refusal_or_success_proves_nothing(self) -> None:
        for status_line, last_header in (
            ('HTTP/1.1 503 Busy', headers.NOT_EXECUTED),
            ('HTTP/1.1 200 OK', headers.SEAL),
        ):
            cut_head = (
                f'{status_line}\r\n{headers.REQUEST_ID}: r0\r\n'
                f'{last_header}: x\r\n'
            )
            address = await self.serve((cut_head.encode(),))
            with self.subTest(status_line):
                link = upstream_adapter.make_link(self.client)
                outcome = await link.send_attempt(make_attempt(address))
                self.assertEqual(outcome.proof, upstream_link.Proof.UNKNOWN)

    async def test_a_cut_conflict_leaves_a_write_unknown(self) -> None:
        for status in (409, 503):
            cut_head = f'HTTP/1.1 {status} No\r\nA: b\r\n'
            store = store_adapter.make_store(
                self.client,
                await self.serve((cut_head.encode(),)),
            )
            with self.subTest(status):
                self.assertEqual(
                    await store.write_record({}, 0),
                    result.Failure(store_link.Failure.UNKNOWN),
                )


class EndlessReplyTest(FramingTest):
    """Replies without end, and how much memory they take."""

    async def asyncSetUp(self) -> None:
        """Trace the memory that is allocated."""
        await super().asyncSetUp()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    async def fetch_whole(self, mebibytes: int) -> http_client.CallResult:
        """Send a call that gets a whole reply."""
        head = b'%bContent-Length: %d\r\n\r\n' % (
            _STATUS_LINE,
            mebibytes * _MEBIBYTE,
        )
        body = itertools.repeat(_BLOCK, mebibytes * _BLOCKS_PER_MEBIBYTE)
        return await self.fetch(itertools.chain((head,), body))

    async def start_stuck_call(self) -> CallTask:
        """Start a call whose reply stops after 7 MiB; wait for 6 of these."""
        start_bytes, _ = tracemalloc.get_traced_memory()
        body = itertools.repeat(_BLOCK, 7 * _BLOCKS_PER_MEBIBYTE)
        call_task = asyncio.create_task(
            self.fetch(
                itertools.chain((_HEAD_WITHOUT_LENGTH,), body), stalls=True
            ),
        )
        self.addAsyncCleanup(self.cancel_call, call_task)
        await conditions.wait_until(
            lambda: (
                tracemalloc.get_traced_memory()[0] > start_bytes + 6 * _MEBIBYTE
                or call_task.done()
            ),
        )
        return call_task

    async def cancel_call(self, call_task: CallTask) -> None:
        """Cancel a call and wait for its end."""
        call_task.cancel()
        await asyncio.wait((call_task,))

    async def test_an_endless_body_is_bounded_freed_and_closed(self) -> None:
        for head, block in (
            (b'%bContent-Length: %d\r\n\r\n' % (_STATUS_LINE, 1 << 40), _BLOCK),
            (_HEAD_WITHOUT_LENGTH, _BLOCK),
            (_CHUNKED_HEAD, b'10000\r\n%b\r\n' % _BLOCK),
        ):
            with self.subTest(head):
                tracemalloc.reset_peak()
                body = itertools.repeat(
                    block,
                    _ENDLESS_MEBIBYTES * _BLOCKS_PER_MEBIBYTE,
                )
                call_result = await self.fetch(itertools.chain((head,), body))
                kept_bytes, peak_bytes = tracemalloc.get_traced_memory()
                self.assertLess(peak_bytes, 32 * _MEBIBYTE)
                self.assertEqual(name_end(call_result), 'invalid')
                self.assertLess(kept_bytes, 8 * _MEBIBYTE)
                await self.wait_for_close()
                self.assertIsNotNone(next(body, None))

    async def test_endless_heads_interims_and_extensions_fail(self) -> None:
        header_line = b'Name: value\r\n'
        for start, repeated in (
            (_STATUS_LINE, header_line * 5000),
            (b'HTTP/1.1 200 ', b'x' * 65_536),
            (_STATUS_LINE, b'x' * 65_536),
            (b'%bA: ' % _STATUS_LINE, b'x' * 65_536),
            (b'', _INTERIM_HEAD * 2000),
            (b'%b1;' % _CHUNKED_HEAD, b'x' * 65_536),
            (b'%b0\r\n' % _CHUNKED_HEAD, header_line * 5000),
        ):
            with self.subTest((start, repeated[:20])):
                tracemalloc.reset_peak()
                blocks = itertools.repeat(repeated, 1000)
                call_result = await self.fetch(
                    itertools.chain((start,), blocks),
                )
                self.assertIn(name_end(call_result), {'broken', 'invalid'})
                kept_bytes, peak_bytes = tracemalloc.get_traced_memory()
                self.assertLess(peak_bytes, 8 * _MEBIBYTE)
                self.assertLess(kept_bytes, 4 * _MEBIBYTE)

    async def test_a_body_is_refused_only_beyond_its_bound(self) -> None:
        ends = [name_end(await self.fetch_whole(size)) for size in (12, 13)]
        self.assertEqual(ends, ['status 200', 'invalid'])

    async def test_a_body_in_tiny_chunks_takes_no_more_than_others(
        self,
    ) -> None:
        chunks = b'2\r\nab\r\n' * 8192
        reply = (
            await self.fetch(
                (_CHUNKED_HEAD, *itertools.repeat(chunks, 16), b'0\r\n\r\n'),
            )
        ).unwrap()
        self.assertEqual(reply.body, b'ab' * 8192 * 16)
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes, 2 * _MEBIBYTE)

    async def test_stuck_replies_leave_room_for_usual_ones_alone(self) -> None:
        stuck = [await self.start_stuck_call() for _ in range(2)]
        large = await self.fetch_whole(12)
        usual = await self.fetch_whole(1)
        self.assertFalse(any(task.done() for task in stuck))
        self.assertEqual(name_end(large), 'invalid')
        self.assertEqual(len(usual.unwrap().body), _MEBIBYTE)

    async def test_room_returns_when_calls_are_cancelled_or_end(self) -> None:
        for _ in range(4):
            await self.cancel_call(await self.start_stuck_call())
            whole = await self.fetch_whole(12)
            self.assertEqual(name_end(whole), 'status 200')
