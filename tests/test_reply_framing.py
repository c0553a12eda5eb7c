"""Tests of replies that are cut short, over a real connection."""

import asyncio
import contextlib
import dataclasses
import functools
import unittest
from collections.abc import Iterable

from returns import result
from tornado import httputil

from lentilgauge.links import http_client, store_link, upstream_link
from lentilgauge.platform import headers, store_adapter, upstream_adapter
from tests import gateway_fixtures

_STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
_HEAD = b'HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 10\r\n'
_CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n'
_INTERIM_HEAD = b'HTTP/1.1 103 Early\r\nLink: x\r\n\r\n'
_BODY = b'ten bytes.'
_TIMEOUT_MS = 60_000


async def send_blocks(
    blocks: Iterable[bytes],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer a bodiless request with blocks of bytes; close the connection."""
    with contextlib.suppress(ConnectionError):
        await reader.readuntil(b'\r\n\r\n')
        for block in blocks:
            writer.write(block)
            await writer.drain()
    writer.close()


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

    async def serve(self, blocks: Iterable[bytes]) -> str:
        """Start a server that sends blocks of bytes; return its address."""
        server = await asyncio.start_server(
            functools.partial(send_blocks, blocks),
            '127.0.0.1',
        )
        self.addCleanup(server.close)
        return '127.0.0.1:{1}'.format(*server.sockets[0].getsockname())

    async def fetch(self, *blocks: bytes) -> http_client.CallResult:
        """Send a call to which a server answers with blocks of bytes."""
        address = await self.serve(blocks)
        return await self.call(address)

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
                self.assertEqual(
                    await self.fetch(cut_head),
                    result.Failure(http_client.LinkFailure.BROKEN),
                )

    async def test_a_cut_head_after_an_interim_one_is_no_success(self) -> None:
        for cut_head in (
            _INTERIM_HEAD,
            b'HTTP/1.1 100 Continue\r\n\r\n',
            b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n',
            _INTERIM_HEAD + _HEAD,
            _INTERIM_HEAD + _STATUS_LINE,
        ):
            with self.subTest(cut_head):
                self.assertEqual(
                    await self.fetch(cut_head),
                    result.Failure(http_client.LinkFailure.BROKEN),
                )

    async def test_a_whole_head_is_not_taken_for_a_cut_one(self) -> None:
        for whole_reply, body in (
            (b'%b\r\n%b' % (_HEAD, _BODY), _BODY),
            (b'HTTP/1.1 200 OK\nA: b\n\nx', b'x'),
            (b'HTTP/1.0 200 OK\r\nA: b\r\nHTTP/1.1: c\r\n\r\n', b''),
            (b'%b%b\r\n%b' % (_INTERIM_HEAD, _HEAD, _BODY), _BODY),
        ):
            with self.subTest(whole_reply):
                reply = (await self.fetch(whole_reply)).unwrap()
                self.assertEqual((reply.status, reply.body), (200, body))
                self.assertEqual(reply.headers['A'], 'b')
                self.assertNotIn('Link', reply.headers)

    async def test_trailers_replace_and_add_no_headers(self) -> None:
        for trailers in (
            b'X-Late: 1\r\n',
            b'HTTP/1.1 204 No: x\r\nX-Late: 1\r\n',
            b'HTTP/1.1: x\r\nA: c\r\nX-Late: 1\r\n',
        ):
            with self.subTest(trailers):
                reply = (
                    await self.fetch(
                        b'%b1\r\nx\r\n0\r\n%b\r\n' % (_CHUNKED_HEAD, trailers),
                    )
                ).unwrap()
                self.assertEqual((reply.status, reply.body), (200, b'x'))
                self.assertEqual(
                    sorted(reply.headers.get_all()),
                    [('A', 'b'), ('Transfer-Encoding', 'chunked')],
                )

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
