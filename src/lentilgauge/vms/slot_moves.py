"""Move slots away from the upstreams whose term this controller owns.

A move is claimed for a term before its owner is asked to give the slot up, so
that only one controller can complete it. That controller grants the slot
again while the platform is out of reach, unless a write that completes the
move may still take effect.
"""

import asyncio

from lentilgauge.contracts import lessor
from lentilgauge.links import state_messages
from lentilgauge.services import catalog, slots
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import lease_records, object_writes, replica, terms

#: Interval of steps while slots move, and of looking for moves otherwise.
_MOVE_STEP_INTERVAL_MS = 20
_MOVE_SEARCH_INTERVAL_MS = 200
#: Interval of checks that the platform can be reached while slots move.
_CLAIM_CHECK_INTERVAL_MS = 100


def _list_claimed_moves(
    lease_state: lessor.Lessor, slot_map: slots.SlotMap
) -> dict[int, slots.SlotMove]:
    outgoing_moves = slots.map_outgoing_moves(slot_map, lease_state.upstream_id)
    return {
        slot: slot_move
        for slot, slot_move in outgoing_moves.items()
        if slot_move.term == lease_state.term
    }


def list_retained_slots(
    lease_state: lessor.Lessor, slot_map: slots.SlotMap, now_ms: int
) -> list[int]:
    """List the moving slots that this term claimed and may still grant.

    Their claims aren't confirmed or have expired, and no write that completes
    their moves can take effect: none was sent, or the slot map has changed.
    """
    confirmed = now_ms < lease_state.claims_expire_ms
    sent_version_by_move = lease_state.sent_version_by_move
    claimed_moves = _list_claimed_moves(lease_state, slot_map)
    return [
        slot
        for slot, slot_move in claimed_moves.items()
        if not (confirmed and slot_move.number in lease_state.confirmed_moves)
        and sent_version_by_move.get(slot_move.number, 0) < slot_map.version
    ]


def list_given_up_moves(
    lease_state: lessor.Lessor,
    slot_map: slots.SlotMap,
) -> dict[int, slots.SlotMove]:
    """Map the moving slots that an upstream has given up to their moves.

    Only a grant based on a slot map that contains the claim counts. The
    upstream must have acknowledged it and finished the slot's requests.
    """
    if lease_state.acked_slots is None:
        return {}
    acked_slot_numbers = {granted.slot for granted in lease_state.acked_slots}
    return {
        slot: slot_move
        for slot, slot_move in _list_claimed_moves(
            lease_state, slot_map
        ).items()
        if slot_move.number in lease_state.confirmed_moves
        and lease_state.granted_map_epoch >= slot_move.number
        and slot not in acked_slot_numbers
        and slot not in lease_state.busy_slots
    }


def _list_completable_moves(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    upstream: catalog.Upstream,
    slot_map: slots.SlotMap,
) -> dict[int, slots.SlotMove]:
    """Map the slots whose move may be completed now to their moves.

    For an upstream that doesn't check tokens, record when the wait of each
    move ends. The wait begins when the slot is first found to be given up.
    """
    given_up_moves = list_given_up_moves(lease_state, slot_map)
    wait_ms = lease_records.find_stale_routing_ms(controller, upstream)
    if not wait_ms:
        return given_up_moves
    now_ms = controller.now_ms()
    lease_state.deadline_by_move_number = {
        slot_move.number: lease_state.deadline_by_move_number.get(
            slot_move.number,
            now_ms + wait_ms,
        )
        for slot_move in given_up_moves.values()
    }
    return {
        slot: slot_move
        for slot, slot_move in given_up_moves.items()
        if now_ms >= lease_state.deadline_by_move_number[slot_move.number]
    }


def _may_move(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    upstream: catalog.Upstream,
) -> bool:
    """Check that the lease is this controller's and may be granted."""
    current_lease = terms.find_current_lease(controller, upstream.id)
    if current_lease is not lease_state or lease_state.stepped_down:
        return False
    record = controller.replica.term_by_upstream[upstream.id]
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    return (
        lease_state.ready
        and not record.released
        and slot_map.lease_by_id.get(upstream.id) == record.lease
    )


async def _claim_moves(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Claim the moves of the upstream's slots that no later term has."""
    age_ms = controller_module.get_confirmed_age_ms(controller)
    if age_ms is None or age_ms >= controller.section.confirm_grace_ms:
        return

    def claim(latest_map: slots.SlotMap) -> slots.SlotMap | None:
        claimable_slots = [
            slot
            for slot, slot_move in slots.map_outgoing_moves(
                latest_map, upstream.id
            ).items()
            if slot_move.term < lease_state.term
        ]
        if not claimable_slots or not _may_move(
            controller, lease_state, upstream
        ):
            return None
        return slots.claim_moves(latest_map, claimable_slots, lease_state.term)

    await object_writes.change_slot_map(controller, upstream.service, claim)


async def _check_claims(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Confirm the claims by reading the term's record again.

    A controller that opens a later term afterwards reads the claims before it
    grants. While the platform doesn't answer, none is confirmed.
    """
    slot_map = controller.replica.slot_map_by_service[upstream.service]
    claimed_numbers = frozenset(
        slot_move.number
        for slot_move in _list_claimed_moves(lease_state, slot_map).values()
    )
    lease_state.sent_version_by_move = {
        number: version
        for number, version in lease_state.sent_version_by_move.items()
        if number in claimed_numbers
    }
    if not claimed_numbers:
        lease_state.confirmed_moves = frozenset()
        lease_state.claims_due_ms = 0
        return
    unconfirmed_numbers = claimed_numbers - lease_state.confirmed_moves
    newly_claimed = unconfirmed_numbers and lease_state.confirmed_moves
    if controller.now_ms() < lease_state.claims_due_ms and not newly_claimed:
        return
    replied = await object_writes.refresh_object(
        controller, f'{state_messages.TERM_PREFIX}{upstream.id}'
    )
    confirmed = replied and _may_move(controller, lease_state, upstream)
    lease_state.confirmed_moves = claimed_numbers if confirmed else frozenset()
    lease_state.claims_due_ms = controller.now_ms() + _CLAIM_CHECK_INTERVAL_MS
    lease_state.claims_expire_ms = (
        lease_state.claims_due_ms + controller.platform_link.timeout_ms
    )
    # The slots to grant may have changed.
    await replica.notify_waiters(controller.replica)


async def _complete_moves(
    controller: controller_module.Controller,
    lease_state: lessor.Lessor,
    upstream: catalog.Upstream,
) -> None:
    """Complete the moves of slots that the upstream has given up."""

    def finish(latest_map: slots.SlotMap) -> slots.SlotMap | None:
        if not _may_move(controller, lease_state, upstream):
            return None
        completable_moves = _list_completable_moves(
            controller, lease_state, upstream, latest_map
        )
        if not completable_moves:
            return None
        lease_state.sent_version_by_move |= {
            slot_move.number: latest_map.version
            for slot_move in completable_moves.values()
        }
        return slots.change_owners(
            latest_map,
            {
                slot: slot_move.target
                for slot, slot_move in completable_moves.items()
            },
        )

    await object_writes.change_slot_map(controller, upstream.service, finish)


async def advance_moves(
    controller: controller_module.Controller,
    upstream: catalog.Upstream,
) -> None:
    """Do the next steps of the moves of an upstream's slots."""
    lease_state = terms.find_current_lease(controller, upstream.id)
    if lease_state is None or not _may_move(controller, lease_state, upstream):
        return
    await _check_claims(controller, lease_state, upstream)
    await _complete_moves(controller, lease_state, upstream)
    await _claim_moves(controller, lease_state, upstream)


def _list_upstreams_with_moves(
    controller: controller_module.Controller,
) -> list[catalog.Upstream]:
    """List the upstreams whose lease is granted here and whose slots move."""
    local_replica = controller.replica
    return [
        upstream
        for upstream_id in controller.lease_state_by_upstream
        if (upstream := local_replica.config.upstream_by_id.get(upstream_id))
        and upstream.service in local_replica.slot_map_by_service
        and slots.map_outgoing_moves(
            local_replica.slot_map_by_service[upstream.service], upstream_id
        )
    ]


async def keep_moving_slots(controller: controller_module.Controller) -> None:
    """Run the moves of each upstream in a task of its own.

    Writes that wait for the platform hold up neither renewals nor the moves of
    other upstreams.
    """
    task_by_upstream: dict[str, asyncio.Task[None]] = {}
    while True:
        moving_upstreams = _list_upstreams_with_moves(controller)
        for upstream in moving_upstreams:
            task = task_by_upstream.get(upstream.id)
            if task is None or task.done():
                task_by_upstream[upstream.id] = asyncio.ensure_future(
                    advance_moves(controller, upstream)
                )
        await controller_module.wait_for_change(
            controller,
            _MOVE_STEP_INTERVAL_MS
            if moving_upstreams
            else _MOVE_SEARCH_INTERVAL_MS,
        )
