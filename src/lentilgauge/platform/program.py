"""Gateway process on the users' platform.

The platform provides one settings file, named by an environment variable. The
command line names another, with the settings of the gateway's log and metrics.
"""

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
    process_memory,
)
from lentilgauge.callers import (
    connection_limits,
    exchange,
    gateway_server,
    memory_account,
)
from lentilgauge.links import (
    curl_transfers,
    http_client,
    http_server,
    peer_link,
)
from lentilgauge.platform import (
    headers,
    objects,
    settings,
    store_adapter,
    upstream_adapter,
)
from lentilgauge.upstreams import upstream_load
from lentilgauge.vms import (
    gateway,
    gateway_process,
    gateway_reload,
    granter_following,
    peer_routes,
)
from lentilgauge.vms import state_cache as state_cache_module

Settings = TypeVar('Settings')

SETTINGS_VARIABLE = 'LENTILGAUGE_CONFIG'
_READY_PATH = '/ready'
_INCARNATION_BYTES = 6
_BAD_SETTINGS_EXIT_CODE = 2

DIALECT = exchange.Dialect(
    request_id=headers.REQUEST_ID,
    deadline_ms=headers.DEADLINE_MS,
    key=headers.SHARD_KEY,
    not_forwarded=upstream_adapter.NOT_FORWARDED,
    workspace=headers.WORKSPACE,
)


def read_boottime_ms() -> int:
    """Read a monotonic clock that advances while the VM is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // clock.NS_PER_MS


def make_gateway(settings_file: settings.SettingsFile) -> gateway.Gateway:
    """Create a gateway according to the platform's settings."""
    limits = settings_file.limits
    account = memory_account.make_account(limits.memory_mb)
    max_connections = connection_limits.compute_limit(limits.max_fds)
    client = http_client.make_client(
        memory_account.make_reply_counter(account, read_boottime_ms),
        min(
            max_connections or curl_transfers.MAX_POOLED_CONNECTIONS,
            curl_transfers.MAX_POOLED_CONNECTIONS,
        ),
    )
    return gateway.Gateway(
        local_peer=peer_link.Peer(
            vm=settings_file.node,
            address=settings_file.listen.control,
            failure_domain=settings_file.zone,
            incarnation=secrets.token_hex(_INCARNATION_BYTES),
            cores=limits.cpu_share * limits.cores,
        ),
        seeds=tuple(settings_file.seeds),
        bootstrap=settings_file.bootstrap,
        bounds=settings.make_bounds(settings_file),
        state_cache=state_cache_module.make_state_cache(
            state_cache_module.Decoders(
                read_configuration=objects.read_configuration,
                read_upstream=objects.read_upstream,
            ),
            read_boottime_ms,
        ),
        store=store_adapter.make_store(client, settings_file.provider.address),
        upstreams=upstream_adapter.make_link(client),
        client=client,
        account=account,
        connections=connection_limits.Connections(limit=max_connections),
        metrics=metrics.Metrics(),
        now_ms=read_boottime_ms,
        outage_reported_ms=read_boottime_ms(),
        random=random.Random(),  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        upstream_loads=upstream_load.UpstreamLoads(
            failure_domain=settings_file.zone
        ),
    )


def _make_source(
    path: pathlib.Path,
    client: http_client.Client,
    settings_file: settings.SettingsFile,
) -> gateway_reload.SettingsSource:
    """Make the source from which changed settings are reloaded."""

    def make_reloadable_settings(
        reloaded: settings.SettingsFile,
    ) -> gateway_reload.ReloadableSettings:
        return gateway_reload.ReloadableSettings(
            seeds=tuple(reloaded.seeds),
            bounds=settings.make_bounds(reloaded),
            store=store_adapter.make_store(client, reloaded.provider.address),
            identity=settings.describe_identity(reloaded),
        )

    return gateway_reload.SettingsSource(
        path=path,
        read=lambda: settings.read_settings(path).map(make_reloadable_settings),
        identity=settings.describe_identity(settings_file),
    )


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


def start_metrics_server(
    local_gateway: gateway.Gateway, address: str, port: int
) -> None:
    """Serve metrics, or print why the port can't be used and exit."""
    try:
        http_server.start_server(
            routes=peer_routes.make_metrics_routes(local_gateway),
            address=address,
            port=port,
        )
    except OSError as error:
        path = pathlib.Path(sys.argv[-1])
        detail = gateway_settings.describe_unusable_port(
            path, address, port, error
        )
        sys.stderr.write(f'{detail}\n')
        sys.exit(_BAD_SETTINGS_EXIT_CODE)


async def run_gateway(
    path: pathlib.Path,
    settings_file: settings.SettingsFile,
    gateway_file: gateway_settings.GatewayFile,
) -> None:
    """Serve callers and peers until a stop is requested."""
    local_gateway = make_gateway(settings_file)
    peer_host, peer_port = _split_address(settings_file.listen.control)
    http_server.start_server(
        routes=peer_routes.make_peer_routes(local_gateway),
        address=peer_host,
        port=peer_port,
    )
    start_metrics_server(local_gateway, peer_host, gateway_file.metrics.port)
    ready_host, ready_port = _split_address(settings_file.listen.ready)
    http_server.start_server(
        routes=gateway_process.make_readiness_routes(
            local_gateway, _READY_PATH
        ),
        address=ready_host,
        port=ready_port,
    )
    front_host, front_port = _split_address(settings_file.listen.front)
    caller_server = gateway_server.start_gateway_server(
        local_gateway,
        DIALECT,
        address=front_host,
        port=front_port,
    )
    events.log_event(events.Event.STARTED, vm=local_gateway.local_peer.vm)
    await gateway_process.run_until_stopped(
        local_gateway,
        granter_following.lead_or_follow(local_gateway),
        caller_server,
        _make_source(path, local_gateway.client, settings_file),
    )


def _unwrap_or_exit(
    read_result: result.Result[Settings, errors.Failure],
) -> Settings:
    """Return the settings, or print why they are invalid and exit."""
    if isinstance(read_result, result.Success):
        valid_settings: Settings = read_result.unwrap()
        return valid_settings
    sys.stderr.write(f'{read_result.failure().detail}\n')
    sys.exit(_BAD_SETTINGS_EXIT_CODE)


def main() -> None:
    """Start the gateway from the command line: `program SETTINGS.ini`."""
    gateway_file = _unwrap_or_exit(
        gateway_settings.read_gateway_file(pathlib.Path(sys.argv[-1])),
    )
    process_memory.return_large_blocks()
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))
    settings_file = _unwrap_or_exit(settings.read_settings(path))
    logs.set_up_gateway_logs(read_boottime_ms, gateway_file.log.level)
    asyncio.run(run_gateway(path, settings_file, gateway_file))
