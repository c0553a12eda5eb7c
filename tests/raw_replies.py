"""Fixtures: a gateway process and a client that get scripted bytes."""

import asyncio
import contextlib
import functools
import json
import os
import pathlib
import sys
import tempfile
import unittest

from returns import result
from tornado import httputil

from lentilgauge.links import http_client
from lentilgauge.platform import headers
from lentilgauge.standins import (
    gateway_documents,
    gateway_store,
    standin_server,
)
from tests import raw_upstream

TIMEOUT_MS = 1000
_UPSTREAM_COUNT = 4
_DEADLINE_MS = 1500
_POLL_SECONDS = 0.05
_MAX_POLLS = 600


class RawGatewayTestCase(unittest.IsolatedAsyncioTestCase):
    """A gateway process whose upstreams send scripted bytes.

    The scripts are those of the targets `/safe/` and `/unsafe/` with a number.
    """

    def list_scripts(self) -> list[raw_upstream.Script]:
        """List the replies; the tests may add more."""
        raise NotImplementedError

    async def asyncSetUp(self) -> None:
        """Start upstreams, a store and a gateway process."""
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.script_by_target = {
            f'/{route}/{number}': script
            for route in ('safe', 'unsafe')
            for number, script in enumerate(self.list_scripts())
        }
        self.attempts = raw_upstream.Attempts(
            script_by_target=self.script_by_target
        )
        self.store = gateway_store.Store()
        self.addAsyncCleanup(self.store.close)
        self.client = http_client.make_client()
        await self.start_upstreams()
        await self.start_gateway()

    async def start_upstreams(self) -> None:
        """Start the upstreams and write what the gateway reads."""
        routes = tuple(
            gateway_documents.RouteSpec(name=kind, kind=kind, service='pooled')
            for kind in ('safe', 'unsafe')
        )
        self.store.put(
            'config', 'main', gateway_documents.make_configuration(1, routes)
        )
        for number in range(_UPSTREAM_COUNT):
            upstream = raw_upstream.RawUpstream(self.attempts)
            await upstream.start()
            self.addAsyncCleanup(upstream.close)
            self.store.put(
                'servers', f'u{number}', upstream.make_announcement('pooled')
            )

    async def start_gateway(self) -> None:
        """Start the gateway process."""
        ports = gateway_documents.Ports(
            front=standin_server.find_free_port(),
            ready=standin_server.find_free_port(),
            control=standin_server.find_free_port(),
            metrics=standin_server.find_free_port(),
        )
        self.front_url = f'http://127.0.0.1:{ports.front}'
        settings = gateway_documents.make_settings(
            'vm-1',
            'z1',
            ports,
            self.store.address,
            [f'127.0.0.1:{ports.control}'],
        )
        folder = pathlib.Path(self.folder.name)
        platform_file = folder / 'local.json'
        # Each idempotent request takes one retry.
        settings['bounds'] = {'grace': '3s', 'budgetExtra': 1000}
        platform_file.write_text(json.dumps(settings))
        gateway_file = folder / 'gateway.ini'
        gateway_file.write_text(f'[metrics]\nport = {ports.metrics}\n')
        self.log = folder / 'gateway.log'
        with self.log.open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'lentilgauge.platform',
                str(gateway_file),
                env={**os.environ, 'LENTILGAUGE_CONFIG': str(platform_file)},
                stdout=output,
            )
        self.addAsyncCleanup(self.end_gateway)

    async def end_gateway(self) -> None:
        """Kill the gateway process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()

    async def call(self, target: str, request_id: str) -> str:
        """Send a request; describe the result and count its attempts."""
        call_result = await http_client.send_call(
            self.client,
            http_client.Call(
                method='POST' if target.startswith('/unsafe') else 'GET',
                url=self.front_url,
                target=target,
                timeout_ms=60_000,
                body=b'letter' if target.startswith('/unsafe') else None,
                headers=httputil.HTTPHeaders(
                    {
                        'Host': gateway_documents.HOST,
                        headers.REQUEST_ID: request_id,
                        headers.DEADLINE_MS: str(_DEADLINE_MS),
                    }
                ),
            ),
        )
        if isinstance(call_result, result.Success):
            end = f'status {call_result.unwrap().status}'
        else:
            end = str(call_result.failure())
        attempts = self.attempts.count_by_id.get(request_id, 0)
        return f'{end} after {attempts}'

    async def call_until_sent(self, target: str, name: str) -> str:
        """Send a request until an upstream gets it.

        Raises AssertionError after 600 requests with pauses of 50 ms.
        """
        for number in range(_MAX_POLLS):
            end = await self.call(target, f'{name}-{number}')
            if not end.endswith(' after 0'):
                return end
            await asyncio.sleep(_POLL_SECONDS)
        raise AssertionError(f'{target} was sent to no upstream')

    def list_logged_statuses(self) -> set[int]:
        """List the statuses that the gateway has logged."""
        lines = self.log.read_text(encoding='utf-8').splitlines()
        return {
            fields['status']
            for fields in map(json.loads, lines)
            if 'status' in fields
        }


class RawReplyTestCase(unittest.IsolatedAsyncioTestCase):
    """A client, and servers that send the same bytes to all requests."""

    async def asyncSetUp(self) -> None:
        """Create the client."""
        self.client = http_client.make_client()

    async def send_reply(
        self,
        reply: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a request and close the connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await raw_upstream.read_request(reader)
            writer.write(reply)
            await writer.drain()
        writer.close()

    async def serve(self, reply: bytes) -> str:
        """Start a server with one reply to all requests; return its address."""
        server = await asyncio.start_server(
            functools.partial(self.send_reply, reply), '127.0.0.1', 0
        )
        self.addCleanup(server.close)
        return '{}:{}'.format(*server.sockets[0].getsockname())

    async def fetch(self, reply: bytes) -> http_client.CallResult:
        """Send a call that must be sent only once, and get a reply."""
        return await http_client.send_call(
            self.client,
            http_client.Call(
                method='POST',
                url=f'http://{await self.serve(reply)}/',
                body=b'',
                timeout_ms=TIMEOUT_MS,
                send_once=True,
            ),
        )
