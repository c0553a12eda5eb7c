"""Listen for a stand-in that speaks the users' dialect."""

import asyncio
import dataclasses
import json
from collections.abc import Mapping

from tornado import httpserver, httputil, netutil, testing

_HOST = '127.0.0.1'


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """Hold an answer; `extra` repeats it where the next one is expected."""

    status: int = 200
    body: object = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    extra: bool = False


def take_port() -> int:
    """Find a free port."""
    probe, port = testing.bind_unused_port()
    probe.close()
    return int(port)


def cut_connection(request: httputil.HTTPServerRequest) -> None:
    """Close a request's connection without an answer."""
    stream = getattr(request.connection, 'stream', None)
    if stream is not None:
        stream.close()


class StandIn:
    """Listen on a port of its own and answer by a method."""

    def __init__(self) -> None:
        """Listen at once."""
        self.port = take_port()
        self.server = httpserver.HTTPServer(self._receive)
        self.server.add_sockets(netutil.bind_sockets(self.port, _HOST))
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f'{_HOST}:{self.port}'

    async def answer(
        self,
        request: httputil.HTTPServerRequest,
    ) -> Answer | None:
        """Answer one request; none at all leaves the caller waiting."""
        raise NotImplementedError

    async def close(self) -> None:
        """Stop listening."""
        self.server.stop()
        for task in tuple(self.tasks):
            task.cancel()
        await self.server.close_all_connections()

    def _receive(self, request: httputil.HTTPServerRequest) -> None:
        task = asyncio.ensure_future(self._answer(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        connection = request.connection
        set_callback = getattr(connection, 'set_close_callback', None)
        if set_callback is not None:
            # What a caller has left is worked on no longer.
            set_callback(task.cancel)

    async def _answer(self, request: httputil.HTTPServerRequest) -> None:
        answer = await self.answer(request)
        if answer is not None:
            _write(request, answer)


def _write(request: httputil.HTTPServerRequest, answer: Answer) -> None:
    connection = request.connection
    stream = getattr(connection, 'stream', None)
    if connection is None or stream is None or stream.closed():
        return
    body = json.dumps(answer.body).encode()
    fields = httputil.HTTPHeaders({'Content-Length': str(len(body))})
    for name, text in answer.headers.items():
        fields[name] = text
    connection.write_headers(
        httputil.ResponseStartLine('HTTP/1.1', answer.status, 'X'),
        fields,
        body,
    )
    connection.finish()
    if answer.extra:
        stream.write(_encode_again(answer.status, fields, body))


def _encode_again(
    status: int,
    fields: httputil.HTTPHeaders,
    body: bytes,
) -> bytes:
    """Encode an answer once more, for a connection that has had it."""
    lines = [f'HTTP/1.1 {status} X']
    lines.extend(f'{name}: {text}' for name, text in fields.get_all())
    return '\r\n'.join((*lines, '', '')).encode() + body
