"""Run real gateways under random faults, and check the promises meanwhile."""

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
_KEYED = 4
_POOLED = 3
_GATEWAYS = 3
_CALLERS = 16
_WORK_MS = 15
#: The users' bound on the way back to service after the last fault.
_RECOVER_SECONDS = 15
#: Starting is no promise: a busy machine takes its time.
_START_SECONDS = 120
_PROBE_SECONDS = 0.4
_STEP_SECONDS = 0.2
_SECONDS_A_MINUTE = 60
_WEAKENED = 'lentilgauge.load.weakened'
_OK = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Say how a soak runs; `weakened` names a rule that its build lacks.

    Unless it is `timed`, bounds in time aren't checked.
    """

    seed: int
    seconds: float
    timed: bool = True
    weakened: str = ''
    folder: pathlib.Path


@dataclasses.dataclass(slots=True, kw_only=True)
class Outcome:
    """Hold what a soak has found."""

    judge: soak_judge.Judge
    played: list[str]


async def _start_proxy(target_port: int) -> tuple[fault_proxy.Proxy, str]:
    """Start a proxy; return it and where it listens."""
    proxy = fault_proxy.Proxy(
        target_address=gateway_world.LOOPBACK,
        target_port=target_port,
    )
    port = await fault_proxy.listen(proxy, address=gateway_world.LOOPBACK)
    return proxy, f'{gateway_world.LOOPBACK}:{port}'


def _make_world(plan: Plan) -> gateway_world.World:
    upstreams: dict[str, dialect_upstream.Upstream] = {}
    service_by_upstream: dict[str, str] = {}
    for number in range(_KEYED + _POOLED):
        keyed = number < _KEYED
        name = f'k{number}' if keyed else f'p{number}'
        upstreams[name] = dialect_upstream.Upstream(
            name,
            keyed=keyed,
            work_ms=_WORK_MS,
        )
        upstreams[name].failure_domain = _DOMAINS[number % len(_DOMAINS)]
        service_by_upstream[name] = 'keyed' if keyed else 'pooled'
    return gateway_world.World(
        folder=plan.folder,
        store=dialect_store.Store(),
        upstream_by_id=upstreams,
        service_by_upstream=service_by_upstream,
    )


async def _make_scene(plan: Plan) -> soak_faults.Scene:
    """Put proxies between all parts, and start the gateways."""
    world = _make_world(plan)
    scene = soak_faults.Scene(
        world=world,
        judge=soak_judge.Judge(
            upstream_by_id=world.upstream_by_id,
            timed=plan.timed,
        ),
        random=_make_random(plan.seed),
        store_proxy_by_vm={},
        proxy_by_upstream={},
    )
    for upstream in world.upstream_by_id.values():
        await _add_upstream(scene, upstream)
    await soak_faults.publish(scene, 0)
    for number in range(_GATEWAYS):
        await _add_gateway(plan, scene, number)
    for gateway in world.gateways:
        await gateway_world.start_gateway(world, gateway)
    return scene


async def _add_upstream(
    scene: soak_faults.Scene,
    upstream: dialect_upstream.Upstream,
) -> None:
    """Let an upstream tell the judge, and announce it behind a proxy."""
    judge = scene.judge
    upstream.told = dialect_upstream.Told(
        begun=lambda begun: soak_judge.note_begun(judge, begun),
        granted=lambda name, hold: soak_judge.note_granted(judge, name, hold),
    )
    proxy, address = await _start_proxy(upstream.port)
    upstream.announced = address
    scene.proxy_by_upstream[upstream.name] = proxy
    gateway_world.announce(scene.world, upstream.name)


async def _add_gateway(
    plan: Plan,
    scene: soak_faults.Scene,
    number: int,
) -> None:
    proxy, address = await _start_proxy(scene.world.store.port)
    gateway = gateway_world.make_gateway_process(
        number,
        _DOMAINS[number % len(_DOMAINS)],
        address,
    )
    if plan.weakened:
        gateway.module = _WEAKENED
        gateway.arguments = (plan.weakened,)
    scene.store_proxy_by_vm[gateway.vm] = proxy
    scene.world.gateways.append(gateway)


def _make_random(seed: object) -> random.Random:
    """Make the source of all that a soak draws; it keeps no secret."""
    return random.Random(str(seed))  # ruff: ignore[suspicious-non-cryptographic-random-usage]


def _make_caller(scene: soak_faults.Scene, name: str) -> soak_callers.Caller:
    return soak_callers.Caller(
        name=name,
        judge=scene.judge,
        gateways=scene.world.gateways,
        random=_make_random(f'{name}/{scene.random.random()}'),
        client=http_client.make_client(),
    )


async def _wait_until_served(
    scene: soak_faults.Scene,
    caller: soak_callers.Caller,
    seconds: float,
) -> bool:
    """Tell whether every gateway serves every route within a time."""
    end = time.monotonic() + seconds
    wanted = [
        (gateway, shape.name)
        for gateway in scene.world.gateways
        for shape in dialect_documents.USUAL_ROUTES
    ]
    while wanted and time.monotonic() < end:
        gateway, route = wanted[0]
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
            wanted.pop(0)
        else:
            await asyncio.sleep(_STEP_SECONDS)
    return not wanted


async def _watch_gateways(scene: soak_faults.Scene) -> None:
    """Find gateways that end by themselves, and start them again."""
    while True:
        await asyncio.sleep(_STEP_SECONDS)
        for gateway in scene.world.gateways:
            if gateway.vm not in scene.busy:
                await _restart_ended(scene, gateway)


async def _restart_ended(
    scene: soak_faults.Scene,
    gateway: gateway_world.GatewayProcess,
) -> None:
    child = gateway.child
    if child is not None and child.returncode is not None:
        soak_judge.find(
            scene.judge,
            f'ended by itself: {gateway.vm} with {child.returncode}',
        )
        await gateway_world.start_gateway(scene.world, gateway)


async def _play(plan: Plan, scene: soak_faults.Scene) -> None:
    watcher = _make_caller(scene, 'watcher')
    if not await _wait_until_served(scene, watcher, _START_SECONDS):
        soak_judge.find(scene.judge, 'never served at the start')
        return
    callers = [_make_caller(scene, f'c{number}') for number in range(_CALLERS)]
    jobs = [
        asyncio.ensure_future(soak_callers.call_for_ever(caller))
        for caller in callers
    ]
    prober = _make_caller(scene, 'prober')
    jobs.append(
        asyncio.ensure_future(
            soak_callers.probe_versions(prober, _PROBE_SECONDS),
        ),
    )
    jobs.append(asyncio.ensure_future(_watch_gateways(scene)))
    await soak_faults.cause_faults(scene, plan.seconds)
    allowed = _RECOVER_SECONDS if plan.timed else _START_SECONDS
    if not await _wait_until_served(scene, watcher, allowed):
        soak_judge.find(scene.judge, 'not recovered after the last fault')
    for job in jobs:
        job.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*jobs)


async def run_plan(plan: Plan) -> Outcome:
    """Run one soak from start to end."""
    scene = await _make_scene(plan)
    try:
        await _play(plan, scene)
    finally:
        await gateway_world.close_world(scene.world)
        for proxy in (
            *scene.store_proxy_by_vm.values(),
            *scene.proxy_by_upstream.values(),
        ):
            await fault_proxy.close_proxy(proxy)
    return Outcome(judge=scene.judge, played=scene.played)


def _describe(plan: Plan, outcome: Outcome) -> str:
    counted = ', '.join(
        f'{name} {number}'
        for name, number in sorted(outcome.judge.counted.items())
    )
    lines = [
        f'seed {plan.seed}: {len(outcome.played)} faults, {counted}',
        *(f'  broken: {finding}' for finding in outcome.judge.findings),
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
    """Soak with one seed or more in a row; exit with 1 if a promise broke."""
    broken = 0
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as made:
            folder = pathlib.Path(logs or made) / str(number)
            folder.mkdir(parents=True, exist_ok=True)
            plan = Plan(
                seed=number,
                seconds=minutes * _SECONDS_A_MINUTE,
                weakened=weakened,
                folder=folder,
            )
            outcome = asyncio.run(run_plan(plan))
        broken += bool(outcome.judge.findings)
        sys.stdout.write(_describe(plan, outcome))
        sys.stdout.flush()
    sys.exit(1 if broken else 0)
