"""Renew the leases of the upstreams whose term this controller holds."""

import asyncio

from returns import result

from lentilgauge import clock, logs
from lentilgauge.contracts import lease, lessor
from lentilgauge.links import upstream_control
from lentilgauge.services import catalog, placement, slots
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import object_writes, terms

_TICK_MS = 50


def may_grant(
    controller: controller_module.Controller,
    held: lessor.Lessor,
) -> bool:
    """Tell whether a lease may be granted now.

    While the platform is out of reach what stands is renewed, but only for
    the allowance, which every successor waits out.
    """
    if held.stepped_down:
        return False
    age_ms = controller_module.get_confirmed_age_ms(controller)
    return age_ms is not None and (
        age_ms < controller.section.outage_allowance_ms
    )


def list_wanted(
    slot_map: slots.SlotMap,
    upstream_id: str,
) -> tuple[lease.SlotGrant, ...]:
    """List the slots an upstream should be granted."""
    return tuple(
        lease.SlotGrant(slot, slot_map.epoch_by_slot[slot])
        for slot in slots.list_kept_slots(slot_map, upstream_id)
    )


def choose_grant(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    slot_map: slots.SlotMap,
) -> lease.Grant:
    """Choose what to send: a grant to the recorded incarnation, or a poll."""
    recorded = slot_map.incarnation_by_id.get(held.upstream_id)
    echo = held.echo
    if echo is None or recorded != echo.incarnation:
        return lessor.make_poll(held)
    if not may_grant(controller, held):
        return lessor.make_poll(held)
    return lessor.make_grant(
        held,
        controller.terms,
        echo,
        list_wanted(slot_map, held.upstream_id),
    )


async def exchange_grant(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Send one grant or poll and learn from the answer."""
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    grant = choose_grant(controller, held, slot_map)
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


async def settle_slots(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Bring the slot map in line with what the lease has become."""
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    recorded = slot_map.incarnation_by_id.get(held.upstream_id)
    echo = held.echo
    if recorded is None:
        await _offer_upstream(controller, held, upstream)
        return
    now_ms = controller.now_ms()
    silent = echo is None or now_ms - echo.heard_ms >= (
        controller.section.lease_ms
    )
    replaced = echo is not None and echo.incarnation != recorded
    # A lapsed upstream that still answers gets its lease back at once.
    if (silent or replaced) and lessor.has_lapsed(held, now_ms):
        await _release_upstream(controller, held, upstream)
        return
    await _finish_moves(controller, held, upstream)


async def _offer_upstream(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Make an upstream that holds nothing available, once it is heard."""
    echo = held.echo
    now_ms = controller.now_ms()
    if held.lapse_deadline_ms is None:
        # Grants go to recorded incarnations only, and none is recorded.
        held.lapse_deadline_ms = now_ms
    if echo is None or not may_grant(controller, held):
        return
    if now_ms - echo.heard_ms > controller.section.lease_ms:
        return
    incarnation = echo.incarnation

    def offer(slot_map: slots.SlotMap) -> slots.SlotMap | None:
        if upstream.id in slot_map.incarnation_by_id:
            return None
        return slots.add_available(slot_map, upstream.id, incarnation)

    await object_writes.change_slot_map(controller, upstream.service, offer)


async def _release_upstream(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Give a lapsed upstream's slots to others in one write."""

    def release(slot_map: slots.SlotMap) -> slots.SlotMap | None:
        if upstream.id not in slot_map.incarnation_by_id:
            return None
        # A write may wait: the term may have gone to another meanwhile.
        if not terms.holds_term(controller, upstream.id):
            return None
        released = slots.remove_available(slot_map, upstream.id)
        return _fill_vacant(controller, upstream.service, released)

    done = await object_writes.change_slot_map(
        controller,
        upstream.service,
        release,
    )
    if done:
        held.granted_slots = None
        held.acked_slots = None
        logs.log_change('released an upstream', upstream=upstream.id)


def _fill_vacant(
    controller: controller_module.Controller,
    service: str,
    slot_map: slots.SlotMap,
) -> slots.SlotMap:
    weight_by_id = placement.list_eligible(
        controller.replica.config,
        service,
        slot_map,
    )
    placed = placement.place_slots(
        slot_map,
        weight_by_id,
        slots.list_vacant_slots(slot_map),
    )
    return slots.change_owners(slot_map, placed) if placed else slot_map


def list_given_up(
    held: lessor.Lessor,
    slot_map: slots.SlotMap,
) -> dict[int, str]:
    """Map the moving slots that an upstream has let go of to their takers."""
    if held.acked_slots is None:
        return {}
    acked = {granted.slot for granted in held.acked_slots}
    return {
        slot: taker
        for slot, taker in slot_map.next_by_slot.items()
        if slot_map.owner_by_slot[slot] == held.upstream_id
        and slot not in acked
        and slot not in held.busy_slots
    }


async def _finish_moves(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Hand over the slots that the upstream has let go of."""
    service = upstream.service
    slot_map = controller.replica.slot_map_by_service[service]
    given_up = list_given_up(held, slot_map)
    if not given_up:
        return

    def finish(current: slots.SlotMap) -> slots.SlotMap | None:
        moved = {
            slot: taker
            for slot, taker in given_up.items()
            if current.owner_by_slot[slot] == upstream.id
            and current.next_by_slot.get(slot) == taker
            and current.epoch_by_slot[slot] == slot_map.epoch_by_slot[slot]
        }
        return slots.change_owners(current, moved) if moved else None

    await object_writes.change_slot_map(controller, service, finish)


def _needs_exchange(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    upstream: catalog.Upstream,
) -> bool:
    """Tell whether it is time to renew, or the granted slots changed."""
    if controller.now_ms() >= held.renewal_deadline_ms:
        return True
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    recorded = slot_map.incarnation_by_id.get(held.upstream_id)
    if held.echo is None or recorded != held.echo.incarnation:
        return False
    if held.granted_slots is not None and held.acked_slots is None:
        return True
    if _waits_for_busy_slots(held, slot_map):
        return True
    return held.granted_slots != list_wanted(slot_map, held.upstream_id)


def _waits_for_busy_slots(
    held: lessor.Lessor,
    slot_map: slots.SlotMap,
) -> bool:
    return any(slot in held.busy_slots for slot in slot_map.next_by_slot)


async def keep_lease(
    controller: controller_module.Controller,
    upstream_id: str,
) -> None:
    """Keep one upstream's lease for as long as this VM holds its term."""
    while terms.holds_term(controller, upstream_id):
        upstream = controller.replica.config.upstream_by_id.get(upstream_id)
        if upstream is None:
            break
        if upstream.service in controller.replica.slot_map_by_service:
            await _keep_once(controller, upstream)
        await controller_module.wait_for_change(controller, _TICK_MS)


async def _keep_once(
    controller: controller_module.Controller,
    upstream: catalog.Upstream,
) -> None:
    held = controller.lessor_by_upstream[upstream.id]
    if _needs_exchange(controller, held, upstream):
        held.renewal_deadline_ms = (
            controller.now_ms() + controller.section.heartbeat_ms
        )
        await exchange_grant(controller, held, upstream)
    await settle_slots(controller, held, upstream)


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
        await asyncio.sleep(clock.to_seconds(_TICK_MS))
