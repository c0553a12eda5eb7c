"""Detect which VMs are live by heartbeats between their controllers."""

import asyncio
import http

import pydantic
from returns import result

from lentilgauge import clock, logs
from lentilgauge.links import http_client, http_server, state_messages
from lentilgauge.services import placement
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import object_writes

HEARTBEAT_PATH = '/peer/heartbeat'
#: How many other VMs send heartbeats to each VM.
WATCHERS_PER_VM = 2
_LIVE = state_messages.VmState.LIVE


class HeartbeatMessage(pydantic.BaseModel):
    """Reply to a heartbeat: the VM whose controller sent it."""

    vm_id: str


def _make_object_name(vm_id: str) -> str:
    return f'{state_messages.VM_PREFIX}{vm_id}'


def map_live_domains(
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
    """Write this VM's own object with the given state.

    Return whether the write succeeded.
    """
    body = state_messages.VmBody(
        failure_domain=controller.vm.failure_domain,
        address=str(controller.vm.address),
        port=controller.section.port,
        incarnation=controller.incarnation,
        state=state,
    )
    write = await object_writes.write_if_unchanged(
        controller,
        _make_object_name(controller.vm_id),
        body,
    )
    return isinstance(write, result.Success)


def _is_announced(controller: controller_module.Controller) -> bool:
    own_object = controller.replica.vm_by_id.get(controller.vm_id)
    return (
        own_object is not None
        and own_object.state is _LIVE
        and own_object.incarnation == controller.incarnation
    )


async def announce_if_needed(
    controller: controller_module.Controller,
) -> None:
    """Announce this VM unless its object lists this process as live."""
    is_replica_confirmed = controller.replica.confirmed_ms is not None
    if is_replica_confirmed and not _is_announced(controller):
        await announce_vm(controller, _LIVE)
        logs.log_change('announced this VM as live', vm=controller.vm_id)


async def keep_announcing(controller: controller_module.Controller) -> None:
    """Announce this VM, and again whenever a peer has recorded it as lost."""
    while True:
        if not controller.leaving:
            await announce_if_needed(controller)
        await controller_module.wait_for_change(
            controller,
            controller.section.confirm_ms,
        )


def list_watched(controller: controller_module.Controller) -> list[str]:
    """List the live VMs to which this one sends heartbeats.

    Rendezvous hashing chooses the watchers of each VM. VMs of other failure
    domains are preferred.
    """
    domain_by_vm = map_live_domains(controller)
    return [
        vm_id
        for vm_id in domain_by_vm
        if vm_id != controller.vm_id
        and controller.vm_id in _choose_watchers(vm_id, domain_by_vm)
    ]


def _choose_watchers(vm_id: str, domain_by_vm: dict[str, str]) -> set[str]:
    domain_by_candidate = {
        candidate: domain
        for candidate, domain in domain_by_vm.items()
        if candidate != vm_id
    }
    watchers: set[str] = set()
    while domain_by_candidate and len(watchers) < WATCHERS_PER_VM:
        chosen = placement.choose_controller(
            vm_id,
            domain_by_vm[vm_id],
            domain_by_candidate,
        )
        if chosen is None:
            break
        watchers.add(chosen)
        domain_by_candidate.pop(chosen)
    return watchers


def answer_heartbeat(
    controller: controller_module.Controller,
) -> http_server.Response:
    """Reply to a heartbeat."""
    return http_server.respond(HeartbeatMessage(vm_id=controller.vm_id))


def _is_reply_of(reply: http_client.Reply, vm_id: str) -> bool:
    """Check whether a VM's controller has replied to a heartbeat.

    Those of earlier versions reply with an empty body.
    """
    if reply.status != http.HTTPStatus.OK:
        return False
    if not reply.body:
        return True
    try:
        message = HeartbeatMessage.model_validate_json(reply.body)
    except pydantic.ValidationError:
        return False
    return message.vm_id == vm_id


async def _send_heartbeat(
    controller: controller_module.Controller,
    vm_id: str,
) -> bool:
    """Send a heartbeat to a peer; return whether it replied.

    Another process may have taken the address of a peer that is gone.
    """
    vm = controller.replica.vm_by_id[vm_id]
    response = await http_client.send_call(
        controller.client,
        http_client.Call(
            method='GET',
            url=f'http://{vm.address}:{vm.port}{HEARTBEAT_PATH}',
            timeout_ms=controller.section.call_timeout_ms,
        ),
    )
    controller.metrics.count('peer_heartbeats')
    return isinstance(response, result.Success) and _is_reply_of(
        response.unwrap(), vm_id
    )


async def _check_peer(
    controller: controller_module.Controller,
    vm_id: str,
) -> None:
    sent_ms = controller.now_ms()
    if await _send_heartbeat(controller, vm_id):
        controller.peer_deadline_ms_by_id[vm_id] = (
            sent_ms + controller.section.peer_timeout_ms
        )
        return
    deadline_ms = controller.peer_deadline_ms_by_id.setdefault(
        vm_id,
        sent_ms + controller.section.peer_timeout_ms,
    )
    if controller.now_ms() >= deadline_ms:
        await _record_lost(controller, vm_id)


async def _record_lost(
    controller: controller_module.Controller,
    vm_id: str,
) -> None:
    """Record a VM as lost; if it is alive, it announces itself again."""
    vm = controller.replica.vm_by_id[vm_id]
    if vm.state is not _LIVE:
        return
    body = vm.model_copy(update={'state': state_messages.VmState.LOST})
    await object_writes.write_if_unchanged(
        controller, _make_object_name(vm_id), body
    )
    controller.peer_deadline_ms_by_id.pop(vm_id, None)
    logs.log_change('recorded a VM as lost', vm=vm_id)


async def send_heartbeats(controller: controller_module.Controller) -> None:
    """Send a heartbeat to each watched peer and record lost ones."""
    started_ms = controller.now_ms()
    watched = list_watched(controller)
    for unwatched_id in controller.peer_deadline_ms_by_id.keys() - set(watched):
        controller.peer_deadline_ms_by_id.pop(unwatched_id)
    await asyncio.gather(
        *(_check_peer(controller, vm_id) for vm_id in watched),
    )
    _reset_deadlines_after_pause(controller, started_ms)


async def monitor_peers(controller: controller_module.Controller) -> None:
    """Send heartbeats to the watched peers until the task is cancelled."""
    while True:
        await send_heartbeats(controller)
        await asyncio.sleep(
            clock.to_seconds(controller.section.peer_heartbeat_ms),
        )


def _reset_deadlines_after_pause(
    controller: controller_module.Controller,
    started_ms: int,
) -> None:
    """Discard the deadlines of peers if this process itself was paused.

    After a pause, missed heartbeats don't show that a peer is lost.
    """
    section = controller.section
    if controller.now_ms() - started_ms > section.peer_timeout_ms:
        controller.peer_deadline_ms_by_id.clear()
