"""Run a real gateway process against stand-ins in the users' dialect."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import unittest

from returns import result
from tornado import httputil, testing

from lentilgauge.links import http_client
from lentilgauge.operators import explain
from lentilgauge.platform import headers
from tests import platform_standin

_TRIES = 600
_STEP_SECONDS = 0.05
_KEY = 4711


def take_port() -> int:
    """Find a free port."""
    probe, port = testing.bind_unused_port()
    probe.close()
    return port


class PlatformPathTest(unittest.IsolatedAsyncioTestCase):
    """Send requests through one gateway; cause faults around it."""

    async def asyncSetUp(self) -> None:
        """Start the stand-ins and a gateway process."""
        self.folder = tempfile.TemporaryDirectory()
        self.store = platform_standin.Store()
        self.keyed = [
            platform_standin.Upstream(f'k{number}', keyed=True)
            for number in range(2)
        ]
        self.pooled = platform_standin.Upstream('p0', keyed=False)
        self.client = http_client.make_client()
        configuration = platform_standin.make_configuration(3)
        self.store.put('config', 'main', configuration)
        for upstream in self.keyed:
            self.store.put('servers', upstream.name, upstream.entry('keyed'))
        self.store.put('servers', 'p0', self.pooled.entry('pooled'))
        self.store.put('servers', 'odd', {'service': 7})
        self.ports = [take_port() for _ in range(4)]
        self.log = pathlib.Path(self.folder.name) / 'gateway.log'
        self.process = await self.start_gateway()

    async def start_gateway(self) -> asyncio.subprocess.Process:
        """Start a gateway and wait until it is ready."""
        front, ready, control, scraped = self.ports
        folder = pathlib.Path(self.folder.name)
        given = folder / 'local.json'
        given.write_text(
            json.dumps(
                {
                    'node': 'vm-1',
                    'zone': 'z1',
                    'listen': {
                        'front': f'127.0.0.1:{front}',
                        'ready': f'127.0.0.1:{ready}',
                        'control': f'127.0.0.1:{control}',
                    },
                    'seeds': [f'127.0.0.1:{control}'],
                    'bootstrap': True,
                    'bounds': {'grace': '3s'},
                    'provider': {'address': self.store.address},
                    'unknown': 1,
                }
            )
        )
        own = folder / 'gateway.ini'
        own.write_text(f'[metrics]\nport = {scraped}\n')
        with self.log.open('ab') as output:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'lentilgauge.platform.program',
                str(own),
                env={**os.environ, 'LENTILGAUGE_CONFIG': str(given)},
                stdout=output,
            )

    async def asyncTearDown(self) -> None:
        """End everything that was started."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        for standin in (self.store, self.pooled, *self.keyed):
            await standin.close()
        self.folder.cleanup()

    async def call(
        self,
        path: str,
        method: str = 'GET',
        request_id: str = 'r',
        deadline_ms: int = 1200,
    ) -> http_client.CallResult:
        """Send a caller's request."""
        return await http_client.send_call(
            self.client,
            http_client.Call(
                method=method,
                url=f'http://127.0.0.1:{self.ports[0]}',
                target=path,
                timeout_ms=8000,
                body=b'letter' if method == 'POST' else None,
                headers=httputil.HTTPHeaders(
                    {
                        'Host': 'a.example',
                        headers.REQUEST_ID: request_id,
                        headers.DEADLINE_MS: str(deadline_ms),
                        headers.SHARD_KEY: str(_KEY),
                    }
                ),
            ),
        )

    async def call_until(self, path: str, wanted: int) -> http_client.Reply:
        """Send a request until it gets a status."""
        for number in range(_TRIES):
            called = await self.call(path, request_id=f'try-{number}')
            if isinstance(called, result.Success):
                reply: http_client.Reply = called.unwrap()
                if reply.status == wanted:
                    return reply
            await asyncio.sleep(_STEP_SECONDS)
        raise AssertionError(f'{path} never got {wanted}')

    def find_owner(self) -> platform_standin.Upstream:
        """Find the upstream that holds the key."""
        return next(one for one in self.keyed if one.holds_key(_KEY))

    async def tell_story(self, request_id: str) -> list[str]:
        """List the events of a request's story, once they are written."""
        for _ in range(_TRIES):
            lines = explain.read_lines([self.log])
            story = explain.explain_request(lines, request_id)
            if story:
                return [line.event for line in story]
            await asyncio.sleep(_STEP_SECONDS)
        raise AssertionError(f'{request_id} is in no line')

    async def test_keyed_and_pooled_requests_are_served(self) -> None:
        """Each answer is the upstream's own, and each request ran once."""
        reply = await self.call_until('/read/x', 200)
        owner = self.find_owner()
        self.assertEqual(reply.headers[headers.SEAL], f'seal-{owner.name}')
        called = await self.call('/pool/y', 'POST', 'once')
        self.assertEqual(called.unwrap().status, 200)
        ran = [body for name, body in self.pooled.ran if name == 'once']
        self.assertEqual(ran, [b'letter'])
        self.assertEqual((await self.call('/none/')).unwrap().status, 404)

    async def test_a_refused_request_is_explained(self) -> None:
        """Transcript one: refused as not run, although it was sent."""
        await self.call_until('/read/x', 200)
        self.find_owner().refuses = True
        reply = (await self.call('/write/x', 'POST', 'refused-1')).unwrap()
        self.assertEqual(reply.status, 503)
        self.assertIn('Retry-After', reply.headers)
        story = await self.tell_story('refused-1')
        self.assertIn('attempt_failed', story)
        self.assertEqual(story[-1], 'request_refused')

    async def test_a_request_that_failed_after_it_was_sent_is_explained(
        self,
    ) -> None:
        """Transcript two: the upstream ran it and closed the connection."""
        await self.call_until('/read/x', 200)
        owner = self.find_owner()
        owner.drops = True
        reply = (await self.call('/write/x', 'POST', 'lost-1')).unwrap()
        self.assertEqual(reply.status, 502)
        ran = [name for name, _ in owner.ran if name == 'lost-1']
        self.assertEqual(ran, ['lost-1'])
        story = await self.tell_story('lost-1')
        self.assertEqual(story[-2:], ['attempt_failed', 'request_failed'])

    async def test_a_key_without_an_owner_is_explained(self) -> None:
        """Transcript three: its holder fell silent and has to be waited out."""
        await self.call_until('/read/x', 200)
        owner = self.find_owner()
        owner.ignores_orders = True
        self.store.remove('servers', owner.name)
        reply = await self.call_until('/write/x', 503)
        self.assertEqual(json.loads(reply.body)['kind'], 'no_owner')
        refused = json.loads(reply.body)['request_id']
        story = await self.tell_story(refused)
        self.assertIn('keys_moved', story)
        await self.call_until('/read/x', 200)
        self.assertNotEqual(self.find_owner().name, owner.name)

    async def test_a_leaving_upstream_hands_its_keys_over(self) -> None:
        await self.call_until('/read/x', 200)
        owner = self.find_owner()
        self.store.put('servers', owner.name, owner.entry('keyed', 'draining'))
        for _ in range(_TRIES):
            if not owner.holds_key(_KEY):
                break
            await asyncio.sleep(_STEP_SECONDS)
        await self.call_until('/read/x', 200)
        self.assertNotEqual(self.find_owner().name, owner.name)

    async def test_an_outage_of_the_store_stops_nobody(self) -> None:
        await self.call_until('/read/x', 200)
        self.store.down = True
        for _ in range(20):
            reply = (await self.call('/read/x')).unwrap()
            self.assertEqual(reply.status, 200)
            await asyncio.sleep(0.2)

    async def test_what_watches_keep_back_is_seen(self) -> None:
        await self.call_until('/read/x', 200)
        self.store.silent_watches = True
        newer = platform_standin.make_configuration(4)
        routes = newer['routes']
        assert isinstance(routes, list)
        newer['routes'] = [one for one in routes if one['name'] != 'pool']
        self.store.put('config', 'main', newer)
        await self.call_until('/pool/y', 404)

    async def test_a_stop_answers_what_was_begun(self) -> None:
        await self.call_until('/read/x', 200)
        self.pooled.work.clear()
        asked = asyncio.ensure_future(self.call('/pool/y', 'POST', 'begun'))
        for _ in range(_TRIES):
            if self.pooled.ran:
                break
            await asyncio.sleep(_STEP_SECONDS)
        self.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(_STEP_SECONDS)
        self.pooled.work.set()
        self.assertEqual((await asked).unwrap().status, 200)
        self.assertEqual(await self.process.wait(), 0)

    async def test_bad_settings_are_refused_by_name(self) -> None:
        bad = pathlib.Path(self.folder.name) / 'bad.ini'
        bad.write_text('[metrics]\nport = 0\n')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'lentilgauge.platform.program',
            str(bad),
            stderr=asyncio.subprocess.PIPE,
        )
        _, told = await process.communicate()
        self.assertEqual(process.returncode, 2)
        self.assertIn(b'bad.ini', told)
        self.assertIn(b'metrics.port', told)
