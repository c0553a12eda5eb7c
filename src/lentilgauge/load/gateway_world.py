"""Run real gateways among stand-ins of the users' platform."""

import asyncio
import dataclasses
import json
import os
import pathlib
import sys
import time

from lentilgauge.standins import (
    dialect_documents,
    dialect_server,
    dialect_store,
    dialect_upstream,
)

LOOPBACK = '127.0.0.1'
#: Settings reach a gateway through this variable of its environment.
SETTINGS_VARIABLE = 'LENTILGAUGE_CONFIG'
_MODULE = 'lentilgauge.platform'


@dataclasses.dataclass(slots=True, kw_only=True)
class GatewayProcess:
    """Hold one gateway's place, and its process while there is one.

    `starts` counts the processes that ran here, and `started` is when the last
    began, in seconds.
    """

    vm: str
    failure_domain: str
    ports: dialect_documents.Ports
    store_address: str
    module: str = _MODULE
    arguments: tuple[str, ...] = ()
    starts: int = 0
    started: float = 0
    child: asyncio.subprocess.Process | None = None

    @property
    def front_url(self) -> str:
        """Where callers send."""
        return f'http://{LOOPBACK}:{self.ports.front}'

    @property
    def control_address(self) -> str:
        """Where other gateways reach it."""
        return f'{LOOPBACK}:{self.ports.control}'

    @property
    def pid(self) -> int:
        """The process id, 0 while there is no process."""
        return 0 if self.child is None else self.child.pid


@dataclasses.dataclass(slots=True, kw_only=True)
class World:
    """Hold stand-ins and gateways; everything listens on loopback."""

    folder: pathlib.Path
    store: dialect_store.Store
    upstream_by_id: dict[str, dialect_upstream.Upstream]
    service_by_upstream: dict[str, str]
    gateways: list[GatewayProcess] = dataclasses.field(default_factory=list)
    log_level: str = 'all'


def make_gateway_process(
    number: int,
    failure_domain: str,
    store_address: str,
) -> GatewayProcess:
    """Make a gateway's place with ports of its own."""
    front, ready, control, metrics = (
        dialect_server.take_port() for _ in range(4)
    )
    return GatewayProcess(
        vm=f'vm-{number}',
        failure_domain=failure_domain,
        ports=dialect_documents.Ports(
            front=front,
            ready=ready,
            control=control,
            metrics=metrics,
        ),
        store_address=store_address,
    )


def announce(world: World, upstream_id: str, state: str = 'ready') -> None:
    """Write an upstream's entry into the store, as it would itself."""
    upstream = world.upstream_by_id[upstream_id]
    service = world.service_by_upstream[upstream_id]
    world.store.put('servers', upstream_id, upstream.entry(service, state))


def _write_settings(world: World, gateway: GatewayProcess) -> pathlib.Path:
    path = world.folder / f'{gateway.vm}.json'
    seeds = [one.control_address for one in world.gateways[:3]]
    made = dialect_documents.make_settings(
        gateway.vm,
        gateway.failure_domain,
        gateway.ports,
        gateway.store_address,
        seeds,
    )
    path.write_text(json.dumps(made), encoding='utf-8')
    return path


async def start_gateway(world: World, gateway: GatewayProcess) -> None:
    """Start a gateway's process; its log grows over all its starts."""
    given = _write_settings(world, gateway)
    own = world.folder / f'{gateway.vm}.ini'
    own.write_text(
        f'[metrics]\nport = {gateway.ports.metrics}\n'
        f'[log]\nlevel = {world.log_level}\n',
        encoding='utf-8',
    )
    log = world.folder / f'{gateway.vm}.log'
    with log.open('ab') as output:
        gateway.child = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            gateway.module,
            *gateway.arguments,
            str(own),
            env={**os.environ, SETTINGS_VARIABLE: str(given)},
            stdout=output,
            stderr=output,
        )
    gateway.starts += 1
    gateway.started = time.monotonic()


async def end_gateway(gateway: GatewayProcess) -> None:
    """Kill a gateway's process, if there is one, and wait for its end."""
    child = gateway.child
    if child is None:
        return
    if child.returncode is None:
        child.kill()
    await child.wait()
    gateway.child = None


async def close_world(world: World) -> None:
    """End everything that was started."""
    for gateway in world.gateways:
        await end_gateway(gateway)
    for upstream in world.upstream_by_id.values():
        await upstream.close()
    await world.store.close()
