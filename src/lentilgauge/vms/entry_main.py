"""Run `lentilgauge-entry`."""

import asyncio
import sys

from lentilgauge import clock, logs, programs, settings
from lentilgauge.callers import server
from lentilgauge.links import http_server
from lentilgauge.operators import endpoint
from lentilgauge.vms import entry as entry_module
from lentilgauge.vms import entry_feed, process, reload


async def _wait_until_idle(entry: entry_module.Entry, wait_ms: int) -> None:
    try:
        await asyncio.wait_for(entry.idle.wait(), clock.to_seconds(wait_ms))
    except TimeoutError:
        logs.log_change('requests are cut off', in_flight=entry.in_flight)


def _adopt(
    entry: entry_module.Entry,
    reloaded: settings.EntryFile,
) -> tuple[str, ...]:
    """Take reloaded settings on; return what needs a restart."""
    merged = reload.merge_section(
        entry.section,
        reloaded.entry,
        reload.FIXED_ENTRY,
    )
    entry.section = merged.section
    logs.set_up_logs(reloaded.log)
    return merged.refused


async def run_entry(loaded: settings.EntryFile, path: str) -> None:
    """Run an entry until it is told to stop."""
    entry = entry_module.make_entry(loaded)
    address = str(loaded.vm.address)
    callers = server.start_caller_server(entry, address=address)
    http_server.start_server(
        routes=endpoint.make_health_routes(
            entry.metrics,
            lambda: entry_module.is_fresh(entry) and not entry.leaving,
        ),
        address=address,
        port=loaded.entry.admin_port,
    )

    async def stop() -> None:
        # The balancer sees that we are not ready and sends no more; until
        # it does, whoever still comes is served and told to close.
        entry.leaving = True
        section = entry.section
        await asyncio.sleep(clock.to_seconds(section.stop_notice_ms))
        callers.stop()
        await _wait_until_idle(entry, section.stop_grace_ms)
        await callers.close_all_connections()

    reload.reload_on_hangup(
        path,
        settings.EntryFile,
        lambda reloaded: _adopt(entry, reloaded),
    )
    process.report_ready('entry')
    await process.run_until_stopped(
        [entry_feed.follow_controller(entry, loaded.controller)],
        stop,
    )


def run(settings_file: str, *, check: bool = False) -> None:
    """Run an entry, or with `--check` only check its settings."""
    loaded = process.load_settings(settings_file, settings.EntryFile)
    if check:
        sys.stdout.write(f'{settings_file}: no fault found\n')
        return
    logs.set_up_logs(loaded.log)
    asyncio.run(run_entry(loaded, settings_file))


def main() -> None:
    """Start from the command line."""
    programs.run_program(run)
