"""Bring records and slot maps in line with what leases have become."""

from lentilgauge import logs
from lentilgauge.contracts import lessor
from lentilgauge.links import state_messages
from lentilgauge.services import catalog, placement, slots
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import object_writes, terms, witnesses


def may_grant(
    controller: controller_module.Controller,
    held: lessor.Lessor,
) -> bool:
    """Tell whether a lease may be granted now.

    While the platform is out of reach, only as long as a quorum of the
    term's witnesses vouches for it: a successor has them stop first.
    """
    if held.stepped_down:
        return False
    age_ms = controller_module.get_confirmed_age_ms(controller)
    if age_ms is not None and age_ms < controller.section.confirm_grace_ms:
        return True
    return witnesses.is_vouched(held, controller.now_ms())


async def settle_slots(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Bring records and slot map in line with what the lease has become."""
    body = controller.replica.term_by_upstream[upstream.id]
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    known = slot_map.lease_by_id.get(upstream.id)
    if body.released:
        if known is not None:
            await _vacate_in_time(controller, held, upstream)
        elif _is_heard(controller, held):
            await _offer_lease(controller, held, body)
        return
    if known != body.lease:
        await _make_available(controller, upstream)
        return
    if _is_lost(controller, held, body):
        await _release_lease(controller, held, body)
        return
    await _finish_moves(controller, held, upstream)


def _is_heard(
    controller: controller_module.Controller,
    held: lessor.Lessor,
) -> bool:
    echo = held.echo
    return echo is not None and (
        controller.now_ms() - echo.heard_ms < controller.section.lease_ms
    )


def _is_lost(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    body: state_messages.TermBody,
) -> bool:
    """Tell whether the holder is silent or replaced and its lease lapsed.

    A lapsed upstream that still answers gets its lease back at once.
    """
    echo = held.echo
    replaced = echo is not None and echo.incarnation != body.holder
    silent = not _is_heard(controller, held)
    return (silent or replaced) and lessor.has_lapsed(
        held,
        controller.now_ms(),
    )


async def _offer_lease(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    body: state_messages.TermBody,
) -> None:
    """Open a lease for the incarnation that we hear."""
    echo = held.echo
    if echo is None or not may_grant(controller, held):
        return
    offered = body.model_copy(
        update={
            'lease': body.lease + 1,
            'holder': echo.incarnation,
            'released': False,
        },
    )
    if await terms.write_record(controller, held, offered):
        logs.log_change('opened a lease', upstream=held.upstream_id)


async def _release_lease(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    body: state_messages.TermBody,
) -> None:
    """Record that the lease is over; nobody grants under it any more."""
    released = body.model_copy(update={'released': True, 'unsettled': []})
    if await terms.write_record(controller, held, released):
        held.granted_slots = None
        held.acked_slots = None
        held.vacate_deadline_ms = None
        logs.log_change('released a lease', upstream=held.upstream_id)


async def _make_available(
    controller: controller_module.Controller,
    upstream: catalog.Upstream,
) -> None:
    """Let slots be given to an upstream under its lease."""
    records = controller.replica.term_by_upstream

    def add(slot_map: slots.SlotMap) -> slots.SlotMap | None:
        body = records[upstream.id]
        known = slot_map.lease_by_id.get(upstream.id, 0)
        if body.released or known >= body.lease:
            return None
        # What was granted under an older lease is over.
        vacated = slots.remove_available(slot_map, upstream.id)
        return slots.add_available(vacated, upstream.id, body.lease)

    await object_writes.change_slot_map(controller, upstream.service, add)


def find_unchecked_wait_ms(
    controller: controller_module.Controller,
    upstream: catalog.Upstream,
) -> int:
    """Return how long entries may still send what they no longer should.

    An upstream that checks tokens refuses that itself. For any other one
    all entries must have learned of the change, or have stopped for want of
    fresh configuration, and what they sent before must have ended.
    """
    if upstream.checks_tokens:
        return 0
    longest_ms = max(
        (
            kind.timeout_ms
            for kind in controller.replica.config.kinds
            if kind.service == upstream.service
        ),
        default=0,
    )
    span_ms = controller.section.entry_freshness_ms + longest_ms
    return lessor.stretch(controller.terms, span_ms)


async def _vacate_in_time(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Vacate a released lease's slots once nothing can be sent there."""
    now_ms = controller.now_ms()
    if held.vacate_deadline_ms is None:
        wait_ms = find_unchecked_wait_ms(controller, upstream)
        held.vacate_deadline_ms = now_ms + wait_ms
    if now_ms < held.vacate_deadline_ms:
        return
    await _vacate(controller, upstream)


async def _vacate(
    controller: controller_module.Controller,
    upstream: catalog.Upstream,
) -> None:
    """Give the slots of a released lease to others in one write."""
    records = controller.replica.term_by_upstream

    def vacate(slot_map: slots.SlotMap) -> slots.SlotMap | None:
        body = records[upstream.id]
        known = slot_map.lease_by_id.get(upstream.id)
        if known is None or not body.released or known > body.lease:
            return None
        vacated = slots.remove_available(slot_map, upstream.id)
        return _fill_vacant(controller, upstream.service, vacated)

    await object_writes.change_slot_map(controller, upstream.service, vacate)


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
) -> dict[int, slots.Move]:
    """Map the slots that an upstream has let go of to their moves.

    Only a grant made after a move was asked for answers that move.
    """
    if held.acked_slots is None:
        return {}
    acked = {granted.slot for granted in held.acked_slots}
    return {
        slot: move
        for slot, move in slot_map.move_by_slot.items()
        if slot_map.owner_by_slot[slot] == held.upstream_id
        and held.granted_map_epoch >= move.number
        and slot not in acked
        and slot not in held.busy_slots
    }


def _list_due_moves(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    upstream: catalog.Upstream,
) -> dict[int, slots.Move]:
    """Map the slots that may now go to others to their moves."""
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    given_up = list_given_up(held, slot_map)
    wait_ms = find_unchecked_wait_ms(controller, upstream)
    if not wait_ms:
        return given_up
    now_ms = controller.now_ms()
    held.move_deadline_by_number = {
        move.number: held.move_deadline_by_number.get(
            move.number,
            now_ms + wait_ms,
        )
        for move in given_up.values()
    }
    return {
        slot: move
        for slot, move in given_up.items()
        if now_ms >= held.move_deadline_by_number[move.number]
    }


async def _finish_moves(
    controller: controller_module.Controller,
    held: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Hand over the slots that the upstream has let go of."""
    service = upstream.service
    given_up = _list_due_moves(controller, held, upstream)
    if not given_up:
        return

    def finish(current: slots.SlotMap) -> slots.SlotMap | None:
        taker_by_slot = {
            slot: move.taker
            for slot, move in given_up.items()
            if current.move_by_slot.get(slot) == move
        }
        if not taker_by_slot:
            return None
        return slots.change_owners(current, taker_by_slot)

    await object_writes.change_slot_map(controller, service, finish)
