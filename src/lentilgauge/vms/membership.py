"""Know which entry VMs are live, by direct heartbeats."""

import asyncio

from returns import result

from lentilgauge import clock, logs
from lentilgauge.links import http_client, state_messages
from lentilgauge.services import placement
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import object_writes

HEARTBEAT_PATH = '/peer/heartbeat'
#: Each VM is watched by this many others.
WATCHERS = 2
_LIVE = state_messages.VmState.LIVE


def _name(vm_id: str) -> str:
    return f'{state_messages.VM_PREFIX}{vm_id}'


def list_live_domains(
    controller: controller_module.Controller,
) -> dict[str, str]:
    """Map each live VM to its failure domain."""
    return {
        vm_id: vm.failure_domain
        for vm_id, vm in controller.replica.vm_by_id.items()
        if vm.state is _LIVE
    }


async def announce_vm(
    controller: controller_module.Controller,
    state: state_messages.VmState,
) -> bool:
    """Write this VM's own object."""
    body = state_messages.VmBody(
        failure_domain=controller.vm.failure_domain,
        address=str(controller.vm.address),
        port=controller.section.port,
        incarnation=controller.incarnation,
        state=state,
    )
    written = await object_writes.write_model(
        controller,
        _name(controller.vm_id),
        body,
    )
    return isinstance(written, result.Success)


def _is_announced(controller: controller_module.Controller) -> bool:
    known = controller.replica.vm_by_id.get(controller.vm_id)
    return (
        known is not None
        and known.state is _LIVE
        and known.incarnation == controller.incarnation
    )


async def announce_if_needed(
    controller: controller_module.Controller,
) -> None:
    """Announce this VM unless the platform has it as live."""
    known = controller.replica.confirmed_ms is not None
    if known and not _is_announced(controller):
        await announce_vm(controller, _LIVE)
        logs.log_change('announced this VM', vm=controller.vm_id)


async def keep_announced(controller: controller_module.Controller) -> None:
    """Announce this VM, and again whenever others took it for lost."""
    while True:
        if not controller.leaving:
            await announce_if_needed(controller)
        await controller_module.wait_for_change(
            controller,
            controller.section.confirm_ms,
        )


def list_watched(controller: controller_module.Controller) -> list[str]:
    """List the live VMs that this one watches.

    Each VM is watched by the first few of the others in rendezvous order,
    those of other failure domains first.
    """
    domain_by_vm = list_live_domains(controller)
    return [
        vm_id
        for vm_id in domain_by_vm
        if vm_id != controller.vm_id
        and controller.vm_id in _choose_watchers(vm_id, domain_by_vm)
    ]


def _choose_watchers(vm_id: str, domain_by_vm: dict[str, str]) -> set[str]:
    candidates = {
        other: domain
        for other, domain in domain_by_vm.items()
        if other != vm_id
    }
    watchers: set[str] = set()
    while candidates and len(watchers) < WATCHERS:
        chosen = placement.choose_controller(
            vm_id,
            domain_by_vm[vm_id],
            candidates,
        )
        if chosen is None:
            break
        watchers.add(chosen)
        candidates.pop(chosen)
    return watchers


async def _answers_heartbeat(
    controller: controller_module.Controller,
    vm_id: str,
) -> bool:
    vm = controller.replica.vm_by_id[vm_id]
    sent = await http_client.send_call(
        controller.client,
        http_client.Call(
            method='GET',
            url=f'http://{vm.address}:{vm.port}{HEARTBEAT_PATH}',
            timeout_ms=controller.section.call_timeout_ms,
        ),
    )
    controller.metrics.count('peer_heartbeats')
    return isinstance(sent, result.Success)


async def _check_peer(
    controller: controller_module.Controller,
    vm_id: str,
) -> None:
    asked_ms = controller.now_ms()
    if await _answers_heartbeat(controller, vm_id):
        controller.peer_deadline_by_id[vm_id] = (
            asked_ms + controller.section.peer_timeout_ms
        )
        return
    deadline_ms = controller.peer_deadline_by_id.setdefault(
        vm_id,
        asked_ms + controller.section.peer_timeout_ms,
    )
    if controller.now_ms() >= deadline_ms:
        await _mark_lost(controller, vm_id)


async def _mark_lost(
    controller: controller_module.Controller,
    vm_id: str,
) -> None:
    """Record that a VM is lost; if it lives it announces itself again."""
    vm = controller.replica.vm_by_id[vm_id]
    if vm.state is not _LIVE:
        return
    body = vm.model_copy(update={'state': state_messages.VmState.LOST})
    await object_writes.write_model(controller, _name(vm_id), body)
    controller.peer_deadline_by_id.pop(vm_id, None)
    logs.log_change('a VM is lost', vm=vm_id)


async def check_peers(controller: controller_module.Controller) -> None:
    """Send one heartbeat to each watched peer and mark the silent ones."""
    started_ms = controller.now_ms()
    watched = list_watched(controller)
    for gone in controller.peer_deadline_by_id.keys() - set(watched):
        controller.peer_deadline_by_id.pop(gone)
    await asyncio.gather(
        *(_check_peer(controller, vm_id) for vm_id in watched),
    )
    _forgive_after_pause(controller, started_ms)


async def watch_peers(controller: controller_module.Controller) -> None:
    """Check the peers for as long as the process lives."""
    while True:
        await check_peers(controller)
        await asyncio.sleep(
            clock.to_seconds(controller.section.peer_heartbeat_ms),
        )


def _forgive_after_pause(
    controller: controller_module.Controller,
    started_ms: int,
) -> None:
    """Start the count anew where it was us who stood still."""
    section = controller.section
    if controller.now_ms() - started_ms > section.peer_timeout_ms:
        controller.peer_deadline_by_id.clear()
