"""Run `lentilgauge-controller`."""

import asyncio
import sys

from lentilgauge import clock, logs, programs, settings
from lentilgauge.links import http_server, state_messages
from lentilgauge.operators import endpoint
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import (
    membership,
    once_keeping,
    peer_relay,
    planner,
    platform_watch,
    process,
    reload,
    renewals,
    terms,
    vm_list,
    witnesses,
)

_LEAVE_TICK_MS = 100


async def _leave(controller: controller_module.Controller) -> None:
    """Hand this VM's upstreams over before the process ends."""
    controller.leaving = True
    await membership.announce_vm(
        controller,
        state_messages.VmState.LEAVING,
    )
    deadline_ms = controller.now_ms() + controller.section.lease_ms
    while controller.now_ms() < deadline_ms and _holds_any(controller):
        await controller_module.wait_for_change(controller, _LEAVE_TICK_MS)


def _holds_any(controller: controller_module.Controller) -> bool:
    return any(
        terms.holds_term(controller, upstream_id)
        for upstream_id in controller.lessor_by_upstream
    )


async def run_controller(
    loaded: settings.ControllerFile,
    path: str,
) -> None:
    """Run a controller until it is told to stop."""
    controller = controller_module.make_controller(loaded)
    http_server.start_server(
        routes={
            **endpoint.make_relay_routes(controller),
            **once_keeping.make_once_routes(controller),
            **endpoint.make_command_routes(controller),
            **endpoint.make_query_routes(controller),
        },
        address=str(loaded.vm.address),
        port=loaded.controller.port,
    )

    def adopt(reloaded: settings.ControllerFile) -> tuple[str, ...]:
        merged = reload.merge_section(
            controller.section,
            reloaded.controller,
            reload.FIXED_CONTROLLER,
        )
        controller.section = merged.section
        logs.set_up_logs(reloaded.log)
        return merged.refused

    reload.reload_on_hangup(path, settings.ControllerFile, adopt)
    process.report_ready('controller')
    await process.run_until_stopped(
        [
            platform_watch.follow_platform(
                controller,
                loaded.platform.watch_ms,
            ),
            peer_relay.follow_peers(controller),
            vm_list.follow_vm_list(controller),
            membership.keep_announced(controller),
            membership.watch_peers(controller),
            terms.divide_upstreams(controller),
            terms.settle_terms(controller),
            witnesses.keep_vouched(controller),
            renewals.keep_leases(controller),
            planner.plan_services(controller),
        ],
        lambda: _leave(controller),
    )
    await asyncio.sleep(clock.to_seconds(_LEAVE_TICK_MS))


def run(settings_file: str, *, check: bool = False) -> None:
    """Run a controller, or with `--check` only check its settings."""
    loaded = process.load_settings(settings_file, settings.ControllerFile)
    if check:
        sys.stdout.write(f'{settings_file}: no fault found\n')
        return
    logs.set_up_logs(loaded.log)
    asyncio.run(run_controller(loaded, settings_file))


def main() -> None:
    """Start from the command line."""
    programs.run_program(run)
