"""Run `lentilgauge-entry`."""

import asyncio
import sys

from lentilgauge import clock, logs, process_memory, programs, settings
from lentilgauge.callers import caller_server as caller_server_module
from lentilgauge.callers import memory_watch, server
from lentilgauge.links import http_server
from lentilgauge.operators import http_routes
from lentilgauge.vms import entry as entry_module
from lentilgauge.vms import entry_feed, process, reload

#: Requests that were read as the connections ended are answered within this
#: time.
_LAST_ANSWERS_MS = 100


async def _wait_until_idle(entry: entry_module.Entry, wait_ms: int) -> None:
    try:
        await asyncio.wait_for(entry.idle.wait(), clock.to_seconds(wait_ms))
    except TimeoutError:
        logs.log_change(
            'closing connections with requests in flight',
            in_flight=entry.in_flight,
        )


async def _end_connections(
    entry: entry_module.Entry, caller_server: caller_server_module.CallerServer
) -> None:
    """Answer what has been read, and end all connections."""
    await _wait_until_idle(entry, entry.section.stop_grace_ms)
    caller_server.end_connections()
    await _wait_until_idle(entry, _LAST_ANSWERS_MS)
    await caller_server.close_ended_connections()


def _apply_settings(
    entry: entry_module.Entry,
    reloaded_settings: settings.EntryFile,
) -> tuple[str, ...]:
    """Apply reloaded settings; return the options that need a restart."""
    merged = reload.merge_section(
        entry.section,
        reloaded_settings.entry,
        reload.FIXED_ENTRY_OPTIONS,
    )
    entry.section = merged.section
    logs.set_up_daemon_logs(reloaded_settings.log)
    return merged.needs_restart


async def run_entry(file_settings: settings.EntryFile, path: str) -> None:
    """Run an entry until the process receives a stop signal."""
    entry = entry_module.make_entry(file_settings)
    address = str(file_settings.vm.address)
    caller_server = server.start_caller_server(entry, address=address)
    http_server.start_server(
        routes=http_routes.make_health_routes(
            entry.metrics,
            lambda: entry_module.is_fresh(entry) and not entry.leaving,
        ),
        address=address,
        port=file_settings.entry.admin_port,
    )

    async def stop() -> None:
        # The load balancer sends no more requests once it sees that the
        # entry isn't ready. Until then, requests are still served and their
        # callers asked to close the connection.
        entry.leaving = True
        section = entry.section
        await asyncio.sleep(clock.to_seconds(section.stop_notice_ms))
        caller_server.stop()
        await _end_connections(entry, caller_server)

    reload.reload_on_sighup(
        path,
        settings.EntryFile,
        lambda reloaded_settings: _apply_settings(entry, reloaded_settings),
    )
    process.report_ready('entry')
    await process.run_until_stopped(
        [
            entry_feed.keep_reading_changes(entry, file_settings.controller),
            memory_watch.watch(entry.account, entry.connections),
        ],
        stop,
    )


def run(settings_file: str, *, check: bool = False) -> None:
    """Run an entry, or only validate its settings with `--check`."""
    file_settings = process.load_settings(settings_file, settings.EntryFile)
    if check:
        sys.stdout.write(f'{settings_file}: settings are valid\n')
        return
    logs.set_up_daemon_logs(file_settings.log)
    process_memory.return_large_blocks()
    asyncio.run(run_entry(file_settings, settings_file))


def main() -> None:
    """Run the command line program."""
    programs.run_program(run)
