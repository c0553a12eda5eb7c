"""Carry TCP connections to one target and inject faults on the way."""

import asyncio
import contextlib
import dataclasses
import enum

import pydantic

from lentilgauge import clock
from lentilgauge.links import http_server

_CHUNK_BYTES = 65_536
CONTROL_PATH = '/faults'


class Treatment(enum.StrEnum):
    """Name what happens to the bytes of one direction."""

    PASS = 'pass'  # ruff: ignore[hardcoded-password-string]
    DROP = 'drop'
    HOLD = 'hold'


class FaultsMessage(pydantic.BaseModel):
    """Ask the proxy to misbehave, on present and future connections.

    `refuse` closes each new connection at once; a half-open link is one
    whose answers are dropped.
    """

    to_target: Treatment = Treatment.PASS
    to_source: Treatment = Treatment.PASS
    delay_ms: int = 0
    refuse: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Proxy:
    """Hold a proxy's target and its present faults."""

    target_address: str
    target_port: int
    faults: FaultsMessage = dataclasses.field(default_factory=FaultsMessage)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    server: asyncio.Server | None = None


async def _wait_while_held(proxy: Proxy, direction: str) -> Treatment:
    """Wait until the direction isn't held; return its treatment then."""
    while True:
        treatment = Treatment(getattr(proxy.faults, direction))
        if treatment is not Treatment.HOLD:
            return treatment
        proxy.changed.clear()
        await proxy.changed.wait()


async def _carry(
    proxy: Proxy,
    direction: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Carry the bytes of one direction until it ends."""
    with contextlib.suppress(ConnectionError):
        while chunk := await reader.read(_CHUNK_BYTES):
            if proxy.faults.delay_ms:
                await asyncio.sleep(clock.to_seconds(proxy.faults.delay_ms))
            if await _wait_while_held(proxy, direction) is Treatment.PASS:
                writer.write(chunk)
                await writer.drain()
    writer.close()


async def _connect(
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
    both = {writer, target_writer}
    proxy.writers |= both
    await asyncio.gather(
        _carry(proxy, 'to_target', reader, target_writer),
        _carry(proxy, 'to_source', target_reader, writer),
    )
    proxy.writers -= both


def reset_connections(proxy: Proxy) -> None:
    """Cut every connection at once, with whatever is on its way."""
    for writer in proxy.writers:
        writer.transport.abort()


def make_fault_routes(proxy: Proxy) -> http_server.Routes:
    """Make the route by which a test commands the proxy."""

    async def set_faults(request: http_server.Request) -> http_server.Response:
        proxy.faults = FaultsMessage.model_validate_json(request.body)
        proxy.changed.set()
        return http_server.respond(proxy.faults)

    return {http_server.Route('POST', CONTROL_PATH): set_faults}


async def start_proxy(
    proxy: Proxy,
    *,
    address: str,
    port: int,
    control_port: int,
) -> asyncio.Server:
    """Listen for connections to carry, and for commands."""
    http_server.start_server(
        routes=make_fault_routes(proxy),
        address=address,
        port=control_port,
    )
    return await _listen(proxy, address, port)


async def _listen(proxy: Proxy, address: str, port: int) -> asyncio.Server:
    async def connect(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await _connect(proxy, reader, writer)

    return await asyncio.start_server(connect, address, port)


async def listen(proxy: Proxy, *, address: str, port: int = 0) -> int:
    """Carry connections from a port, in this process; return it."""
    server = await _listen(proxy, address, port)
    proxy.server = server
    taken: int = server.sockets[0].getsockname()[1]
    return taken


async def close_proxy(proxy: Proxy) -> None:
    """Stop listening and cut what is carried."""
    reset_connections(proxy)
    if proxy.server is not None:
        proxy.server.close()
        await proxy.server.wait_closed()
