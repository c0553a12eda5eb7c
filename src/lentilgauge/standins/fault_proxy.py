"""TCP proxy to one target that injects faults."""

import asyncio
import contextlib
import dataclasses
import enum

import pydantic

from lentilgauge import clock
from lentilgauge.links import http_server

_CHUNK_BYTES = 65_536
CONTROL_PATH = '/faults'


class ForwardingMode(enum.StrEnum):
    """What the proxy does with the bytes of one direction.

    `HOLD` keeps them back, in order, until the faults change; `DROP` discards
    them.
    """

    PASS = 'pass'  # ruff: ignore[hardcoded-password-string]
    DROP = 'drop'
    HOLD = 'hold'


class FaultsMessage(pydantic.BaseModel):
    """Faults to inject on present and future connections.

    `refuse` closes each new connection at once; `delay_ms` delays each chunk
    of bytes. Dropping only `to_source` makes a half-open link: requests
    arrive, and their answers are lost.
    """

    to_target: ForwardingMode = ForwardingMode.PASS
    to_source: ForwardingMode = ForwardingMode.PASS
    delay_ms: int = 0
    refuse: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Proxy:
    """State of a proxy: its target, present faults and open connections."""

    target_address: str
    target_port: int
    faults: FaultsMessage = dataclasses.field(default_factory=FaultsMessage)
    faults_changed: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    server: asyncio.Server | None = None


async def _wait_until_released(proxy: Proxy, direction: str) -> ForwardingMode:
    """Wait while a direction is held back; return its mode after that."""
    while True:
        forwarding_mode = ForwardingMode(getattr(proxy.faults, direction))
        if forwarding_mode is not ForwardingMode.HOLD:
            return forwarding_mode
        proxy.faults_changed.clear()
        await proxy.faults_changed.wait()


async def _forward(
    proxy: Proxy,
    direction: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Forward the bytes of one direction until the sender closes."""
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(_CHUNK_BYTES):
            if proxy.faults.delay_ms:
                await asyncio.sleep(clock.to_seconds(proxy.faults.delay_ms))
            if (
                await _wait_until_released(proxy, direction)
                is ForwardingMode.PASS
            ):
                writer.write(chunk)
                await writer.drain()
    writer.close()


async def _serve_connection(
    proxy: Proxy,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    if proxy.faults.refuse:
        writer.close()
        return
    try:
        target_reader, target_writer = await asyncio.open_connection(
            proxy.target_address,
            proxy.target_port,
        )
    except OSError:
        writer.close()
        return
    connection_writers = {writer, target_writer}
    proxy.writers |= connection_writers
    await asyncio.gather(
        _forward(proxy, 'to_target', reader, target_writer),
        _forward(proxy, 'to_source', target_reader, writer),
    )
    proxy.writers -= connection_writers


def reset_connections(proxy: Proxy) -> None:
    """Abort every connection; bytes in transit are lost."""
    for writer in proxy.writers:
        writer.transport.abort()


def make_fault_routes(proxy: Proxy) -> http_server.Routes:
    """Make the route through which a test sets the faults."""

    async def set_faults(request: http_server.Request) -> http_server.Response:
        proxy.faults = FaultsMessage.model_validate_json(request.body)
        proxy.faults_changed.set()
        return http_server.respond(proxy.faults)

    return {http_server.Route('POST', CONTROL_PATH): set_faults}


async def start_proxy(
    proxy: Proxy,
    *,
    address: str,
    port: int,
    control_port: int,
) -> asyncio.Server:
    """Listen for connections to forward, and for commands."""
    http_server.start_server(
        routes=make_fault_routes(proxy),
        address=address,
        port=control_port,
    )
    return await _listen(proxy, address, port)


async def _listen(proxy: Proxy, address: str, port: int) -> asyncio.Server:
    async def accept_connection(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await _serve_connection(proxy, reader, writer)

    return await asyncio.start_server(accept_connection, address, port)


async def listen(proxy: Proxy, *, address: str, port: int = 0) -> int:
    """Start forwarding connections in this process; return the port."""
    server = await _listen(proxy, address, port)
    proxy.server = server
    bound_port: int = server.sockets[0].getsockname()[1]
    return bound_port


async def close_proxy(proxy: Proxy) -> None:
    """Stop listening and abort all connections."""
    reset_connections(proxy)
    if proxy.server is not None:
        proxy.server.close()
        await proxy.server.wait_closed()
