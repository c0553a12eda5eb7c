"""Take over as granter and lead until the term ends.

One VM, the granter, grants keys, watches the store on behalf of all VMs and
passes on the changes. A VM becomes granter by writing the next term to the
record with a conditional update. Its term ends when the store names another
granter, or when the term can't be confirmed for too long.
"""

import asyncio
from collections.abc import Coroutine

from returns import result

from lentilgauge import clock, events
from lentilgauge.contracts import orders
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import http_client, peer_link, store_link
from lentilgauge.vms import assigning, key_orders, relieving, watching
from lentilgauge.vms import beliefs as beliefs_module
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granting as granting_module

#: How often the term is checked against the store.
TERM_CHECK_INTERVAL_MS = 700
#: Longest pause between two checks for orders that are due.
TICK_MS = 50
#: How often a granter that can't reach the store looks for a VM that can.
_HANDOVER_RETRY_MS = 600
_LEAD_REQUEST_TIMEOUT_MS = 600
_VIEW_TIMEOUT_MS = 150
#: Placeholder for the end of a grant of an earlier term. The real bound is
#: `Granting.inherited_end_ms`.
INHERITED_GRANT_END_MS = 1


async def take_over(
    gateway: gateway_module.Gateway,
    document: store_link.Document | None,
) -> granting_module.Granting | None:
    """Write the next term to the record, with this VM as granter.

    Return `None` if the record is unreadable or the write fails.
    """
    request_sent_ms = gateway.now_ms()
    record = _read_record(document)
    if record is None:
        events.record(events.Event.OBJECT_UNREADABLE)
        return None
    next_ownership = _prepare_term(gateway, record)
    revision = 0 if document is None else document.revision
    packed_record = ownership_module.pack_ownership(next_ownership)
    write_outcome = await gateway.store.write_record(packed_record, revision)
    if not isinstance(write_outcome, result.Success):
        events.record(
            events.Event.TAKEOVER_FAILED, failure=write_outcome.failure()
        )
        return None
    granting = granting_module.Granting(
        gateway=gateway,
        ownership=next_ownership,
        revision=revision,
        recorded_fence=0,
        confirmed_ms=request_sent_ms,
        inherited_end_ms=_bound_inherited(gateway, next_ownership),
        started_ms=request_sent_ms,
    )
    granting_module.note_recorded(
        granting,
        packed_record,
        write_outcome.unwrap().revision,
        request_sent_ms,
    )
    gateway.grants = True
    gateway.beliefs.ownership = next_ownership
    beliefs_module.note_change(gateway.beliefs)
    events.record(events.Event.GRANTER_STARTED, term=next_ownership.term)
    return granting


def _read_record(
    document: store_link.Document | None,
) -> ownership_module.Record | None:
    if document is None:
        return ownership_module.Record()
    return ownership_module.read_record(document.body)


def _prepare_term(
    gateway: gateway_module.Gateway,
    record: ownership_module.Record,
) -> ownership_module.Ownership:
    """Make the next term: the same holders under new fencing tokens."""
    next_ownership = ownership_module.unpack_record(record)
    had_granter = bool(next_ownership.term)
    if had_granter and not gateway.lead_hold_ms:
        next_ownership.unsettled = (
            *next_ownership.unsettled,
            next_ownership.granter,
        )
    else:
        # A granter that hands over accounts for all of its predecessors.
        next_ownership.unsettled = ()
    next_ownership.term += 1
    next_ownership.granter = gateway_module.make_granter(gateway)
    if had_granter:
        _replace_tokens(next_ownership)
    ownership_module.mark_changes(next_ownership)
    return next_ownership


def _replace_tokens(next_ownership: ownership_module.Ownership) -> None:
    for table in next_ownership.table_by_service.values():
        for key_range in table.ranges:
            key_range.release_fence = ownership_module.allot_fence(
                next_ownership
            )
            key_range.fence = ownership_module.allot_fence(next_ownership)
            key_range.end_ms = INHERITED_GRANT_END_MS
            key_range.end_ms_by_earlier = dict.fromkeys(
                key_range.end_ms_by_earlier,
                INHERITED_GRANT_END_MS,
            )


def _bound_inherited(
    gateway: gateway_module.Gateway,
    next_ownership: ownership_module.Ownership,
) -> int:
    """Return the time by which all grants of earlier terms have expired."""
    if next_ownership.unsettled:
        return orders.UNKNOWN_END_MS
    if gateway.lead_hold_ms:
        return orders.bound_end_after_stop_ms(
            gateway.now_ms(),
            gateway.lead_hold_ms,
        )
    return 0


async def _await_predecessor_grants(granting: granting_module.Granting) -> None:
    """Wait until the end of the earlier granters' grants is known."""
    earlier_vms = granting.recorded_vms
    while granting.inherited_end_ms == orders.UNKNOWN_END_MS:
        await asyncio.sleep(clock.to_seconds(TICK_MS))
        granting.inherited_end_ms = await _bound_predecessor_grants_ms(
            granting,
            earlier_vms,
        )
    if granting.ownership.unsettled:
        granting.ownership.unsettled = ()
        granting_module.publish(granting, record=False)


async def _bound_predecessor_grants_ms(
    granting: granting_module.Granting,
    earlier_vms: tuple[str, ...],
) -> int:
    """Return the time by which the earlier granters' grants have expired.

    It is `UNKNOWN_END_MS` until each earlier granter has stopped or a majority
    of the earlier term's VMs follows this term.
    """
    gateway = granting.gateway
    if _has_majority(granting, earlier_vms):
        return orders.bound_end_after_succession_ms(
            gateway.now_ms(),
            _bound_grant_duration_ms(granting, earlier_vms),
        )
    stopped = await asyncio.gather(
        *(
            _has_predecessor_stopped(gateway, predecessor)
            for predecessor in granting.ownership.unsettled
        ),
    )
    if not all(stopped):
        return orders.UNKNOWN_END_MS
    return orders.bound_end_after_stop_ms(
        gateway.now_ms(),
        _bound_grant_duration_ms(granting, earlier_vms),
    )


def _list_followers(
    granting: granting_module.Granting,
    earlier_vms: tuple[str, ...],
) -> set[str]:
    """List the VMs of the earlier term that follow this term."""
    gateway = granting.gateway
    follower_vms = {
        vm
        for vm, follower_state in gateway.followed_by_vm.items()
        if follower_state.term == granting.ownership.term
    }
    follower_vms.add(gateway.me.vm)
    return follower_vms.intersection(earlier_vms)


def _has_majority(
    granting: granting_module.Granting,
    earlier_vms: tuple[str, ...],
) -> bool:
    """Return whether most VMs of the earlier term follow this term."""
    followers = _list_followers(granting, earlier_vms)
    return orders.is_majority(len(followers), len(earlier_vms))


def _bound_grant_duration_ms(
    granting: granting_module.Granting,
    earlier_vms: tuple[str, ...],
) -> int:
    """Return the longest duration that earlier granters may have granted.

    A granter makes long grants only if a majority of VMs reported a store
    outage to it. Any majority that follows this term overlaps with that one,
    so at least one of its VMs remembers the report.
    """
    gateway = granting.gateway
    followers = _list_followers(granting, earlier_vms)
    if not orders.is_majority(len(followers), len(earlier_vms)):
        return gateway.bounds.hold_ms
    since_ms = gateway.now_ms() - orders.OUTAGE_MEMORY_MS
    outage_reported_ms_by_vm = {
        **gateway.outage_ms_by_vm,
        gateway.me.vm: gateway.outage_told_ms,
    }
    if any(outage_reported_ms_by_vm.get(vm, 0) >= since_ms for vm in followers):
        return gateway.bounds.hold_ms
    return min(orders.USUAL_HOLD_MS, gateway.bounds.hold_ms)


async def _has_predecessor_stopped(
    gateway: gateway_module.Gateway,
    predecessor: ownership_module.Granter,
) -> bool:
    """Return whether an earlier granter certainly sends no more orders."""
    if predecessor.incarnation == gateway.me.incarnation:
        return True
    reply = await peer_link.ask_peer(
        gateway.client,
        peer_link.PeerCall(
            address=predecessor.address,
            path=peer_link.VIEW_PATH,
            timeout_ms=_VIEW_TIMEOUT_MS,
        ),
        peer_link.ViewMessage,
    )
    if not isinstance(reply, result.Success):
        # Nothing listens at its address, so the process has ended.
        return reply.failure() is http_client.LinkFailure.NOT_CONNECTED
    view: peer_link.ViewMessage = reply.unwrap()
    if view.peer.incarnation != predecessor.incarnation:
        return True
    return not view.grants


async def lead(granting: granting_module.Granting) -> None:
    """Run the granter's tasks until its term ends."""
    gateway = granting.gateway
    coroutines: list[Coroutine[object, object, None]] = [
        watching.follow_store(granting),
        granting_module.write_record(granting),
        _check_term_periodically(granting),
        _hand_over_when_needed(granting),
        _await_predecessor_grants(granting),
    ]
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        while not granting.stopped:
            _raise_task_errors(tasks)
            _run_due_work(granting)
            await beliefs_module.wait_for_change(gateway.beliefs, TICK_MS)
            # Batch changes that arrive together.
            await asyncio.sleep(clock.to_seconds(1))
    finally:
        granting_module.stop(granting, 'the granter loop ended')
        for task in tasks:
            task.cancel()
    if granting.successor is not None:
        await _request_takeover(granting, granting.successor)


def _raise_task_errors(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        if task.done() and not task.cancelled():
            # A task ends only with the term: this raises its exception.
            task.result()


def _run_due_work(granting: granting_module.Granting) -> None:
    """Apply reports, update the assignment and start orders that are due."""
    gateway = granting.gateway
    for upstream in gateway.beliefs.upstream_by_id.values():
        granting.upstream_by_id[upstream.id] = upstream
    gateway.reports.append(gateway_module.take_report(gateway))
    for report in gateway.reports:
        assigning.take_report(granting, report)
    gateway.reports.clear()
    if watching.has_seen_all(granting):
        assigning.assign_keys(granting)
    key_orders.start_orders(granting)
    _record_lapse_change(granting)


def _record_lapse_change(granting: granting_module.Granting) -> None:
    """Log when orders are suspended and when they are resumed."""
    lapsed = not granting_module.may_order(granting)
    if lapsed != granting.lapsed and not granting.stopped:
        granting.lapsed = lapsed
        events.record(
            events.Event.TERM_LAPSED,
            lapsed=lapsed,
            term=granting.ownership.term,
            confirmed_age_ms=granting_module.now_ms(granting)
            - granting.confirmed_ms,
        )


async def _check_term_periodically(granting: granting_module.Granting) -> None:
    """Check the term against the store at regular intervals."""
    while not granting.stopped:
        await asyncio.sleep(clock.to_seconds(TERM_CHECK_INTERVAL_MS))
        request_sent_ms = granting_module.now_ms(granting)
        read_outcome = await granting.gateway.store.read_record()
        if not isinstance(read_outcome, result.Success):
            _record_unconfirmed(granting)
            continue
        reading = read_outcome.unwrap()
        if reading.document is not None:
            granting_module.check_record(
                granting, reading.document, request_sent_ms
            )
        await watching.catch_up(granting, reading.mark)


def _record_unconfirmed(granting: granting_module.Granting) -> None:
    if granting.confirmed:
        events.record(events.Event.TERM_UNCONFIRMED)
    granting.confirmed = False


async def _hand_over_when_needed(granting: granting_module.Granting) -> None:
    """Hand over when this VM leaves or can't reach the store."""
    gateway = granting.gateway
    while not granting.stopped:
        await asyncio.sleep(clock.to_seconds(TICK_MS))
        if gateway.leaving and granting.confirmed:
            _hand_over(granting, gateway_module.list_live_peers(gateway))
        elif not granting.confirmed:
            _hand_over(granting, await relieving.find_able_peers(granting))
            await asyncio.sleep(clock.to_seconds(_HANDOVER_RETRY_MS))


def _hand_over(
    granting: granting_module.Granting,
    peers: list[peer_link.Peer],
) -> None:
    """Stop and choose a successor at random among the largest peers.

    The number of cores counts, as granting takes much of a core in a large
    fleet.
    """
    if not peers or granting.stopped:
        return
    max_cores = max(peer.cores for peer in peers)
    largest_peers = [peer for peer in peers if peer.cores == max_cores]
    peer = granting.gateway.random.choice(largest_peers)
    granting.successor = peer
    granting_module.stop(granting, f'handing over to {peer.vm}')


async def _request_takeover(
    granting: granting_module.Granting,
    peer: peer_link.Peer,
) -> None:
    """Ask a VM to take over at once, after this granter has stopped."""
    await peer_link.ask_peer(
        granting.gateway.client,
        peer_link.PeerCall(
            address=peer.address,
            path=peer_link.LEAD_PATH,
            timeout_ms=_LEAD_REQUEST_TIMEOUT_MS,
            message=peer_link.LeadMessage(
                term=granting.ownership.term,
                hold_ms=granting_module.find_longest_hold_ms(granting),
            ),
        ),
        peer_link.StoreMessage,
    )
