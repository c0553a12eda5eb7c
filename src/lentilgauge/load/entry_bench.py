"""Benchmark of the entry against a proxy that only passes requests through."""

import asyncio
import dataclasses
import pathlib
import statistics
import sys
import tempfile

from hdrh import histogram as hdr

from lentilgauge import metrics
from lentilgauge.links import http_client
from lentilgauge.load import (
    closed_loop,
    cluster,
    experiment,
    processes,
    topology,
    user_topologies,
)
from lentilgauge.operators import tables

_BASELINE = 'pass-through'
_UPSTREAM_ID = 'settlements-1'
_REQUEST_PATH = '/settlements'
_SENDER_PROCESSES = 2
_CALLERS_PER_SENDER = 8
_MEASUREMENT_SECONDS = 2
_ROUNDS = 5
_UPSTREAM_CAPACITY = 64
_MEDIAN_PERCENTILE = 50
_TAIL_PERCENTILE = 99
_US_PER_MS = 1000
_BODY_BYTES = 256


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """Throughput and latency of one process under closed-loop load.

    `requests_per_cpu_second` counts the CPU time of that process alone.
    """

    requests_per_second: float
    requests_per_cpu_second: float
    p50_ms: float
    p99_ms: float
    failed: int


def _make_topology() -> topology.Topology:
    """Make one VM and one pooled upstream that answers without delay."""
    upstream = topology.Upstream(
        id=_UPSTREAM_ID,
        service='settlements',
        failure_domain='domain-b',
        service_ms=0,
        concurrency=_UPSTREAM_CAPACITY,
        queue_limit=_UPSTREAM_CAPACITY,
    )
    return dataclasses.replace(
        user_topologies.make_venture_topology(
            vms=1, keyed=0, pooled=0, slots=1
        ),
        services=(topology.Service(name='settlements'),),
        kinds=tuple(
            kind
            for kind in user_topologies.VENTURE_KINDS
            if kind.service == 'settlements'
        ),
        upstreams=(upstream,),
    )


async def _run_sender(
    url: str, body_bytes: int
) -> closed_loop.ClosedLoopReport:
    sender = await asyncio.create_subprocess_exec(
        cluster.find_program('lentilgauge-load'),
        'closed-loop',
        url,
        f'--callers={_CALLERS_PER_SENDER}',
        f'--seconds={_MEASUREMENT_SECONDS}',
        f'--body_bytes={body_bytes}',
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await sender.communicate()
    return closed_loop.ClosedLoopReport.model_validate_json(output)


def _merge_latencies(
    reports: list[closed_loop.ClosedLoopReport],
) -> hdr.HdrHistogram:
    latencies = metrics.make_histogram()
    for report in reports:
        latencies.decode_and_add(report.latency.payload)
    return latencies


async def _measure_process(url: str, pid: int, body_bytes: int) -> Measurement:
    cpu_seconds_before = processes.read_cpu_seconds(pid)
    reports = await asyncio.gather(
        *(_run_sender(url, body_bytes) for _ in range(_SENDER_PROCESSES)),
    )
    cpu_seconds = processes.read_cpu_seconds(pid) - cpu_seconds_before
    succeeded = sum(report.sent for report in reports)
    latencies = _merge_latencies(reports)
    return Measurement(
        requests_per_second=sum(
            report.sent / report.seconds for report in reports
        ),
        requests_per_cpu_second=succeeded / cpu_seconds,
        p50_ms=latencies.get_value_at_percentile(_MEDIAN_PERCENTILE)
        / _US_PER_MS,
        p99_ms=latencies.get_value_at_percentile(_TAIL_PERCENTILE) / _US_PER_MS,
        failed=sum(report.failed for report in reports),
    )


async def _measure_pair(
    test_cluster: cluster.Cluster,
    body_bytes: int,
) -> list[Measurement]:
    entry = topology.name_entry(test_cluster.system_topology.vms[0])
    return [
        await _measure_process(
            f'{test_cluster.get_url(name)}{_REQUEST_PATH}',
            test_cluster.process_by_name[name].pid,
            body_bytes,
        )
        for name in (_BASELINE, entry)
    ]


def _render_rows(title: str, pair: list[Measurement]) -> list[tables.Row]:
    return [
        (
            f'{title} {name}',
            f'{measurement.requests_per_second:.0f}',
            f'{measurement.requests_per_cpu_second:.0f}',
            f'{measurement.p50_ms:.2f}',
            f'{measurement.p99_ms:.2f}',
            measurement.failed,
        )
        for name, measurement in zip(('bare', 'entry'), pair, strict=True)
    ]


async def _start_processes(
    test_cluster: cluster.Cluster,
    client: http_client.Client,
) -> None:
    await cluster.start_all(test_cluster)
    await cluster.start_program(
        test_cluster,
        _BASELINE,
        'lentilgauge-standin',
        _BASELINE,
        f'--target={test_cluster.get_url(_UPSTREAM_ID)}',
        f'--port={test_cluster.port_by_name[_BASELINE]}',
    )
    await experiment.configure_and_settle(
        experiment.Testbed(cluster=test_cluster, client=client)
    )


async def _run_bench() -> None:
    rows: list[tables.Row] = []
    with tempfile.TemporaryDirectory() as folder:
        test_cluster = cluster.make_cluster(
            _make_topology(),
            pathlib.Path(folder),
            (_BASELINE,),
        )
        try:
            await _start_processes(test_cluster, http_client.make_client())
            rows.extend(await _run_rounds(test_cluster))
        finally:
            await cluster.kill_all(test_cluster)
    titles = (
        'WHAT',
        'REQUESTS PER s',
        'REQUESTS PER CPU s',
        'P50 ms',
        'P99 ms',
        'FAILED',
    )
    sys.stdout.write(f'{tables.render_table(titles, rows)}\n')


async def _run_rounds(test_cluster: cluster.Cluster) -> list[tables.Row]:
    """Measure the baseline and the entry in turn, for several rounds.

    A change of the machine's speed thus affects both.
    """
    rows: list[tables.Row] = []
    for body_bytes, title in ((0, 'GET'), (_BODY_BYTES, 'POST')):
        pairs = [
            await _measure_pair(test_cluster, body_bytes)
            for _ in range(_ROUNDS)
        ]
        for number, pair in enumerate(pairs):
            rows.extend(_render_rows(f'{title} {number + 1}', pair))
        rows.append(_render_medians(title, pairs))
    return rows


def _render_medians(title: str, pairs: list[list[Measurement]]) -> tables.Row:
    """Render the medians of the rounds' entry-to-baseline ratios."""
    return (
        f'{title} median ratio',
        *(
            f'{statistics.median(ratios):.2f}'
            for ratios in (
                [
                    entry.requests_per_second / baseline.requests_per_second
                    for baseline, entry in pairs
                ],
                [
                    entry.requests_per_cpu_second
                    / baseline.requests_per_cpu_second
                    for baseline, entry in pairs
                ],
                [entry.p50_ms / baseline.p50_ms for baseline, entry in pairs],
                [entry.p99_ms / baseline.p99_ms for baseline, entry in pairs],
            )
        ),
        '',
    )


def run_entry_bench() -> None:
    """Print the entry's throughput and latency as ratios to the baseline."""
    asyncio.run(_run_bench())
