"""Measure what the entry costs against a bare pass-through."""

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
    users,
)
from lentilgauge.operators import tables

_BARE = 'pass-through'
_UPSTREAM = 'settlements-1'
_PATH = '/settlements'
_SENDERS = 2
_CALLERS_PER_SENDER = 8
_SECONDS = 2
_ROUNDS = 5
_WIDE = 64
_MEDIAN = 50
_TAIL = 99
_US_PER_MS = 1000
_BODY_BYTES = 256


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measured:
    """Hold one measurement of one process under closed-loop load.

    `per_core` is requests per second of the process's own CPU time.
    """

    per_second: float
    per_core: float
    p50_ms: float
    p99_ms: float
    failed: int


def _make_shape() -> topology.Topology:
    """Make one VM and one pooled upstream that answers at once."""
    upstream = topology.Upstream(
        id=_UPSTREAM,
        service='settlements',
        failure_domain='domain-b',
        service_ms=0,
        concurrency=_WIDE,
        queue_limit=_WIDE,
    )
    return dataclasses.replace(
        users.make_venture(vms=1, keyed=0, pooled=0, slots=1),
        services=(topology.Service(name='settlements'),),
        kinds=tuple(
            kind
            for kind in users.VENTURE_KINDS
            if kind.service == 'settlements'
        ),
        upstreams=(upstream,),
    )


async def _run_sender(url: str, body_bytes: int) -> closed_loop.LoopReport:
    child = await asyncio.create_subprocess_exec(
        cluster.find_program('lentilgauge-load'),
        'closed-loop',
        url,
        f'--callers={_CALLERS_PER_SENDER}',
        f'--seconds={_SECONDS}',
        f'--body_bytes={body_bytes}',
        stdout=asyncio.subprocess.PIPE,
    )
    printed, _ = await child.communicate()
    return closed_loop.LoopReport.model_validate_json(printed)


def _merge(reports: list[closed_loop.LoopReport]) -> hdr.HdrHistogram:
    merged = metrics.make_histogram()
    for report in reports:
        merged.decode_and_add(report.latency.payload)
    return merged


async def _measure(url: str, pid: int, body_bytes: int) -> Measured:
    before = processes.read_cpu_seconds(pid)
    reports = await asyncio.gather(
        *(_run_sender(url, body_bytes) for _ in range(_SENDERS)),
    )
    spent = processes.read_cpu_seconds(pid) - before
    sent = sum(report.sent for report in reports)
    merged = _merge(reports)
    return Measured(
        per_second=sum(report.sent / report.seconds for report in reports),
        per_core=sent / spent,
        p50_ms=merged.get_value_at_percentile(_MEDIAN) / _US_PER_MS,
        p99_ms=merged.get_value_at_percentile(_TAIL) / _US_PER_MS,
        failed=sum(report.failed for report in reports),
    )


async def _measure_pair(
    running: cluster.Cluster,
    body_bytes: int,
) -> list[Measured]:
    entry = topology.name_entry(running.shape.vms[0])
    return [
        await _measure(
            f'{running.get_url(name)}{_PATH}',
            running.process_by_name[name].pid,
            body_bytes,
        )
        for name in (_BARE, entry)
    ]


def _render_rows(title: str, pair: list[Measured]) -> list[tables.Row]:
    return [
        (
            f'{title} {name}',
            f'{one.per_second:.0f}',
            f'{one.per_core:.0f}',
            f'{one.p50_ms:.2f}',
            f'{one.p99_ms:.2f}',
            one.failed,
        )
        for name, one in zip(('bare', 'entry'), pair, strict=True)
    ]


async def _start(
    running: cluster.Cluster,
    client: http_client.Client,
) -> None:
    await cluster.start_all(running)
    await cluster.start(
        running,
        _BARE,
        'lentilgauge-standin',
        _BARE,
        f'--target={running.get_url(_UPSTREAM)}',
        f'--port={running.port_by_name[_BARE]}',
    )
    await experiment.prepare(experiment.Stage(cluster=running, client=client))


async def _run() -> None:
    rows: list[tables.Row] = []
    with tempfile.TemporaryDirectory() as folder:
        running = cluster.make_cluster(
            _make_shape(),
            pathlib.Path(folder),
            (_BARE,),
        )
        try:
            await _start(running, http_client.make_client())
            rows.extend(await _run_rounds(running))
        finally:
            await cluster.stop_all(running)
    titles = ('WHAT', 'PER s', 'PER CORE s', 'P50 ms', 'P99 ms', 'FAILED')
    sys.stdout.write(f'{tables.render_table(titles, rows)}\n')


async def _run_rounds(running: cluster.Cluster) -> list[tables.Row]:
    """Measure in turn, so that a change of the machine's speed hits both."""
    rows: list[tables.Row] = []
    for body_bytes, title in ((0, 'GET'), (_BODY_BYTES, 'POST')):
        pairs = [
            await _measure_pair(running, body_bytes) for _ in range(_ROUNDS)
        ]
        for number, pair in enumerate(pairs):
            rows.extend(_render_rows(f'{title} {number + 1}', pair))
        rows.append(_render_medians(title, pairs))
    return rows


def _render_medians(title: str, pairs: list[list[Measured]]) -> tables.Row:
    """Render the medians of the rounds' ratios."""
    return (
        f'{title} median ratio',
        *(
            f'{statistics.median(ratios):.2f}'
            for ratios in (
                [ours.per_second / base.per_second for base, ours in pairs],
                [ours.per_core / base.per_core for base, ours in pairs],
                [ours.p50_ms / base.p50_ms for base, ours in pairs],
                [ours.p99_ms / base.p99_ms for base, ours in pairs],
            )
        ),
        '',
    )


def run_entry_bench() -> None:
    """Print the entry's throughput and latency as ratios to the baseline."""
    asyncio.run(_run())
