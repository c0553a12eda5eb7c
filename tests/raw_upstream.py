"""Upstream that sends scripted bytes in reply to the first attempt."""

import asyncio
import contextlib
import dataclasses
import json
import time
from collections.abc import Mapping

from tornado import httputil

from lentilgauge import clock
from lentilgauge.platform import headers

_HEAD_END = b'\r\n\r\n'
_HEALTH_PATH = '/health'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Script:
    """Reply to the first attempt at a request.

    `start` is the status line or lines; with `seal` the seal header follows,
    with `body` a body of this length. A `length_line` replaces the header line
    that states the length. After a `bare` start nothing follows but the blank
    line. With `closes` the connection is closed afterwards.
    """

    start: bytes
    seal: bool = True
    body: bytes = b'odd.'
    length_line: bytes = b''
    bare: bool = False
    closes: bool = False


def encode_reply(script: Script, request_id: str) -> bytes:
    """Encode a scripted reply to a request."""
    lines = [script.start]
    if not script.bare:
        lines.extend(
            (
                f'{headers.REQUEST_ID}: {request_id}'.encode(),
                script.length_line or b'Content-Length: %d' % len(script.body),
            )
        )
        if script.seal:
            lines.append(f'{headers.SEAL}: s'.encode())
    body = b'' if script.bare else script.body
    return b'\r\n'.join(lines) + _HEAD_END + body


async def read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, httputil.HTTPHeaders]:
    """Read a request with its body; return its target and headers."""
    head = await reader.readuntil(_HEAD_END)
    request_line, _, rest = head.decode().partition('\r\n')
    fields = httputil.HTTPHeaders.parse(rest)
    await reader.readexactly(int(fields.get('Content-Length', '0')))
    return request_line.split()[1], fields


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempts:
    """What the upstreams of a test have received.

    `count_by_id` counts the attempts at each request. `reused_ids` has the
    requests whose scripted reply was followed by a request on its connection.
    """

    script_by_target: Mapping[str, Script]
    count_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    reused_ids: list[str] = dataclasses.field(default_factory=list)


class RawUpstream:
    """Upstream with a script for the first attempt at each request.

    Later attempts, requests without a script and health checks are answered
    with 200.
    """

    def __init__(self, attempts: Attempts) -> None:
        """Share `attempts` with the other upstreams of the test."""
        self.attempts = attempts
        self.address = ''
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '{}:{}'.format(*self._server.sockets[0].getsockname())

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            for writer in self._writers:
                writer.close()
            await self._server.wait_closed()

    def make_announcement(self, service: str) -> dict[str, object]:
        """Make the store entry with which the upstream announces itself."""
        return {
            'service': service,
            'address': self.address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'coldLeft': '0ms',
            'sequence': 1,
            'born': time.time_ns() // clock.NS_PER_MS,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        scripted_id = ''
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while not writer.is_closing():
                target, fields = await read_request(reader)
                if scripted_id:
                    self.attempts.reused_ids.append(scripted_id)
                scripted_id = self._answer(
                    target, fields.get(headers.REQUEST_ID, ''), writer
                )
        writer.close()

    def _answer(
        self, target: str, request_id: str, writer: asyncio.StreamWriter
    ) -> str:
        """Answer a request; return its id if the reply was scripted."""
        attempts = self.attempts
        if target == _HEALTH_PATH:
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            return ''
        attempt = attempts.count_by_id.get(request_id, 0) + 1
        attempts.count_by_id[request_id] = attempt
        script = attempts.script_by_target.get(target)
        if script is None or attempt > 1:
            body = json.dumps({'attempt': attempt}).encode()
            usual = Script(start=b'HTTP/1.1 200 OK', body=body)
            writer.write(encode_reply(usual, request_id))
            return ''
        writer.write(encode_reply(script, request_id))
        if script.closes:
            writer.close()
        return request_id
