"""Demonstration of constant demand during failures and planned changes."""

import asyncio
import pathlib
import sys
import types

from lentilgauge.load import (
    cluster,
    experiment,
    observer,
    results,
    schedule,
    topology,
    users,
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
_RETURN_AT_MS = 14_000
_STOP_ENTRY_AT_MS = 17_000
_SEED = 20
_KILLED_UPSTREAM_ID = 'cases-2'
_EVACUATED_DOMAIN = 'domain-c'


def _find_upstream(
    shape: topology.Topology,
    upstream_id: str,
) -> topology.Upstream:
    return next(
        upstream for upstream in shape.upstreams if upstream.id == upstream_id
    )


async def _kill_upstream(stage: experiment.Stage) -> None:
    await cluster.kill(stage.cluster, _KILLED_UPSTREAM_ID)


async def _restart_upstream(stage: experiment.Stage) -> None:
    await cluster.start_upstream(
        stage.cluster,
        _find_upstream(stage.cluster.shape, _KILLED_UPSTREAM_ID),
    )


async def _set_domain_out(stage: experiment.Stage, *, out: bool) -> None:
    change_result = await observer.command(
        stage.cluster,
        stage.client,
        stage.cluster.shape.vms[0],
        observer.make_domain_question(_EVACUATED_DOMAIN, out=out),
    )
    experiment.say(f'          {change_result}')


async def _stop_last_entry(stage: experiment.Stage) -> None:
    entry_name = topology.name_entry(stage.cluster.shape.vms[-1])
    await cluster.terminate(stage.cluster, entry_name)


def make_events() -> list[experiment.Event]:
    """Return the timed faults and commands of the demonstration."""
    return [
        experiment.Event(
            at_ms=_KILL_AT_MS,
            title=f'kill upstream {_KILLED_UPSTREAM_ID}',
            act=_kill_upstream,
        ),
        experiment.Event(
            at_ms=_RESTART_AT_MS,
            title=f'start upstream {_KILLED_UPSTREAM_ID} again',
            act=_restart_upstream,
        ),
        experiment.Event(
            at_ms=_EVACUATE_AT_MS,
            title=f'take failure domain {_EVACUATED_DOMAIN} out of service',
            act=lambda stage: _set_domain_out(stage, out=True),
        ),
        experiment.Event(
            at_ms=_RETURN_AT_MS,
            title=f'restore failure domain {_EVACUATED_DOMAIN}',
            act=lambda stage: _set_domain_out(stage, out=False),
        ),
        experiment.Event(
            at_ms=_STOP_ENTRY_AT_MS,
            title='stop one entry gracefully',
            act=_stop_last_entry,
        ),
    ]


def draw_arrivals() -> list[schedule.Arrival]:
    """Draw random demand for all kinds, merged with periodic probes."""
    demand = schedule.Demand(
        rate_per_second=_REQUESTS_PER_SECOND,
        seconds=_DEMAND_SECONDS,
        share_by_kind=_SHARE_BY_KIND,
        keys=_KEY_COUNT,
        seed=_SEED,
    )
    probing = schedule.Probing(
        kind='case-lookup',
        keys=_PROBED_KEY_COUNT,
        interval_ms=_PROBE_INTERVAL_MS,
        seconds=_DEMAND_SECONDS,
    )
    return schedule.merge_arrivals(
        schedule.draw_arrivals(demand),
        schedule.draw_probes(probing),
    )


async def _run_experiment(results_file: str) -> bool:
    shape = users.make_venture(vms=3, keyed=6, pooled=2, slots=_SLOT_COUNT)
    experiment.say('starting stand-ins, 3 controllers and 3 entries')
    experiment_report = await experiment.run_experiment(
        shape,
        draw_arrivals(),
        make_events(),
        'demo',
    )
    if results_file:
        results.write_results(
            pathlib.Path(results_file), experiment_report.taken
        )
    experiment.say('')
    experiment.say(experiment.render_outcome(experiment_report))
    return experiment.is_sound(experiment_report)


def run_demo(results_file: str = '') -> None:
    """Run the demonstration; exit with 1 if a guarantee was violated.

    The samples go to `results_file` as JSON lines if one is named.
    """
    if not asyncio.run(_run_experiment(results_file)):
        sys.exit(1)
