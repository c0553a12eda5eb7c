"""Draw faults by a seed, and cause them around real gateways."""

import asyncio
import dataclasses
import random
import signal
import time
import types
from collections.abc import Awaitable, Callable, Mapping

from lentilgauge.load import gateway_world, soak_judge
from lentilgauge.standins import (
    dialect_documents,
    dialect_upstream,
    fault_proxy,
)

_STORE = 'store'
_COLD_SECONDS = 3.0
#: A leaving upstream serves on for a while after its store entry says so.
_LINGER_SECONDS = 3.5
_DELAY_MS = 80
#: Before its program is read, nothing in a process can keep SIGHUP from
#: ending it.
_YOUNG_SECONDS = 1
_PAUSE_SECONDS = 0.08
_SHORTEST_SECONDS = 1
_LONGEST_SECONDS = 5
_SLOW_MS = 300


@dataclasses.dataclass(slots=True, kw_only=True)
class Scene:
    """Hold everything that faults can be caused on."""

    world: gateway_world.World
    judge: soak_judge.Judge
    random: random.Random
    store_proxy_by_vm: dict[str, fault_proxy.Proxy]
    proxy_by_upstream: dict[str, fault_proxy.Proxy]
    version: int = 1
    busy: set[str] = dataclasses.field(default_factory=set)
    played: list[str] = dataclasses.field(default_factory=list)


Cause = Callable[[Scene, float], Awaitable[None]]


def _claim(scene: Scene, names: list[str]) -> str | None:
    """Choose one that nothing happens to; nothing if there is none."""
    free = [name for name in names if name not in scene.busy]
    if not free:
        return None
    chosen = scene.random.choice(free)
    scene.busy.add(chosen)
    return chosen


def _choose_gateway(scene: Scene) -> gateway_world.GatewayProcess | None:
    by_vm = {gateway.vm: gateway for gateway in scene.world.gateways}
    chosen = _claim(scene, list(by_vm))
    return None if chosen is None else by_vm[chosen]


async def _kill_gateway(scene: Scene, span: float) -> None:
    gateway = _choose_gateway(scene)
    if gateway is None:
        return
    with soak_judge.disturbing(scene.judge, gateway.vm, scene.busy):
        await gateway_world.end_gateway(gateway)
        await asyncio.sleep(span / 2)
        await gateway_world.start_gateway(scene.world, gateway)


async def _stop_gateway(scene: Scene, _: float) -> None:
    gateway = _choose_gateway(scene)
    if gateway is None or gateway.child is None:
        return
    with soak_judge.disturbing(scene.judge, gateway.vm, scene.busy):
        gateway.child.send_signal(signal.SIGTERM)
        await gateway.child.wait()
        await gateway_world.start_gateway(scene.world, gateway)


async def _pause_gateway(scene: Scene, span: float) -> None:
    gateway = _choose_gateway(scene)
    if gateway is None or gateway.child is None:
        return
    with soak_judge.disturbing(scene.judge, gateway.vm, scene.busy):
        gateway.child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(span)
        soak_judge.note_thaw(scene.judge)
        gateway.child.send_signal(signal.SIGCONT)


async def _hang_up_gateway(scene: Scene, _: float) -> None:
    """Tell some gateways in a row that their settings have changed."""
    for gateway in scene.world.gateways:
        young = time.monotonic() - gateway.started < _YOUNG_SECONDS
        if gateway.vm not in scene.busy and gateway.child and not young:
            gateway.child.send_signal(signal.SIGHUP)
            await asyncio.sleep(_PAUSE_SECONDS)


def _draw_link_faults(scene: Scene) -> fault_proxy.FaultsMessage:
    drop = fault_proxy.Treatment.DROP
    return scene.random.choice(
        (
            fault_proxy.FaultsMessage(delay_ms=_DELAY_MS),
            fault_proxy.FaultsMessage(refuse=True),
            fault_proxy.FaultsMessage(to_source=drop),
            fault_proxy.FaultsMessage(to_source=drop, to_target=drop),
        ),
    )


async def _harm_link(
    scene: Scene,
    proxy: fault_proxy.Proxy,
    span: float,
) -> None:
    """Harm a link; a connection that went silent stays so until it is cut."""
    proxy.faults = _draw_link_faults(scene)
    proxy.changed.set()
    if scene.random.choice((True, False)):
        fault_proxy.reset_connections(proxy)
    await asyncio.sleep(span)
    proxy.faults = fault_proxy.FaultsMessage()
    proxy.changed.set()


async def _harm_store_link(scene: Scene, span: float) -> None:
    gateway = _choose_gateway(scene)
    if gateway is None:
        return
    with soak_judge.disturbing(scene.judge, gateway.vm, scene.busy):
        await _harm_link(scene, scene.store_proxy_by_vm[gateway.vm], span)


async def _harm_upstream_link(scene: Scene, span: float) -> None:
    chosen = _claim(scene, list(scene.proxy_by_upstream))
    if chosen is None:
        return
    await _harm_link(scene, scene.proxy_by_upstream[chosen], span)
    scene.busy.discard(chosen)


async def _restart_upstream(scene: Scene, span: float) -> None:
    """Crash an upstream; it comes back under its id, cold and empty.

    Meanwhile nothing listens at its address.
    """
    chosen = _claim(scene, list(scene.world.upstream_by_id))
    if chosen is None:
        return
    await _end_and_return(scene, chosen, span)


async def _end_and_return(
    scene: Scene,
    upstream_id: str,
    span: float,
) -> None:
    """Let an upstream's process end, and a cold one start at its address."""
    proxy = scene.proxy_by_upstream[upstream_id]
    upstream = scene.world.upstream_by_id[upstream_id]
    address, _, port = upstream.announced.partition(':')
    await fault_proxy.close_proxy(proxy)
    upstream.restart()
    await asyncio.sleep(span)
    await fault_proxy.listen(proxy, address=address, port=int(port))
    upstream.restart(_COLD_SECONDS)
    gateway_world.announce(scene.world, upstream_id)
    await asyncio.sleep(_COLD_SECONDS)
    scene.busy.discard(upstream_id)


async def _drain_upstream(scene: Scene, span: float) -> None:
    """Let an upstream leave as planned, and another start in its place."""
    chosen = _claim(scene, list(scene.world.upstream_by_id))
    if chosen is None:
        return
    gateway_world.announce(scene.world, chosen, 'draining')
    scene.judge.leaving_by_upstream[chosen] = soak_judge.Change(
        since=time.monotonic(),
        bound=soak_judge.DRAIN_SECONDS,
    )
    await asyncio.sleep(_LINGER_SECONDS)
    scene.world.store.remove('servers', chosen)
    await asyncio.sleep(_LINGER_SECONDS)
    scene.judge.leaving_by_upstream.pop(chosen)
    await _end_and_return(scene, chosen, span)


async def _harm_upstream(scene: Scene, span: float) -> None:
    """Let an upstream refuse, lose answers, answer twice or miss orders."""
    chosen = _claim(scene, list(scene.world.upstream_by_id))
    if chosen is None:
        return
    upstream = scene.world.upstream_by_id[chosen]
    upstream.faults = scene.random.choice(
        (
            dialect_upstream.UpstreamFaults(refuses=True),
            dialect_upstream.UpstreamFaults(drops=True),
            dialect_upstream.UpstreamFaults(extra=True),
            dialect_upstream.UpstreamFaults(extra=True),
            dialect_upstream.UpstreamFaults(ignores_orders=True),
            dialect_upstream.UpstreamFaults(late_orders=True),
        ),
    )
    await asyncio.sleep(span)
    upstream.faults = dialect_upstream.UpstreamFaults()
    scene.busy.discard(chosen)


async def _harm_store(scene: Scene, span: float) -> None:
    if _claim(scene, [_STORE]) is None:
        return
    soak_judge.disturb(scene.judge, _STORE)
    faults = scene.world.store.faults
    name = scene.random.choice(
        ('down', 'silent', 'silent_watches', 'lose_writes', 'late', 'slow'),
    )
    faults.down = name == 'down'
    faults.silent = name == 'silent'
    faults.silent_watches = name == 'silent_watches'
    faults.lose_writes = name in {'lose_writes', 'late'}
    faults.late = name == 'late'
    faults.slow_ms = _SLOW_MS if name == 'slow' else 0
    await asyncio.sleep(span)
    scene.world.store.faults = type(faults)()
    scene.world.store.forget_history()
    soak_judge.calm(scene.judge, _STORE)
    scene.busy.discard(_STORE)


async def publish(scene: Scene, _: float) -> None:
    """Let the operator write a version with a route of its own."""
    scene.version += scene.random.randint(1, 3)
    own = dialect_documents.RouteShape(
        name=f'v{scene.version}',
        kind='safe',
        service='pooled',
    )
    scene.world.store.put(
        'config',
        'main',
        dialect_documents.make_configuration(
            scene.version,
            (*dialect_documents.USUAL_ROUTES, own),
        ),
    )
    scene.judge.published[scene.version] = time.monotonic()


async def _empty_domain(scene: Scene, span: float) -> None:
    domains = {
        upstream.failure_domain
        for upstream in scene.world.upstream_by_id.values()
    }
    if scene.judge.emptied_by_domain:
        return
    chosen = scene.random.choice(sorted(domains))
    scene.world.store.put('evacuations', chosen, {})
    scene.judge.emptied_by_domain[chosen] = soak_judge.Change(
        since=time.monotonic(),
        bound=soak_judge.EVACUATE_SECONDS,
    )
    await asyncio.sleep(span + soak_judge.EVACUATE_SECONDS)
    scene.judge.emptied_by_domain.pop(chosen)
    scene.world.store.remove('evacuations', chosen)


CAUSES: Mapping[str, Cause] = types.MappingProxyType(
    {
        'kill a gateway': _kill_gateway,
        'stop a gateway': _stop_gateway,
        'pause a gateway': _pause_gateway,
        'hang up on gateways': _hang_up_gateway,
        'harm a store link': _harm_store_link,
        'harm an upstream link': _harm_upstream_link,
        'restart an upstream': _restart_upstream,
        'drain an upstream': _drain_upstream,
        'harm an upstream': _harm_upstream,
        'harm the store': _harm_store,
        'publish': publish,
        'empty a domain': _empty_domain,
    }
)
#: For so long only some kinds of faults come, so that what they leave alone
#: is calm long enough to be bound by times.
_SPELL_SECONDS = 12
_FEWEST_KINDS = 2
_MOST_KINDS = 5


def _draw_spell(scene: Scene) -> list[str]:
    """Draw the kinds of faults that come in the next spell."""
    count = scene.random.randint(_FEWEST_KINDS, _MOST_KINDS)
    return scene.random.sample(list(CAUSES), count)


async def cause_faults(scene: Scene, seconds: float) -> None:
    """Cause faults for a while, in overlapping series; then heal all."""
    end = time.monotonic() + seconds
    spell_end: float = 0
    kinds: list[str] = []
    running: list[asyncio.Future[None]] = []
    while time.monotonic() < end:
        if time.monotonic() >= spell_end:
            kinds = _draw_spell(scene)
            spell_end = time.monotonic() + _SPELL_SECONDS
        name = scene.random.choice(kinds)
        scene.played.append(name)
        span = scene.random.uniform(_SHORTEST_SECONDS, _LONGEST_SECONDS)
        running.append(asyncio.ensure_future(CAUSES[name](scene, span)))
        await asyncio.sleep(scene.random.expovariate(1) + _PAUSE_SECONDS)
    await asyncio.gather(*running)
