"""Run a real gateway process against stand-ins in the users' dialect."""

import asyncio
import contextlib
import io
import itertools
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import unittest

from returns import result
from tornado import httputil

from lentilgauge.links import http_client
from lentilgauge.operators import explain
from lentilgauge.platform import headers
from lentilgauge.report import command_line
from lentilgauge.standins import (
    dialect_documents,
    dialect_server,
    dialect_store,
    dialect_upstream,
)
from tests import conditions

_TRIES = 600
_STEP_SECONDS = 0.05
_KEY = 4711


def is_hangup_ignored(pid: int) -> bool:
    """Tell whether a process ignores or handles SIGHUP, by its status."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(('SigIgn', 'SigCgt'))
    ]
    return any(mask & 1 << (signal.SIGHUP - 1) for mask in masks)


def make_garbage(generator: random.Random, number: int) -> bytes:
    """Make bytes that are nearly requests, or none at all."""
    whole = (
        b'POST /write/x HTTP/1.1\r\nHost: a.example\r\n'
        b'Content-Length: 5\r\nX-Lentilgauge-Shard-Key: 7\r\n\r\nhello'
    )
    match number % 5:
        case 0:
            return generator.randbytes(generator.randrange(1, 2000))
        case 1:
            return whole[: generator.randrange(len(whole))]
        case 2:
            mixed = bytearray(whole)
            for _ in range(6):
                mixed[generator.randrange(len(mixed))] = generator.randrange(
                    256
                )
            return bytes(mixed)
        case 3:
            return whole.replace(b'5\r', b'99999999999999999999\r')
        case _:
            return whole.replace(
                b'Content-Length: 5',
                b'Transfer-Encoding: chunked\r\nContent-Length: 5',
            )


async def send_garbage(port: int, text: bytes) -> None:
    """Send bytes and close, whatever comes back."""
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    with contextlib.suppress(ConnectionError):
        writer.write(text)
        await writer.drain()
        writer.close()
        await writer.wait_closed()


class PlatformPathTest(unittest.IsolatedAsyncioTestCase):
    """Send requests through one gateway; cause faults around it."""

    async def asyncSetUp(self) -> None:
        """Start the stand-ins and a gateway process."""
        self.folder = tempfile.TemporaryDirectory()
        self.numbers = itertools.count()
        self.store = dialect_store.Store()
        self.keyed = [
            dialect_upstream.Upstream(f'k{number}', keyed=True)
            for number in range(2)
        ]
        self.pooled = dialect_upstream.Upstream('p0', keyed=False)
        self.client = http_client.make_client()
        configuration = dialect_documents.make_configuration(3)
        self.store.put('config', 'main', configuration)
        for upstream in self.keyed:
            self.store.put('servers', upstream.name, upstream.entry('keyed'))
        self.store.put('servers', 'p0', self.pooled.entry('pooled'))
        self.store.put('servers', 'odd', {'service': 7})
        front, ready, control, scraped = (
            dialect_server.take_port() for _ in range(4)
        )
        self.ports = dialect_documents.Ports(
            front=front,
            ready=ready,
            control=control,
            metrics=scraped,
        )
        self.log = pathlib.Path(self.folder.name) / 'gateway.log'
        self.process = await self.start_gateway()

    async def start_gateway(self) -> asyncio.subprocess.Process:
        """Start a gateway and wait until it is ready."""
        folder = pathlib.Path(self.folder.name)
        given = folder / 'local.json'
        given.write_text(json.dumps(self.make_settings()))
        own = folder / 'gateway.ini'
        own.write_text(f'[metrics]\nport = {self.ports.metrics}\n')
        with self.log.open('ab') as output:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'lentilgauge.platform',
                str(own),
                env={**os.environ, 'LENTILGAUGE_CONFIG': str(given)},
                stdout=output,
            )

    def make_settings(self) -> dict[str, object]:
        """Make the settings file that the platform would give."""
        return dialect_documents.make_settings(
            'vm-1',
            'z1',
            self.ports,
            self.store.address,
            [f'127.0.0.1:{self.ports.control}'],
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
                url=f'http://127.0.0.1:{self.ports.front}',
                target=path,
                timeout_ms=60_000,
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
        for _ in range(_TRIES):
            # Each has an id of its own, or its story would be another's.
            request_id = f'try-{next(self.numbers)}'
            called = await self.call(path, request_id=request_id)
            if isinstance(called, result.Success):
                reply: http_client.Reply = called.unwrap()
                if reply.status == wanted:
                    return reply
            await asyncio.sleep(_STEP_SECONDS)
        raise AssertionError(f'{path} never got {wanted}')

    def find_owner(self) -> dialect_upstream.Upstream:
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

    async def test_the_report_reads_what_is_served_as_metrics(self) -> None:
        await self.call_until('/read/x', 200)
        for number in range(10):
            await self.call('/pool/y', 'POST', f'm{number}')
        self.pooled.faults.refuses = True
        for number in range(10):
            await self.call('/pool/y', 'POST', f'n{number}')
        scraped = await http_client.send_call(
            self.client,
            http_client.Call(
                method='GET',
                url=f'http://127.0.0.1:{self.ports.metrics}/metrics',
                timeout_ms=5000,
            ),
        )
        folder = pathlib.Path(self.folder.name)
        text = folder / 'vm-1.txt'
        text.write_bytes(scraped.unwrap().body)
        owed = folder / 'owed.ini'
        owed.write_text('[objective pool]\navailability = 0.9\n')
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            command_line.report_metrics(str(owed), str(text))
        row = printed.getvalue().splitlines()[2].split()
        self.assertEqual(row[0], 'pool')
        self.assertEqual(row[2:4], ['20', '10'])
        self.assertEqual(row[5], '5.00')
        self.assertIn('pool: upstream_refused', printed.getvalue())
        self.assertIn(
            '# TYPE lentilgauge_request_duration_seconds histogram',
            text.read_text(),
        )

    async def test_a_refused_request_is_explained(self) -> None:
        """Transcript one: refused as not run, although it was sent."""
        await self.call_until('/read/x', 200)
        self.find_owner().faults.refuses = True
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
        owner.faults.drops = True
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
        owner.faults.ignores_orders = True
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
        self.store.faults.down = True
        for _ in range(20):
            reply = (await self.call('/read/x')).unwrap()
            self.assertEqual(reply.status, 200)
            await asyncio.sleep(0.2)

    async def test_what_watches_keep_back_is_seen(self) -> None:
        await self.call_until('/read/x', 200)
        self.store.faults.silent_watches = True
        newer = dialect_documents.make_configuration(4)
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

    async def hold_back(
        self,
        path: str,
        request_id: str,
    ) -> asyncio.Task[http_client.CallResult]:
        """Send a request to the pool, which works on it until told."""
        self.pooled.work.clear()
        asked = asyncio.ensure_future(
            self.call(path, 'POST', request_id, deadline_ms=60_000),
        )
        for _ in range(_TRIES):
            if any(name == request_id for name, _ in self.pooled.ran):
                break
            await asyncio.sleep(_STEP_SECONDS)
        return asked

    async def test_a_route_bounds_how_long_its_callers_wait(self) -> None:
        """The answer comes although the upstream still works."""
        await self.call_until('/read/x', 200)
        asked = await self.hold_back('/pool/y', 'long-1')
        reply = (await asked).unwrap()
        self.assertEqual(reply.status, 504)
        self.assertFalse(self.pooled.work.is_set())

    async def test_an_emptied_domain_gets_nothing(self) -> None:
        await self.call_until('/read/x', 200)
        emptied = self.find_owner()
        other = next(one for one in self.keyed if one is not emptied)
        other.failure_domain = 'z2'
        self.store.put('servers', other.name, other.entry('keyed'))
        self.store.put('evacuations', 'z1', {})
        for _ in range(_TRIES):
            if other.holds_key(_KEY):
                break
            await asyncio.sleep(_STEP_SECONDS)
        await self.call_until('/read/x', 200)
        before = len(emptied.ran)
        for number in range(20):
            reply = (
                await self.call('/read/x', request_id=f'e{number}')
            ).unwrap()
            self.assertEqual(reply.status, 200)
        self.assertEqual(len(emptied.ran), before)
        # The pool has nobody outside the domain.
        reply = (await self.call('/pool/y', 'POST', 'emptied')).unwrap()
        self.assertEqual(reply.status, 429)
        self.store.remove('evacuations', 'z1')
        await self.call_until('/pool/y', 200)

    async def wait_for_event(self, event: str) -> explain.Line:
        """Wait until the gateway has logged an event."""
        for _ in range(_TRIES):
            for line in explain.read_lines([self.log]):
                if line.event == event:
                    return line
            await asyncio.sleep(_STEP_SECONDS)
        raise AssertionError(f'{event} is in no line')

    async def test_changed_settings_are_taken_and_bad_ones_refused(
        self,
    ) -> None:
        """Without a signal, with one, and with a request under way."""
        patient = dialect_documents.RouteShape(
            name='patient',
            kind='unsafe',
            service='pooled',
            timeout='60s',
        )
        self.store.put(
            'config',
            'main',
            dialect_documents.make_configuration(
                4,
                (*dialect_documents.USUAL_ROUTES, patient),
            ),
        )
        await self.call_until('/patient/x', 200)
        asked = await self.hold_back('/patient/y', 'reloaded-1')
        given = pathlib.Path(self.folder.name) / 'local.json'
        changed = {**self.make_settings(), 'seeds': [], 'zone': 'z9'}
        given.write_text(json.dumps(changed))
        taken = await self.wait_for_event('settings_taken')
        self.assertEqual(taken.fields['changed'], ['seeds'])
        self.assertEqual(taken.fields['needs_restart'], ['failure_domain'])
        given.write_text(json.dumps({**changed, 'bounds': {'drain': 'soon'}}))
        self.process.send_signal(signal.SIGHUP)
        refused = await self.wait_for_event('settings_refused')
        self.assertIn('soon', str(refused.fields['fault']))
        self.pooled.work.set()
        self.assertEqual((await asked).unwrap().status, 200)

    async def test_a_hangup_while_it_starts_ends_nothing(self) -> None:
        """Its program takes a while to be read in."""
        await self.call_until('/read/x', 200)
        self.process.kill()
        await self.process.wait()
        self.process = await self.start_gateway()
        await conditions.wait_until(
            lambda: is_hangup_ignored(self.process.pid),
        )
        self.process.send_signal(signal.SIGHUP)
        await self.call_until('/read/x', 200)

    async def test_no_bytes_end_the_process(self) -> None:
        """Send what is no request, and cut-off ones, to every port."""
        await self.call_until('/read/x', 200)
        generator = random.Random(7)
        ports = self.ports
        for number in range(120):
            port = generator.choice(
                (ports.front, ports.ready, ports.control, ports.metrics),
            )
            await send_garbage(port, make_garbage(generator, number))
        self.assertIsNone(self.process.returncode)
        await self.call_until('/read/x', 200)

    async def test_a_store_that_answers_nonsense_ends_nothing(self) -> None:
        await self.call_until('/read/x', 200)
        self.store.faults.nonsense = True
        for number in range(30):
            reply = await self.call('/read/x', request_id=f'n{number}')
            self.assertEqual(reply.unwrap().status, 200)
            await asyncio.sleep(_STEP_SECONDS)
        self.store.faults.nonsense = False
        self.assertIsNone(self.process.returncode)
        self.store.put(
            'config', 'main', dialect_documents.make_configuration(9)
        )
        line = await self.wait_for_event('configuration_taken')
        self.assertEqual(line.fields['version'], 3)
        await self.call_until('/read/x', 200)

    async def test_bad_settings_are_refused_by_name(self) -> None:
        bad = pathlib.Path(self.folder.name) / 'bad.ini'
        bad.write_text('[metrics]\nport = 0\n')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'lentilgauge.platform',
            str(bad),
            stderr=asyncio.subprocess.PIPE,
        )
        _, told = await process.communicate()
        self.assertEqual(process.returncode, 2)
        self.assertIn(b'bad.ini', told)
        self.assertIn(b'metrics.port', told)
