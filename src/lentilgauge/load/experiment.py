"""Run demand and timed faults against a system and judge the outcome."""

import asyncio
import collections
import dataclasses
import pathlib
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence

from lentilgauge import clock
from lentilgauge.links import http_client
from lentilgauge.load import (
    balancer,
    cluster,
    generator,
    journals,
    observer,
    samples,
    schedule,
    topology,
)
from lentilgauge.operators import tables


@dataclasses.dataclass(slots=True, kw_only=True)
class Stage:
    """Hold a configured, running system and a client for it."""

    cluster: cluster.Cluster
    client: http_client.Client


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Describe a timed fault or command; `at_ms` counts from the start."""

    at_ms: int
    title: str
    act: Callable[[Stage], Awaitable[object]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Hold what callers saw and what the journals say."""

    taken: list[samples.Sample]
    findings: journals.Findings
    doubled: int
    falsely_not_run: int
    outage: samples.Outage


def say(line: str) -> None:
    """Report progress."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


async def prepare(stage: Stage) -> None:
    """Configure the system and wait until it is at rest."""
    shape = stage.cluster.shape
    accepted = await observer.configure(
        stage.cluster,
        stage.client,
        shape.vms[0],
    )
    accepted.unwrap()
    for vm in shape.vms:
        await observer.wait_until_settled(
            stage.cluster,
            stage.client,
            vm,
            len(shape.upstreams),
        )
        if shape.entries:
            await observer.wait_until_ready(stage.cluster, stage.client, vm)


async def _run_events(
    stage: Stage,
    events: Sequence[Event],
    start_ms: int,
) -> None:
    for event in events:
        left_ms = start_ms + event.at_ms - clock.read_monotonic_ms()
        await asyncio.sleep(clock.to_seconds(max(0, left_ms)))
        say(f'{event.at_ms / clock.MS_PER_SECOND:6.1f} s  {event.title}')
        await event.act(stage)


async def run_demand(
    stage: Stage,
    arrivals: Sequence[schedule.Arrival],
    events: Sequence[Event],
    name: str,
) -> Outcome:
    """Send the arrivals while the events happen, then judge."""
    balanced = balancer.make_balancer(stage.cluster, stage.client)
    checking = asyncio.ensure_future(balancer.check_entries(balanced))
    happening = asyncio.ensure_future(
        _run_events(stage, events, clock.read_monotonic_ms()),
    )
    sender = generator.Generator(
        client=stage.client,
        kind_by_name=schedule.index_kinds(stage.cluster.shape),
        choose_entry=lambda: balancer.choose_entry(balanced),
        name=name,
        start_us=clock.read_wall_us(),
    )
    taken = await generator.send_all(sender, arrivals)
    await happening
    checking.cancel()
    return judge(stage.cluster, taken)


def judge(
    running: cluster.Cluster,
    taken: list[samples.Sample],
) -> Outcome:
    """Lay the callers' samples and the journals side by side."""
    findings = journals.judge_journals(journals.read_journals(running))
    kind_by_name = schedule.index_kinds(running.shape)
    once_only = {
        sample.idempotency_key: sample
        for sample in taken
        if not kind_by_name[sample.kind].idempotent
    }
    counts = collections.Counter(
        {
            key: count
            for key, count in findings.count_by_key.items()
            if key in once_only
        }
    )
    return Outcome(
        taken=taken,
        findings=findings,
        doubled=sum(count > 1 for count in counts.values()),
        falsely_not_run=sum(
            once_only[key].outcome is samples.Outcome.NOT_RUN for key in counts
        ),
        outage=samples.find_longest_outage(
            sample
            for sample in taken
            if schedule.is_probe(sample.key.rpartition('/')[2])
        ),
    )


def render_outcome(outcome: Outcome) -> str:
    """Render an outcome as a table."""
    titles = (
        'KIND',
        'SENT',
        'EXECUTED',
        'NOT RUN',
        'UNKNOWN',
        'WRONG',
        'P50 ms',
        'P99 ms',
    )
    rows = [
        (
            summary.kind,
            summary.sent,
            summary.executed,
            summary.not_run,
            summary.unknown,
            summary.wrong,
            f'{summary.p50_ms:.1f}',
            f'{summary.p99_ms:.1f}',
        )
        for summary in samples.sum_up_by_kind(outcome.taken)
    ]
    lost = sum(
        sample.outcome is not samples.Outcome.EXECUTED
        for sample in outcome.taken
    )
    return '\n'.join(
        (
            tables.render_table(titles, rows),
            '',
            f'lost (not executed for the caller): {lost}',
            f'doubled non-idempotent executions:  {outcome.doubled}',
            f'false "not run" answers:            {outcome.falsely_not_run}',
            'slots with two owners at once:      '
            f'{len(outcome.findings.overlaps)}',
            'longest unavailable time of a key:  '
            f'{outcome.outage.span_ms:.0f} ms ({outcome.outage.key})',
        )
    )


def render_errors(taken: Sequence[samples.Sample]) -> str:
    """Render how often callers were told each error."""
    counts = collections.Counter(
        sample.error for sample in taken if sample.error is not None
    )
    told = ', '.join(f'{kind} {count}' for kind, count in counts.items())
    return f'errors: {told or "none"}'


def is_sound(outcome: Outcome) -> bool:
    """Tell whether every promise on answers and executions was kept."""
    wrong = any(
        sample.outcome is samples.Outcome.WRONG for sample in outcome.taken
    )
    return not (
        wrong
        or outcome.doubled
        or outcome.falsely_not_run
        or outcome.findings.overlaps
    )


async def _run_on(
    running: cluster.Cluster,
    arrivals: Sequence[schedule.Arrival],
    events: Sequence[Event],
    name: str,
) -> Outcome:
    await cluster.start_all(running)
    stage = Stage(cluster=running, client=http_client.make_client())
    await prepare(stage)
    return await run_demand(stage, arrivals, events, name)


async def run_experiment(
    shape: topology.Topology,
    arrivals: Sequence[schedule.Arrival],
    events: Sequence[Event],
    name: str,
) -> Outcome:
    """Start a system, run an experiment on it and stop it."""
    with tempfile.TemporaryDirectory() as folder:
        running = cluster.make_cluster(shape, pathlib.Path(folder))
        try:
            return await _run_on(running, arrivals, events, name)
        finally:
            await cluster.stop_all(running)
