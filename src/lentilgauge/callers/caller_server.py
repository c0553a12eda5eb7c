"""HTTP server for callers that limits their connections."""

import asyncio
import contextlib
import errno
import functools
import socket
import types
from collections.abc import Callable
from typing import Self

from tornado import (
    http1connection,
    httpserver,
    httputil,
    ioloop,
    iostream,
    netutil,
)

from lentilgauge import clock
from lentilgauge.callers import (
    caller_hangups,
    connection_limits,
    connection_memory,
    loop_turns,
    memory_account,
)
from lentilgauge.callers import caller_stream as caller_stream_module

#: Connections that wait to be accepted may send into their kernel buffers.
_BACKLOG = 512
#: Bytes of a connection that are read at once.
_READ_BYTES = 16_384
#: Sizes of the buffers of a connection in the kernel, where bytes that aren't
#: read yet count as memory of the VM. A window of 16 KiB fills 10 Mbit/s at a
#: round trip of 13 ms; a long body gets a wider one.
_BYTES_BY_SOCKET_BUFFER = types.MappingProxyType(
    {socket.SO_RCVBUF: 16_384, socket.SO_SNDBUF: 131_072}
)


#: Errors of an accept when the process, or the system, has no descriptor left.
_EXHAUSTION_ERRORS = frozenset((errno.EMFILE, errno.ENFILE))
#: Connections that are closed then; those that wait take some of what is freed.
_EVICTED_AT_ONCE = 8
#: How long callers have to read their last answers and the end behind them.
_LAST_READING_MS = 100
#: Pause of accepting when there is none to close.
_PAUSE_S = 0.1


class ListeningSocket(socket.socket):
    """Listening socket whose accept doesn't fail for lack of descriptors.

    The HTTP library would be called again at once, and raise again.
    """

    on_exhausted: Callable[['ListeningSocket'], None]

    def accept(self) -> tuple[socket.socket, tuple[object, ...]]:
        """Accept a connection; act as if there is none if it can't be."""
        try:
            return super().accept()
        except OSError as error:
            if error.errno not in _EXHAUSTION_ERRORS:
                raise
            self.on_exhausted(self)
            raise BlockingIOError from error


def free_descriptors(
    connections: connection_limits.Connections, listening: socket.socket
) -> None:
    """Close connections as no descriptor is left, or else pause accepting."""
    for _ in range(_EVICTED_AT_ONCE):
        if not connection_limits.evict(connections):
            _pause(listening)
            break


def _pause(listening: socket.socket) -> None:
    """Stop accepting for a moment, as the loop would be busy with it alone."""
    io_loop = ioloop.IOLoop.current()
    io_loop.update_handler(listening, 0)

    def resume() -> None:
        # The server may have stopped listening meanwhile.
        with contextlib.suppress(KeyError, ValueError, OSError):
            io_loop.update_handler(listening, io_loop.READ)

    io_loop.call_later(_PAUSE_S, resume)


def _join_limits(
    connections: connection_limits.Connections,
    account: memory_account.Account,
    now_ms: clock.Clock,
) -> None:
    """Let connections make way for memory, and requests for connections."""
    account.count_idle = functools.partial(
        connection_limits.count_idle, connections
    )
    account.close_idle = functools.partial(
        connection_limits.close_idle, connections
    )
    connections.drop_busy = lambda: connection_memory.drop_slowest(
        account, now_ms()
    )
    connections.release = functools.partial(
        connection_memory.close_connection, account
    )


class CallerServer(httpserver.HTTPServer):
    """HTTP server that counts its connections and closes what is too much.

    The memory of a connection counts in `account` from its accept to its end.
    """

    connections: connection_limits.Connections
    account: memory_account.Account
    now_ms: clock.Clock
    turns: loop_turns.Turns
    hangups: caller_hangups.HangupWatch
    ending: caller_stream_module.Ending

    @classmethod
    def make(
        cls,
        delegate: httputil.HTTPServerConnectionDelegate,
        connections: connection_limits.Connections,
        account: memory_account.Account,
        now_ms: clock.Clock,
        *,
        max_body_size: int,
        max_header_size: int,
        idle_seconds: float | None = None,
    ) -> Self:
        """Make a server that doesn't listen yet."""
        server = cls(
            delegate,
            max_body_size=max_body_size,
            max_header_size=max_header_size,
            chunk_size=_READ_BYTES,
            idle_connection_timeout=idle_seconds,
        )
        server.connections = connections
        server.account = account
        server.now_ms = now_ms
        server.turns = loop_turns.Turns()
        server.hangups = caller_hangups.HangupWatch()
        server.ending = caller_stream_module.Ending()
        _join_limits(connections, account, now_ms)
        return server

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[object, ...]
    ) -> None:
        """Serve a connection that was accepted, or close it."""
        caller_stream = caller_stream_module.CallerStream(
            stream.socket,
            turns=self.turns,
            hangups=self.hangups,
            ending=self.ending,
            read_chunk_size=_READ_BYTES,
        )
        if self._may_open(caller_stream):
            super().handle_stream(caller_stream, address)
        else:
            caller_stream.close()

    def on_close(self, server_conn: object) -> None:
        """Count a connection that has ended no longer."""
        if isinstance(server_conn, http1connection.HTTP1ServerConnection):
            connection_limits.close_connection(
                self.connections, server_conn.stream
            )
        super().on_close(server_conn)

    def end_connections(self) -> None:
        """End the connections that wait for a request, all in one round.

        Each of the others ends once the request that was read on it is
        answered.
        """
        self.ending.has_begun = True
        for stream in tuple(self.connections.open_streams):
            if stream.reading() and isinstance(
                stream, caller_stream_module.CallerStream
            ):
                stream.end_sending()

    async def close_ended_connections(self) -> None:
        """Close all connections once callers could read their answers."""
        await asyncio.sleep(clock.to_seconds(_LAST_READING_MS))
        for stream in self.ending.streams:
            stream.close()
        await self.close_all_connections()

    def _may_open(self, stream: iostream.IOStream) -> bool:
        if not connection_memory.open_connection(self.account, self.now_ms()):
            connection_limits.want_room(self.connections)
            return False
        if connection_limits.open_connection(self.connections, stream):
            return True
        connection_memory.close_connection(self.account, stream)
        return False


def listen(
    server: CallerServer, *, address: str, port: int, limits_buffers: bool
) -> None:
    """Listen on a port; raise OSError if it can't be bound."""
    sockets = [
        ListeningSocket(fileno=bound.detach())
        for bound in netutil.bind_sockets(port, address, backlog=_BACKLOG)
    ]
    for listening in sockets:
        listening.setblocking(False)
        listening.on_exhausted = functools.partial(
            free_descriptors, server.connections
        )
        if limits_buffers:
            # Accepted connections inherit the sizes.
            for option, size in _BYTES_BY_SOCKET_BUFFER.items():
                listening.setsockopt(socket.SOL_SOCKET, option, size)
    server.add_sockets(sockets)
