"""Tests of the error responses to bad requests, and of dropped headers."""

import asyncio
import json
import unittest

from lentilgauge import errors
from lentilgauge.load import cluster, topology, user_topologies
from tests import systems


def make_topology() -> topology.Topology:
    """Make the venture's topology with one VM and small request limits."""
    return user_topologies.make_venture_topology(
        vms=1,
        keyed=1,
        pooled=1,
        slots=4,
        options={
            'entry': {'body_limit_bytes': 100, 'header_limit_bytes': 2000}
        },
    )


async def send_raw(system: systems.System, request_bytes: bytes) -> bytes:
    """Send raw bytes to the entry and read until it closes the connection."""
    port = system.cluster.port_by_name[topology.name_entry(system.vms[0])]
    reader, writer = await asyncio.open_connection(cluster.LOOPBACK, port)
    writer.write(request_bytes)
    response = await reader.read()
    writer.close()
    return response


class CallerInterfaceTest(unittest.IsolatedAsyncioTestCase):
    """Hazard 19: bad requests get a typed error and aren't executed."""

    async def test_rejections_have_a_typed_error(self) -> None:
        async with systems.run_system(make_topology()) as system:
            for method, path, headers, error_kind, status in (
                ('GET', '/nothing', {}, 'no_such_kind', 404),
                ('GET', '/cases/%FF', {}, 'bad_key', 400),
                (
                    'GET',
                    '/cases/7',
                    {'X-Deadline-Ms': '-1'},
                    'bad_request',
                    400,
                ),
                (
                    'GET',
                    '/cases/7',
                    {'X-Deadline-Ms': '0'},
                    'deadline_too_short',
                    504,
                ),
                (
                    'GET',
                    '/cases/7',
                    {'X-Filler': 'x' * 2100},
                    'headers_too_large',
                    431,
                ),
            ):
                with self.subTest(kind=error_kind):
                    called = await system.call(method, path, headers=headers)
                    reply = called.unwrap()
                    answer = json.loads(reply.body)
                    self.assertEqual(answer['kind'], error_kind)
                    self.assertEqual(
                        answer['ran'], errors.ExecutionClaim.NOT_RUN
                    )
                    self.assertEqual(reply.status, status)
                    self.assertTrue(answer['request_id'])
            oversized = await system.call(
                'POST',
                '/settlements',
                body=b'x' * 101,
            )
            error_kind = json.loads(oversized.unwrap().body)['kind']
            self.assertEqual(error_kind, errors.ErrorKind.BODY_TOO_LARGE)

    async def test_ambiguous_framing_is_rejected(self) -> None:
        """Guard against request smuggling by contradictory framing headers."""
        async with systems.run_system(make_topology()) as system:
            for headers in (
                b'Content-Length: 1\r\nTransfer-Encoding: chunked',
                b'Content-Length: 1\r\nContent-Length: 2',
                b'Content-Length: +1',
                b'Transfer-Encoding: xchunked',
                b'Host: a\r\nX-Bad : 1',
            ):
                with self.subTest(headers=headers):
                    answer = await send_raw(
                        system,
                        b'POST /settlements HTTP/1.1\r\nHost: a\r\n'
                        + headers
                        + b'\r\n\r\nxx',
                    )
                    self.assertTrue(answer.startswith(b'HTTP/1.1 400'), answer)

    async def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        async with systems.run_system(make_topology()) as system:
            called = await system.call(
                'GET',
                '/settlements',
                headers={'Connection': 'X-Mine', 'X-Mine': '1', 'Te': 'x'},
            )
            forwarded = json.loads(called.unwrap().body)['headers']
            self.assertNotIn('X-Mine', forwarded)
            self.assertNotIn('Te', forwarded)
