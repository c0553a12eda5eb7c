"""Inject seeded random faults into real gateways and what surrounds them."""

import asyncio
import dataclasses
import random
import signal
import time
import types
from collections.abc import Awaitable, Callable, Mapping

from lentilgauge.load import gateway_testbed, soak_checker
from lentilgauge.standins import (
    fault_proxy,
    gateway_documents,
    gateway_upstream,
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
class SoakState:
    """State of a running soak: its targets for faults, and those injected.

    `busy_subjects` has the names of the gateways, upstreams and the store that
    a fault affects now; they are left out when the next fault chooses its
    target. `injected_faults` lists the names of all faults injected so far, in
    their order.
    """

    testbed: gateway_testbed.Testbed
    checker: soak_checker.Checker
    random: random.Random
    store_proxy_by_vm: dict[str, fault_proxy.Proxy]
    proxy_by_upstream: dict[str, fault_proxy.Proxy]
    configuration_version: int = 1
    busy_subjects: set[str] = dataclasses.field(default_factory=set)
    injected_faults: list[str] = dataclasses.field(default_factory=list)


#: Injects one fault; most last for the given time in seconds.
FaultInjector = Callable[[SoakState, float], Awaitable[None]]


def _reserve(soak_state: SoakState, names: list[str]) -> str | None:
    """Choose a name that no fault affects and mark it busy, if there is one."""
    free = [name for name in names if name not in soak_state.busy_subjects]
    if not free:
        return None
    chosen = soak_state.random.choice(free)
    soak_checker.log_event(soak_state.checker, 'chosen', subject=chosen)
    soak_state.busy_subjects.add(chosen)
    return chosen


def _reserve_gateway(
    soak_state: SoakState,
) -> gateway_testbed.GatewayProcess | None:
    gateway_by_vm = {
        gateway.vm: gateway for gateway in soak_state.testbed.gateways
    }
    chosen = _reserve(soak_state, list(gateway_by_vm))
    return None if chosen is None else gateway_by_vm[chosen]


async def _kill_gateway(soak_state: SoakState, duration_seconds: float) -> None:
    gateway = _reserve_gateway(soak_state)
    if gateway is None:
        return
    with soak_checker.disturbance(
        soak_state.checker, gateway.vm, soak_state.busy_subjects
    ):
        await gateway_testbed.kill_gateway(gateway)
        await asyncio.sleep(duration_seconds / 2)
        await gateway_testbed.start_gateway(soak_state.testbed, gateway)


async def _terminate_gateway(soak_state: SoakState, _: float) -> None:
    gateway = _reserve_gateway(soak_state)
    if gateway is None or gateway.child is None:
        return
    with soak_checker.disturbance(
        soak_state.checker, gateway.vm, soak_state.busy_subjects
    ):
        gateway.child.send_signal(signal.SIGTERM)
        await gateway.child.wait()
        await gateway_testbed.start_gateway(soak_state.testbed, gateway)


async def _pause_gateway(
    soak_state: SoakState, duration_seconds: float
) -> None:
    gateway = _reserve_gateway(soak_state)
    if gateway is None or gateway.child is None:
        return
    with soak_checker.disturbance(
        soak_state.checker, gateway.vm, soak_state.busy_subjects
    ):
        gateway.child.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_seconds)
        soak_checker.record_resume(soak_state.checker)
        gateway.child.send_signal(signal.SIGCONT)


async def _reload_gateways(soak_state: SoakState, _: float) -> None:
    """Send SIGHUP to all free gateways, one after the other."""
    for gateway in soak_state.testbed.gateways:
        starting = (
            time.monotonic() - gateway.started_at < _MIN_AGE_FOR_SIGHUP_SECONDS
        )
        if (
            gateway.vm not in soak_state.busy_subjects
            and gateway.child
            and not starting
        ):
            gateway.child.send_signal(signal.SIGHUP)
            await asyncio.sleep(_MIN_GAP_SECONDS)


def _draw_link_faults(soak_state: SoakState) -> fault_proxy.FaultsMessage:
    drop = fault_proxy.ForwardingMode.DROP
    return soak_state.random.choice(
        (
            fault_proxy.FaultsMessage(delay_ms=_LINK_DELAY_MS),
            fault_proxy.FaultsMessage(refuse=True),
            fault_proxy.FaultsMessage(to_source=drop),
            fault_proxy.FaultsMessage(to_source=drop, to_target=drop),
        ),
    )


async def _impair_link(
    soak_state: SoakState,
    proxy: fault_proxy.Proxy,
    duration_seconds: float,
) -> None:
    """Impair a link for a while, with or without cutting its connections.

    A connection that fell silent stays so after the fault, until it is cut:
    dropped bytes aren't sent again.
    """
    proxy.faults = _draw_link_faults(soak_state)
    soak_checker.log_event(
        soak_state.checker, 'link', faults=proxy.faults.model_dump_json()
    )
    proxy.faults_changed.set()
    if soak_state.random.choice((True, False)):
        fault_proxy.reset_connections(proxy)
    await asyncio.sleep(duration_seconds)
    proxy.faults = fault_proxy.FaultsMessage()
    proxy.faults_changed.set()


async def _impair_store_link(
    soak_state: SoakState,
    duration_seconds: float,
) -> None:
    gateway = _reserve_gateway(soak_state)
    if gateway is None:
        return
    with soak_checker.disturbance(
        soak_state.checker, gateway.vm, soak_state.busy_subjects
    ):
        await _impair_link(
            soak_state,
            soak_state.store_proxy_by_vm[gateway.vm],
            duration_seconds,
        )


async def _impair_upstream_link(
    soak_state: SoakState,
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
    soak_state.busy_subjects.discard(chosen)


async def _restart_upstream(
    soak_state: SoakState, duration_seconds: float
) -> None:
    """Crash an upstream; it restarts with the same id, cold and without holds.

    Meanwhile nothing listens at its address.
    """
    chosen = _reserve(soak_state, list(soak_state.testbed.upstream_by_id))
    if chosen is None:
        return
    await _stop_and_restart_upstream(soak_state, chosen, duration_seconds)


async def _stop_and_restart_upstream(
    soak_state: SoakState,
    upstream_id: str,
    duration_seconds: float,
) -> None:
    """Stop an upstream, and start a cold one at the same address."""
    proxy = soak_state.proxy_by_upstream[upstream_id]
    upstream = soak_state.testbed.upstream_by_id[upstream_id]
    address, _, port = upstream.announced_address.partition(':')
    await fault_proxy.close_proxy(proxy)
    upstream.restart()
    await asyncio.sleep(duration_seconds)
    await fault_proxy.listen(proxy, address=address, port=int(port))
    upstream.restart(_COLD_START_SECONDS)
    gateway_testbed.announce_upstream(soak_state.testbed, upstream_id)
    await asyncio.sleep(_COLD_START_SECONDS)
    soak_state.busy_subjects.discard(upstream_id)


async def _drain_upstream(
    soak_state: SoakState, duration_seconds: float
) -> None:
    """Drain and stop an upstream, then start a new incarnation of it."""
    chosen = _reserve(soak_state, list(soak_state.testbed.upstream_by_id))
    if chosen is None:
        return
    gateway_testbed.announce_upstream(soak_state.testbed, chosen, 'draining')
    soak_state.checker.draining_by_upstream[chosen] = (
        soak_checker.BoundedChange(
            since=time.monotonic(),
            bound_seconds=soak_checker.DRAIN_BOUND_SECONDS,
        )
    )
    await asyncio.sleep(_DRAIN_SERVING_SECONDS)
    soak_state.testbed.store.remove('servers', chosen)
    await asyncio.sleep(_DRAIN_SERVING_SECONDS)
    soak_state.checker.draining_by_upstream.pop(chosen)
    await _stop_and_restart_upstream(soak_state, chosen, duration_seconds)


async def _make_upstream_faulty(
    soak_state: SoakState,
    duration_seconds: float,
) -> None:
    """Let an upstream refuse, lose replies, reply twice or mishandle orders."""
    chosen = _reserve(soak_state, list(soak_state.testbed.upstream_by_id))
    if chosen is None:
        return
    upstream = soak_state.testbed.upstream_by_id[chosen]
    drawn_faults = soak_state.random.choice(
        (
            gateway_upstream.UpstreamFaults(refuses_requests=True),
            gateway_upstream.UpstreamFaults(loses_answers=True),
            gateway_upstream.UpstreamFaults(duplicates_answers=True),
            gateway_upstream.UpstreamFaults(
                refuses_requests=True, duplicates_answers=True
            ),
            gateway_upstream.UpstreamFaults(ignores_orders=True),
            gateway_upstream.UpstreamFaults(delays_grants=True),
        ),
    )
    soak_checker.log_event(
        soak_state.checker, 'upstream', faults=str(drawn_faults)
    )
    gateway_upstream.change_faults(upstream, drawn_faults)
    await asyncio.sleep(duration_seconds)
    gateway_upstream.change_faults(upstream, gateway_upstream.UpstreamFaults())
    soak_state.busy_subjects.discard(chosen)


async def _make_store_faulty(
    soak_state: SoakState,
    duration_seconds: float,
) -> None:
    if _reserve(soak_state, [_STORE]) is None:
        return
    soak_checker.begin_disturbance(soak_state.checker, _STORE)
    faults = soak_state.testbed.store.faults
    name = soak_state.random.choice(
        ('down', 'silent', 'silent_watches', 'lose_writes', 'late', 'slow'),
    )
    soak_checker.log_event(soak_state.checker, 'store', name=name)
    faults.down = name == 'down'
    faults.unresponsive = name == 'silent'
    faults.silent_watches = name == 'silent_watches'
    faults.lose_write_answers = name in {'lose_writes', 'late'}
    faults.delay_writes = name == 'late'
    faults.delay_ms = _STORE_DELAY_MS if name == 'slow' else 0
    await asyncio.sleep(duration_seconds)
    soak_state.testbed.store.faults = type(faults)()
    soak_state.testbed.store.compact_history()
    soak_checker.end_disturbance(soak_state.checker, _STORE)
    soak_state.busy_subjects.discard(_STORE)


async def publish_configuration(soak_state: SoakState, _: float) -> None:
    """Write a new version of the configuration, with a route of its own.

    The route shows which version a gateway serves.
    """
    soak_state.configuration_version += soak_state.random.randint(1, 3)
    own_route = gateway_documents.RouteSpec(
        name=f'v{soak_state.configuration_version}',
        kind='safe',
        service='pooled',
    )
    soak_state.testbed.store.put(
        'config',
        'main',
        gateway_documents.make_configuration(
            soak_state.configuration_version,
            (*gateway_documents.DEFAULT_ROUTES, own_route),
        ),
    )
    soak_state.checker.published_at_by_version[
        soak_state.configuration_version
    ] = time.monotonic()


async def _evacuate_domain(
    soak_state: SoakState, duration_seconds: float
) -> None:
    domains = {
        upstream.failure_domain
        for upstream in soak_state.testbed.upstream_by_id.values()
    }
    if soak_state.checker.evacuated_by_domain:
        return
    chosen = soak_state.random.choice(sorted(domains))
    soak_state.testbed.store.put('evacuations', chosen, {})
    soak_state.checker.evacuated_by_domain[chosen] = soak_checker.BoundedChange(
        since=time.monotonic(),
        bound_seconds=soak_checker.EVACUATION_BOUND_SECONDS,
    )
    await asyncio.sleep(
        duration_seconds + soak_checker.EVACUATION_BOUND_SECONDS
    )
    soak_state.checker.evacuated_by_domain.pop(chosen)
    soak_state.testbed.store.remove('evacuations', chosen)


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
        'publish': publish_configuration,
        'evacuate a domain': _evacuate_domain,
    }
)
#: During each phase only some kinds of faults are injected, so that whatever
#: they leave alone stays undisturbed long enough for bounds in time to apply.
_PHASE_SECONDS = 12
_MIN_KINDS = 2
_MAX_KINDS = 5


def _draw_phase(soak_state: SoakState) -> list[str]:
    """Draw the kinds of faults for the next phase."""
    count = soak_state.random.randint(_MIN_KINDS, _MAX_KINDS)
    return soak_state.random.sample(list(INJECTOR_BY_FAULT), count)


async def inject_faults(soak_state: SoakState, seconds: float) -> None:
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
        soak_state.injected_faults.append(name)
        duration_seconds = soak_state.random.uniform(
            _MIN_FAULT_SECONDS,
            _MAX_FAULT_SECONDS,
        )
        soak_checker.log_event(
            soak_state.checker, 'fault', name=name, seconds=duration_seconds
        )
        tasks.append(
            asyncio.ensure_future(
                INJECTOR_BY_FAULT[name](soak_state, duration_seconds),
            ),
        )
        await asyncio.sleep(soak_state.random.expovariate(1) + _MIN_GAP_SECONDS)
    await asyncio.gather(*tasks)
