"""Keep an entry's replica up to date from the controllers."""

import asyncio

from returns import result

from lentilgauge import clock, logs, settings
from lentilgauge.links import relay, state_messages
from lentilgauge.vms import entry as entry_module
from lentilgauge.vms import replica

_WAIT_MS = 1000
_TIMEOUT_MS = 500
_RETRY_MS = 100


def _list_sources(
    entry: entry_module.Entry,
    local: settings.LocalControllerSettings,
) -> list[str]:
    """List where changes can be had: this VM's controller, then others'."""
    others = [
        f'http://{vm.address}:{vm.port}'
        for vm_id, vm in entry.replica.vm_by_id.items()
        if vm_id != entry.vm.id and vm.state is state_messages.VmState.LIVE
    ]
    entry.random.shuffle(others)
    return [f'http://{local.address}:{local.port}', *others[:1]]


async def follow_controller(
    entry: entry_module.Entry,
    local: settings.LocalControllerSettings,
) -> None:
    """Follow the changes for as long as the process lives."""
    fresh = False
    while True:
        for source in _list_sources(entry, local):
            if await _follow_once(entry, source):
                break
        else:
            await asyncio.sleep(clock.to_seconds(_RETRY_MS))
        if entry_module.is_fresh(entry) != fresh:
            fresh = not fresh
            logs.log_change('freshness changed', fresh=fresh)


async def _follow_once(entry: entry_module.Entry, source: str) -> bool:
    asked_ms = entry.now_ms()
    fetched = await relay.fetch_changes(
        entry.client,
        source,
        relay.Wanted(
            after=entry.mark_by_url.get(source, relay.NO_MARK),
            wait_ms=_WAIT_MS,
            timeout_ms=_TIMEOUT_MS,
        ),
    )
    if not isinstance(fetched, result.Success):
        entry.metrics.count('relay_failures')
        return False
    message = fetched.unwrap()
    await replica.take_changes(
        entry.replica,
        message.changed,
        0,
    )
    entry.mark_by_url[source] = relay.Mark(message.source, message.serial)
    if message.changed:
        entry_module.adopt_configuration(entry)
    if message.fresh_age_ms is None:
        return False
    # The age is counted from the question, so waiting can't hide any of it.
    entry.fresh_deadline_ms = max(
        entry.fresh_deadline_ms,
        asked_ms - message.fresh_age_ms + entry.section.freshness_ms,
    )
    return True
