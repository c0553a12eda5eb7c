"""Let upstreams of a soak leave, or ask for pauses, by their answers alone."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from lentilgauge.load import gateway_testbed, soak_checker, soak_faults
from lentilgauge.standins import gateway_upstream

_MIN_INTERVAL_SECONDS = 1.0
_MAX_INTERVAL_SECONDS = 3.0
#: Longer than the bound on requests to an upstream that is leaving.
_LEAVING_SECONDS = 3.5
_MIN_PAUSE_SECONDS = 1.0
_MAX_PAUSE_SECONDS = 2.0
#: How long an upstream refuses with the same pause.
_REFUSING_SECONDS = 2.5

NoticeGiver = Callable[
    [soak_faults.SoakState, random.Random, gateway_upstream.Upstream],
    Awaitable[None],
]


async def give_notices(
    soak_state: soak_faults.SoakState, draws: random.Random, seconds: float
) -> None:
    """Give notices for a while, by one upstream after the other.

    It has draws of its own, so that each seed keeps its other faults.
    """
    end_seconds = time.monotonic() + seconds
    while time.monotonic() < end_seconds:
        await asyncio.sleep(
            draws.uniform(_MIN_INTERVAL_SECONDS, _MAX_INTERVAL_SECONDS)
        )
        free = [
            name
            for name in soak_state.testbed.upstream_by_id
            if name not in soak_state.busy_subjects
        ]
        if free:
            give_notice = draws.choice((_leave, _ask_for_pause))
            await _keep_busy(soak_state, draws, draws.choice(free), give_notice)


async def _keep_busy(
    soak_state: soak_faults.SoakState,
    draws: random.Random,
    upstream_id: str,
    give_notice: NoticeGiver,
) -> None:
    """Give one notice while no other fault concerns the upstream."""
    upstream = soak_state.testbed.upstream_by_id[upstream_id]
    soak_state.busy_subjects.add(upstream_id)
    try:
        await give_notice(soak_state, draws, upstream)
    finally:
        soak_state.busy_subjects.discard(upstream_id)


async def _leave(
    soak_state: soak_faults.SoakState,
    _: random.Random,
    upstream: gateway_upstream.Upstream,
) -> None:
    """Say in all answers that the process is leaving; then start another.

    The entry in the store says nothing of it.
    """
    soak_state.injected_faults.append('leave by answers')
    upstream.faults.leaving = True
    soak_checker.log_event(
        soak_state.checker, 'leaving', upstream=upstream.name
    )
    await asyncio.sleep(_LEAVING_SECONDS)
    upstream.restart()
    upstream.faults.leaving = False
    gateway_testbed.announce_upstream(soak_state.testbed, upstream.name)


async def _ask_for_pause(
    soak_state: soak_faults.SoakState,
    draws: random.Random,
    upstream: gateway_upstream.Upstream,
) -> None:
    """Refuse all requests, with a time after which to come back."""
    soak_state.injected_faults.append('ask for a pause')
    upstream.faults.retry_after_seconds = draws.uniform(
        _MIN_PAUSE_SECONDS, _MAX_PAUSE_SECONDS
    )
    soak_checker.log_event(
        soak_state.checker,
        'pausing',
        upstream=upstream.name,
        pause=upstream.faults.retry_after_seconds,
    )
    await asyncio.sleep(_REFUSING_SECONDS)
    upstream.faults.retry_after_seconds = 0
