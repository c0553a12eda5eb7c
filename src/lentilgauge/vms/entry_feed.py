"""Update an entry's replica from its own or another VM's controller."""

import asyncio

from returns import result

from lentilgauge import clock, logs, settings
from lentilgauge.links import relay_link, state_messages
from lentilgauge.vms import entry as entry_module
from lentilgauge.vms import replica

#: How long a controller may wait for changes before it replies.
_LONG_POLL_MS = 1000
#: Additional time, beyond that wait, within which the reply must arrive.
_REPLY_TIMEOUT_MS = 500
_RETRY_INTERVAL_MS = 100


def _list_source_urls(
    entry: entry_module.Entry,
    local_controller: settings.LocalControllerSettings,
) -> list[str]:
    """List controllers to read changes from: the local one, then another."""
    other_urls = [
        f'http://{vm.address}:{vm.port}'
        for vm_id, vm in entry.replica.vm_by_id.items()
        if vm_id != entry.vm.id and vm.state is state_messages.VmState.LIVE
    ]
    entry.random.shuffle(other_urls)
    return [
        f'http://{local_controller.address}:{local_controller.port}',
        *other_urls[:1],
    ]


async def keep_reading_changes(
    entry: entry_module.Entry,
    local_controller: settings.LocalControllerSettings,
) -> None:
    """Read changes until the task is cancelled."""
    last_fresh = False
    while True:
        for source_url in _list_source_urls(entry, local_controller):
            if await _read_changes(entry, source_url):
                break
        else:
            await asyncio.sleep(clock.to_seconds(_RETRY_INTERVAL_MS))
        if entry_module.is_fresh(entry) != last_fresh:
            last_fresh = not last_fresh
            logs.log_change('configuration freshness changed', fresh=last_fresh)


async def _read_changes(entry: entry_module.Entry, source_url: str) -> bool:
    sent_ms = entry.now_ms()
    response = await relay_link.fetch_changes(
        entry.client,
        source_url,
        relay_link.ChangesRequest(
            after=entry.position_by_url.get(source_url, relay_link.NO_POSITION),
            wait_ms=_LONG_POLL_MS,
            timeout_ms=_REPLY_TIMEOUT_MS,
        ),
    )
    if not isinstance(response, result.Success):
        entry.metrics.count('relay_failures')
        return False
    message = response.unwrap()
    await replica.apply_changes(
        entry.replica,
        message.changed,
        0,
    )
    entry.position_by_url[source_url] = relay_link.Position(
        message.source, message.serial
    )
    if message.changed:
        entry_module.apply_configuration(entry)
    if message.fresh_age_ms is None:
        return False
    # The age counts from when the request was sent, so that the time of the
    # round trip is included.
    entry.fresh_deadline_ms = max(
        entry.fresh_deadline_ms,
        sent_ms - message.fresh_age_ms + entry.section.freshness_ms,
    )
    return True
