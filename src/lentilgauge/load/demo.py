"""Demonstration of constant demand during failures and planned changes."""

import asyncio
import pathlib
import sys
import types

from lentilgauge.load import (
    cluster,
    experiment,
    results,
    schedule,
    system_client,
    topology,
    user_topologies,
)

_SHARE_BY_KIND = types.MappingProxyType(
    {
        'case-lookup': 6.0,
        'demand-letter': 2.0,
        'settlement': 1.0,
        'hold-release': 0.5,
        'settlement-lookup': 1.5,
    }
)
_REQUESTS_PER_SECOND = 150
_DEMAND_SECONDS = 22
_KEY_COUNT = 400
_SLOT_COUNT = 64
_PROBED_KEY_COUNT = 24
_PROBE_INTERVAL_MS = 200
_KILL_AT_MS = 3000
_RESTART_AT_MS = 7000
_EVACUATE_AT_MS = 9000
_RESTORE_AT_MS = 14_000
_STOP_ENTRY_AT_MS = 17_000
_SEED = 20
_KILLED_UPSTREAM_ID = 'cases-2'
_EVACUATED_DOMAIN = 'domain-c'


def _find_upstream(
    system_topology: topology.Topology,
    upstream_id: str,
) -> topology.Upstream:
    return next(
        upstream
        for upstream in system_topology.upstreams
        if upstream.id == upstream_id
    )


async def _kill_upstream(testbed: experiment.Testbed) -> None:
    await cluster.kill_process(testbed.cluster, _KILLED_UPSTREAM_ID)


async def _restart_upstream(testbed: experiment.Testbed) -> None:
    await cluster.start_upstream(
        testbed.cluster,
        _find_upstream(testbed.cluster.system_topology, _KILLED_UPSTREAM_ID),
    )


async def _set_domain_out(testbed: experiment.Testbed, *, out: bool) -> None:
    change_result = await system_client.send_command(
        testbed.cluster,
        testbed.client,
        testbed.cluster.system_topology.vms[0],
        system_client.make_domain_command(_EVACUATED_DOMAIN, out=out),
    )
    experiment.print_progress(f'          {change_result}')


async def _stop_last_entry(testbed: experiment.Testbed) -> None:
    entry_name = topology.name_entry(testbed.cluster.system_topology.vms[-1])
    await cluster.terminate_process(testbed.cluster, entry_name)


def make_events() -> list[experiment.Event]:
    """Return the timed faults and commands of the demonstration."""
    return [
        experiment.Event(
            at_ms=_KILL_AT_MS,
            title=f'kill upstream {_KILLED_UPSTREAM_ID}',
            action=_kill_upstream,
        ),
        experiment.Event(
            at_ms=_RESTART_AT_MS,
            title=f'start upstream {_KILLED_UPSTREAM_ID} again',
            action=_restart_upstream,
        ),
        experiment.Event(
            at_ms=_EVACUATE_AT_MS,
            title=f'take failure domain {_EVACUATED_DOMAIN} out of service',
            action=lambda testbed: _set_domain_out(testbed, out=True),
        ),
        experiment.Event(
            at_ms=_RESTORE_AT_MS,
            title=f'restore failure domain {_EVACUATED_DOMAIN}',
            action=lambda testbed: _set_domain_out(testbed, out=False),
        ),
        experiment.Event(
            at_ms=_STOP_ENTRY_AT_MS,
            title='stop one entry gracefully',
            action=_stop_last_entry,
        ),
    ]


def draw_arrivals() -> list[schedule.ScheduledRequest]:
    """Draw random demand for all kinds, merged with periodic probes."""
    demand = schedule.Demand(
        rate_per_second=_REQUESTS_PER_SECOND,
        seconds=_DEMAND_SECONDS,
        share_by_kind=_SHARE_BY_KIND,
        key_count=_KEY_COUNT,
        seed=_SEED,
    )
    probe_plan = schedule.ProbePlan(
        kind='case-lookup',
        key_count=_PROBED_KEY_COUNT,
        interval_ms=_PROBE_INTERVAL_MS,
        seconds=_DEMAND_SECONDS,
    )
    return schedule.merge_arrivals(
        schedule.draw_arrivals(demand),
        schedule.draw_probes(probe_plan),
    )


async def _run_experiment(results_file: str) -> bool:
    system_topology = user_topologies.make_venture_topology(
        vms=3, keyed=6, pooled=2, slots=_SLOT_COUNT
    )
    experiment.print_progress('starting stand-ins, 3 controllers and 3 entries')
    experiment_report = await experiment.run_experiment(
        system_topology,
        draw_arrivals(),
        make_events(),
        'demo',
    )
    if results_file:
        results.write_results(
            pathlib.Path(results_file), experiment_report.request_samples
        )
    experiment.print_progress('')
    experiment.print_progress(experiment.render_report(experiment_report))
    return experiment.has_kept_guarantees(experiment_report)


def run_demo(results_file: str = '') -> None:
    """Run the demonstration; exit with 1 if a guarantee was violated.

    The samples go to `results_file` as JSON lines if one is named.
    """
    if not asyncio.run(_run_experiment(results_file)):
        sys.exit(1)
