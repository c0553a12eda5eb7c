"""Benchmark of a gateway's cost: at start, when idle, and for each request."""

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
from lentilgauge.load import gateway_testbed, processes
from lentilgauge.operators import tables
from lentilgauge.platform import headers
from lentilgauge.services import key_ranges
from lentilgauge.standins import (
    gateway_documents,
    gateway_store,
    gateway_upstream,
)

_UPSTREAM_COUNT = 6
_IDLE_SECONDS = 6
_SETTLE_SECONDS = 4
_CALLER_COUNT = 8
_REQUESTS_PER_ROUND = 1500
_ROUNDS = 5
#: Log levels compared: all lines, or only those on changes.
_LOG_LEVELS = ('all', 'changes')
_POLL_SECONDS = 0.01
_MB_DECIMALS = 1
_BYTES_PER_MB = 1_000_000
_US_PER_SECOND = 1_000_000
_STATUS_OK = 200
_CALL_TIMEOUT_MS = 5000
_READY_TIMEOUT_MS = 500
#: Prime, so that successive requests spread evenly over the keys.
_KEY_STRIDE = 7919


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IdleCost:
    """Cost of some gateways at their start and while no requests arrive.

    `ready_ms` is how long all of them took to be ready, and
    `store_calls_per_second` counts the calls of all of them together.
    `ready_cpu_ms` and `cores_per_gateway` are means over the gateways.
    """

    gateway_count: int
    ready_ms: float
    ready_cpu_ms: float
    store_calls_per_second: float
    cores_per_gateway: float
    max_resident_mb: float


def _make_testbed(
    folder: pathlib.Path,
    gateway_count: int,
    log_level: str,
) -> gateway_testbed.Testbed:
    store = gateway_store.Store()
    upstreams = {
        f'u{number}': gateway_upstream.Upstream(f'u{number}', sharded=True)
        for number in range(_UPSTREAM_COUNT)
    }
    testbed = gateway_testbed.Testbed(
        folder=folder,
        store=store,
        upstream_by_id=upstreams,
        service_by_upstream=dict.fromkeys(upstreams, 'keyed'),
        log_level=log_level,
    )
    testbed.gateways = [
        gateway_testbed.make_gateway_process(number, 'z1', store.address)
        for number in range(gateway_count)
    ]
    store.put('config', 'main', gateway_documents.make_configuration(1))
    for upstream_id in upstreams:
        gateway_testbed.announce_upstream(testbed, upstream_id)
    return testbed


def _make_call(
    gateway: gateway_testbed.GatewayProcess,
    number: int,
) -> http_client.Call:
    return http_client.Call(
        method='GET',
        url=gateway.front_url,
        target='/read/x',
        timeout_ms=_CALL_TIMEOUT_MS,
        headers=httputil.HTTPHeaders(
            {
                'Host': gateway_documents.HOST,
                headers.REQUEST_ID: f'b{number}',
                headers.DEADLINE_MS: '1500',
                headers.SHARD_KEY: str(
                    number * _KEY_STRIDE % (key_ranges.LAST_KEY + 1)
                ),
            },
        ),
    )


async def _send_request(
    client: http_client.Client,
    gateway: gateway_testbed.GatewayProcess,
    number: int,
) -> bool:
    """Send one request; return whether it was answered with status 200."""
    call_result = await http_client.send_call(
        client, _make_call(gateway, number)
    )
    return (
        isinstance(call_result, result.Success)
        and call_result.unwrap().status == _STATUS_OK
    )


async def _wait_until_ready(
    client: http_client.Client,
    gateway: gateway_testbed.GatewayProcess,
) -> None:
    while True:
        ready_result = await http_client.send_call(
            client,
            http_client.Call(
                method='GET',
                url=f'http://{gateway_testbed.LOOPBACK}:{gateway.ports.ready}',
                target='/ready',
                timeout_ms=_READY_TIMEOUT_MS,
            ),
        )
        if (
            isinstance(ready_result, result.Success)
            and ready_result.unwrap().status == _STATUS_OK
        ):
            return
        await asyncio.sleep(_POLL_SECONDS)


async def _wait_until_served(
    client: http_client.Client,
    gateway: gateway_testbed.GatewayProcess,
) -> None:
    for number in itertools.count():
        if await _send_request(client, gateway, number):
            return
        await asyncio.sleep(_POLL_SECONDS)


async def _start_gateways(
    client: http_client.Client,
    testbed: gateway_testbed.Testbed,
) -> float:
    """Start all gateways at once, and wait until each serves requests.

    Return the time in ms until all were ready.
    """
    started = time.monotonic()
    for gateway in testbed.gateways:
        await gateway_testbed.start_gateway(testbed, gateway)
    for gateway in testbed.gateways:
        await _wait_until_ready(client, gateway)
    ready_ms = (time.monotonic() - started) * clock.MS_PER_SECOND
    for gateway in testbed.gateways:
        await _wait_until_served(client, gateway)
    return ready_ms


def _sum_cpu_seconds(testbed: gateway_testbed.Testbed) -> float:
    return sum(
        processes.read_cpu_seconds(gateway.pid) for gateway in testbed.gateways
    )


async def _measure_idle_cost(gateway_count: int) -> IdleCost:
    client = http_client.make_client()
    with tempfile.TemporaryDirectory() as folder:
        testbed = _make_testbed(pathlib.Path(folder), gateway_count, 'all')
        try:
            return await _measure_idle_gateways(client, testbed)
        finally:
            await gateway_testbed.close_testbed(testbed)


async def _measure_idle_gateways(
    client: http_client.Client,
    testbed: gateway_testbed.Testbed,
) -> IdleCost:
    """Start the gateways of a testbed and measure them without requests."""
    count = len(testbed.gateways)
    ready_ms = await _start_gateways(client, testbed)
    ready_cpu_ms = _sum_cpu_seconds(testbed) * clock.MS_PER_SECOND / count
    await asyncio.sleep(_SETTLE_SECONDS)
    calls_before = testbed.store.request_count
    cpu_seconds = _sum_cpu_seconds(testbed)
    await asyncio.sleep(_IDLE_SECONDS)
    return IdleCost(
        gateway_count=count,
        ready_ms=ready_ms,
        ready_cpu_ms=ready_cpu_ms,
        store_calls_per_second=(testbed.store.request_count - calls_before)
        / _IDLE_SECONDS,
        cores_per_gateway=(_sum_cpu_seconds(testbed) - cpu_seconds)
        / _IDLE_SECONDS
        / count,
        max_resident_mb=max(
            processes.read_resident_bytes(gateway.pid)
            for gateway in testbed.gateways
        )
        / _BYTES_PER_MB,
    )


async def _send_all(
    client: http_client.Client,
    gateway: gateway_testbed.GatewayProcess,
) -> None:
    async def run_caller(first_number: int) -> None:
        for number in range(first_number, _REQUESTS_PER_ROUND, _CALLER_COUNT):
            await _send_request(client, gateway, number)

    await asyncio.gather(
        *(run_caller(first_number) for first_number in range(_CALLER_COUNT))
    )


async def _measure_cpu_us_per_request(
    client: http_client.Client,
    testbed: gateway_testbed.Testbed,
) -> float:
    """Return the gateway's CPU time per request, in microseconds."""
    gateway = testbed.gateways[0]
    cpu_seconds = processes.read_cpu_seconds(gateway.pid)
    await _send_all(client, gateway)
    cpu_seconds = processes.read_cpu_seconds(gateway.pid) - cpu_seconds
    return cpu_seconds * _US_PER_SECOND / _REQUESTS_PER_ROUND


async def _compare_log_levels() -> dict[str, list[float]]:
    """Measure the CPU time per request, in us, at each log level."""
    testbed_by_level: dict[str, gateway_testbed.Testbed] = {}
    with tempfile.TemporaryDirectory() as folder:
        try:
            return await _measure_alternately(
                pathlib.Path(folder), testbed_by_level
            )
        finally:
            for testbed in testbed_by_level.values():
                await gateway_testbed.close_testbed(testbed)


async def _measure_alternately(
    folder: pathlib.Path,
    testbed_by_level: dict[str, gateway_testbed.Testbed],
) -> dict[str, list[float]]:
    """Measure the log levels in turn, for several rounds.

    Each testbed is added to `testbed_by_level`; the caller closes them.
    """
    client = http_client.make_client()
    for level in _LOG_LEVELS:
        level_folder = folder / level
        level_folder.mkdir()
        testbed_by_level[level] = _make_testbed(level_folder, 1, level)
        await _start_gateways(client, testbed_by_level[level])
    cpu_us_by_level: dict[str, list[float]] = {name: [] for name in _LOG_LEVELS}
    for _ in range(_ROUNDS):
        for level, testbed in testbed_by_level.items():
            cpu_us_by_level[level].append(
                await _measure_cpu_us_per_request(client, testbed)
            )
    return cpu_us_by_level


def _render(
    idle_costs: list[IdleCost], cpu_us_by_level: dict[str, list[float]]
) -> str:
    rows = [
        (
            str(idle_cost.gateway_count),
            f'{idle_cost.ready_ms:.0f}',
            f'{idle_cost.ready_cpu_ms:.0f}',
            f'{idle_cost.store_calls_per_second:.1f}',
            f'{idle_cost.cores_per_gateway:.3f}',
            f'{idle_cost.max_resident_mb:.{_MB_DECIMALS}f}',
        )
        for idle_cost in idle_costs
    ]
    titles = (
        'gateways',
        'ready ms',
        'start CPU ms each',
        'store calls/s',
        'cores each',
        'max MB',
    )
    all_us = statistics.median(cpu_us_by_level['all'])
    changes_us = statistics.median(cpu_us_by_level['changes'])
    ratios = [
        all_round_us / changes_round_us
        for all_round_us, changes_round_us in zip(
            cpu_us_by_level['all'],
            cpu_us_by_level['changes'],
            strict=True,
        )
    ]
    return (
        f'{tables.render_table(titles, rows)}\n'
        f'CPU time per request, medians of {_ROUNDS} rounds: {all_us:.0f} us '
        f'with all log lines, {changes_us:.0f} us with those on changes; ratio '
        f'{statistics.median(ratios):.2f} '
        f'({min(ratios):.2f} to {max(ratios):.2f})\n'
    )


async def _run_bench() -> str:
    idle_costs = [await _measure_idle_cost(count) for count in (1, 3, 10)]
    return _render(idle_costs, await _compare_log_levels())


def run_gateway_bench() -> None:
    """Print the cost of idle gateways, and that of logging per request."""
    sys.stdout.write(asyncio.run(_run_bench()))
