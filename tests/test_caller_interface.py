"""Test what callers are told about requests that can't be served."""

import asyncio
import json
import unittest

from lentilgauge import errors
from lentilgauge.load import cluster, topology, users
from tests import systems


def make_shape() -> topology.Topology:
    """Make a venture of one VM with small limits."""
    return users.make_venture(
        vms=1,
        keyed=1,
        pooled=1,
        slots=4,
        options={
            'entry': {'body_limit_bytes': 100, 'header_limit_bytes': 2000}
        },
    )


async def send_raw(system: systems.System, text: bytes) -> bytes:
    """Send bytes to the entry as they are and read until it closes."""
    port = system.cluster.port_by_name[topology.name_entry(system.vms[0])]
    reader, writer = await asyncio.open_connection(cluster.LOOPBACK, port)
    writer.write(text)
    answer = await reader.read()
    writer.close()
    return answer


class CallerInterfaceTest(unittest.IsolatedAsyncioTestCase):
    """Hazard 19: a typed error, and nothing run."""

    async def test_refusals_are_typed(self) -> None:
        async with systems.run_system(make_shape()) as system:
            for method, path, given, kind, status in (
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
                with self.subTest(kind=kind):
                    sent = await system.call(method, path, headers=given)
                    reply = sent.unwrap()
                    answer = json.loads(reply.body)
                    self.assertEqual(answer['kind'], kind)
                    self.assertEqual(answer['ran'], errors.Ran.NOT_RUN)
                    self.assertEqual(reply.status, status)
                    self.assertTrue(answer['request_id'])
            large = await system.call(
                'POST',
                '/settlements',
                body=b'x' * 101,
            )
            kind = json.loads(large.unwrap().body)['kind']
            self.assertEqual(kind, errors.ErrorKind.BODY_TOO_LARGE)

    async def test_ambiguous_framing_is_refused(self) -> None:
        async with systems.run_system(make_shape()) as system:
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

    async def test_hop_by_hop_headers_stay_behind(self) -> None:
        async with systems.run_system(make_shape()) as system:
            sent = await system.call(
                'GET',
                '/settlements',
                headers={'Connection': 'X-Mine', 'X-Mine': '1', 'Te': 'x'},
            )
            seen = json.loads(sent.unwrap().body)['headers']
            self.assertNotIn('X-Mine', seen)
            self.assertNotIn('Te', seen)
