"""Show the system's main job in one command."""

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
_RATE_PER_SECOND = 150
_SECONDS = 22
_KEYS = 400
_SLOTS = 64
_PROBED_KEYS = 24
_PROBE_INTERVAL_MS = 200
_KILL_AT_MS = 3000
_RESTART_AT_MS = 7000
_DOMAIN_OUT_AT_MS = 9000
_DOMAIN_BACK_AT_MS = 14_000
_STOP_AT_MS = 17_000
_SEED = 20
_KILLED = 'cases-2'
_DOMAIN = 'domain-c'


def _find_upstream(
    shape: topology.Topology,
    upstream_id: str,
) -> topology.Upstream:
    return next(
        upstream for upstream in shape.upstreams if upstream.id == upstream_id
    )


async def _kill_upstream(stage: experiment.Stage) -> None:
    await cluster.kill(stage.cluster, _KILLED)


async def _restart_upstream(stage: experiment.Stage) -> None:
    await cluster.start_upstream(
        stage.cluster,
        _find_upstream(stage.cluster.shape, _KILLED),
    )


async def _set_domain(stage: experiment.Stage, *, out: bool) -> None:
    accepted = await observer.command(
        stage.cluster,
        stage.client,
        stage.cluster.shape.vms[0],
        observer.make_domain_question(_DOMAIN, out=out),
    )
    experiment.say(f'          {accepted}')


async def _stop_entry(stage: experiment.Stage) -> None:
    entry = topology.name_entry(stage.cluster.shape.vms[-1])
    await cluster.terminate(stage.cluster, entry)


def list_events() -> list[experiment.Event]:
    """List the faults and commands of the demonstration."""
    return [
        experiment.Event(
            at_ms=_KILL_AT_MS,
            title=f'kill upstream {_KILLED}',
            act=_kill_upstream,
        ),
        experiment.Event(
            at_ms=_RESTART_AT_MS,
            title=f'start upstream {_KILLED} again',
            act=_restart_upstream,
        ),
        experiment.Event(
            at_ms=_DOMAIN_OUT_AT_MS,
            title=f'take failure domain {_DOMAIN} out',
            act=lambda stage: _set_domain(stage, out=True),
        ),
        experiment.Event(
            at_ms=_DOMAIN_BACK_AT_MS,
            title=f'return failure domain {_DOMAIN}',
            act=lambda stage: _set_domain(stage, out=False),
        ),
        experiment.Event(
            at_ms=_STOP_AT_MS,
            title='stop one entry as planned',
            act=_stop_entry,
        ),
    ]


def draw_arrivals() -> list[schedule.Arrival]:
    """Draw the demand: keyed and pooled kinds, and probes of many keys."""
    demand = schedule.Demand(
        rate_per_second=_RATE_PER_SECOND,
        seconds=_SECONDS,
        share_by_kind=_SHARE_BY_KIND,
        keys=_KEYS,
        seed=_SEED,
    )
    probing = schedule.Probing(
        kind='case-lookup',
        keys=_PROBED_KEYS,
        interval_ms=_PROBE_INTERVAL_MS,
        seconds=_SECONDS,
    )
    return schedule.merge_arrivals(
        schedule.draw_arrivals(demand),
        schedule.draw_probes(probing),
    )


async def _run(results_file: str) -> bool:
    shape = users.make_venture(vms=3, keyed=6, pooled=2, slots=_SLOTS)
    experiment.say('starting stand-ins, 3 controllers and 3 entries')
    outcome = await experiment.run_experiment(
        shape,
        draw_arrivals(),
        list_events(),
        'demo',
    )
    if results_file:
        results.write_results(pathlib.Path(results_file), outcome.taken)
    experiment.say('')
    experiment.say(experiment.render_outcome(outcome))
    return experiment.is_sound(outcome)


def run_demo(results_file: str = '') -> None:
    """Run the demonstration; exit with 1 if a promise was broken."""
    if not asyncio.run(_run(results_file)):
        sys.exit(1)
