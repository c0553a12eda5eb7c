"""Inject seeded random faults into real gateways and what surrounds them."""

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
_COLD_START_SECONDS = 3.0
#: How long a draining upstream goes on serving after its store entry says so,
#: and again between the removal of that entry and its end.
_DRAIN_SERVING_SECONDS = 3.5
_LINK_DELAY_MS = 80
#: Younger gateway processes get no SIGHUP: while a process is still loading its
#: program, nothing in it can keep the signal from ending it.
_MIN_AGE_FOR_SIGHUP_SECONDS = 1
_MIN_GAP_SECONDS = 0.08
_MIN_FAULT_SECONDS = 1
_MAX_FAULT_SECONDS = 5
_STORE_DELAY_MS = 300


@dataclasses.dataclass(slots=True, kw_only=True)
class Scene:
    """State of a running soak: its targets for faults, and those injected.

    `busy` has the names of the gateways, upstreams and the store that a fault
    affects now; they are left out when the next fault chooses its target.
    `played` lists the names of all faults injected so far, in their order.
    """

    world: gateway_world.World
    judge: soak_judge.Judge
    random: random.Random
    store_proxy_by_vm: dict[str, fault_proxy.Proxy]
    proxy_by_upstream: dict[str, fault_proxy.Proxy]
    configuration_version: int = 1
    busy: set[str] = dataclasses.field(default_factory=set)
    played: list[str] = dataclasses.field(default_factory=list)


#: Injects one fault; most last for the given time in seconds.
FaultInjector = Callable[[Scene, float], Awaitable[None]]


def _reserve(soak_state: Scene, names: list[str]) -> str | None:
    """Choose a name that no fault affects and mark it busy, if there is one."""
    free = [name for name in names if name not in soak_state.busy]
    if not free:
        return None
    chosen = soak_state.random.choice(free)
    soak_state.busy.add(chosen)
    return chosen


def _reserve_gateway(soak_state: Scene) -> gateway_world.GatewayProcess | None:
    by_vm = {gateway.vm: gateway for gateway in soak_state.world.gateways}
    chosen = _reserve(soak_state, list(by_vm))
    return None if chosen is None else by_vm[chosen]


async def _kill_gateway(soak_state: Scene, duration_seconds: float) -> None:
    gateway = _reserve_gateway(soak_state)
    if gateway is None:
        return
    with soak_judge.disturbing(soak_state.judge, gateway.vm, soak_state.busy):
        await gateway_world.end_gateway(gateway)
        await asyncio.sleep(duration_seconds / 2)
        await gateway_world.start_gateway(soak_state.world, gateway)


async def _terminate_gateway(soak_state: Scene, _: float) -> None:
    gateway = _reserve_gateway(soak_state)
    if gateway is None or gateway.child is None:
        return
    with soak_judge.disturbing(soak_state.judge, gateway.vm, soak_state.busy):
        gateway.child.send_signal(signal.SIGTERM)
        await gateway.child.wait()
        await gateway_world.start_gateway(soak_state.world, gateway)


async def _pause_gateway(soak_state: Scene, duration_seconds: float) -> None:
    gateway = _reserve_gateway(soak_state)
    if gateway is None or gateway.child is None:
        return
    with soak_judge.disturbing(soak_state.judge, gateway.vm, soak_state.busy):
        gateway.child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_seconds)
        soak_judge.note_thaw(soak_state.judge)
        gateway.child.send_signal(signal.SIGCONT)


async def _reload_gateways(soak_state: Scene, _: float) -> None:
    """Send SIGHUP to all free gateways, one after the other."""
    for gateway in soak_state.world.gateways:
        starting = (
            time.monotonic() - gateway.started < _MIN_AGE_FOR_SIGHUP_SECONDS
        )
        if gateway.vm not in soak_state.busy and gateway.child and not starting:
            gateway.child.send_signal(signal.SIGHUP)
            await asyncio.sleep(_MIN_GAP_SECONDS)


def _draw_link_faults(soak_state: Scene) -> fault_proxy.FaultsMessage:
    drop = fault_proxy.Treatment.DROP
    return soak_state.random.choice(
        (
            fault_proxy.FaultsMessage(delay_ms=_LINK_DELAY_MS),
            fault_proxy.FaultsMessage(refuse=True),
            fault_proxy.FaultsMessage(to_source=drop),
            fault_proxy.FaultsMessage(to_source=drop, to_target=drop),
        ),
    )


async def _impair_link(
    soak_state: Scene,
    proxy: fault_proxy.Proxy,
    duration_seconds: float,
) -> None:
    """Impair a link for a while, with or without cutting its connections.

    A connection that fell silent stays so after the fault, until it is cut:
    dropped bytes aren't sent again.
    """
    proxy.faults = _draw_link_faults(soak_state)
    proxy.changed.set()
    if soak_state.random.choice((True, False)):
        fault_proxy.reset_connections(proxy)
    await asyncio.sleep(duration_seconds)
    proxy.faults = fault_proxy.FaultsMessage()
    proxy.changed.set()


async def _impair_store_link(
    soak_state: Scene,
    duration_seconds: float,
) -> None:
    gateway = _reserve_gateway(soak_state)
    if gateway is None:
        return
    with soak_judge.disturbing(soak_state.judge, gateway.vm, soak_state.busy):
        await _impair_link(
            soak_state,
            soak_state.store_proxy_by_vm[gateway.vm],
            duration_seconds,
        )


async def _impair_upstream_link(
    soak_state: Scene,
    duration_seconds: float,
) -> None:
    chosen = _reserve(soak_state, list(soak_state.proxy_by_upstream))
    if chosen is None:
        return
    await _impair_link(
        soak_state,
        soak_state.proxy_by_upstream[chosen],
        duration_seconds,
    )
    soak_state.busy.discard(chosen)


async def _restart_upstream(soak_state: Scene, duration_seconds: float) -> None:
    """Crash an upstream; it restarts with the same id, cold and without holds.

    Meanwhile nothing listens at its address.
    """
    chosen = _reserve(soak_state, list(soak_state.world.upstream_by_id))
    if chosen is None:
        return
    await _stop_and_restart_upstream(soak_state, chosen, duration_seconds)


async def _stop_and_restart_upstream(
    soak_state: Scene,
    upstream_id: str,
    duration_seconds: float,
) -> None:
    """Stop an upstream, and start a cold one at the same address."""
    proxy = soak_state.proxy_by_upstream[upstream_id]
    upstream = soak_state.world.upstream_by_id[upstream_id]
    address, _, port = upstream.announced.partition(':')
    await fault_proxy.close_proxy(proxy)
    upstream.restart()
    await asyncio.sleep(duration_seconds)
    await fault_proxy.listen(proxy, address=address, port=int(port))
    upstream.restart(_COLD_START_SECONDS)
    gateway_world.announce(soak_state.world, upstream_id)
    await asyncio.sleep(_COLD_START_SECONDS)
    soak_state.busy.discard(upstream_id)


async def _drain_upstream(soak_state: Scene, duration_seconds: float) -> None:
    """Drain and stop an upstream, then start a new incarnation of it."""
    chosen = _reserve(soak_state, list(soak_state.world.upstream_by_id))
    if chosen is None:
        return
    gateway_world.announce(soak_state.world, chosen, 'draining')
    soak_state.judge.leaving_by_upstream[chosen] = soak_judge.Change(
        since=time.monotonic(),
        bound=soak_judge.DRAIN_SECONDS,
    )
    await asyncio.sleep(_DRAIN_SERVING_SECONDS)
    soak_state.world.store.remove('servers', chosen)
    await asyncio.sleep(_DRAIN_SERVING_SECONDS)
    soak_state.judge.leaving_by_upstream.pop(chosen)
    await _stop_and_restart_upstream(soak_state, chosen, duration_seconds)


async def _make_upstream_faulty(
    soak_state: Scene,
    duration_seconds: float,
) -> None:
    """Let an upstream refuse, lose replies, reply twice or mishandle orders."""
    chosen = _reserve(soak_state, list(soak_state.world.upstream_by_id))
    if chosen is None:
        return
    upstream = soak_state.world.upstream_by_id[chosen]
    upstream.faults = soak_state.random.choice(
        (
            dialect_upstream.UpstreamFaults(refuses=True),
            dialect_upstream.UpstreamFaults(drops=True),
            dialect_upstream.UpstreamFaults(extra=True),
            dialect_upstream.UpstreamFaults(extra=True),
            dialect_upstream.UpstreamFaults(ignores_orders=True),
            dialect_upstream.UpstreamFaults(late_orders=True),
        ),
    )
    await asyncio.sleep(duration_seconds)
    upstream.faults = dialect_upstream.UpstreamFaults()
    soak_state.busy.discard(chosen)


async def _make_store_faulty(
    soak_state: Scene,
    duration_seconds: float,
) -> None:
    if _reserve(soak_state, [_STORE]) is None:
        return
    soak_judge.disturb(soak_state.judge, _STORE)
    faults = soak_state.world.store.faults
    name = soak_state.random.choice(
        ('down', 'silent', 'silent_watches', 'lose_writes', 'late', 'slow'),
    )
    faults.down = name == 'down'
    faults.silent = name == 'silent'
    faults.silent_watches = name == 'silent_watches'
    faults.lose_writes = name in {'lose_writes', 'late'}
    faults.late = name == 'late'
    faults.slow_ms = _STORE_DELAY_MS if name == 'slow' else 0
    await asyncio.sleep(duration_seconds)
    soak_state.world.store.faults = type(faults)()
    soak_state.world.store.forget_history()
    soak_judge.calm(soak_state.judge, _STORE)
    soak_state.busy.discard(_STORE)


async def publish(soak_state: Scene, _: float) -> None:
    """Write a new version of the configuration, with a route of its own.

    The route shows which version a gateway serves.
    """
    soak_state.configuration_version += soak_state.random.randint(1, 3)
    own_route = dialect_documents.RouteShape(
        name=f'v{soak_state.configuration_version}',
        kind='safe',
        service='pooled',
    )
    soak_state.world.store.put(
        'config',
        'main',
        dialect_documents.make_configuration(
            soak_state.configuration_version,
            (*dialect_documents.USUAL_ROUTES, own_route),
        ),
    )
    soak_state.judge.published[soak_state.configuration_version] = (
        time.monotonic()
    )


async def _evacuate_domain(soak_state: Scene, duration_seconds: float) -> None:
    domains = {
        upstream.failure_domain
        for upstream in soak_state.world.upstream_by_id.values()
    }
    if soak_state.judge.emptied_by_domain:
        return
    chosen = soak_state.random.choice(sorted(domains))
    soak_state.world.store.put('evacuations', chosen, {})
    soak_state.judge.emptied_by_domain[chosen] = soak_judge.Change(
        since=time.monotonic(),
        bound=soak_judge.EVACUATE_SECONDS,
    )
    await asyncio.sleep(duration_seconds + soak_judge.EVACUATE_SECONDS)
    soak_state.judge.emptied_by_domain.pop(chosen)
    soak_state.world.store.remove('evacuations', chosen)


INJECTOR_BY_FAULT: Mapping[str, FaultInjector] = types.MappingProxyType(
    {
        'kill a gateway': _kill_gateway,
        'terminate a gateway': _terminate_gateway,
        'pause a gateway': _pause_gateway,
        'reload the gateways': _reload_gateways,
        'impair a store link': _impair_store_link,
        'impair an upstream link': _impair_upstream_link,
        'restart an upstream': _restart_upstream,
        'drain an upstream': _drain_upstream,
        'make an upstream faulty': _make_upstream_faulty,
        'make the store faulty': _make_store_faulty,
        'publish': publish,
        'evacuate a domain': _evacuate_domain,
    }
)
#: During each phase only some kinds of faults are injected, so that whatever
#: they leave alone stays undisturbed long enough for bounds in time to apply.
_PHASE_SECONDS = 12
_MIN_KINDS = 2
_MAX_KINDS = 5


def _draw_phase(soak_state: Scene) -> list[str]:
    """Draw the kinds of faults for the next phase."""
    count = soak_state.random.randint(_MIN_KINDS, _MAX_KINDS)
    return soak_state.random.sample(list(INJECTOR_BY_FAULT), count)


async def cause_faults(soak_state: Scene, seconds: float) -> None:
    """Inject overlapping faults for a while; return once all have ended."""
    end_seconds = time.monotonic() + seconds
    phase_end_seconds: float = 0
    phase_kinds: list[str] = []
    tasks: list[asyncio.Future[None]] = []
    while time.monotonic() < end_seconds:
        if time.monotonic() >= phase_end_seconds:
            phase_kinds = _draw_phase(soak_state)
            phase_end_seconds = time.monotonic() + _PHASE_SECONDS
        name = soak_state.random.choice(phase_kinds)
        soak_state.played.append(name)
        duration_seconds = soak_state.random.uniform(
            _MIN_FAULT_SECONDS,
            _MAX_FAULT_SECONDS,
        )
        tasks.append(
            asyncio.ensure_future(
                INJECTOR_BY_FAULT[name](soak_state, duration_seconds),
            ),
        )
        await asyncio.sleep(soak_state.random.expovariate(1) + _MIN_GAP_SECONDS)
    await asyncio.gather(*tasks)
