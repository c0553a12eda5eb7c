"""Fixtures: a gateway process with low limits, and crowds of its callers."""

import asyncio
import collections
import contextlib
import dataclasses
import os
import pathlib
import random
import resource
import socket
import tempfile
import types
import unittest
from collections.abc import (
    Callable,
    Collection,
    Coroutine,
    Iterable,
    Mapping,
)
from typing import ClassVar

from returns import result
from tornado import httputil

from lentilgauge.links import http_client
from lentilgauge.load import gateway_testbed
from lentilgauge.platform import headers
from lentilgauge.standins import (
    gateway_documents,
    gateway_store,
    gateway_upstream,
    standin_server,
)

BYTES_PER_MB = 1_000_000
_BYTES_PER_KIB = 1024
#: Descriptors of `maxFds` that are for files.
FILE_FDS = 200
MAX_BODY_BYTES = 67_108_864
LARGE_ANSWER_BYTES = 60_000
#: Still an ordinary size.
LONG_ANSWER_BYTES = 1_000_000
_RECEIVE_BUFFER = 4096
_WIDE_RECEIVE_BUFFER = 65_536
#: A slow client moves this many bytes in each interval, 480 kbit/s.
_SLOW_BYTES = 6000
_SLOW_SECONDS = 0.1
#: Time for which a client of a crowd tries to connect or to send.
_CLIENT_SECONDS = 10
_SAMPLE_SECONDS = 0.02
_MAX_TURN_POLLS = 50
_MAX_POLLS = 30
#: Beside load, the start of a process takes up to 30 s.
_MAX_START_POLLS = 300
_POLL_SECONDS = 0.1
_ROUTES = (
    gateway_documents.RouteSpec(name='read', kind='safe', service='keyed'),
    gateway_documents.RouteSpec(name='write', kind='unsafe', service='keyed'),
    gateway_documents.RouteSpec(
        name='pool', kind='unsafe', service='pooled', timeout='20s'
    ),
    gateway_documents.RouteSpec(
        name='large', kind='safe', service='pooled', timeout='20s'
    ),
    gateway_documents.RouteSpec(
        name='long', kind='safe', service='pooled', timeout='20s'
    ),
)
_BYTES_BY_PATH = types.MappingProxyType(
    {'/large/': LARGE_ANSWER_BYTES, '/long/': LONG_ANSWER_BYTES}
)


def read_anonymous_bytes(pid: int) -> int:
    """Read a process's anonymous memory; 0 once it has ended."""
    try:
        status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith('RssAnon:'):
            return int(line.split()[1]) * _BYTES_PER_KIB
    return 0


def read_unread_bytes(port: int, upstream_ports: Collection[int] = ()) -> int:
    """Sum the bytes that a process has received and not read.

    Its connections are those to its port and those to upstreams' ports.
    """
    lines = pathlib.Path('/proc/net/tcp').read_text(encoding='ascii')
    unread_bytes = 0
    for line in lines.splitlines()[1:]:
        fields = line.split()
        local_port, remote_port = (
            int(end.rpartition(':')[2], 16) for end in fields[1:3]
        )
        # The queue of a listening socket is that of new connections.
        if fields[3] != '0A' and (
            local_port == port or remote_port in upstream_ports
        ):
            unread_bytes += int(fields[4].partition(':')[2], 16)
    return unread_bytes


async def _pipeline(connection: socket.socket, requests: bytes) -> None:
    loop = asyncio.get_running_loop()
    reading = asyncio.ensure_future(_discard_answers(connection))
    try:
        while not reading.done():
            await loop.sock_sendall(connection, requests)
    finally:
        reading.cancel()


async def _discard_answers(connection: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        received = await loop.sock_recv(connection, _WIDE_RECEIVE_BUFFER)
        while received:
            await asyncio.sleep(0)
            received = await loop.sock_recv(connection, _WIDE_RECEIVE_BUFFER)


async def _send_slowly(connection: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    while True:
        await loop.sock_sendall(connection, b'x' * _SLOW_BYTES)
        await asyncio.sleep(_SLOW_SECONDS)


def _is_unanswered(connection: socket.socket) -> bool:
    try:
        connection.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


async def _stop(clients: list[asyncio.Future[None]]) -> None:
    for client in clients:
        client.cancel()
    await asyncio.wait(clients)
    # Before their sockets are closed, the loop has to know that they stopped.
    await asyncio.sleep(0)


class Crowd:
    """Connections of a crowd, which stay open until `close`."""

    def __init__(self, port: int) -> None:
        """Start without connections."""
        self.port = port
        self.sockets: list[socket.socket] = []

    async def connect(
        self, receive_buffer: int = _RECEIVE_BUFFER
    ) -> socket.socket:
        """Open a connection whose receive window is small."""
        connection = socket.socket()
        self.sockets.append(connection)
        connection.setblocking(False)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
        )
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, ('127.0.0.1', self.port))
        return connection

    async def send(self, sent: bytes) -> None:
        """Send on a new connection, until it is closed or time is up."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_CLIENT_SECONDS):
                connection = await self.connect()
                await loop.sock_sendall(connection, sent)

    async def send_all(self, sent: Iterable[bytes]) -> None:
        """Send each of the bytes on a connection of its own, all at once."""
        await asyncio.gather(*(self.send(one) for one in sent))

    async def send_in_turn(
        self, sent: Iterable[bytes], has_run: Callable[[int], bool]
    ) -> None:
        """Send on one connection after the other, each once others have run.

        `has_run` gets the number of connections sent on so far. It is waited
        for up to a second each.
        """
        for number, one in enumerate(sent, start=1):
            await self.send(one)
            for _ in range(_MAX_TURN_POLLS):
                if has_run(number):
                    break
                await asyncio.sleep(_SAMPLE_SECONDS)

    async def send_without_end(self, head: bytes, piece: bytes) -> None:
        """Send a piece again and again, on new connections if one closes."""
        loop = asyncio.get_running_loop()
        while True:
            with contextlib.suppress(OSError):
                connection = await self.connect()
                await loop.sock_sendall(connection, head)
                while True:
                    await loop.sock_sendall(connection, piece)
            await asyncio.sleep(_POLL_SECONDS)

    async def read_slowly(self, requests: bytes) -> None:
        """Send requests again and again, and read the answers slowly."""
        loop = asyncio.get_running_loop()
        while True:
            with contextlib.suppress(OSError):
                connection = await self.connect(4 * _SLOW_BYTES)
                await loop.sock_sendall(connection, requests)
                received = await loop.sock_recv(connection, _SLOW_BYTES)
                while received:
                    await asyncio.sleep(_SLOW_SECONDS)
                    received = await loop.sock_recv(connection, _SLOW_BYTES)
            await asyncio.sleep(_SLOW_SECONDS)

    async def pipeline(self, requests: bytes) -> None:
        """Send requests without a pause, and read the answers at once."""
        while True:
            with contextlib.suppress(OSError):
                connection = await self.connect(_WIDE_RECEIVE_BUFFER)
                await _pipeline(connection, requests)
            await asyncio.sleep(_POLL_SECONDS)

    async def send_slowly(self, head: bytes) -> None:
        """Send a body that doesn't end slowly, on new connections as needed."""
        loop = asyncio.get_running_loop()
        while True:
            with contextlib.suppress(OSError):
                connection = await self.connect()
                await loop.sock_sendall(connection, head)
                await _send_slowly(connection)
            await asyncio.sleep(_SLOW_SECONDS)

    async def leave_often(self, request: bytes, seconds: float) -> None:
        """Send a request again and again, and leave some time after it.

        What was answered meanwhile stays unread.
        """
        loop = asyncio.get_running_loop()
        while True:
            with contextlib.suppress(OSError):
                connection = await self.connect()
                await loop.sock_sendall(connection, request)
                await asyncio.sleep(seconds)
                self.sockets.remove(connection)
                connection.close()
            await asyncio.sleep(_SLOW_SECONDS)

    def count_unanswered(self) -> int:
        """Count the connections that are open and have received nothing."""
        return sum(map(_is_unanswered, self.sockets))

    def close(self) -> None:
        """Close all connections."""
        for connection in self.sockets:
            connection.close()
        self.sockets.clear()


class LargeAnswers(gateway_upstream.Upstream):
    """Upstream whose answers under some paths have a long body."""

    async def answer(
        self, request: httputil.HTTPServerRequest
    ) -> standin_server.Answer | None:
        """Answer a request."""
        answer = await super().answer(request)
        if answer is None:
            return None
        for path, size in _BYTES_BY_PATH.items():
            if request.path.startswith(path):
                return dataclasses.replace(answer, body='x' * size)
        return answer


def make_head(method: str, path: str, number: int, *lines: str) -> bytes:
    """Make the head of a request of a crowd's client."""
    fields = (
        f'{method} {path} HTTP/1.1',
        'Host: a.example',
        f'{headers.REQUEST_ID}: crowd-{number}',
        *lines,
    )
    return '\r\n'.join((*fields, '', '')).encode()


def make_long_head(
    method: str, path: str, number: int, *lines: str, size: int
) -> bytes:
    """Make a head of up to some bytes, of as many short headers as fit."""
    head = make_head(method, path, number, *lines)
    extra: list[str] = []
    length = len(head)
    while length < size - 8:
        extra.append(f'{len(extra):x}:')
        length += len(extra[-1]) + 2
    return make_head(method, path, number, *lines, *extra)


def make_any_head(number: int, generator: random.Random) -> bytes:
    """Make a request with a head of short headers, or the begin of one."""
    size = generator.choice((4000, 8000, 16_300))
    if generator.choice((True, False)):
        return make_long_head('GET', '/pool/x', number, size=size)
    length = 'Content-Length: 10'
    return make_long_head('POST', '/pool/x', number, length, size=size)


def make_any_body(number: int, generator: random.Random) -> bytes:
    """Make a request with a body, which may lack its last byte."""
    size = generator.choice((3000, 20_000, 60_000, 130_000, 250_000, 900_000))
    head = make_head('POST', '/pool/x', number, f'Content-Length: {size}')
    return head + b'x' * (size - generator.choice((0, 1)))


def make_any_chunks(number: int, generator: random.Random) -> bytes:
    """Make a request with a body in chunks, without its end."""
    size = generator.choice((1000, 5000, 30_000))
    count = generator.choice((3, 20))
    head = make_head('POST', '/pool/x', number, 'Transfer-Encoding: chunked')
    return head + (b'%x\r\n%s\r\n' % (size, b'x' * size)) * count


def make_any_bytes_behind(number: int, generator: random.Random) -> bytes:
    """Make a request with other bytes behind it."""
    head = make_head('GET', '/pool/x', number)
    return head + b'x' * generator.choice((1000, 50_000))


SHAPES: tuple[Callable[[int, random.Random], bytes], ...] = (
    make_any_head,
    make_any_body,
    make_any_chunks,
    make_any_bytes_behind,
)


class CrowdTestCase(unittest.IsolatedAsyncioTestCase):
    """One gateway process with low limits, and the peak of its memory.

    Requests of the crowds go to the pooled upstream, ordinary ones to the keyed
    one.
    """

    memory_mb: ClassVar[int] = 120
    max_fds: ClassVar[int] = 3000
    bounds: ClassVar[Mapping[str, object]] = types.MappingProxyType({})

    async def asyncSetUp(self) -> None:
        """Start the stand-ins and a gateway, and measure its memory."""
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        store = gateway_store.Store()
        self.upstream = LargeAnswers('p0', sharded=False)
        self.testbed = gateway_testbed.Testbed(
            folder=pathlib.Path(self.folder.name),
            store=store,
            upstream_by_id={
                'k0': gateway_upstream.Upstream('k0', sharded=True),
                'p0': self.upstream,
            },
            service_by_upstream={'k0': 'keyed', 'p0': 'pooled'},
        )
        self.addAsyncCleanup(gateway_testbed.close_testbed, self.testbed)
        configuration = gateway_documents.make_configuration(1, _ROUTES)
        limits = configuration['limits']
        assert isinstance(limits, dict)
        limits['maxBodyBytes'] = MAX_BODY_BYTES
        store.put('config', 'main', configuration)
        for upstream_id in self.testbed.upstream_by_id:
            gateway_testbed.announce_upstream(self.testbed, upstream_id)
        self.testbed.limits = {
            'memoryMb': self.memory_mb,
            'maxFds': self.max_fds,
        }
        self.testbed.bounds = dict(self.bounds)
        self.gateway = gateway_testbed.make_gateway_process(
            0, 'z1', store.address
        )
        self.testbed.gateways.append(self.gateway)
        await gateway_testbed.start_gateway(self.testbed, self.gateway)
        resource.prlimit(
            self.gateway.pid,
            resource.RLIMIT_NOFILE,
            (self.max_fds, self.max_fds),
        )
        self.client = http_client.make_client()
        self.crowd = Crowd(self.gateway.ports.front)
        self.addCleanup(self.crowd.close)
        self.status_counts: collections.Counter[int] = collections.Counter()
        self.peak_bytes = 0
        self.upstream_ports: set[int] = set()
        await self.wait_until_started()
        await self.assert_answered('GET', '/read/x')
        self.meter = asyncio.ensure_future(self._measure_memory())
        self.addCleanup(self.meter.cancel)

    async def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> int:
        """Send an ordinary request on a new connection; 0 if it fails."""
        called = await http_client.send_call(
            self.client,
            http_client.Call(
                method=method,
                url=self.gateway.front_url,
                target=path,
                body=body,
                timeout_ms=20_000,
                new_connection=True,
                headers=httputil.HTTPHeaders(
                    {
                        'Host': 'a.example',
                        headers.REQUEST_ID: 'ordinary',
                        headers.SHARD_KEY: '7',
                    }
                ),
            ),
        )
        status = 0
        if isinstance(called, result.Success):
            status = called.unwrap().status
        self.status_counts[status] += 1
        return status

    async def wait_until_started(self) -> None:
        """Wait until the process accepts connections."""
        for _ in range(_MAX_START_POLLS):
            if await self.call('GET', '/read/x'):
                return
            await asyncio.sleep(_POLL_SECONDS)
        self.fail('the process accepts no connection')

    async def assert_answered(
        self, method: str, path: str, body: bytes | None = None
    ) -> None:
        """Repeat an ordinary request until it is answered with 200."""
        for _ in range(_MAX_POLLS):
            if await self.call(method, path, body) == 200:
                return
            await asyncio.sleep(_POLL_SECONDS)
        self.fail(f'an ordinary {method} was not answered')

    def assert_within_limits(self) -> None:
        """Check that the process lives and stayed within its limits."""
        child = self.gateway.child
        assert child is not None
        self.assertIsNone(child.returncode)
        self.assertLessEqual(self.peak_bytes, self.memory_mb * BYTES_PER_MB)
        descriptors = len(os.listdir(f'/proc/{child.pid}/fd'))
        self.assertLessEqual(descriptors, self.max_fds - FILE_FDS)

    async def assert_survives(self) -> None:
        """Check the limits, and that ordinary requests are answered."""
        # What was sent last may not have been read yet.
        await asyncio.sleep(1)
        await self.assert_answered('GET', '/read/x')
        await self.assert_answered('POST', '/write/x', b'x' * 10_000)
        self.assert_within_limits()

    def start_clients(
        self, clients: Iterable[Coroutine[None, None, None]]
    ) -> None:
        """Run clients of a crowd until the end of the test."""
        running = [asyncio.ensure_future(client) for client in clients]
        self.addAsyncCleanup(_stop, running)

    async def _measure_memory(self) -> None:
        while True:
            self.peak_bytes = max(
                self.peak_bytes,
                read_anonymous_bytes(self.gateway.pid)
                + read_unread_bytes(
                    self.gateway.ports.front, self.upstream_ports
                ),
            )
            await asyncio.sleep(_SAMPLE_SECONDS)
