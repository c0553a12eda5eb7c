"""Follow the platform's objects with one watch."""

import asyncio

from returns import result

from lentilgauge import clock, logs
from lentilgauge.links import platform, platform_messages
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import replica

_RETRY_MS = 200


async def follow_platform(
    controller: controller_module.Controller,
    wait_ms: int,
) -> None:
    """Keep the replica up to date for as long as the process lives."""
    reachable = True
    while True:
        # The first answer must not wait: it carries everything there is.
        first = controller.replica.confirmed_ms is None
        followed = await follow_once(controller, 0 if first else wait_ms)
        if followed != reachable:
            reachable = followed
            logs.log_change('platform link changed', reachable=reachable)
        if not followed:
            await asyncio.sleep(clock.to_seconds(_RETRY_MS))


async def follow_once(
    controller: controller_module.Controller,
    wait_ms: int,
) -> bool:
    """Ask once for changes; tell whether the platform answered."""
    asked_ms = controller.now_ms()
    watched = await platform.watch_changes(
        controller.platform,
        controller.replica.revision,
        wait_ms,
    )
    if not isinstance(watched, result.Success):
        controller.metrics.count('platform_failures')
        return False
    await _take_answer(controller, watched.unwrap(), asked_ms)
    return True


async def _take_answer(
    controller: controller_module.Controller,
    changes: platform_messages.ChangesMessage,
    asked_ms: int,
) -> None:
    controller.metrics.count('platform_watches')
    if changes.revision < controller.replica.revision:
        # A lagging copy of the store confirms nothing.
        controller.metrics.count('platform_stale_answers')
        return
    await replica.take_changes(
        controller.replica,
        changes.changed,
        changes.revision,
    )
    # The answer was made after the question: nothing newer existed then.
    controller.replica.confirmed_ms = asked_ms
