"""Fixtures: callers that send on until their gateway has stopped."""

import asyncio
import random

_MAX_PAUSE_S = 0.12
_DEADLINE_MS = 900
_LENGTH = 'content-length'


class SendingCaller:
    """Caller that sends a request at a time, on kept connections and new ones.

    `unanswered` has the ids of requests whose connection ended without an
    answer.
    """

    def __init__(self, *, port: int, number: int) -> None:
        """Draw the pauses between requests by the caller's number."""
        self.port = port
        self.number = number
        self.random = random.Random(number)
        self.unanswered: set[str] = set()
        self._last_serial = 0

    async def send_on(self) -> None:
        """Send until the gateway accepts no connection."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', self.port
                )
            except OSError:
                return
            await self._use(reader, writer)
            writer.close()

    async def _use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        may_send = True
        while may_send:
            await asyncio.sleep(self.random.uniform(0, _MAX_PAUSE_S))
            self._last_serial += 1
            request_id = f'{self.number}-{self._last_serial}'
            lines = (
                'GET /read/1 HTTP/1.1',
                'Host: a.example',
                f'X-Id: {request_id}',
                f'X-Deadline: {_DEADLINE_MS}',
                '',
                '',
            )
            try:
                writer.write('\r\n'.join(lines).encode())
                may_send = await _read_answer(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                self.unanswered.add(request_id)
                return


async def _read_answer(reader: asyncio.StreamReader) -> bool:
    """Read an answer; return whether the connection may be used again."""
    head = await reader.readuntil(b'\r\n\r\n')
    text_by_name = {}
    for line in head.decode().lower().split('\r\n'):
        name, _, text = line.partition(':')
        text_by_name[name] = text.strip()
    await reader.readexactly(int(text_by_name[_LENGTH]))
    return text_by_name.get('connection') != 'close'
