"""HTTP server of the stand-ins that gateways talk to."""

import asyncio
import contextlib
import dataclasses
import json
import secrets
import socket
import weakref
from collections.abc import Mapping

from tornado import httpserver, httputil, iostream, netutil

_HOST = '127.0.0.1'
_FIRST_PORT = 12_000
_LAST_PORT = 31_999
_PORTS = range(_FIRST_PORT, _LAST_PORT)


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """Response to one request, with a JSON body.

    With `duplicated` a copy of it is sent when the next request arrives on the
    connection, ahead of the response to that request.
    """

    status: int = 200
    body: object = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    duplicated: bool = False


def find_free_port() -> int:
    """Find a free port, below the range of ephemeral ports.

    The port isn't reserved: another process may bind it first. Others choose
    at random too, so that this is rare.
    """
    while True:
        port = secrets.choice(_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((_HOST, port))
            return port


def close_connection(request: httputil.HTTPServerRequest) -> None:
    """Close a request's connection without a response."""
    stream = getattr(request.connection, 'stream', None)
    if stream is not None:
        stream.close()


class _ConnectionServer(httpserver.HTTPServer):
    """HTTP server that knows its connections, in `streams`."""

    def initialize(self, *positional: object, **named: object) -> None:
        """Start without connections."""
        super().initialize(*positional, **named)  # type: ignore[arg-type]
        self.streams: weakref.WeakSet[iostream.IOStream] = weakref.WeakSet()

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[object, ...]
    ) -> None:
        """Serve a connection that was accepted."""
        self.streams.add(stream)
        super().handle_stream(stream, address)


class StandInServer:
    """HTTP server on a port of its own; subclasses implement `answer`.

    All answers have the `common_headers`.
    """

    def __init__(self) -> None:
        """Bind a free port and listen on it."""
        sockets = netutil.bind_sockets(0, _HOST)
        self.port: int = sockets[0].getsockname()[1]
        self.server = _ConnectionServer(self._receive)
        self.server.add_sockets(sockets)
        self.tasks: set[asyncio.Task[None]] = set()
        self.common_headers: dict[str, str] = {}
        self.duplicate_by_stream: weakref.WeakKeyDictionary[object, bytes] = (
            weakref.WeakKeyDictionary()
        )

    @property
    def address(self) -> str:
        """Host and port that it listens on."""
        return f'{_HOST}:{self.port}'

    def end_process(self) -> None:
        """Act as the end of a process, with another listening at once.

        Running requests are cancelled. Connections are closed, accepted or not,
        with whatever was sent on them and hasn't been read.
        """
        self.server.stop()
        for task in tuple(self.tasks):
            task.cancel()
        for stream in tuple(self.server.streams):
            stream.close()
        self.server = _ConnectionServer(self._receive)
        self.server.add_sockets(netutil.bind_sockets(self.port, _HOST))

    async def answer(
        self,
        request: httputil.HTTPServerRequest,
    ) -> Answer | None:
        """Answer one request; `None` leaves the caller without a response."""
        raise NotImplementedError

    async def close(self) -> None:
        """Stop listening, cancel running requests and close connections."""
        self.server.stop()
        for task in tuple(self.tasks):
            task.cancel()
        await self.server.close_all_connections()

    def _receive(self, request: httputil.HTTPServerRequest) -> None:
        task = asyncio.ensure_future(self._serve(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        connection = request.connection
        set_callback = getattr(connection, 'set_close_callback', None)
        if set_callback is not None:
            # A request is cancelled when its caller closes the connection.
            set_callback(task.cancel)

    async def _serve(self, request: httputil.HTTPServerRequest) -> None:
        stream = getattr(request.connection, 'stream', None)
        duplicate = self.duplicate_by_stream.pop(stream, b'')
        if duplicate and stream is not None and not stream.closed():
            # The caller reads it as the response to this request.
            stream.write(duplicate)
        answer = await self.answer(request)
        if answer is not None:
            answer = dataclasses.replace(
                answer, headers={**self.common_headers, **answer.headers}
            )
            encoded_answer = _write(request, answer)
            if answer.duplicated and stream is not None:
                self.duplicate_by_stream[stream] = encoded_answer


def _write(request: httputil.HTTPServerRequest, answer: Answer) -> bytes:
    """Send an answer; return its bytes, or none if the connection is closed."""
    connection = request.connection
    stream = getattr(connection, 'stream', None)
    if connection is None or stream is None or stream.closed():
        return b''
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
    return _encode_answer(answer.status, fields, body)


def _encode_answer(
    status: int,
    fields: httputil.HTTPHeaders,
    body: bytes,
) -> bytes:
    lines = [f'HTTP/1.1 {status} X']
    lines.extend(f'{name}: {text}' for name, text in fields.get_all())
    return '\r\n'.join((*lines, '', '')).encode() + body
