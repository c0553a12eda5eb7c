"""Soak-test real gateways under random faults, checking their guarantees."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import sys
import tempfile
import time

from lentilgauge.links import http_client
from lentilgauge.load import (
    gateway_world,
    soak_callers,
    soak_faults,
    soak_judge,
)
from lentilgauge.standins import (
    dialect_documents,
    dialect_store,
    dialect_upstream,
    fault_proxy,
)

_DOMAINS = ('d1', 'd2')
_KEYED_UPSTREAM_COUNT = 4
_POOLED_UPSTREAM_COUNT = 3
_GATEWAY_COUNT = 3
_CALLER_COUNT = 16
_EXECUTION_MS = 15
#: The users' bound on the time from the last fault until all routes serve.
_RECOVERY_BOUND_SECONDS = 15
#: Start-up time isn't guaranteed; on a busy machine it may take long.
_START_TIMEOUT_SECONDS = 120
_PROBE_INTERVAL_SECONDS = 0.4
_POLL_SECONDS = 0.2
_SECONDS_PER_MINUTE = 60
_WEAKENED_MODULE = 'lentilgauge.load.weakened'
_OK = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Parameters of one soak run.

    `weakened_rule` names a rule that the gateways under test run without; if
    it is empty, they run all rules. Bounds in time are checked only if `timed`
    is set. Settings and logs of the gateways are written to `folder`.
    """

    seed: int
    seconds: float
    timed: bool = True
    weakened_rule: str = ''
    folder: pathlib.Path


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """Outcome of a soak run, with the names of the faults injected."""

    judge: soak_judge.Judge
    injected_faults: list[str]


async def _start_proxy(target_port: int) -> tuple[fault_proxy.Proxy, str]:
    """Start a proxy on loopback; return it and its listening address."""
    proxy = fault_proxy.Proxy(
        target_address=gateway_world.LOOPBACK,
        target_port=target_port,
    )
    port = await fault_proxy.listen(proxy, address=gateway_world.LOOPBACK)
    return proxy, f'{gateway_world.LOOPBACK}:{port}'


def _make_testbed(plan: Plan) -> gateway_world.World:
    upstreams: dict[str, dialect_upstream.Upstream] = {}
    service_by_upstream: dict[str, str] = {}
    for number in range(_KEYED_UPSTREAM_COUNT + _POOLED_UPSTREAM_COUNT):
        keyed = number < _KEYED_UPSTREAM_COUNT
        name = f'k{number}' if keyed else f'p{number}'
        upstreams[name] = dialect_upstream.Upstream(
            name,
            keyed=keyed,
            work_ms=_EXECUTION_MS,
        )
        upstreams[name].failure_domain = _DOMAINS[number % len(_DOMAINS)]
        service_by_upstream[name] = 'keyed' if keyed else 'pooled'
    return gateway_world.World(
        folder=plan.folder,
        store=dialect_store.Store(),
        upstream_by_id=upstreams,
        service_by_upstream=service_by_upstream,
    )


async def _start_system(plan: Plan) -> soak_faults.Scene:
    """Start the stand-ins and the gateways, with a proxy on each link."""
    testbed = _make_testbed(plan)
    soak_state = soak_faults.Scene(
        world=testbed,
        judge=soak_judge.Judge(
            upstream_by_id=testbed.upstream_by_id,
            timed=plan.timed,
        ),
        random=_make_random(plan.seed),
        store_proxy_by_vm={},
        proxy_by_upstream={},
    )
    for upstream in testbed.upstream_by_id.values():
        await _add_upstream(soak_state, upstream)
    await soak_faults.publish(soak_state, 0)
    for number in range(_GATEWAY_COUNT):
        await _add_gateway(plan, soak_state, number)
    for gateway in testbed.gateways:
        await gateway_world.start_gateway(testbed, gateway)
    return soak_state


async def _add_upstream(
    soak_state: soak_faults.Scene,
    upstream: dialect_upstream.Upstream,
) -> None:
    """Connect an upstream to the checker; announce the address of its proxy."""
    checker = soak_state.judge
    upstream.told = dialect_upstream.Told(
        begun=lambda execution: soak_judge.note_begun(checker, execution),
        granted=lambda name, hold: soak_judge.note_granted(
            checker,
            name,
            hold,
        ),
    )
    proxy, address = await _start_proxy(upstream.port)
    upstream.announced = address
    soak_state.proxy_by_upstream[upstream.name] = proxy
    gateway_world.announce(soak_state.world, upstream.name)


async def _add_gateway(
    plan: Plan,
    soak_state: soak_faults.Scene,
    number: int,
) -> None:
    proxy, address = await _start_proxy(soak_state.world.store.port)
    gateway = gateway_world.make_gateway_process(
        number,
        _DOMAINS[number % len(_DOMAINS)],
        address,
    )
    if plan.weakened_rule:
        gateway.module = _WEAKENED_MODULE
        gateway.arguments = (plan.weakened_rule,)
    soak_state.store_proxy_by_vm[gateway.vm] = proxy
    soak_state.world.gateways.append(gateway)


def _make_random(seed: object) -> random.Random:
    """Make a seeded random generator; nothing that it draws is a secret."""
    return random.Random(str(seed))  # ruff: ignore[suspicious-non-cryptographic-random-usage]


def _make_caller(
    soak_state: soak_faults.Scene, name: str
) -> soak_callers.Caller:
    return soak_callers.Caller(
        name=name,
        judge=soak_state.judge,
        gateways=soak_state.world.gateways,
        random=_make_random(f'{name}/{soak_state.random.random()}'),
        client=http_client.make_client(),
    )


async def _wait_until_served(
    soak_state: soak_faults.Scene,
    caller: soak_callers.Caller,
    seconds: float,
) -> bool:
    """Wait until every gateway serves every route; return whether in time."""
    deadline_seconds = time.monotonic() + seconds
    pending_probes = [
        (gateway, shape.name)
        for gateway in soak_state.world.gateways
        for shape in dialect_documents.USUAL_ROUTES
    ]
    while pending_probes and time.monotonic() < deadline_seconds:
        gateway, route = pending_probes[0]
        caller.gateways = [gateway]
        reply = await soak_callers.send(
            caller,
            soak_callers.Wish(
                route=route,
                target=f'/{route}/x',
                key=1,
                timeout_ms=soak_callers.DEADLINE_MS,
            ),
        )
        if reply is not None and reply.status == _OK:
            pending_probes.pop(0)
        else:
            await asyncio.sleep(_POLL_SECONDS)
    return not pending_probes


async def _monitor_gateways(soak_state: soak_faults.Scene) -> None:
    """Report gateways that exit unexpectedly, and restart them."""
    while True:
        await asyncio.sleep(_POLL_SECONDS)
        for gateway in soak_state.world.gateways:
            if gateway.vm not in soak_state.busy:
                await _restart_if_exited(soak_state, gateway)


async def _restart_if_exited(
    soak_state: soak_faults.Scene,
    gateway: gateway_world.GatewayProcess,
) -> None:
    child = gateway.child
    if child is not None and child.returncode is not None:
        soak_judge.find(
            soak_state.judge,
            f'exited unexpectedly: {gateway.vm} with status {child.returncode}',
        )
        await gateway_world.start_gateway(soak_state.world, gateway)


async def _run_faults(plan: Plan, soak_state: soak_faults.Scene) -> None:
    readiness_caller = _make_caller(soak_state, 'watcher')
    if not await _wait_until_served(
        soak_state,
        readiness_caller,
        _START_TIMEOUT_SECONDS,
    ):
        soak_judge.find(
            soak_state.judge,
            'not serving every route in time after start-up',
        )
        return
    callers = [
        _make_caller(soak_state, f'c{number}')
        for number in range(_CALLER_COUNT)
    ]
    tasks = [
        asyncio.ensure_future(soak_callers.call_for_ever(caller))
        for caller in callers
    ]
    prober = _make_caller(soak_state, 'prober')
    tasks.append(
        asyncio.ensure_future(
            soak_callers.probe_versions(prober, _PROBE_INTERVAL_SECONDS),
        ),
    )
    tasks.append(asyncio.ensure_future(_monitor_gateways(soak_state)))
    await soak_faults.cause_faults(soak_state, plan.seconds)
    recovery_seconds = (
        _RECOVERY_BOUND_SECONDS if plan.timed else _START_TIMEOUT_SECONDS
    )
    if not await _wait_until_served(
        soak_state,
        readiness_caller,
        recovery_seconds,
    ):
        soak_judge.find(
            soak_state.judge,
            'not serving every route in time after the last fault',
        )
    for task in tasks:
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*tasks)


async def run_plan(plan: Plan) -> Outcome:
    """Run one soak and shut down everything that it started."""
    soak_state = await _start_system(plan)
    try:
        await _run_faults(plan, soak_state)
    finally:
        await gateway_world.close_world(soak_state.world)
        for proxy in (
            *soak_state.store_proxy_by_vm.values(),
            *soak_state.proxy_by_upstream.values(),
        ):
            await fault_proxy.close_proxy(proxy)
    return Outcome(judge=soak_state.judge, injected_faults=soak_state.played)


def _describe(plan: Plan, outcome: Outcome) -> str:
    event_counts = ', '.join(
        f'{name} {count}'
        for name, count in sorted(outcome.judge.counted.items())
    )
    lines = [
        f'seed {plan.seed}: {len(outcome.injected_faults)} faults, '
        f'{event_counts}',
        *(f'  broken: {violation}' for violation in outcome.judge.findings),
    ]
    return '\n'.join((*lines, ''))


def run_soak(
    *,
    seed: int,
    minutes: float = 1,
    seeds: int = 1,
    weakened: str = '',
    logs: str = '',
) -> None:
    """Run a soak for each of `seeds` consecutive seeds, from `seed` on.

    The process exits with status 1 if any run violated a guarantee.
    """
    failed_runs = 0
    for run_seed in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as temporary_folder:
            folder = pathlib.Path(logs or temporary_folder) / str(run_seed)
            folder.mkdir(parents=True, exist_ok=True)
            plan = Plan(
                seed=run_seed,
                seconds=minutes * _SECONDS_PER_MINUTE,
                weakened_rule=weakened,
                folder=folder,
            )
            outcome = asyncio.run(run_plan(plan))
        failed_runs += bool(outcome.judge.findings)
        sys.stdout.write(_describe(plan, outcome))
        sys.stdout.flush()
    sys.exit(1 if failed_runs else 0)
