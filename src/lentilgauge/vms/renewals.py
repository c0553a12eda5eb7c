"""Renew the leases of the upstreams whose term this controller holds."""

import asyncio

from returns import result

from lentilgauge.contracts import lease, lessor
from lentilgauge.links import state_messages, upstream_control
from lentilgauge.services import catalog, slots
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import lease_records, terms

#: How soon to look again while an upstream still runs a moving slot.
_MOVE_TICK_MS = 20
#: How often to look for leases that have no loop yet.
_LEASES_TICK_MS = 200


def list_wanted(
    controller: controller_module.Controller,
    upstream: catalog.Upstream,
) -> tuple[lease.SlotGrant, ...]:
    """List the slots an upstream should be granted."""
    known = controller.replica
    epoch_by_slot = known.slot_map_by_service[upstream.service].epoch_by_slot
    kept_by_owner = known.kept_by_service[upstream.service]
    return tuple(
        lease.SlotGrant(slot, epoch_by_slot[slot])
        for slot in kept_by_owner.get(upstream.id, ())
    )


def may_hold(
    body: state_messages.TermBody,
    slot_map: slots.SlotMap,
    held: lessor.Lessor,
) -> bool:
    """Tell whether the upstream we hear is the one that holds the lease."""
    echo = held.echo
    return (
        echo is not None
        and not body.released
        and body.holder == echo.incarnation
        and slot_map.lease_by_id.get(held.upstream_id) == body.lease
    )


def choose_grant(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    upstream: catalog.Upstream,
) -> lease.Grant:
    """Choose what to send: a grant to the lease's holder, or a poll."""
    body = controller.replica.term_by_upstream[upstream.id]
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    echo = held.echo
    if echo is None or not may_hold(body, slot_map, held):
        return lessor.make_poll(held)
    if not held.ready or not lease_records.may_grant(controller, held):
        return lessor.make_poll(held)
    return lessor.make_grant(
        held,
        controller.terms,
        echo,
        list_wanted(controller, upstream),
    )


async def exchange_grant(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Send one grant or poll and learn from the answer."""
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    grant = choose_grant(controller, held, upstream)
    held.granted_map_epoch = slot_map.epoch
    controller.metrics.count('grants_sent')
    sent = await upstream_control.send_grant(
        controller.client,
        upstream,
        grant,
        controller.section.call_timeout_ms,
    )
    if not isinstance(sent, result.Success):
        controller.metrics.count('grants_unanswered')
        return
    reply = sent.unwrap()
    if reply.refusal is not None and grant.incarnation:
        controller.metrics.count('grants_refused', reply.refusal)
    lessor.absorb_reply(
        held,
        controller.terms,
        grant,
        reply,
        controller.now_ms(),
    )


def _waits_for_moves(
    held: lessor.Lessor,
    slot_map: slots.SlotMap,
) -> bool:
    """Tell whether the upstream should let go of slots it still runs."""
    return any(
        slot_map.owner_by_slot[slot] == held.upstream_id
        for slot in slot_map.move_by_slot
    )


def _needs_exchange(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    upstream: catalog.Upstream,
) -> bool:
    """Tell whether it is time to renew, or the granted slots changed."""
    if controller.now_ms() >= held.renewal_deadline_ms:
        return True
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    body = controller.replica.term_by_upstream[upstream.id]
    if not may_hold(body, slot_map, held):
        return False
    if held.granted_slots is not None and held.acked_slots is None:
        return True
    if _waits_for_moves(held, slot_map):
        return True
    return held.granted_slots != list_wanted(controller, upstream)


def find_wait_ms(
    controller: controller_module.Controller,
    upstream_id: str,
) -> int:
    """Return how long nothing needs doing for a lease unless news comes."""
    held = controller.lessor_by_upstream.get(upstream_id)
    if held is None:
        return _MOVE_TICK_MS
    now_ms = controller.now_ms()
    due_ms = [held.renewal_deadline_ms, held.vacate_deadline_ms]
    if held.lapse_deadline_ms is not None:
        due_ms.append(held.lapse_deadline_ms)
    if held.acked_slots is None or held.busy_slots:
        due_ms.append(now_ms + _MOVE_TICK_MS)
    ahead_ms = [
        moment_ms - now_ms
        for moment_ms in due_ms
        if moment_ms is not None and moment_ms > now_ms
    ]
    return max(1, min(ahead_ms, default=_MOVE_TICK_MS))


async def keep_lease(
    controller: controller_module.Controller,
    upstream_id: str,
) -> None:
    """Keep one upstream's lease for as long as this VM holds its term."""
    while terms.find_held(controller, upstream_id) is not None:
        upstream = controller.replica.config.upstream_by_id.get(upstream_id)
        if upstream is None:
            break
        if upstream.service in controller.replica.slot_map_by_service:
            await keep_once(controller, upstream)
        await controller_module.wait_for_change(
            controller,
            find_wait_ms(controller, upstream_id),
        )


async def keep_once(
    controller: controller_module.Controller,
    upstream: catalog.Upstream,
) -> None:
    """Exchange a grant where it is time to, and settle what follows."""
    held = terms.find_held(controller, upstream.id)
    if held is None:
        return
    if _needs_exchange(controller, held, upstream):
        held.renewal_deadline_ms = (
            controller.now_ms() + controller.section.heartbeat_ms
        )
        await exchange_grant(controller, held, upstream)
    await lease_records.settle_slots(controller, held, upstream)


async def keep_leases(controller: controller_module.Controller) -> None:
    """Run one renewal loop for each upstream whose term this VM holds."""
    task_by_upstream: dict[str, asyncio.Task[None]] = {}
    while True:
        for upstream_id in list(controller.lessor_by_upstream):
            task = task_by_upstream.get(upstream_id)
            if (task is None or task.done()) and terms.holds_term(
                controller,
                upstream_id,
            ):
                task_by_upstream[upstream_id] = asyncio.ensure_future(
                    keep_lease(controller, upstream_id),
                )
        await controller_module.wait_for_change(controller, _LEASES_TICK_MS)
