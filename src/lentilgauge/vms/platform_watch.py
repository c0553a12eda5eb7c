"""Update the replica by a watch on all of the platform's objects."""

import asyncio

from returns import result

from lentilgauge import clock, logs
from lentilgauge.links import object_api, platform_messages
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import replica

_RETRY_INTERVAL_MS = 200


async def keep_watching(
    controller: controller_module.Controller,
    wait_ms: int,
) -> None:
    """Watch the platform's objects until the task is cancelled."""
    last_reachable = True
    while True:
        # The first request must not wait for a change, as its response has all
        # objects.
        is_first = controller.replica.confirmed_ms is None
        replied = await watch_once(controller, 0 if is_first else wait_ms)
        if replied != last_reachable:
            last_reachable = replied
            logs.log_change(
                'platform reachability changed', reachable=last_reachable
            )
        if not replied:
            await asyncio.sleep(clock.to_seconds(_RETRY_INTERVAL_MS))


async def watch_once(
    controller: controller_module.Controller,
    wait_ms: int,
) -> bool:
    """Request changes once; return whether the platform replied."""
    sent_ms = controller.now_ms()
    response = await object_api.watch_changes(
        controller.platform_link,
        controller.replica.revision,
        wait_ms,
    )
    if not isinstance(response, result.Success):
        controller.metrics.count('platform_failures')
        return False
    await _apply_response(controller, response.unwrap(), sent_ms)
    return True


async def _apply_response(
    controller: controller_module.Controller,
    changes: platform_messages.ChangesMessage,
    sent_ms: int,
) -> None:
    controller.metrics.count('platform_watches')
    if changes.revision < controller.replica.revision:
        # A store replica that lags behind can't confirm that nothing is newer.
        controller.metrics.count('platform_stale_answers')
        return
    await replica.apply_changes(
        controller.replica,
        changes.changed,
        changes.revision,
    )
    # The response was made after the request was sent, so the replica now has
    # all changes up to that time.
    controller.replica.confirmed_ms = sent_ms
