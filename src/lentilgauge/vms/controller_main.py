"""Run `lentilgauge-controller`."""

import asyncio
import sys

from lentilgauge import clock, logs, programs, settings
from lentilgauge.links import http_server, state_messages
from lentilgauge.operators import http_routes
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import (
    idempotency_routes,
    membership,
    peer_relay,
    planner,
    platform_watch,
    process,
    reload,
    renewals,
    slot_moves,
    terms,
    vm_list,
    witnesses,
)

_HANDOVER_POLL_INTERVAL_MS = 100


async def _hand_over_terms(controller: controller_module.Controller) -> None:
    """Hand over this VM's terms before the process ends.

    The wait for other controllers to open new terms ends after the duration
    of one lease.
    """
    controller.leaving = True
    await membership.announce_vm(
        controller,
        state_messages.VmState.LEAVING,
    )
    deadline_ms = controller.now_ms() + controller.section.lease_ms
    while controller.now_ms() < deadline_ms and _owns_any_term(controller):
        await controller_module.wait_for_change(
            controller, _HANDOVER_POLL_INTERVAL_MS
        )


def _owns_any_term(controller: controller_module.Controller) -> bool:
    return any(
        terms.holds_term(controller, upstream_id)
        for upstream_id in controller.lease_state_by_upstream
    )


async def run_controller(
    file_settings: settings.ControllerFile,
    path: str,
) -> None:
    """Run a controller until the process receives a stop signal."""
    controller = controller_module.make_controller(file_settings)
    http_server.start_server(
        routes={
            **http_routes.make_relay_routes(controller),
            **idempotency_routes.make_idempotency_routes(controller),
            **http_routes.make_command_routes(controller),
            **http_routes.make_query_routes(controller),
        },
        address=str(file_settings.vm.address),
        port=file_settings.controller.port,
    )

    def apply_settings(
        reloaded_settings: settings.ControllerFile,
    ) -> tuple[str, ...]:
        merged = reload.merge_section(
            controller.section,
            reloaded_settings.controller,
            reload.FIXED_CONTROLLER_OPTIONS,
        )
        controller.section = merged.section
        logs.set_up_daemon_logs(reloaded_settings.log)
        return merged.needs_restart

    reload.reload_on_sighup(path, settings.ControllerFile, apply_settings)
    process.report_ready('controller')
    await process.run_until_stopped(
        [
            platform_watch.keep_watching(
                controller,
                file_settings.platform.watch_ms,
            ),
            peer_relay.keep_reading_from_peers(controller),
            vm_list.keep_checking_vm_list(controller),
            membership.keep_announcing(controller),
            membership.monitor_peers(controller),
            terms.keep_opening_terms(controller),
            terms.settle_terms(controller),
            witnesses.keep_requesting_vouches(controller),
            renewals.renew_leases(controller),
            slot_moves.keep_moving_slots(controller),
            planner.keep_planning_services(controller),
        ],
        lambda: _hand_over_terms(controller),
    )
    await asyncio.sleep(clock.to_seconds(_HANDOVER_POLL_INTERVAL_MS))


def run(settings_file: str, *, check: bool = False) -> None:
    """Run a controller, or only validate its settings with `--check`."""
    file_settings = process.load_settings(
        settings_file, settings.ControllerFile
    )
    if check:
        sys.stdout.write(f'{settings_file}: settings are valid\n')
        return
    logs.set_up_daemon_logs(file_settings.log)
    asyncio.run(run_controller(file_settings, settings_file))


def main() -> None:
    """Run the command line program."""
    programs.run_program(run)
