"""Take over as granter and lead until the term ends.

One VM, the granter, grants keys, watches the store on behalf of all VMs and
passes on the changes. A VM becomes granter by writing the next term to the
ownership record in the store with a conditional update. Its term ends when the
record names another granter, or when the VM hands over because it leaves or
can't reach the store.
"""

import asyncio
import dataclasses
from collections.abc import Coroutine

import msgspec
from returns import result

from lentilgauge import clock, events
from lentilgauge.contracts import grant_timing, store_eras
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import peer_link, store_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import (
    granter_handover,
    granter_upstreams,
    key_assignment,
    key_orders,
    quota_borrowing,
    record_writer,
    restored_terms,
    store_watch,
    term_check,
    upstream_checks,
)
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import state_cache as state_cache_module

#: Longest pause between two checks for orders that are due.
TICK_MS = 50
_VIEW_TIMEOUT_MS = 150
#: Placeholder for the end of a grant of an earlier term. The real bound is
#: `GranterState.earlier_orders`.
INHERITED_GRANT_END_MS = 1


async def start_term(
    gateway: gateway_module.Gateway,
    document: store_link.Document | None,
    store_revision: int = 0,
) -> granter_state_module.GranterState | None:
    """Write the next term to the record, with this VM as granter.

    `store_revision` is the store's when it answered with the record. Return
    `None` if the record is unreadable or the write fails.
    """
    request_sent_ms = gateway.now_ms()
    record = _parse_stored_record(document)
    if record is None:
        events.log_event(events.Event.OBJECT_UNREADABLE)
        return None
    era = store_link.get_era(store_revision)
    if record.era < era:
        record = await restored_terms.rebuild_record(gateway, record, era)
        next_ownership = _prepare_term(gateway, record)
        next_ownership.unsettled = record.unsettled
        store_eras.doubt_holders(next_ownership, INHERITED_GRANT_END_MS)
        events.log_event(
            events.Event.HOLDERS_DOUBTED, term=next_ownership.term, era=era
        )
    else:
        next_ownership = _prepare_term(gateway, record)
    revision = 0 if document is None else document.revision
    packed_record = ownership_module.reserve_fences(
        ownership_module.make_record(next_ownership)
    )
    write_outcome = await gateway.store.write_record(packed_record, revision)
    if not record_writer.is_written(write_outcome, next_ownership.era):
        _log_failed_takeover(write_outcome)
        return None
    granter_state = granter_state_module.GranterState(
        gateway=gateway,
        ownership=next_ownership,
        revision=revision,
        recorded_fence_limit=0,
        reserved_fence_limit=0,
        confirmed_ms=request_sent_ms,
        earlier_orders=_bound_earlier_orders(gateway, next_ownership),
        term_started_ms=request_sent_ms,
    )
    record_writer.note_record_written(
        granter_state,
        packed_record,
        write_outcome.unwrap().revision,
        request_sent_ms,
    )
    gateway.is_granter = True
    gateway.state_cache.ownership = next_ownership
    state_cache_module.notify_change(gateway.state_cache)
    events.log_event(events.Event.GRANTER_STARTED, term=next_ownership.term)
    return granter_state


def _log_failed_takeover(write_outcome: store_link.WriteResult) -> None:
    """Log why a term hasn't begun; a write in a later era is a conflict."""
    failure = store_link.Failure.CONFLICT
    if not isinstance(write_outcome, result.Success):
        failure = write_outcome.failure()
    events.log_event(events.Event.TAKEOVER_FAILED, failure=failure)


def _parse_stored_record(
    document: store_link.Document | None,
) -> ownership_module.Record | None:
    """Parse the record in the store, which is empty before the first term.

    Return `None` if it is invalid.
    """
    if document is None:
        return ownership_module.Record()
    return ownership_module.parse_record(document.body)


def _prepare_term(
    gateway: gateway_module.Gateway,
    record: ownership_module.Record,
) -> ownership_module.Ownership:
    """Make the next term: the same holders under new fencing tokens."""
    next_ownership = ownership_module.make_ownership(record)
    had_granter = bool(next_ownership.term)
    if had_granter and not granter_handover.was_handed_over(gateway, record):
        next_ownership.unsettled = tuple(
            # Records of earlier versions name no VMs with these granters.
            msgspec.structs.replace(
                predecessor, vms=predecessor.vms or next_ownership.vms
            )
            for predecessor in (
                *next_ownership.unsettled,
                next_ownership.granter,
            )
        )
    else:
        # A granter that hands over accounts for all of its predecessors.
        next_ownership.unsettled = ()
    next_ownership.term += 1
    next_ownership.next_fence = max(
        next_ownership.next_fence, next_ownership.fence_floor
    )
    next_ownership.fence_floor = 0
    next_ownership.granter = gateway_module.describe_as_granter(gateway)
    if had_granter:
        _replace_tokens(next_ownership)
    ownership_module.advance_serial(next_ownership)
    return next_ownership


def _replace_tokens(next_ownership: ownership_module.Ownership) -> None:
    for range_table in next_ownership.table_by_service.values():
        for key_range in range_table.ranges:
            key_range.release_fence = ownership_module.allocate_fence(
                next_ownership
            )
            key_range.fence = ownership_module.allocate_fence(next_ownership)
            key_range.hold_end_ms = INHERITED_GRANT_END_MS
            key_range.hold_end_ms_by_previous_holder = dict.fromkeys(
                key_range.hold_end_ms_by_previous_holder,
                INHERITED_GRANT_END_MS,
            )


def _bound_earlier_orders(
    gateway: gateway_module.Gateway,
    next_ownership: ownership_module.Ownership,
) -> grant_timing.EarlierOrdersBounds:
    """Return first bounds on the orders of earlier granters.

    The end of holds is unknown if an earlier granter may not have stopped yet,
    and both are 0 if there was none. A granter that hands over has ended its
    orders before.
    """
    if next_ownership.unsettled:
        return grant_timing.bound_orders_before_stop(gateway.now_ms())
    if not gateway.predecessor_hold_ms:
        return grant_timing.EarlierOrdersBounds()
    return dataclasses.replace(
        grant_timing.bound_orders_after_stop(
            gateway.now_ms(), gateway.predecessor_hold_ms
        ),
        orders_end_ms=0,
    )


async def determine_earlier_orders(
    granter_state: granter_state_module.GranterState,
) -> None:
    """Name earlier granters in the record until their holds have ended."""
    unknown_ms = grant_timing.UNKNOWN_END_MS
    while not granter_state_module.have_earlier_holds_ended(granter_state):
        await asyncio.sleep(clock.to_seconds(TICK_MS))
        if granter_state.earlier_orders.holds_end_ms < unknown_ms:
            continue
        bounds = grant_timing.join_bounds(
            await asyncio.gather(
                *(
                    _find_orders_bounds(granter_state, predecessor)
                    for predecessor in granter_state.ownership.unsettled
                ),
            ),
        )
        if bounds != grant_timing.UNKNOWN_BOUNDS:
            granter_state.earlier_orders = bounds
    if granter_state.ownership.unsettled:
        granter_state.ownership.unsettled = ()
        granter_state_module.publish(granter_state, write_at_once=False)


async def _find_orders_bounds(
    granter_state: granter_state_module.GranterState,
    predecessor: ownership_module.Granter,
) -> grant_timing.EarlierOrdersBounds:
    """Return bounds on the orders of an earlier granter.

    They are unknown until that granter has stopped or half of its term's VMs
    follow this term.
    """
    gateway = granter_state.gateway
    if _is_followed_by_half(granter_state, predecessor.vms):
        return grant_timing.bound_orders_after_succession(
            gateway.now_ms(),
            _bound_hold_ms(granter_state, predecessor.vms),
        )
    if not await _has_predecessor_stopped(gateway, predecessor):
        return grant_timing.UNKNOWN_BOUNDS
    return grant_timing.bound_orders_after_stop(
        gateway.now_ms(),
        _bound_hold_ms(granter_state, predecessor.vms),
    )


def _list_followers(
    granter_state: granter_state_module.GranterState,
    earlier_vms: tuple[str, ...],
) -> set[str]:
    """List the VMs of the earlier term that follow this term.

    A VM that knows this term no longer follows an earlier one, however late its
    request arrives.
    """
    gateway = granter_state.gateway
    follower_vms = {
        vm
        for vm, known_term in gateway.known_term_by_vm.items()
        if known_term == granter_state.ownership.term
    }
    follower_vms.add(gateway.local_peer.vm)
    return follower_vms.intersection(earlier_vms)


def _is_followed_by_half(
    granter_state: granter_state_module.GranterState,
    earlier_vms: tuple[str, ...],
) -> bool:
    """Return whether half of the earlier term's VMs follow this term."""
    followers = _list_followers(granter_state, earlier_vms)
    return grant_timing.is_half(len(followers), len(earlier_vms))


def _bound_hold_ms(
    granter_state: granter_state_module.GranterState,
    earlier_vms: tuple[str, ...],
) -> int:
    """Return the longest hold that the earlier term may have granted.

    A granter grants long holds only if a majority of VMs reported a store
    outage to it. Any half that follows this term overlaps with that majority,
    so at least one of its VMs remembers the report.
    """
    gateway = granter_state.gateway
    followers = _list_followers(granter_state, earlier_vms)
    if not grant_timing.is_half(len(followers), len(earlier_vms)):
        return gateway.bounds.max_hold_ms
    since_ms = gateway.now_ms() - grant_timing.OUTAGE_REPORT_TTL_MS
    outage_reported_ms_by_vm = {
        **gateway.outage_reported_ms_by_vm,
        gateway.local_peer.vm: gateway.outage_reported_ms,
    }
    if any(outage_reported_ms_by_vm.get(vm, 0) >= since_ms for vm in followers):
        return gateway.bounds.max_hold_ms
    return min(grant_timing.DEFAULT_HOLD_MS, gateway.bounds.max_hold_ms)


async def _has_predecessor_stopped(
    gateway: gateway_module.Gateway,
    predecessor: ownership_module.Granter,
) -> bool:
    """Return whether an earlier granter certainly sends no more orders.

    A refused connection proves nothing: a partition may refuse connections.
    """
    if predecessor.incarnation == gateway.local_peer.incarnation:
        return True
    if not predecessor.address:
        # The record of this granter was lost with the store's last changes.
        return False
    reply = await peer_link.call_peer(
        gateway.client,
        peer_link.PeerCall(
            address=predecessor.address,
            path=peer_link.VIEW_PATH,
            timeout_ms=_VIEW_TIMEOUT_MS,
        ),
        peer_link.ViewMessage,
    )
    if not isinstance(reply, result.Success):
        return False
    view: peer_link.ViewMessage = reply.unwrap()
    if view.peer.incarnation != predecessor.incarnation:
        return True
    return not view.grants


async def run_term(granter_state: granter_state_module.GranterState) -> None:
    """Run the granter's tasks until its term ends."""
    gateway = granter_state.gateway
    coroutines: list[Coroutine[object, object, None]] = [
        store_watch.watch_all_topics(granter_state),
        record_writer.run_record_writer(granter_state),
        term_check.check_term_periodically(granter_state),
        store_watch.complete_topics(granter_state),
        granter_handover.hand_over_when_needed(granter_state),
        granter_handover.hand_over_from_small_vm(granter_state),
        determine_earlier_orders(granter_state),
    ]
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        while not granter_state.stopped:
            _raise_task_errors(tasks)
            granter_state_module.extend_right_to_order(granter_state)
            _run_due_work(granter_state)
            await state_cache_module.wait_for_change(
                gateway.state_cache, TICK_MS
            )
            # Batch changes that arrive together.
            await asyncio.sleep(clock.to_seconds(1))
    finally:
        granter_state_module.stop(granter_state, 'the granter loop ended')
        for task in tasks:
            task.cancel()


def _raise_task_errors(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        if task.done() and not task.cancelled():
            # A task ends only with the term: this raises its exception.
            task.result()


def _run_due_work(granter_state: granter_state_module.GranterState) -> None:
    """Apply reports, update the assignment and start orders that are due."""
    granter_upstreams.update_upstreams(granter_state)
    _apply_reports(granter_state)
    quota_borrowing.run_lending(granter_state)
    if store_watch.has_loaded_all_topics(granter_state):
        granter_state_module.note_granter_heard(granter_state)
        key_assignment.assign_keys(granter_state)
    key_orders.start_due_orders(granter_state)
    upstream_checks.start_due_checks(granter_state)
    _log_order_suspension(granter_state)


def _apply_reports(granter_state: granter_state_module.GranterState) -> None:
    """Apply the VMs' reports, this VM's included."""
    gateway = granter_state.gateway
    gateway.pending_reports.append(gateway_module.collect_report(gateway))
    for report in gateway.pending_reports:
        key_assignment.apply_report(granter_state, report)
    gateway.pending_reports.clear()


def _log_order_suspension(
    granter_state: granter_state_module.GranterState,
) -> None:
    """Log when orders to upstreams are suspended or resumed."""
    suspended = not granter_state_module.may_send_orders(granter_state)
    if (
        suspended != granter_state.orders_suspended
        and not granter_state.stopped
    ):
        granter_state.orders_suspended = suspended
        events.log_event(
            events.Event.TERM_LAPSED,
            lapsed=suspended,
            term=granter_state.ownership.term,
            confirmed_age_ms=granter_state_module.now_ms(granter_state)
            - granter_state.confirmed_ms,
        )
