"""Take over as granter, and be it until another is.

One VM grants keys, watches the store for all and passes on what it sees.
Whoever changes the record from one term to the next is granter; its term ends
when the store says so, or when it can't be confirmed for too long.
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

#: How often the store is asked whether the term stands.
CONFIRM_EVERY_MS = 700
#: How often the granter looks for orders that are due.
TICK_MS = 50
#: How often a granter that the store doesn't answer looks for a VM that the
#: store does answer.
_RELIEVE_EVERY_MS = 600
_ASK_TIMEOUT_MS = 600
_VIEW_TIMEOUT_MS = 150
#: Stands for the end of a hold that was granted before this term; when that
#: is follows from `Granting.inherited_end_ms`.
HELD_BEFORE_MS = 1


async def take_over(
    gateway: gateway_module.Gateway,
    document: store_link.Document | None,
) -> granting_module.Granting | None:
    """Change the record to a term of this VM's own."""
    asked_ms = gateway.now_ms()
    record = _read_record(document)
    if record is None:
        events.record(events.Event.OBJECT_UNREADABLE)
        return None
    held = _prepare_term(gateway, record)
    revision = 0 if document is None else document.revision
    packed = ownership_module.pack_ownership(held)
    written = await gateway.store.write_record(packed, revision)
    if not isinstance(written, result.Success):
        events.record(events.Event.TAKEOVER_FAILED, failure=written.failure())
        return None
    granting = granting_module.Granting(
        gateway=gateway,
        ownership=held,
        revision=revision,
        recorded_fence=0,
        confirmed_ms=asked_ms,
        inherited_end_ms=_bound_inherited(gateway, held),
        started_ms=asked_ms,
    )
    granting_module.note_recorded(
        granting,
        packed,
        written.unwrap().revision,
        asked_ms,
    )
    gateway.grants = True
    gateway.beliefs.ownership = held
    beliefs_module.note_change(gateway.beliefs)
    events.record(events.Event.GRANTER_STARTED, term=held.term)
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
    held = ownership_module.unpack_record(record)
    had_granter = bool(held.term)
    if had_granter and not gateway.lead_hold_ms:
        held.unsettled = (*held.unsettled, held.granter)
    else:
        # A granter that hands over answers for all before it.
        held.unsettled = ()
    held.term += 1
    held.granter = gateway_module.make_granter(gateway)
    if had_granter:
        _renew_tokens(held)
    ownership_module.mark_changes(held)
    return held


def _renew_tokens(held: ownership_module.Ownership) -> None:
    for table in held.table_by_service.values():
        for one in table.ranges:
            one.release_fence = ownership_module.allot_fence(held)
            one.fence = ownership_module.allot_fence(held)
            one.end_ms = HELD_BEFORE_MS
            one.end_ms_by_earlier = dict.fromkeys(
                one.end_ms_by_earlier,
                HELD_BEFORE_MS,
            )


def _bound_inherited(
    gateway: gateway_module.Gateway,
    held: ownership_module.Ownership,
) -> int:
    """Return by when all that was granted in earlier terms has ended."""
    if held.unsettled:
        return orders.UNKNOWN_END_MS
    if gateway.lead_hold_ms:
        return orders.bound_end_after_stop_ms(
            gateway.now_ms(),
            gateway.lead_hold_ms,
        )
    return 0


async def _settle_predecessors(granting: granting_module.Granting) -> None:
    """Find out by when the orders of earlier granters have ended."""
    members = granting.recorded_vms
    while granting.inherited_end_ms == orders.UNKNOWN_END_MS:
        await asyncio.sleep(clock.to_seconds(TICK_MS))
        granting.inherited_end_ms = await _bound_predecessors(
            granting,
            members,
        )
    if granting.ownership.unsettled:
        granting.ownership.unsettled = ()
        granting_module.publish(granting, record=False)


async def _bound_predecessors(
    granting: granting_module.Granting,
    members: tuple[str, ...],
) -> int:
    """Return by when earlier granters' orders have ended, if that is known."""
    gateway = granting.gateway
    if _has_succeeded(granting, members):
        return orders.bound_end_after_succession_ms(
            gateway.now_ms(),
            _find_longest_hold_ms(granting, members),
        )
    stopped = await asyncio.gather(
        *(
            _has_stopped(gateway, predecessor)
            for predecessor in granting.ownership.unsettled
        ),
    )
    if not all(stopped):
        return orders.UNKNOWN_END_MS
    return orders.bound_end_after_stop_ms(
        gateway.now_ms(),
        _find_longest_hold_ms(granting, members),
    )


def _list_successors(
    granting: granting_module.Granting,
    members: tuple[str, ...],
) -> set[str]:
    """List the earlier term's VMs that follow this one."""
    gateway = granting.gateway
    following = {
        vm
        for vm, followed in gateway.followed_by_vm.items()
        if followed.term == granting.ownership.term
    }
    following.add(gateway.me.vm)
    return following.intersection(members)


def _has_succeeded(
    granting: granting_module.Granting,
    members: tuple[str, ...],
) -> bool:
    """Tell whether most of the earlier term's VMs follow this one."""
    followers = _list_successors(granting, members)
    return orders.is_majority(len(followers), len(members))


def _find_longest_hold_ms(
    granting: granting_module.Granting,
    members: tuple[str, ...],
) -> int:
    """Find how long the last granter's orders may hold.

    It grants for long only if most VMs told it of an outage, so of any most
    that follow this term one would remember.
    """
    gateway = granting.gateway
    followers = _list_successors(granting, members)
    if not orders.is_majority(len(followers), len(members)):
        return gateway.bounds.hold_ms
    since_ms = gateway.now_ms() - orders.OUTAGE_MEMORY_MS
    told_ms = {**gateway.outage_ms_by_vm, gateway.me.vm: gateway.outage_told_ms}
    if any(told_ms.get(vm, 0) >= since_ms for vm in followers):
        return gateway.bounds.hold_ms
    return min(orders.USUAL_HOLD_MS, gateway.bounds.hold_ms)


async def _has_stopped(
    gateway: gateway_module.Gateway,
    predecessor: ownership_module.Granter,
) -> bool:
    """Tell whether the last granter's process surely grants no more."""
    if predecessor.incarnation == gateway.me.incarnation:
        return True
    answered = await peer_link.ask_peer(
        gateway.client,
        peer_link.PeerCall(
            address=predecessor.address,
            path=peer_link.VIEW_PATH,
            timeout_ms=_VIEW_TIMEOUT_MS,
        ),
        peer_link.ViewMessage,
    )
    if not isinstance(answered, result.Success):
        # Where nothing listens any more, the process has ended.
        return answered.failure() is http_client.LinkFailure.NOT_CONNECTED
    view: peer_link.ViewMessage = answered.unwrap()
    if view.peer.incarnation != predecessor.incarnation:
        return True
    return not view.grants


async def lead(granting: granting_module.Granting) -> None:
    """Grant and pass on until another VM is granter."""
    gateway = granting.gateway
    jobs: list[Coroutine[object, object, None]] = [
        watching.follow_store(granting),
        granting_module.write_record(granting),
        _confirm_term(granting),
        _relieve(granting),
        _settle_predecessors(granting),
    ]
    tasks = [asyncio.ensure_future(job) for job in jobs]
    try:
        while not granting.stopped:
            _check_jobs(tasks)
            _act(granting)
            await beliefs_module.wait_for_change(gateway.beliefs, TICK_MS)
            # Let changes that come together be acted on together.
            await asyncio.sleep(clock.to_seconds(1))
    finally:
        granting_module.stop(granting, 'leading has ended')
        for task in tasks:
            task.cancel()
    if granting.successor is not None:
        await _ask_to_lead(granting, granting.successor)


def _check_jobs(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        if task.done() and not task.cancelled():
            # A job ends only with the term: this raises what broke it.
            task.result()


def _act(granting: granting_module.Granting) -> None:
    """Do what is due now."""
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
    _note_lapse(granting)


def _note_lapse(granting: granting_module.Granting) -> None:
    """Log when orders may no longer be sent, and when they may again."""
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


async def _confirm_term(granting: granting_module.Granting) -> None:
    """Ask the store again and again whether the term stands."""
    while not granting.stopped:
        await asyncio.sleep(clock.to_seconds(CONFIRM_EVERY_MS))
        asked_ms = granting_module.now_ms(granting)
        read = await granting.gateway.store.read_record()
        if not isinstance(read, result.Success):
            _note_unconfirmed(granting)
            continue
        reading = read.unwrap()
        if reading.document is not None:
            granting_module.check_record(granting, reading.document, asked_ms)
        await watching.catch_up(granting, reading.mark)


def _note_unconfirmed(granting: granting_module.Granting) -> None:
    if granting.confirmed:
        events.record(events.Event.TERM_UNCONFIRMED)
    granting.confirmed = False


async def _relieve(granting: granting_module.Granting) -> None:
    """Hand over to a VM that the store answers, or when leaving."""
    gateway = granting.gateway
    while not granting.stopped:
        await asyncio.sleep(clock.to_seconds(TICK_MS))
        if gateway.leaving and granting.confirmed:
            _hand_over(granting, gateway_module.list_live_peers(gateway))
        elif not granting.confirmed:
            _hand_over(granting, await relieving.find_able_peers(granting))
            await asyncio.sleep(clock.to_seconds(_RELIEVE_EVERY_MS))


def _hand_over(
    granting: granting_module.Granting,
    peers: list[peer_link.Peer],
) -> None:
    """Stop, so that another VM can be asked to take over.

    It is one of the largest: in a large fleet granting takes much of a core.
    """
    if not peers or granting.stopped:
        return
    most = max(peer.cores for peer in peers)
    largest = [peer for peer in peers if peer.cores == most]
    peer = granting.gateway.random.choice(largest)
    granting.successor = peer
    granting_module.stop(granting, f'handing over to {peer.vm}')


async def _ask_to_lead(
    granting: granting_module.Granting,
    peer: peer_link.Peer,
) -> None:
    """Ask a VM to take over at once, now that this one has stopped."""
    await peer_link.ask_peer(
        granting.gateway.client,
        peer_link.PeerCall(
            address=peer.address,
            path=peer_link.LEAD_PATH,
            timeout_ms=_ASK_TIMEOUT_MS,
            message=peer_link.LeadMessage(
                term=granting.ownership.term,
                hold_ms=granting_module.find_longest_hold_ms(granting),
            ),
        ),
        peer_link.StoreMessage,
    )
