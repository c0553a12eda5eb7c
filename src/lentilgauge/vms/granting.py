"""Hold a granter's state, and keep the record of it."""

import asyncio
import collections
import dataclasses

from returns import result

from lentilgauge import clock, events
from lentilgauge.contracts import orders
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import peer_link, store_link
from lentilgauge.services import key_load
from lentilgauge.upstreams import roster
from lentilgauge.vms import beliefs as beliefs_module
from lentilgauge.vms import gateway as gateway_module

#: How long what needs no record before an order may wait for the next write.
_LAZY_WRITE_MS = 400
_WRITE_RETRY_MS = 150
_KEPT_REVISIONS = 200


@dataclasses.dataclass(slots=True, kw_only=True)
class Joining:
    """Hold how the upstreams of a new service come up."""

    first_ms: int
    last_ms: int = 0
    count: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Granting:
    """Hold what a granter has granted in its term.

    `recorded_fence` is under which all fencing tokens are in the record.
    `confirmed_ms` is when the store last confirmed the term, by the moment
    at which it was asked. `inherited_end_ms` is by when whatever earlier
    granters may have granted has ended. `outage` says that the store is away
    for most VMs.
    """

    gateway: gateway_module.Gateway
    ownership: ownership_module.Ownership
    revision: int
    recorded_fence: int
    confirmed_ms: int
    inherited_end_ms: int
    started_ms: int = 0
    recorded_vms: tuple[str, ...] = ()
    incarnation_by_vm: dict[str, str] = dataclasses.field(default_factory=dict)
    confirmed: bool = True
    outage: bool = False
    lapsed: bool = False
    stopped: bool = False
    successor: peer_link.Peer | None = None
    write_due: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    lazy_ms: int = 0
    silence_by_id: dict[str, orders.Silence] = dataclasses.field(
        default_factory=dict,
    )
    upstream_by_id: dict[str, roster.Upstream] = dataclasses.field(
        default_factory=dict,
    )
    load_by_service: dict[str, key_load.KeyLoad] = dataclasses.field(
        default_factory=dict,
    )
    joining_by_service: dict[str, Joining] = dataclasses.field(
        default_factory=dict,
    )
    task_by_range: dict[int, asyncio.Task[None]] = dataclasses.field(
        default_factory=dict,
    )
    balance_ms_by_service: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    seen_revisions: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_KEPT_REVISIONS),
    )
    seen_topics: set[store_link.Topic] = dataclasses.field(
        default_factory=set,
    )


def now_ms(granting: Granting) -> int:
    """Read the granter's clock."""
    return granting.gateway.now_ms()


def may_order(granting: Granting) -> bool:
    """Tell whether this granter may still send orders.

    Either the store has confirmed the term lately, or most VMs follow it, so
    that no successor can have most of them.
    """
    if granting.stopped:
        return False
    age_ms = now_ms(granting) - granting.confirmed_ms
    return age_ms < orders.ORDER_GRACE_MS or is_followed(granting)


def is_followed(granting: Granting) -> bool:
    """Tell whether most VMs follow the term, by the record and as now known."""
    since_ms = now_ms(granting) - orders.ORDER_GRACE_MS
    followers = {granting.gateway.me.vm}
    for vm, followed in granting.gateway.followed_by_vm.items():
        if _counts_as_follower(granting, vm, followed, since_ms):
            followers.add(vm)
    return all(
        orders.is_majority(len(followers.intersection(vms)), len(vms))
        for vms in (granting.recorded_vms, granting.ownership.vms)
    )


def _counts_as_follower(
    granting: Granting,
    vm: str,
    followed: gateway_module.Following,
    since_ms: int,
) -> bool:
    """Tell whether a VM followed the term lately.

    One that was started anew while the store was out of reach has forgotten
    whom it followed, and doesn't count.
    """
    if followed.term != granting.ownership.term:
        return False
    if followed.since_ms < since_ms:
        return False
    return granting.incarnation_by_vm.get(vm) == followed.incarnation


def publish(granting: Granting, *, record: bool) -> None:
    """Tell the other VMs what has changed, and record it.

    What orders depend on is recorded at once, the rest soon.
    """
    ownership_module.mark_changes(granting.ownership)
    if record:
        granting.write_due.set()
    elif not granting.lazy_ms:
        granting.lazy_ms = now_ms(granting) + _LAZY_WRITE_MS
    beliefs = granting.gateway.beliefs
    beliefs.ownership = granting.ownership
    beliefs_module.note_change(beliefs)


async def write_record(granting: Granting) -> None:
    """Keep the record up to date, for as long as the granter lives."""
    while not granting.stopped:
        if not granting.write_due.is_set():
            await _wait_for_write(granting)
        if granting.lazy_ms and now_ms(granting) >= granting.lazy_ms:
            granting.write_due.set()
        if granting.write_due.is_set() and not await _write_once(granting):
            await asyncio.sleep(clock.to_seconds(_WRITE_RETRY_MS))


async def _wait_for_write(granting: Granting) -> None:
    left_ms = _LAZY_WRITE_MS
    if granting.lazy_ms:
        left_ms = max(granting.lazy_ms - now_ms(granting), 1)
    try:
        await asyncio.wait_for(
            granting.write_due.wait(),
            clock.to_seconds(left_ms),
        )
    except TimeoutError:
        return


async def _write_once(granting: Granting) -> bool:
    """Write the record as it is now; tell whether that is settled."""
    granting.write_due.clear()
    granting.lazy_ms = 0
    asked_ms = now_ms(granting)
    packed = ownership_module.pack_ownership(granting.ownership)
    written = await granting.gateway.store.write_record(
        packed,
        granting.revision,
    )
    if isinstance(written, result.Success):
        note_recorded(granting, packed, written.unwrap().revision, asked_ms)
        return True
    granting.write_due.set()
    if written.failure() is store_link.Failure.CONFLICT:
        await settle_conflict(granting, asked_ms)
    return False


def note_recorded(
    granting: Granting,
    packed: ownership_module.Record,
    revision: int,
    asked_ms: int,
) -> None:
    """Note that a record is in the store."""
    granting.revision = revision
    granting.seen_revisions.append(revision)
    granting.recorded_fence = packed.next_fence
    granting.recorded_vms = packed.vms
    note_confirmed(granting, asked_ms)
    beliefs_module.note_change(granting.gateway.beliefs)


def note_confirmed(granting: Granting, asked_ms: int) -> None:
    """Note that the term stood when the store was asked."""
    granting.confirmed_ms = max(granting.confirmed_ms, asked_ms)
    granting.outage = False
    granting.incarnation_by_vm = {
        vm: peer.incarnation for vm, peer in granting.gateway.peer_by_vm.items()
    }
    if not granting.confirmed:
        events.record(events.Event.TERM_CONFIRMED)
    granting.confirmed = True


def note_outage(granting: Granting, *, away: bool) -> None:
    """Note whether the store is away for most VMs."""
    if away and not granting.outage:
        for table in granting.ownership.table_by_service.values():
            for one in table.ranges:
                # From now on holds are longer: give them at once.
                one.renew_ms = 0
    granting.outage = away


async def settle_conflict(granting: Granting, asked_ms: int) -> None:
    """Find out whether another granter or an earlier write of ours won."""
    read = await granting.gateway.store.read_record()
    if not isinstance(read, result.Success):
        return
    document = read.unwrap().document
    if document is not None:
        check_record(granting, document, asked_ms)


def check_record(
    granting: Granting,
    document: store_link.Document,
    asked_ms: int,
) -> None:
    """Take what the store holds: the term stands, or this granter stops."""
    record = ownership_module.read_record(document.body)
    if record is None or not _is_mine(granting, record):
        stop(granting, 'another granter has the term')
        if record is not None:
            beliefs_module.take_ownership(granting.gateway.beliefs, record)
        return
    if document.revision != granting.revision:
        # An earlier write took effect although its answer was lost.
        note_recorded(granting, record, document.revision, asked_ms)
        return
    note_confirmed(granting, asked_ms)


def _is_mine(
    granting: Granting,
    record: ownership_module.Record,
) -> bool:
    mine = granting.ownership
    return record.term == mine.term and record.granter == mine.granter


def stop(granting: Granting, reason: str) -> None:
    """Send no more orders."""
    if granting.stopped:
        return
    granting.stopped = True
    granting.gateway.grants = False
    granting.gateway.beliefs.fresh_ms = now_ms(granting)
    # The record of the next granter has a higher term, so it still counts
    # as newer than what this process goes on holding for true.
    granting.gateway.beliefs.ownership = ownership_module.unpack_record(
        ownership_module.pack_ownership(granting.ownership),
    )
    events.record(
        events.Event.GRANTER_STOPPED,
        reason=reason,
        term=granting.ownership.term,
    )
    for task in granting.task_by_range.values():
        task.cancel()
    granting.task_by_range.clear()
    beliefs_module.note_change(granting.gateway.beliefs)


def find_longest_hold_ms(granting: Granting) -> int:
    """Find for how long anything granted may hold; 0 if that isn't known."""
    ends = [
        one.end_ms
        for table in granting.ownership.table_by_service.values()
        for one in table.ranges
    ]
    latest_ms = max((granting.inherited_end_ms, *ends))
    if latest_ms == orders.UNKNOWN_END_MS:
        return 0
    return max(latest_ms - now_ms(granting), 1)
