"""Proxy before the store whose connections may go silent, each or all."""

import asyncio

_WATCH = b'GET /objects/%s?watch='


class _Link:
    """One connection through the proxy, with the topic that it watches."""

    def __init__(self) -> None:
        self.request = b''
        self.is_silent = False


class StoreProxy:
    """Passes connections on to the store at `address`."""

    def __init__(self, store_address: str) -> None:
        self._store = store_address.rpartition(':')
        self._links: list[_Link] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ''
        self._is_cut = False
        #: Set by each call that isn't a watch.
        self.called = asyncio.Event()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def silence_watch(self, kind: str) -> int:
        """Let the connections on which a kind is watched go silent for good.

        They stay open. Others, and new ones, go on working. Return how many
        they are.
        """
        watching = [
            link
            for link in self._links
            if link.request.startswith(_WATCH % kind.encode())
        ]
        for link in watching:
            link.is_silent = True
        return len(watching)

    def watches(self, kind: str) -> bool:
        """Return whether a kind is watched through this proxy."""
        start = _WATCH % kind.encode()
        return any(link.request.startswith(start) for link in self._links)

    def cut(self) -> None:
        """Cut the path to the store: all connections, new ones too, are silent."""
        self._is_cut = True
        for link in self._links:
            link.is_silent = True

    def heal(self) -> None:
        """Let new connections work again."""
        self._is_cut = False

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._store
        store_reader, store_writer = await asyncio.open_connection(host, port)
        link = _Link()
        link.is_silent = self._is_cut
        self._links.append(link)
        tasks = [
            asyncio.ensure_future(
                _forward(link, reader, store_writer, self.called)
            ),
            asyncio.ensure_future(_forward(link, store_reader, writer)),
        ]
        self._tasks.update(tasks)
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        self._links.remove(link)
        writer.close()
        store_writer.close()

    def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()


async def _forward(
    link: _Link,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    called: asyncio.Event | None = None,
) -> None:
    """Pass on one direction; `called` is given for that of the requests."""
    try:
        while chunk := await reader.read(65536):
            if link.is_silent:
                continue
            if called is not None:
                link.request = chunk
                if b'watch=' not in chunk.partition(b'\r\n')[0]:
                    called.set()
            writer.write(chunk)
            await writer.drain()
    except ConnectionError:
        pass
