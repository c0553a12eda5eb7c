"""Run real gateways together with stand-ins for the users' platform."""

import asyncio
import dataclasses
import json
import os
import pathlib
import socket
import sys
import time

from lentilgauge.load import ports as port_module
from lentilgauge.standins import (
    gateway_documents,
    gateway_store,
    gateway_upstream,
)

LOOPBACK = '127.0.0.1'
#: Environment variable with the path of a gateway's settings file.
SETTINGS_VARIABLE = 'LENTILGAUGE_CONFIG'
_GATEWAY_MODULE = 'lentilgauge.platform'


@dataclasses.dataclass(slots=True, kw_only=True)
class GatewayProcess:
    """Identity and ports of a gateway, and its process while one runs.

    `start_count` counts the processes started for it so far; `started_at` is
    when the last of them started, in seconds on the monotonic clock. `module`
    is the Python module that runs, with `arguments` before the path of its INI
    file. The sockets in `reservation_by_name` keep others off its ports until
    the testbed is closed.
    """

    vm: str
    failure_domain: str
    ports: gateway_documents.Ports
    reservation_by_name: dict[str, socket.socket]
    store_address: str
    module: str = _GATEWAY_MODULE
    arguments: tuple[str, ...] = ()
    start_count: int = 0
    started_at: float = 0
    child: asyncio.subprocess.Process | None = None

    @property
    def front_url(self) -> str:
        """Base URL for callers' requests."""
        return f'http://{LOOPBACK}:{self.ports.front}'

    @property
    def control_address(self) -> str:
        """Address for requests of other gateways."""
        return f'{LOOPBACK}:{self.ports.control}'

    @property
    def pid(self) -> int:
        """Process id, or 0 while there is no process."""
        return 0 if self.child is None else self.child.pid


@dataclasses.dataclass(slots=True, kw_only=True)
class Testbed:
    """Stand-ins and gateways of a test, all of them on the loopback interface.

    Settings and logs of the gateways are written to `folder`; `log_level` is
    the level in their log settings. `limits` are the limits of the VMs in the
    settings files, and `bounds` replace the bounds there, if there are any.
    """

    folder: pathlib.Path
    store: gateway_store.Store
    upstream_by_id: dict[str, gateway_upstream.Upstream]
    service_by_upstream: dict[str, str]
    gateways: list[GatewayProcess] = dataclasses.field(default_factory=list)
    log_level: str = 'all'
    limits: dict[str, int] = dataclasses.field(default_factory=dict)
    bounds: dict[str, object] = dataclasses.field(default_factory=dict)


def make_gateway_process(
    number: int,
    failure_domain: str,
    store_address: str,
) -> GatewayProcess:
    """Reserve ports for a gateway, without starting its process."""
    reservation_by_name = port_module.reserve_ports(
        ('front', 'ready', 'control', 'metrics')
    )
    return GatewayProcess(
        vm=f'vm-{number}',
        failure_domain=failure_domain,
        ports=gateway_documents.Ports(
            **port_module.map_ports(reservation_by_name)
        ),
        reservation_by_name=reservation_by_name,
        store_address=store_address,
    )


def announce_upstream(
    testbed: Testbed, upstream_id: str, state: str = 'ready'
) -> None:
    """Write an upstream's entry into the store, as the upstream would."""
    upstream = testbed.upstream_by_id[upstream_id]
    service = testbed.service_by_upstream[upstream_id]
    testbed.store.put(
        'servers', upstream_id, upstream.make_announcement(service, state)
    )


def _write_settings(testbed: Testbed, gateway: GatewayProcess) -> pathlib.Path:
    path = testbed.folder / f'{gateway.vm}.json'
    seeds = [seed.control_address for seed in testbed.gateways[:3]]
    settings = gateway_documents.make_settings(
        gateway.vm,
        gateway.failure_domain,
        gateway.ports,
        gateway.store_address,
        seeds,
    )
    if testbed.bounds:
        settings['bounds'] = testbed.bounds
    if testbed.limits:
        settings['limits'] = testbed.limits
    path.write_text(json.dumps(settings), encoding='utf-8')
    return path


async def start_gateway(testbed: Testbed, gateway: GatewayProcess) -> None:
    """Start a gateway's process; its output is appended to its log file."""
    settings_path = _write_settings(testbed, gateway)
    options_path = testbed.folder / f'{gateway.vm}.ini'
    options_path.write_text(
        f'[metrics]\nport = {gateway.ports.metrics}\n'
        f'[log]\nlevel = {testbed.log_level}\n',
        encoding='utf-8',
    )
    log_path = testbed.folder / f'{gateway.vm}.log'
    with log_path.open('ab') as output:
        gateway.child = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            gateway.module,
            *gateway.arguments,
            str(options_path),
            env={**os.environ, SETTINGS_VARIABLE: str(settings_path)},
            stdout=output,
            stderr=output,
        )
    gateway.start_count += 1
    gateway.started_at = time.monotonic()


async def kill_gateway(gateway: GatewayProcess) -> None:
    """Kill a gateway's process, if there is one, and wait until it ends."""
    child = gateway.child
    if child is None:
        return
    if child.returncode is None:
        child.kill()
    await child.wait()
    gateway.child = None


async def close_testbed(testbed: Testbed) -> None:
    """Kill all gateways, free their ports and shut down all stand-ins."""
    for gateway in testbed.gateways:
        await kill_gateway(gateway)
        port_module.free_ports(gateway.reservation_by_name)
    for upstream in testbed.upstream_by_id.values():
        await upstream.close()
    await testbed.store.close()
