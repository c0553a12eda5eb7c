"""Soak-test real gateways under random faults, checking their guarantees."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import shutil
import sys
import tempfile
import time

from lentilgauge.links import http_client
from lentilgauge.load import (
    gateway_testbed,
    soak_callers,
    soak_checker,
    soak_faults,
    soak_notice_checks,
    soak_notice_faults,
    soak_restarts,
    soak_stalls,
)
from lentilgauge.standins import (
    fault_proxy,
    gateway_documents,
    gateway_store,
    gateway_upstream,
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
_STATUS_OK = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Parameters of one soak run.

    `weakened_rule` names a rule that the gateways under test run without; if it
    is empty, they run all rules. Bounds in time are checked only if
    `checks_time_bounds` is set. Settings and logs of the gateways are written
    to `folder`.
    """

    seed: int
    fault_seconds: float
    checks_time_bounds: bool = True
    weakened_rule: str = ''
    folder: pathlib.Path


@dataclasses.dataclass(slots=True, kw_only=True)
class SoakOutcome:
    """Outcome of a soak run, with the names of the faults injected."""

    checker: soak_checker.Checker
    injected_faults: list[str]


async def _start_proxy(target_port: int) -> tuple[fault_proxy.Proxy, str]:
    """Start a proxy on loopback; return it and its listening address."""
    proxy = fault_proxy.Proxy(
        target_address=gateway_testbed.LOOPBACK,
        target_port=target_port,
    )
    port = await fault_proxy.listen(proxy, address=gateway_testbed.LOOPBACK)
    return proxy, f'{gateway_testbed.LOOPBACK}:{port}'


def _make_testbed(plan: Plan) -> gateway_testbed.Testbed:
    upstreams: dict[str, gateway_upstream.Upstream] = {}
    service_by_upstream: dict[str, str] = {}
    for number in range(_KEYED_UPSTREAM_COUNT + _POOLED_UPSTREAM_COUNT):
        keyed = number < _KEYED_UPSTREAM_COUNT
        name = f'k{number}' if keyed else f'p{number}'
        upstreams[name] = gateway_upstream.Upstream(
            name,
            sharded=keyed,
            execution_ms=_EXECUTION_MS,
        )
        upstreams[name].failure_domain = _DOMAINS[number % len(_DOMAINS)]
        service_by_upstream[name] = 'keyed' if keyed else 'pooled'
    return gateway_testbed.Testbed(
        folder=plan.folder,
        store=gateway_store.Store(),
        upstream_by_id=upstreams,
        service_by_upstream=service_by_upstream,
    )


async def _start_system(plan: Plan) -> soak_faults.SoakState:
    """Start the stand-ins and the gateways, with a proxy on each link."""
    testbed = _make_testbed(plan)
    soak_state = soak_faults.SoakState(
        testbed=testbed,
        checker=soak_checker.Checker(
            upstream_by_id=testbed.upstream_by_id,
            checks_time_bounds=plan.checks_time_bounds,
        ),
        random=_make_random(plan.seed),
        store_proxy_by_vm={},
        proxy_by_upstream={},
    )
    for upstream in testbed.upstream_by_id.values():
        await _add_upstream(soak_state, upstream)
    await soak_faults.publish_configuration(soak_state, 0)
    for number in range(_GATEWAY_COUNT):
        await _add_gateway(plan, soak_state, number)
    for gateway in testbed.gateways:
        await gateway_testbed.start_gateway(testbed, gateway)
    return soak_state


async def _add_upstream(
    soak_state: soak_faults.SoakState,
    upstream: gateway_upstream.Upstream,
) -> None:
    """Connect an upstream to the checker; announce the address of its proxy."""
    checker = soak_state.checker
    upstream.callbacks = gateway_upstream.Callbacks(
        execution_started=lambda execution: soak_checker.check_execution(
            checker, execution
        ),
        grant_accepted=lambda name, hold: soak_checker.check_grant(
            checker,
            name,
            hold,
        ),
        request_arrived=lambda name, request_id: (
            soak_notice_checks.check_arrival(checker, name, request_id)
        ),
        pause_requested=lambda name, request_id: (
            soak_notice_checks.record_refusal(checker, name, request_id)
        ),
    )
    proxy, address = await _start_proxy(upstream.port)
    upstream.announced_address = address
    soak_state.proxy_by_upstream[upstream.name] = proxy
    gateway_testbed.announce_upstream(soak_state.testbed, upstream.name)


async def _add_gateway(
    plan: Plan,
    soak_state: soak_faults.SoakState,
    number: int,
) -> None:
    proxy, address = await _start_proxy(soak_state.testbed.store.port)
    gateway = gateway_testbed.make_gateway_process(
        number,
        _DOMAINS[number % len(_DOMAINS)],
        address,
    )
    if plan.weakened_rule:
        gateway.module = _WEAKENED_MODULE
        gateway.arguments = (plan.weakened_rule,)
    soak_state.store_proxy_by_vm[gateway.vm] = proxy
    soak_state.testbed.gateways.append(gateway)


def _make_random(seed: object) -> random.Random:
    """Make a seeded random generator; nothing that it draws is a secret."""
    return random.Random(str(seed))  # ruff: ignore[suspicious-non-cryptographic-random-usage]


def _make_caller(
    soak_state: soak_faults.SoakState, name: str
) -> soak_callers.Caller:
    return soak_callers.Caller(
        name=name,
        checker=soak_state.checker,
        gateways=soak_state.testbed.gateways,
        random=_make_random(f'{name}/{soak_state.random.random()}'),
        client=http_client.make_client(),
    )


async def _is_served(
    caller: soak_callers.Caller,
    gateway: gateway_testbed.GatewayProcess,
    route: str,
) -> bool:
    """Return whether a gateway serves one request on a route."""
    caller.gateways = [gateway]
    reply = await soak_callers.send_attempt(
        caller,
        soak_callers.CallerRequest(
            route=route,
            target=f'/{route}/x',
            key=1,
            timeout_ms=soak_callers.DEADLINE_MS,
        ),
    )
    return reply is not None and reply.status == _STATUS_OK


async def _wait_until_served(
    soak_state: soak_faults.SoakState,
    caller: soak_callers.Caller,
    seconds: float,
) -> list[str]:
    """Wait until every gateway serves every route.

    Return what isn't known to be served in time: gateways, each with a route.
    """
    started_at = time.monotonic()
    deadline_seconds = started_at + seconds
    pending_probes = [
        (gateway, route_spec.name)
        for gateway in soak_state.testbed.gateways
        for route_spec in gateway_documents.DEFAULT_ROUTES
    ]
    while pending_probes and time.monotonic() < deadline_seconds:
        pending_probes = [
            (gateway, route)
            for gateway, route in pending_probes
            if not await _is_served(caller, gateway, route)
        ]
        if pending_probes:
            await asyncio.sleep(_POLL_SECONDS)
    unserved = [f'{gateway.vm}/{route}' for gateway, route in pending_probes]
    soak_checker.log_event(
        soak_state.checker,
        'served',
        after_seconds=time.monotonic() - started_at,
        unserved=unserved,
    )
    return unserved


async def _monitor_gateways(soak_state: soak_faults.SoakState) -> None:
    """Report gateways that exit unexpectedly, and restart them."""
    while True:
        await asyncio.sleep(_POLL_SECONDS)
        for gateway in soak_state.testbed.gateways:
            if gateway.vm not in soak_state.busy_subjects:
                await _restart_if_exited(soak_state, gateway)


async def _restart_if_exited(
    soak_state: soak_faults.SoakState,
    gateway: gateway_testbed.GatewayProcess,
) -> None:
    child = gateway.child
    if child is not None and child.returncode is not None:
        soak_checker.record_violation(
            soak_state.checker,
            f'exited unexpectedly: {gateway.vm} with status {child.returncode}',
        )
        await gateway_testbed.start_gateway(soak_state.testbed, gateway)


async def _run_faults(plan: Plan, soak_state: soak_faults.SoakState) -> None:
    readiness_caller = _make_caller(soak_state, 'watcher')
    monitor = asyncio.ensure_future(_monitor_gateways(soak_state))
    unserved = await _wait_until_served(
        soak_state, readiness_caller, _START_TIMEOUT_SECONDS
    )
    if unserved:
        soak_checker.record_violation(
            soak_state.checker,
            f'not serving every route in time after start-up: {unserved}',
        )
        monitor.cancel()
        return
    callers = [
        _make_caller(soak_state, f'c{number}')
        for number in range(_CALLER_COUNT)
    ]
    tasks = [
        asyncio.ensure_future(soak_callers.keep_sending(caller))
        for caller in callers
    ]
    prober = _make_caller(soak_state, 'prober')
    tasks.append(
        asyncio.ensure_future(
            soak_callers.keep_probing_versions(prober, _PROBE_INTERVAL_SECONDS),
        ),
    )
    tasks.append(monitor)
    await asyncio.gather(
        soak_faults.inject_faults(soak_state, plan.fault_seconds),
        soak_restarts.restart_holders(
            soak_state,
            _make_random(f'{plan.seed}/restarts'),
            plan.fault_seconds,
        ),
        soak_notice_faults.give_notices(
            soak_state,
            _make_random(f'{plan.seed}/notices'),
            plan.fault_seconds,
        ),
    )
    recovery_seconds = (
        _RECOVERY_BOUND_SECONDS
        if plan.checks_time_bounds
        else _START_TIMEOUT_SECONDS
    )
    unserved = await _wait_until_served(
        soak_state, readiness_caller, recovery_seconds
    )
    if unserved:
        soak_checker.record_violation(
            soak_state.checker,
            f'not serving every route in time after the last fault: {unserved}',
        )
    for task in tasks:
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.gather(*tasks)


async def run_plan(plan: Plan) -> SoakOutcome:
    """Run one soak and shut down everything that it started."""
    soak_state = await _start_system(plan)
    checker = soak_state.checker
    heartbeat = asyncio.ensure_future(
        soak_stalls.keep_measuring(checker.stalls)
    )
    try:
        await _run_faults(plan, soak_state)
    finally:
        heartbeat.cancel()
        await gateway_testbed.close_testbed(soak_state.testbed)
        for proxy in (
            *soak_state.store_proxy_by_vm.values(),
            *soak_state.proxy_by_upstream.values(),
        ):
            await fault_proxy.close_proxy(proxy)
        (plan.folder / 'soak.log').write_text(
            ''.join(f'{line}\n' for line in checker.event_lines),
            encoding='utf-8',
        )
    return SoakOutcome(
        checker=checker, injected_faults=soak_state.injected_faults
    )


def keep_logs(folder: pathlib.Path, seed: int) -> pathlib.Path:
    """Copy a failed run's logs to a folder that stays, and return that."""
    kept_folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    shutil.copytree(folder, kept_folder, dirs_exist_ok=True)
    return kept_folder


def _render_outcome(plan: Plan, outcome: SoakOutcome) -> str:
    event_counts = ', '.join(
        f'{name} {count}'
        for name, count in sorted(outcome.checker.event_counts.items())
    )
    stalls = outcome.checker.stalls.lengths_seconds
    lines = [
        f'seed {plan.seed}: {len(outcome.injected_faults)} faults, '
        f'{event_counts}',
        f'  the soak stood still {len(stalls)} times, '
        f'{max(stalls, default=0):.1f} s at most',
        *(f'  exempt: {exempt}' for exempt in outcome.checker.exemptions),
        *(f'  broken: {violation}' for violation in outcome.checker.violations),
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
                fault_seconds=minutes * _SECONDS_PER_MINUTE,
                weakened_rule=weakened,
                folder=folder,
            )
            outcome = asyncio.run(run_plan(plan))
            if outcome.checker.violations and not logs:
                sys.stdout.write(f'logs: {keep_logs(folder, run_seed)}\n')
        failed_runs += bool(outcome.checker.violations)
        sys.stdout.write(_render_outcome(plan, outcome))
        sys.stdout.flush()
    sys.exit(1 if failed_runs else 0)
