"""State of a granter during its term, and the record kept in the store."""

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

#: Changes that no order depends on are written at most this much later, so
#: that several share one write.
_DEFERRED_WRITE_DELAY_MS = 400
_WRITE_RETRY_DELAY_MS = 150
_MAX_SEEN_REVISIONS = 200


@dataclasses.dataclass(slots=True, kw_only=True)
class Joining:
    """Arrival of the upstreams of a service that has no assignment yet.

    `first_ms` is when an eligible upstream was first seen, `last_ms` when the
    number of eligible upstreams, `count`, last changed.
    """

    first_ms: int
    last_ms: int = 0
    count: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Granting:
    """State of a granter during one term.

    `revision` is the store's revision of the record. All fencing tokens below
    `recorded_fence` are in the record. `confirmed_ms` is the send time of the
    last request by which the store confirmed the term. `inherited_end_ms` is
    the time by which all grants of earlier granters have expired.
    `confirmed` is false from a failed check of the term until the store
    confirms it again. `outage` says that the store is unreachable for most
    VMs, and `lapsed` that orders are suspended.
    `deferred_write_ms` is when a deferred write is due; 0 if there is none.
    """

    gateway: gateway_module.Gateway
    ownership: ownership_module.Ownership
    revision: int
    recorded_fence: int
    confirmed_ms: int
    inherited_end_ms: int
    started_ms: int = 0
    recorded_vms: tuple[str, ...] = ()
    confirmed_incarnation_by_vm: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    confirmed: bool = True
    outage: bool = False
    lapsed: bool = False
    stopped: bool = False
    successor: peer_link.Peer | None = None
    write_due: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    deferred_write_ms: int = 0
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
        default_factory=lambda: collections.deque(maxlen=_MAX_SEEN_REVISIONS),
    )
    seen_topics: set[store_link.Topic] = dataclasses.field(
        default_factory=set,
    )


def now_ms(granting: Granting) -> int:
    """Return the time on the granter's clock."""
    return granting.gateway.now_ms()


def may_order(granting: Granting) -> bool:
    """Return whether this granter may still send orders.

    Either the store has confirmed the term recently or a majority of VMs
    follows it, so that no successor can have a majority.
    """
    if granting.stopped:
        return False
    age_ms = now_ms(granting) - granting.confirmed_ms
    return age_ms < orders.ORDER_GRACE_MS or is_followed_by_majority(granting)


def is_followed_by_majority(granting: Granting) -> bool:
    """Return whether a majority of VMs follows the term.

    Both the VMs of the last recorded state and those of the current state,
    which may not be recorded yet, need a majority.
    """
    since_ms = now_ms(granting) - orders.ORDER_GRACE_MS
    followers = {granting.gateway.me.vm}
    for vm, following in granting.gateway.followed_by_vm.items():
        if _is_recent_follower(granting, vm, following, since_ms):
            followers.add(vm)
    return all(
        orders.is_majority(len(followers.intersection(vms)), len(vms))
        for vms in (granting.recorded_vms, granting.ownership.vms)
    )


def _is_recent_follower(
    granting: Granting,
    vm: str,
    following: gateway_module.Following,
    since_ms: int,
) -> bool:
    """Return whether a VM followed the term recently.

    A VM that restarted while the store was unreachable no longer knows which
    granter it followed, and doesn't count.
    """
    if following.term != granting.ownership.term:
        return False
    if following.since_ms < since_ms:
        return False
    return granting.confirmed_incarnation_by_vm.get(vm) == following.incarnation


def publish(granting: Granting, *, record: bool) -> None:
    """Publish changes of ownership to the other VMs and record them.

    With `record` the record is written at once, because orders depend on the
    change; otherwise the write is deferred.
    """
    ownership_module.mark_changes(granting.ownership)
    if record:
        granting.write_due.set()
    elif not granting.deferred_write_ms:
        granting.deferred_write_ms = now_ms(granting) + _DEFERRED_WRITE_DELAY_MS
    beliefs = granting.gateway.beliefs
    beliefs.ownership = granting.ownership
    beliefs_module.note_change(beliefs)


async def write_record(granting: Granting) -> None:
    """Write the record whenever a write is due, until the granter stops."""
    while not granting.stopped:
        if not granting.write_due.is_set():
            await _wait_until_write_due(granting)
        if (
            granting.deferred_write_ms
            and now_ms(granting) >= granting.deferred_write_ms
        ):
            granting.write_due.set()
        if granting.write_due.is_set() and not await _try_write(granting):
            await asyncio.sleep(clock.to_seconds(_WRITE_RETRY_DELAY_MS))


async def _wait_until_write_due(granting: Granting) -> None:
    remaining_ms = _DEFERRED_WRITE_DELAY_MS
    if granting.deferred_write_ms:
        remaining_ms = max(granting.deferred_write_ms - now_ms(granting), 1)
    try:
        await asyncio.wait_for(
            granting.write_due.wait(),
            clock.to_seconds(remaining_ms),
        )
    except TimeoutError:
        return


async def _try_write(granting: Granting) -> bool:
    """Write the current record; return whether the write succeeded."""
    granting.write_due.clear()
    granting.deferred_write_ms = 0
    request_sent_ms = now_ms(granting)
    packed_record = ownership_module.pack_ownership(granting.ownership)
    write_outcome = await granting.gateway.store.write_record(
        packed_record,
        granting.revision,
    )
    if isinstance(write_outcome, result.Success):
        note_recorded(
            granting,
            packed_record,
            write_outcome.unwrap().revision,
            request_sent_ms,
        )
        return True
    granting.write_due.set()
    if write_outcome.failure() is store_link.Failure.CONFLICT:
        await settle_conflict(granting, request_sent_ms)
    return False


def note_recorded(
    granting: Granting,
    packed_record: ownership_module.Record,
    revision: int,
    request_sent_ms: int,
) -> None:
    """Update the state after a record was written to the store."""
    granting.revision = revision
    granting.seen_revisions.append(revision)
    granting.recorded_fence = packed_record.next_fence
    granting.recorded_vms = packed_record.vms
    note_term_confirmed(granting, request_sent_ms)
    beliefs_module.note_change(granting.gateway.beliefs)


def note_term_confirmed(granting: Granting, request_sent_ms: int) -> None:
    """Note that the store confirmed the term.

    The confirmation counts from the time at which the request was sent.
    """
    granting.confirmed_ms = max(granting.confirmed_ms, request_sent_ms)
    granting.outage = False
    granting.confirmed_incarnation_by_vm = {
        vm: peer.incarnation for vm, peer in granting.gateway.peer_by_vm.items()
    }
    if not granting.confirmed:
        events.record(events.Event.TERM_CONFIRMED)
    granting.confirmed = True


def note_outage(granting: Granting, *, away: bool) -> None:
    """Note whether the store is unreachable for most VMs."""
    if away and not granting.outage:
        for table in granting.ownership.table_by_service.values():
            for key_range in table.ranges:
                # Grants last longer during an outage: renew all at once.
                key_range.renew_ms = 0
    granting.outage = away


async def settle_conflict(granting: Granting, request_sent_ms: int) -> None:
    """Read the record to find out which write caused a conflict.

    It is either another granter's, or an earlier one of this granter that
    took effect without an answer.
    """
    read_outcome = await granting.gateway.store.read_record()
    if not isinstance(read_outcome, result.Success):
        return
    document = read_outcome.unwrap().document
    if document is not None:
        check_record(granting, document, request_sent_ms)


def check_record(
    granting: Granting,
    document: store_link.Document,
    request_sent_ms: int,
) -> None:
    """Confirm the term by the stored record, or stop this granter."""
    record = ownership_module.read_record(document.body)
    if record is None or not _is_current_term(granting, record):
        stop(granting, 'the stored record is of another term or unreadable')
        if record is not None:
            beliefs_module.take_ownership(granting.gateway.beliefs, record)
        return
    if document.revision != granting.revision:
        # An earlier write took effect although its answer was lost.
        note_recorded(granting, record, document.revision, request_sent_ms)
        return
    note_term_confirmed(granting, request_sent_ms)


def _is_current_term(
    granting: Granting,
    record: ownership_module.Record,
) -> bool:
    local_ownership = granting.ownership
    return (
        record.term == local_ownership.term
        and record.granter == local_ownership.granter
    )


def stop(granting: Granting, reason: str) -> None:
    """End the term on this VM: send no more orders."""
    if granting.stopped:
        return
    granting.stopped = True
    granting.gateway.grants = False
    granting.gateway.beliefs.fresh_ms = now_ms(granting)
    # The next granter's record has a higher term, so it still replaces the
    # copy that this process keeps.
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
    """Return how long any grant may still last, in milliseconds.

    0 means that the end of inherited grants isn't known.
    """
    end_times_ms = [
        key_range.end_ms
        for table in granting.ownership.table_by_service.values()
        for key_range in table.ranges
    ]
    latest_end_ms = max((granting.inherited_end_ms, *end_times_ms))
    if latest_end_ms == orders.UNKNOWN_END_MS:
        return 0
    return max(latest_end_ms - now_ms(granting), 1)
