"""Run one gateway process on the users' platform."""

import asyncio
import os
import pathlib
import random
import secrets
import sys
import time
from typing import TypeVar

from returns import result

from lentilgauge import (
    clock,
    errors,
    events,
    gateway_settings,
    logs,
    metrics,
)
from lentilgauge.callers import gateway_server
from lentilgauge.links import http_client, http_server, peer_link
from lentilgauge.platform import headers, objects, settings, store, upstreams
from lentilgauge.upstreams import upstream_load
from lentilgauge.vms import (
    beliefs,
    following,
    gateway,
    gateway_process,
    gateway_reload,
    peer_routes,
)

Settings = TypeVar('Settings')

SETTINGS_VARIABLE = 'LENTILGAUGE_CONFIG'
_READY_PATH = '/ready'
_ID_BYTES = 6
_EXIT_BAD_SETTINGS = 2

DIALECT = gateway_server.Dialect(
    request_id=headers.REQUEST_ID,
    deadline_ms=headers.DEADLINE_MS,
    key=headers.SHARD_KEY,
    not_forwarded=upstreams.NOT_FORWARDED,
)


def read_boottime_ms() -> int:
    """Return a clock that goes on while the VM is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // clock.NS_PER_MS


def make_gateway(given: settings.SettingsFile) -> gateway.Gateway:
    """Make the gateway that the settings describe."""
    client = http_client.make_client()
    return gateway.Gateway(
        me=peer_link.Peer(
            vm=given.node,
            address=given.listen.control,
            failure_domain=given.zone,
            incarnation=secrets.token_hex(_ID_BYTES),
            cores=given.limits.cpu_share * given.limits.cores,
        ),
        seeds=tuple(given.seeds),
        first_start=given.bootstrap,
        bounds=settings.make_bounds(given),
        beliefs=beliefs.make_beliefs(
            beliefs.Decoders(
                read_configuration=objects.read_configuration,
                read_upstream=objects.read_upstream,
            ),
            read_boottime_ms,
        ),
        store=store.make_store(client, given.provider.address),
        upstreams=upstreams.make_link(client),
        client=client,
        metrics=metrics.Metrics(),
        now_ms=read_boottime_ms,
        outage_told_ms=read_boottime_ms(),
        random=random.Random(),  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        loads=upstream_load.Loads(failure_domain=given.zone),
    )


def _make_source(
    path: pathlib.Path,
    client: http_client.Client,
    given: settings.SettingsFile,
) -> gateway_reload.SettingsSource:
    """Make the function that reads the platform's file again."""

    def make_tunables(
        found: settings.SettingsFile,
    ) -> gateway_reload.Tunables:
        return gateway_reload.Tunables(
            seeds=tuple(found.seeds),
            bounds=settings.make_bounds(found),
            store=store.make_store(client, found.provider.address),
            identity=settings.describe_identity(found),
        )

    return gateway_reload.SettingsSource(
        path=path,
        read=lambda: settings.read_settings(path).map(make_tunables),
        identity=settings.describe_identity(given),
    )


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


async def run_gateway(
    path: pathlib.Path,
    given: settings.SettingsFile,
    own: gateway_settings.GatewayFile,
) -> None:
    """Serve until told to stop."""
    made = make_gateway(given)
    peer_host, peer_port = _split_address(given.listen.control)
    http_server.start_server(
        routes=peer_routes.make_peer_routes(made),
        address=peer_host,
        port=peer_port,
    )
    http_server.start_server(
        routes=peer_routes.make_metrics_routes(made),
        address=peer_host,
        port=own.metrics.port,
    )
    ready_host, ready_port = _split_address(given.listen.ready)
    http_server.start_server(
        routes=gateway_process.make_ready_routes(made, _READY_PATH),
        address=ready_host,
        port=ready_port,
    )
    front_host, front_port = _split_address(given.listen.front)
    callers = gateway_server.start_gateway_server(
        made,
        DIALECT,
        address=front_host,
        port=front_port,
    )
    events.record(events.Event.STARTED, vm=made.me.vm)
    await gateway_process.run_until_stopped(
        made,
        following.run_membership(made),
        callers,
        _make_source(path, made.client, given),
    )


def _read_or_exit(read: result.Result[Settings, errors.Failure]) -> Settings:
    """Return settings, or exit after saying what is wrong with them."""
    if isinstance(read, result.Success):
        found: Settings = read.unwrap()
        return found
    sys.stderr.write(f'{read.failure().detail}\n')
    sys.exit(_EXIT_BAD_SETTINGS)


def main() -> None:
    """Start from the command line: `program SETTINGS.ini`."""
    own = _read_or_exit(
        gateway_settings.read_gateway_file(pathlib.Path(sys.argv[-1])),
    )
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))
    given = _read_or_exit(settings.read_settings(path))
    logs.set_up_service_logs(read_boottime_ms, own.log.level)
    asyncio.run(run_gateway(path, given, own))
