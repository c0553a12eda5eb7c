"""Reconcile term records and slot maps with the state of leases.

An upstream's lease is opened and released in its term record. The slot map
names the lease while the upstream may own slots.
"""

from lentilgauge import logs
from lentilgauge.contracts import lessor
from lentilgauge.links import state_messages
from lentilgauge.services import catalog, placement, slots
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import object_writes, terms, witnesses


def may_grant(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
) -> bool:
    """Check whether a lease may be granted now.

    While the platform is unreachable, a quorum of the term's witnesses must
    vouch for it, as the controller of a later term first makes them stop.
    """
    if lease_state.stepped_down:
        return False
    age_ms = controller_module.get_confirmed_age_ms(controller)
    if age_ms is not None and age_ms < controller.section.confirm_grace_ms:
        return True
    return witnesses.has_vouch_quorum(lease_state, controller.now_ms())


async def reconcile_lease(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Do the next step that the lease's state requires, if there is one."""
    record = controller.replica.term_by_upstream[upstream.id]
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    available_lease = slot_map.lease_by_id.get(upstream.id)
    if record.released:
        if available_lease is not None:
            await _vacate_after_wait(controller, lease_state, upstream)
        elif _is_responsive(controller, lease_state):
            await _open_lease(controller, lease_state, record)
        return
    if available_lease != record.lease:
        await _make_available(controller, upstream)
        return
    if _is_lost(controller, lease_state, record):
        await _release_lease(controller, lease_state, record)


def _is_responsive(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
) -> bool:
    clock_reading = lease_state.clock_reading
    return clock_reading is not None and (
        controller.now_ms() - clock_reading.heard_ms
        < controller.section.lease_ms
    )


def _is_lost(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    record: state_messages.TermBody,
) -> bool:
    """Check whether the lease has lapsed with its holder silent or restarted.

    An upstream whose lease lapsed but which still replies as the same
    incarnation keeps it: the next grant renews it.
    """
    clock_reading = lease_state.clock_reading
    replaced = (
        clock_reading is not None and clock_reading.incarnation != record.holder
    )
    silent = not _is_responsive(controller, lease_state)
    return (silent or replaced) and lessor.has_lapsed(
        lease_state,
        controller.now_ms(),
    )


async def _open_lease(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    record: state_messages.TermBody,
) -> None:
    """Open a lease for the incarnation that last replied."""
    clock_reading = lease_state.clock_reading
    if clock_reading is None or not may_grant(controller, lease_state):
        return
    opened = record.model_copy(
        update={
            'lease': record.lease + 1,
            'holder': clock_reading.incarnation,
            'released': False,
        },
    )
    if await terms.write_term_record(controller, lease_state, opened):
        logs.log_change('opened a lease', upstream=lease_state.upstream_id)


async def _release_lease(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    record: state_messages.TermBody,
) -> None:
    """Record that the lease has ended, so that no term grants it again."""
    released = record.model_copy(update={'released': True, 'unsettled': []})
    if await terms.write_term_record(controller, lease_state, released):
        lease_state.granted_slots = None
        lease_state.acked_slots = None
        lease_state.vacate_deadline_ms = None
        logs.log_change('released a lease', upstream=lease_state.upstream_id)


async def _make_available(
    controller: controller_module.Controller,
    upstream: catalog.Upstream,
) -> None:
    """Make an upstream available for slots under its current lease."""
    record_by_upstream = controller.replica.term_by_upstream

    def add(slot_map: slots.SlotMap) -> slots.SlotMap | None:
        record = record_by_upstream[upstream.id]
        available_lease = slot_map.lease_by_id.get(upstream.id, 0)
        if record.released or available_lease >= record.lease:
            return None
        # All grants of an older lease have lapsed: free its slots.
        vacated = slots.remove_lease(slot_map, upstream.id)
        return slots.add_lease(vacated, upstream.id, record.lease)

    await object_writes.change_slot_map(controller, upstream.service, add)


def find_stale_routing_ms(
    controller: controller_module.Controller,
    upstream: catalog.Upstream,
) -> int:
    """Return how long entries may still route by an outdated slot map.

    An upstream that checks tokens refuses such requests itself, so the
    result is 0 ms. For any other upstream, all entries must have received
    the change or have stopped because their configuration is stale, and the
    requests that they sent before must have ended.
    """
    if upstream.checks_tokens:
        return 0
    longest_request_ms = max(
        (
            kind.timeout_ms
            for kind in controller.replica.config.kinds
            if kind.service == upstream.service
        ),
        default=0,
    )
    stale_ms = controller.section.entry_freshness_ms + longest_request_ms
    return lessor.bound_local_duration_ms(controller.lease_timing, stale_ms)


async def _vacate_after_wait(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Vacate a released lease's slots once no entry routes by them any more."""
    now_ms = controller.now_ms()
    if lease_state.vacate_deadline_ms is None:
        wait_ms = find_stale_routing_ms(controller, upstream)
        lease_state.vacate_deadline_ms = now_ms + wait_ms
    if now_ms < lease_state.vacate_deadline_ms:
        return
    await _vacate(controller, upstream)


async def _vacate(
    controller: controller_module.Controller,
    upstream: catalog.Upstream,
) -> None:
    """Reassign the slots of a released lease in one conditional write."""
    record_by_upstream = controller.replica.term_by_upstream

    def vacate(slot_map: slots.SlotMap) -> slots.SlotMap | None:
        record = record_by_upstream[upstream.id]
        available_lease = slot_map.lease_by_id.get(upstream.id)
        if (
            available_lease is None
            or not record.released
            or available_lease > record.lease
        ):
            return None
        vacated = slots.remove_lease(slot_map, upstream.id)
        return _fill_vacant(controller, upstream.service, vacated)

    await object_writes.change_slot_map(controller, upstream.service, vacate)


def _fill_vacant(
    controller: controller_module.Controller,
    service: str,
    slot_map: slots.SlotMap,
) -> slots.SlotMap:
    weight_by_id = placement.weigh_eligible_upstreams(
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
