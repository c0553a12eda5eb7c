"""Stand-in for an upstream that refuses once and repeats that refusal."""

import asyncio
import contextlib
import dataclasses
import enum
from collections.abc import Mapping

from tornado import httputil

from lentilgauge.platform import headers

_CRLF = '\r\n'
_HEAD_END = b'\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeaderNames:
    """Names of an upstream's headers; by default those of the platform."""

    request_id: str = headers.REQUEST_ID
    not_executed: str = headers.NOT_EXECUTED


class Repetition(enum.Enum):
    """When an upstream writes its refusal once more, on its connection."""

    NEVER = enum.auto()
    WITH_REFUSAL = enum.auto()
    ON_DEMAND = enum.auto()
    AFTER_RETRY = enum.auto()


def _encode_answer(
    status_line: str, text_by_header: Mapping[str, str]
) -> bytes:
    lines = [f'HTTP/1.1 {status_line}', 'Content-Length: 0']
    lines.extend(f'{name}: {text}' for name, text in text_by_header.items())
    return (_CRLF.join(lines) + _CRLF * 2).encode()


async def _read_request(
    reader: asyncio.StreamReader,
) -> httputil.HTTPHeaders:
    """Read a request up to the end of its body; return its headers."""
    head = await reader.readuntil(_HEAD_END)
    fields = httputil.HTTPHeaders.parse(head.decode().partition(_CRLF)[2])
    await reader.readexactly(int(fields.get('Content-Length', '0')))
    return fields


class FaultyUpstream:
    """Upstream that refuses the first request and executes all others.

    `repeat_refusal` writes the refusal once more at once. `executed_ids` has
    the ids of the executed requests.
    """

    def __init__(
        self,
        status_line: str,
        repetition: Repetition,
        header_names: HeaderNames | None = None,
    ) -> None:
        """Refuse with a status line such as `421 Misdirected Request`."""
        self.header_names = header_names or HeaderNames()
        self.status_line = status_line
        self.repetition = repetition
        self.executed_ids: list[str] = []
        self.address = ''
        self._refusal = b''
        self._refusal_writer: asyncio.StreamWriter | None = None
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def close(self) -> None:
        """Stop listening and close all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()
        await self._server.wait_closed()

    def repeat_refusal(self) -> None:
        """Write the refusal once more on the connection that it was sent on."""
        assert self._refusal_writer is not None
        if not self._refusal_writer.is_closing():
            self._refusal_writer.write(self._refusal)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                fields = await _read_request(reader)
                self._answer(fields[self.header_names.request_id], writer)
        writer.close()

    def _answer(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        text_by_header = {self.header_names.request_id: request_id}
        if self._refusal_writer is None:
            self._refusal_writer = writer
            text_by_header[self.header_names.not_executed] = '1'
            self._refusal = _encode_answer(self.status_line, text_by_header)
            copies = 1 + (self.repetition is Repetition.WITH_REFUSAL)
            writer.write(self._refusal * copies)
            return
        self.executed_ids.append(request_id)
        if self.repetition is Repetition.AFTER_RETRY:
            self.repetition = Repetition.NEVER
            self.repeat_refusal()
        text_by_header[headers.SEAL] = 's'
        writer.write(_encode_answer('200 OK', text_by_header))
