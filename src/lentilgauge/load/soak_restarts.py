"""Restart holders of keys at their address between two renewals."""

import asyncio
import random
import time

from lentilgauge.load import gateway_testbed, soak_checker, soak_faults
from lentilgauge.standins import fault_proxy, gateway_upstream

_MAX_DOWN_SECONDS = 0.6
#: How long the new process serves before it announces itself. Meanwhile orders
#: for the one before it arrive.
_MAX_UNANNOUNCED_SECONDS = 1.0
_MIN_SECONDS = 0.05
_MIN_INTERVAL_SECONDS = 1.0
_MAX_INTERVAL_SECONDS = 4.0
#: How long the entry of an ended upstream stays in the store.
_ENTRY_EXPIRY_SECONDS = 2.0


async def restart_holders(
    soak_state: soak_faults.SoakState, draws: random.Random, seconds: float
) -> None:
    """Restart keyed upstreams for a while, one after the other.

    It has draws of its own, so that each seed keeps its other faults.
    """
    end_seconds = time.monotonic() + seconds
    while time.monotonic() < end_seconds:
        await asyncio.sleep(
            draws.uniform(_MIN_INTERVAL_SECONDS, _MAX_INTERVAL_SECONDS)
        )
        free = [
            upstream.name
            for upstream in soak_state.testbed.upstream_by_id.values()
            if upstream.sharded
            and upstream.name not in soak_state.busy_subjects
        ]
        if free:
            await _restart_holder(soak_state, draws, draws.choice(free))


async def _restart_holder(
    soak_state: soak_faults.SoakState, draws: random.Random, upstream_id: str
) -> None:
    """Crash an upstream and start another process at its address soon after.

    The old entry stays in the store until the process has announced itself, and
    longer if the ids differ.
    """
    soak_state.injected_faults.append('restart a holder')
    soak_state.busy_subjects.add(upstream_id)
    upstream = soak_state.testbed.upstream_by_id[upstream_id]
    await _replace_process(soak_state, draws, upstream)
    await asyncio.sleep(draws.uniform(_MIN_SECONDS, _MAX_UNANNOUNCED_SECONDS))
    gateway_testbed.announce_upstream(soak_state.testbed, upstream.name)
    if upstream.name != upstream_id:
        await asyncio.sleep(_ENTRY_EXPIRY_SECONDS)
        soak_state.testbed.store.remove('servers', upstream_id)
    soak_state.busy_subjects -= {upstream_id, upstream.name}


async def _replace_process(
    soak_state: soak_faults.SoakState,
    draws: random.Random,
    upstream: gateway_upstream.Upstream,
) -> None:
    """Stop listening for a while; return as a process without holds.

    It has the same id or another, and may accept orders for any id. It isn't
    cold: no gateway could know so before it announces itself.
    """
    proxy = soak_state.proxy_by_upstream[upstream.name]
    address, _, port = upstream.announced_address.partition(':')
    await fault_proxy.close_proxy(proxy)
    upstream.restart()
    await asyncio.sleep(draws.uniform(_MIN_SECONDS, _MAX_DOWN_SECONDS))
    upstream.faults.accepts_any_id = draws.choice((True, False))
    if draws.choice((True, False)):
        _change_id(soak_state, upstream.name)
    await fault_proxy.listen(proxy, address=address, port=int(port))
    soak_checker.log_event(
        soak_state.checker,
        'restarted',
        upstream=upstream.name,
        accepts_any_id=upstream.faults.accepts_any_id,
    )


def _change_id(soak_state: soak_faults.SoakState, upstream_id: str) -> None:
    """Give an upstream an id that no process had before."""
    testbed = soak_state.testbed
    upstream = testbed.upstream_by_id.pop(upstream_id)
    upstream.name = f'{upstream_id.partition("-")[0]}-{upstream.incarnation_ms}'
    soak_state.busy_subjects.add(upstream.name)
    testbed.upstream_by_id[upstream.name] = upstream
    testbed.service_by_upstream[upstream.name] = (
        testbed.service_by_upstream.pop(upstream_id)
    )
    soak_state.proxy_by_upstream[upstream.name] = (
        soak_state.proxy_by_upstream.pop(upstream_id)
    )
