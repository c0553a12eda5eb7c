"""Experiments: demand and timed faults on a system of real processes."""

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
    journal_analysis,
    samples,
    schedule,
    system_client,
    topology,
)
from lentilgauge.operators import tables


@dataclasses.dataclass(slots=True, kw_only=True)
class Testbed:
    """Started system under test and an HTTP client for its processes."""

    cluster: cluster.Cluster
    client: http_client.Client


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """Fault or command at a fixed time; `at_ms` counts from the start."""

    at_ms: int
    title: str
    action: Callable[[Testbed], Awaitable[object]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExperimentReport:
    """Samples of all requests, and the guarantees violated during the run.

    `duplicates` counts the non-idempotent requests that were executed
    repeatedly, `false_not_run_answers` those that were executed although
    their callers were told that they were not.
    """

    request_samples: list[samples.Sample]
    journal_findings: journal_analysis.JournalFindings
    duplicates: int
    false_not_run_answers: int
    longest_outage: samples.Outage


def print_progress(line: str) -> None:
    """Print a line of progress and flush it."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


async def configure_and_settle(testbed: Testbed) -> None:
    """Configure the system; wait until slots are settled and entries ready."""
    system_topology = testbed.cluster.system_topology
    change_result = await system_client.send_configuration(
        testbed.cluster,
        testbed.client,
        system_topology.vms[0],
    )
    change_result.unwrap()
    for vm in system_topology.vms:
        await system_client.wait_until_settled(
            testbed.cluster,
            testbed.client,
            vm,
            len(system_topology.upstreams),
        )
        if system_topology.starts_entries:
            await system_client.wait_until_ready(
                testbed.cluster, testbed.client, vm
            )


async def _run_events(
    testbed: Testbed,
    events: Sequence[Event],
    start_ms: int,
) -> None:
    for event in events:
        delay_ms = start_ms + event.at_ms - clock.read_monotonic_ms()
        await asyncio.sleep(clock.to_seconds(max(0, delay_ms)))
        print_progress(
            f'{event.at_ms / clock.MS_PER_SECOND:6.1f} s  {event.title}'
        )
        await event.action(testbed)


async def run_demand(
    testbed: Testbed,
    arrivals: Sequence[schedule.ScheduledRequest],
    events: Sequence[Event],
    key_prefix: str,
) -> ExperimentReport:
    """Send the arrivals while the events take place, and make the report."""
    entry_balancer = balancer.make_balancer(testbed.cluster, testbed.client)
    health_check_task = asyncio.ensure_future(
        balancer.keep_checking_entries(entry_balancer)
    )
    event_task = asyncio.ensure_future(
        _run_events(testbed, events, clock.read_monotonic_ms()),
    )
    load_generator = generator.LoadGenerator(
        client=testbed.client,
        kind_by_name=schedule.index_kinds(testbed.cluster.system_topology),
        choose_entry=lambda: balancer.choose_entry(entry_balancer),
        key_prefix=key_prefix,
        start_us=clock.read_wall_us(),
    )
    request_samples = await generator.send_all(load_generator, arrivals)
    await event_task
    health_check_task.cancel()
    return make_report(testbed.cluster, request_samples)


def make_report(
    test_cluster: cluster.Cluster,
    request_samples: list[samples.Sample],
) -> ExperimentReport:
    """Compare the callers' samples with the upstreams' journals."""
    journal_findings = journal_analysis.analyse_journals(
        journal_analysis.read_journals(test_cluster)
    )
    kind_by_name = schedule.index_kinds(test_cluster.system_topology)
    non_idempotent_by_key = {
        sample.idempotency_key: sample
        for sample in request_samples
        if not kind_by_name[sample.kind].idempotent
    }
    execution_count_by_key = collections.Counter(
        {
            key: count
            for key, count in journal_findings.execution_count_by_key.items()
            if key in non_idempotent_by_key
        }
    )
    return ExperimentReport(
        request_samples=request_samples,
        journal_findings=journal_findings,
        duplicates=sum(count > 1 for count in execution_count_by_key.values()),
        false_not_run_answers=sum(
            non_idempotent_by_key[key].outcome is samples.Outcome.NOT_RUN
            for key in execution_count_by_key
        ),
        longest_outage=samples.find_longest_outage(
            sample
            for sample in request_samples
            if schedule.is_probe_key(sample.key.rpartition('/')[2])
        ),
    )


def render_report(report: ExperimentReport) -> str:
    """Render a report as a table of kinds and a list of violations."""
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
        for summary in samples.summarise_by_kind(report.request_samples)
    ]
    unconfirmed = sum(
        sample.outcome is not samples.Outcome.EXECUTED
        for sample in report.request_samples
    )
    return '\n'.join(
        (
            tables.render_table(titles, rows),
            '',
            f'requests not seen as executed:       {unconfirmed}',
            f'duplicate non-idempotent executions: {report.duplicates}',
            'false "not run" answers:             '
            f'{report.false_not_run_answers}',
            'violations of slot ownership:        '
            f'{len(report.journal_findings.ownership_violations)}',
            'longest unavailability of a key:     '
            f'{report.longest_outage.duration_ms:.0f} ms '
            f'({report.longest_outage.key})',
        )
    )


def render_errors(request_samples: Sequence[samples.Sample]) -> str:
    """Render how often callers received each kind of error."""
    count_by_error = collections.Counter(
        sample.error for sample in request_samples if sample.error is not None
    )
    counts_text = ', '.join(
        f'{kind} {count}' for kind, count in count_by_error.items()
    )
    return f'errors: {counts_text or "none"}'


def has_kept_guarantees(report: ExperimentReport) -> bool:
    """Check that every guarantee on answers and executions held."""
    wrong = any(
        sample.outcome is samples.Outcome.WRONG
        for sample in report.request_samples
    )
    return not (
        wrong
        or report.duplicates
        or report.false_not_run_answers
        or report.journal_findings.ownership_violations
    )


async def _run_on_cluster(
    test_cluster: cluster.Cluster,
    arrivals: Sequence[schedule.ScheduledRequest],
    events: Sequence[Event],
    key_prefix: str,
) -> ExperimentReport:
    await cluster.start_all(test_cluster)
    testbed = Testbed(cluster=test_cluster, client=http_client.make_client())
    await configure_and_settle(testbed)
    return await run_demand(testbed, arrivals, events, key_prefix)


async def run_experiment(
    system_topology: topology.Topology,
    arrivals: Sequence[schedule.ScheduledRequest],
    events: Sequence[Event],
    key_prefix: str,
) -> ExperimentReport:
    """Start a system, run an experiment on it and stop it.

    `key_prefix` sets its idempotency keys apart from those of other runs.
    """
    with tempfile.TemporaryDirectory() as folder:
        test_cluster = cluster.make_cluster(
            system_topology, pathlib.Path(folder)
        )
        try:
            return await _run_on_cluster(
                test_cluster, arrivals, events, key_prefix
            )
        finally:
            await cluster.kill_all(test_cluster)
