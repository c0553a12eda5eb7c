"""Tests of calls to upstreams that are given up while they are under way."""

import asyncio
import contextlib
import dataclasses
import unittest

from tornado import httputil

from lentilgauge.links import http_client, upstream_link
from lentilgauge.platform import upstream_adapter
from tests import gateway_fixtures

_TIMEOUT_MS = 200
_HEAD_END = b'\r\n\r\n'
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'


class SilentUpstream:
    """Upstream that answers some calls and then none.

    `ends` has how each connection ended: with a reset or a regular close.
    """

    def __init__(self, answered_calls: int = 0) -> None:
        """Answer a number of calls."""
        self.answered_calls = answered_calls
        self.ends: asyncio.Queue[str] = asyncio.Queue()
        self.connections = 0

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer what is due; then read until the connection ends."""
        self.connections += 1
        end = 'closed'
        try:
            while self.answered_calls:
                await reader.readuntil(_HEAD_END)
                self.answered_calls -= 1
                writer.write(_ANSWER)
            await reader.read()
        except ConnectionResetError:
            end = 'reset'
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()
        self.ends.put_nowait(end)


class HeldUpOrdersTest(unittest.IsolatedAsyncioTestCase):
    """What a partition holds up is lost if its sender resets the connection."""

    async def serve(self, upstream: SilentUpstream) -> str:
        """Start an upstream; return its address."""
        server = await asyncio.start_server(
            upstream.serve_connection, '127.0.0.1', 0
        )
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    def make_order(self, address: str) -> upstream_link.KeyOrder:
        """Make an order without a body that a raw stand-in must parse."""
        return upstream_link.KeyOrder(
            upstream=dataclasses.replace(
                gateway_fixtures.make_upstream('u0'), address=address
            ),
            start=1,
            end=2,
            fence=3,
            hold_ms=1000,
            timeout_ms=_TIMEOUT_MS,
        )

    async def test_an_order_that_timed_out_resets_its_connection(self) -> None:
        """Guard against a grant that arrives after its link has healed."""
        link = upstream_adapter.make_link(http_client.make_client())
        for send_order in (link.grant_keys, link.release_keys):
            upstream = SilentUpstream()
            address = await self.serve(upstream)
            reply = await send_order(self.make_order(address))
            self.assertEqual(reply.answer, 'silent')
            self.assertEqual(await upstream.ends.get(), 'reset')

    async def test_an_order_resets_the_connection_of_a_request(self) -> None:
        """Guard against a grant on a kept connection that a request made."""
        upstream = SilentUpstream(answered_calls=1)
        address = await self.serve(upstream)
        link = upstream_adapter.make_link(http_client.make_client())
        order = self.make_order(address)
        await link.send_attempt(
            upstream_link.Attempt(
                upstream=order.upstream,
                request_id='r1',
                method='GET',
                target='/x',
                headers=httputil.HTTPHeaders({'Host': 'a'}),
                body=b'',
                remaining_ms=5000,
            )
        )
        reply = await link.grant_keys(order)
        self.assertEqual(reply.answer, 'silent')
        self.assertEqual(await upstream.ends.get(), 'reset')
        self.assertEqual(upstream.connections, 1)
