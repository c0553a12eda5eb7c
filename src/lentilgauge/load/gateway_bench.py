"""Measure what a gateway costs: to start, at rest, and for each request."""

import asyncio
import dataclasses
import itertools
import pathlib
import statistics
import sys
import tempfile
import time

from returns import result
from tornado import httputil

from lentilgauge import clock
from lentilgauge.links import http_client
from lentilgauge.load import gateway_world, processes
from lentilgauge.operators import tables
from lentilgauge.platform import headers
from lentilgauge.services import key_ranges
from lentilgauge.standins import (
    dialect_documents,
    dialect_store,
    dialect_upstream,
)

_UPSTREAMS = 6
_REST_SECONDS = 6
_SETTLE_SECONDS = 4
_CALLERS = 8
_REQUESTS = 1500
_ROUNDS = 5
#: What is logged: every line, or those on changes alone.
_LEVELS = ('all', 'changes')
_STEP_SECONDS = 0.01
_MS_DIGITS = 1
_BYTES_PER_MB = 1_000_000
_US_PER_SECOND = 1_000_000
_OK = 200
_CALL_TIMEOUT_MS = 5000
_ASK_TIMEOUT_MS = 500
#: A prime: callers go through the keys evenly.
_KEY_STRIDE = 7919


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rest:
    """Hold what some gateways cost while nothing happens."""

    gateways: int
    ready_ms: float
    ready_cpu_ms: float
    calls_per_second: float
    core_share: float
    resident_mb: float


def _make_world(
    folder: pathlib.Path,
    gateways: int,
    level: str,
) -> gateway_world.World:
    store = dialect_store.Store()
    upstreams = {
        f'u{number}': dialect_upstream.Upstream(f'u{number}', keyed=True)
        for number in range(_UPSTREAMS)
    }
    world = gateway_world.World(
        folder=folder,
        store=store,
        upstream_by_id=upstreams,
        service_by_upstream=dict.fromkeys(upstreams, 'keyed'),
        log_level=level,
    )
    world.gateways = [
        gateway_world.make_gateway_process(number, 'z1', store.address)
        for number in range(gateways)
    ]
    store.put('config', 'main', dialect_documents.make_configuration(1))
    for upstream_id in upstreams:
        gateway_world.announce(world, upstream_id)
    return world


def _make_call(
    gateway: gateway_world.GatewayProcess,
    number: int,
) -> http_client.Call:
    return http_client.Call(
        method='GET',
        url=gateway.front_url,
        target='/read/x',
        timeout_ms=_CALL_TIMEOUT_MS,
        headers=httputil.HTTPHeaders(
            {
                'Host': dialect_documents.HOST,
                headers.REQUEST_ID: f'b{number}',
                headers.DEADLINE_MS: '1500',
                headers.SHARD_KEY: str(
                    number * _KEY_STRIDE % (key_ranges.LAST_KEY + 1)
                ),
            },
        ),
    )


async def _is_served(
    client: http_client.Client,
    gateway: gateway_world.GatewayProcess,
    number: int,
) -> bool:
    sent = await http_client.send_call(client, _make_call(gateway, number))
    return isinstance(sent, result.Success) and sent.unwrap().status == _OK


async def _wait_until_ready(
    client: http_client.Client,
    gateway: gateway_world.GatewayProcess,
) -> None:
    while True:
        asked = await http_client.send_call(
            client,
            http_client.Call(
                method='GET',
                url=f'http://{gateway_world.LOOPBACK}:{gateway.ports.ready}',
                target='/ready',
                timeout_ms=_ASK_TIMEOUT_MS,
            ),
        )
        if isinstance(asked, result.Success) and asked.unwrap().status == _OK:
            return
        await asyncio.sleep(_STEP_SECONDS)


async def _wait_until_served(
    client: http_client.Client,
    gateway: gateway_world.GatewayProcess,
) -> None:
    for number in itertools.count():
        if await _is_served(client, gateway, number):
            return
        await asyncio.sleep(_STEP_SECONDS)


async def _start_world(
    client: http_client.Client,
    world: gateway_world.World,
) -> float:
    """Start all gateways at once; return how long until all are ready, ms."""
    started = time.monotonic()
    for gateway in world.gateways:
        await gateway_world.start_gateway(world, gateway)
    for gateway in world.gateways:
        await _wait_until_ready(client, gateway)
    ready_ms = (time.monotonic() - started) * clock.MS_PER_SECOND
    for gateway in world.gateways:
        await _wait_until_served(client, gateway)
    return ready_ms


def _sum_cpu(world: gateway_world.World) -> float:
    return sum(
        processes.read_cpu_seconds(gateway.pid) for gateway in world.gateways
    )


async def _measure_rest(gateways: int) -> Rest:
    client = http_client.make_client()
    with tempfile.TemporaryDirectory() as folder:
        world = _make_world(pathlib.Path(folder), gateways, 'all')
        try:
            return await _watch_rest(client, world)
        finally:
            await gateway_world.close_world(world)


async def _watch_rest(
    client: http_client.Client,
    world: gateway_world.World,
) -> Rest:
    """Start a world, and watch it while nothing happens."""
    count = len(world.gateways)
    ready_ms = await _start_world(client, world)
    ready_cpu_ms = _sum_cpu(world) * clock.MS_PER_SECOND / count
    await asyncio.sleep(_SETTLE_SECONDS)
    calls = world.store.calls
    spent = _sum_cpu(world)
    await asyncio.sleep(_REST_SECONDS)
    return Rest(
        gateways=count,
        ready_ms=ready_ms,
        ready_cpu_ms=ready_cpu_ms,
        calls_per_second=(world.store.calls - calls) / _REST_SECONDS,
        core_share=(_sum_cpu(world) - spent) / _REST_SECONDS / count,
        resident_mb=max(
            processes.read_resident_bytes(gateway.pid)
            for gateway in world.gateways
        )
        / _BYTES_PER_MB,
    )


async def _send_all(
    client: http_client.Client,
    gateway: gateway_world.GatewayProcess,
) -> None:
    async def send_some(first: int) -> None:
        for number in range(first, _REQUESTS, _CALLERS):
            await _is_served(client, gateway, number)

    await asyncio.gather(*(send_some(first) for first in range(_CALLERS)))


async def _measure_requests(
    client: http_client.Client,
    world: gateway_world.World,
) -> float:
    """Return the gateway's CPU time for a request, in microseconds."""
    gateway = world.gateways[0]
    spent = processes.read_cpu_seconds(gateway.pid)
    await _send_all(client, gateway)
    spent = processes.read_cpu_seconds(gateway.pid) - spent
    return spent * _US_PER_SECOND / _REQUESTS


async def _compare_logs() -> dict[str, list[float]]:
    """Measure requests with all lines, and with those on changes alone."""
    worlds: dict[str, gateway_world.World] = {}
    with tempfile.TemporaryDirectory() as folder:
        try:
            return await _alternate(pathlib.Path(folder), worlds)
        finally:
            for world in worlds.values():
                await gateway_world.close_world(world)


async def _alternate(
    folder: pathlib.Path,
    worlds: dict[str, gateway_world.World],
) -> dict[str, list[float]]:
    client = http_client.make_client()
    for level in _LEVELS:
        place = folder / level
        place.mkdir()
        worlds[level] = _make_world(place, 1, level)
        await _start_world(client, worlds[level])
    cost_by_level: dict[str, list[float]] = {name: [] for name in _LEVELS}
    for _ in range(_ROUNDS):
        for level, world in worlds.items():
            cost_by_level[level].append(await _measure_requests(client, world))
    return cost_by_level


def _render(rests: list[Rest], cost_by_level: dict[str, list[float]]) -> str:
    rows = [
        (
            str(rest.gateways),
            f'{rest.ready_ms:.0f}',
            f'{rest.ready_cpu_ms:.0f}',
            f'{rest.calls_per_second:.1f}',
            f'{rest.core_share:.3f}',
            f'{rest.resident_mb:.{_MS_DIGITS}f}',
        )
        for rest in rests
    ]
    names = (
        'gateways',
        'ready ms',
        'CPU ms each',
        'store calls/s',
        'core each',
        'MB most',
    )
    usual = statistics.median(cost_by_level['all'])
    quiet = statistics.median(cost_by_level['changes'])
    ratios = [
        one / other
        for one, other in zip(
            cost_by_level['all'],
            cost_by_level['changes'],
            strict=True,
        )
    ]
    return (
        f'{tables.render_table(names, rows)}\n'
        f'CPU of a request, medians of {_ROUNDS} rounds: {usual:.0f} us with '
        f'all lines, {quiet:.0f} us with those on changes; ratio '
        f'{statistics.median(ratios):.2f} '
        f'({min(ratios):.2f} to {max(ratios):.2f})\n'
    )


async def _run() -> str:
    rests = [await _measure_rest(count) for count in (1, 3, 10)]
    return _render(rests, await _compare_logs())


def run_gateway_bench() -> None:
    """Print what gateways cost at rest, and what logs cost a request."""
    sys.stdout.write(asyncio.run(_run()))
