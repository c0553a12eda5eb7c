"""Renew the leases of the upstreams whose term this controller owns.

A controller sends each upstream either a grant, which renews its lease,
or a poll, which only reads the upstream's clock and state.
"""

import asyncio

from returns import result

from lentilgauge import logs
from lentilgauge.contracts import lease, lessor
from lentilgauge.links import state_messages, upstream_control
from lentilgauge.services import catalog, slots
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import lease_records, slot_moves, terms

#: Polling interval while an upstream has not acknowledged a grant or still
#: runs requests of a moving slot.
_MOVE_POLL_INTERVAL_MS = 20
#: Polling interval for leases that have no renewal task yet.
_NEW_LEASE_POLL_INTERVAL_MS = 200


def list_slots_to_grant(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    upstream: catalog.Upstream,
) -> tuple[lease.SlotGrant, ...]:
    """List the slots to grant to an upstream, with their epochs.

    A slot whose move was claimed is granted only while no write can complete
    that move.
    """
    replica = controller.replica
    slot_map = replica.slot_map_by_service[upstream.service]
    unclaimed_slots_by_owner = replica.unclaimed_slots_by_service[
        upstream.service
    ]
    granted_slots = [
        *unclaimed_slots_by_owner.get(upstream.id, ()),
        *slot_moves.list_retained_slots(
            lease_state, slot_map, controller.now_ms()
        ),
    ]
    return tuple(
        lease.SlotGrant(slot, slot_map.epoch_by_slot[slot])
        for slot in sorted(granted_slots)
    )


def is_leaseholder(
    record: state_messages.TermBody,
    slot_map: slots.SlotMap,
    lease_state: lessor.Lessor,
) -> bool:
    """Check whether the upstream that last replied holds the current lease.

    Its incarnation must be the recorded one, and the slot map must name the
    recorded lease.
    """
    clock_reading = lease_state.clock_reading
    return (
        clock_reading is not None
        and not record.released
        and record.holder == clock_reading.incarnation
        and slot_map.lease_by_id.get(lease_state.upstream_id) == record.lease
    )


def make_grant_or_poll(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    upstream: catalog.Upstream,
) -> lease.Grant:
    """Make a grant if the upstream holds its lease, else a poll."""
    record = controller.replica.term_by_upstream[upstream.id]
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    clock_reading = lease_state.clock_reading
    if clock_reading is None or not is_leaseholder(
        record, slot_map, lease_state
    ):
        return lessor.make_poll(lease_state)
    if not lease_state.ready or not lease_records.may_grant(
        controller, lease_state
    ):
        return lessor.make_poll(lease_state)
    return lessor.make_grant(
        lease_state,
        controller.lease_timing,
        clock_reading,
        list_slots_to_grant(controller, lease_state, upstream),
    )


def _find_stop_reason(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    upstream: catalog.Upstream,
) -> str:
    """Return why the lease of a leaseholder isn't renewed, empty if it is."""
    record = controller.replica.term_by_upstream[upstream.id]
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    if not is_leaseholder(record, slot_map, lease_state):
        return ''
    if not lease_state.ready:
        return 'slot map not read'
    if not lease_records.may_grant(controller, lease_state):
        return 'not vouched for'
    granted = lease_state.own_grants_lapse_ms > 0
    if granted and controller.now_ms() >= lease_state.own_grants_lapse_ms:
        return 'grants late'
    return ''


def _log_stop(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Log when renewals of a lease stop, with the reason, and resume."""
    stop_reason = _find_stop_reason(controller, lease_state, upstream)
    if stop_reason == lease_state.stop_reason:
        return
    lease_state.stop_reason = stop_reason
    now_ms = controller.now_ms()
    logs.log_change(
        'renewals stopped' if stop_reason else 'renewals resumed',
        upstream=upstream.id,
        term=lease_state.term,
        reason=stop_reason,
        confirmed_age_ms=controller_module.get_confirmed_age_ms(controller),
        vouches_left_ms=sorted(
            deadline_ms - now_ms
            for deadline_ms in lease_state.vouch_deadline_by_witness.values()
        ),
    )


async def send_grant_or_poll(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Send one grant or poll and apply the reply to the lease's state."""
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    _log_stop(controller, lease_state, upstream)
    grant = make_grant_or_poll(controller, lease_state, upstream)
    lease_state.granted_map_epoch = slot_map.epoch
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
    lessor.apply_reply(
        lease_state,
        controller.lease_timing,
        grant,
        reply,
        controller.now_ms(),
    )


def _is_exchange_due(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    upstream: catalog.Upstream,
) -> bool:
    """Check whether to send a grant or poll now.

    That is when a renewal is due, the slots to grant have changed, a grant
    is not acknowledged yet or a slot is moving away.
    """
    if controller.now_ms() >= lease_state.renewal_due_ms:
        return True
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    record = controller.replica.term_by_upstream[upstream.id]
    if not is_leaseholder(record, slot_map, lease_state):
        return False
    if (
        lease_state.granted_slots is not None
        and lease_state.acked_slots is None
    ):
        return True
    if slots.map_outgoing_moves(slot_map, upstream.id):
        return True
    return lease_state.granted_slots != list_slots_to_grant(
        controller, lease_state, upstream
    )


def find_next_wait_ms(
    controller: controller_module.Controller,
    upstream_id: str,
) -> int:
    """Return the milliseconds until a lease's next deadline.

    A change of the replica may require action earlier.
    """
    lease_state = controller.lease_state_by_upstream.get(upstream_id)
    if lease_state is None:
        return _MOVE_POLL_INTERVAL_MS
    now_ms = controller.now_ms()
    deadlines_ms = [
        lease_state.renewal_due_ms,
        lease_state.vacate_deadline_ms,
    ]
    if lease_state.lapse_deadline_ms is not None:
        deadlines_ms.append(lease_state.lapse_deadline_ms)
    if lease_state.acked_slots is None or lease_state.busy_slots:
        deadlines_ms.append(now_ms + _MOVE_POLL_INTERVAL_MS)
    waits_ms = [
        deadline_ms - now_ms
        for deadline_ms in deadlines_ms
        if deadline_ms is not None and deadline_ms > now_ms
    ]
    return max(1, min(waits_ms, default=_MOVE_POLL_INTERVAL_MS))


async def renew_lease(
    controller: controller_module.Controller,
    upstream_id: str,
) -> None:
    """Renew one upstream's lease while this controller owns its term."""
    while terms.find_current_lease(controller, upstream_id) is not None:
        upstream = controller.replica.config.upstream_by_id.get(upstream_id)
        if upstream is None:
            break
        if upstream.service in controller.replica.slot_map_by_service:
            await renew_once(controller, upstream)
        await controller_module.wait_for_change(
            controller,
            find_next_wait_ms(controller, upstream_id),
        )


async def renew_once(
    controller: controller_module.Controller,
    upstream: catalog.Upstream,
) -> None:
    """Send a grant or poll if one is due, then update the lease's records."""
    lease_state = terms.find_current_lease(controller, upstream.id)
    if lease_state is None:
        return
    if _is_exchange_due(controller, lease_state, upstream):
        lease_state.renewal_due_ms = (
            controller.now_ms() + controller.section.heartbeat_ms
        )
        await send_grant_or_poll(controller, lease_state, upstream)
    await lease_records.reconcile_lease(controller, lease_state, upstream)


async def renew_leases(controller: controller_module.Controller) -> None:
    """Run a renewal task for each upstream whose term this VM owns."""
    task_by_upstream: dict[str, asyncio.Task[None]] = {}
    while True:
        for upstream_id in list(controller.lease_state_by_upstream):
            task = task_by_upstream.get(upstream_id)
            if (task is None or task.done()) and terms.holds_term(
                controller,
                upstream_id,
            ):
                task_by_upstream[upstream_id] = asyncio.ensure_future(
                    renew_lease(controller, upstream_id),
                )
        await controller_module.wait_for_change(
            controller, _NEW_LEASE_POLL_INTERVAL_MS
        )
