"""State of a granter during its term.

The record is a snapshot of the ownership, kept in the store. An order is a
grant or a release of keys, sent to an upstream.
"""

import asyncio
import collections
import dataclasses

from lentilgauge import events
from lentilgauge.contracts import grant_timing, upstream_absence
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import peer_link, store_link
from lentilgauge.services import key_load
from lentilgauge.upstreams import upstream_state
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import state_cache as state_cache_module

#: Changes on which no order depends are written at most this much later, so
#: that several share one write.
DEFERRED_WRITE_DELAY_MS = 400
_MAX_SEEN_REVISIONS = 200


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamArrivals:
    """How the upstreams of a service arrive before its keys are assigned.

    The first assignment waits for the upstreams to arrive.

    `wait_started_ms` is when an eligible upstream was first seen,
    `last_change_ms` when the number of eligible upstreams, `upstream_count`,
    last changed.
    """

    wait_started_ms: int
    last_change_ms: int = 0
    upstream_count: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class GranterState:
    """State of a granter during one term.

    `revision` is the store's revision of the record, and `recorded_vms` are the
    VMs that the record names. `unanswered_vms` has the VMs of each record whose
    write is unanswered, and may replace that one. The record has all
    assignments whose fencing tokens are below `recorded_fence_limit`, and
    reserves all tokens below `reserved_fence_limit` for this granter.
    `write_due` is set when the record is to be written now, and
    `deferred_write_due_ms` is when a deferred write is due; 0 if there is none.

    `confirmed_ms` is the send time of the last request by which the store
    confirmed the term. `incarnation_at_confirmation_by_vm` has the peers that
    were known by then. `term_confirmed` is false from a failed check
    of the term until the store confirms it again. `unanswered_check_ms` is when
    a check was sent whose answer is overdue; 0 if none is. `read_revision` is
    the store's revision at the last check, which was asked for at
    `revision_asked_ms`, and `revision_read` is set by each check.
    `store_outage` says that the store is unreachable for most VMs. Orders may
    be sent until `orders_end_ms`. `orders_suspended` says that this had passed
    when it was last checked for the log.

    `earlier_orders` has the bounds on the orders of earlier granters.
    `successor` is the peer that is asked to take over once this granter has
    stopped.

    `grant_accepted_ms_by_upstream` is when each upstream last accepted a grant.

    `absence_by_upstream` has the latest absence of each upstream that was
    unresponsive, and `check_task_by_upstream` the checks in progress of those
    that are.

    `order_task_by_range_id` has the order in progress for each key range, by
    the `id()` of the range, since mutable ranges can't be dictionary keys.
    `seen_revisions` are the latest revisions of the store that this granter
    saw in watches or in answers to its own writes. `loaded_topics` are the
    topics read from the store in this term. `carried_over` says that the term
    was taken on through the store's return to an older copy.
    """

    gateway: gateway_module.Gateway
    ownership: ownership_module.Ownership
    revision: int
    recorded_fence_limit: int
    reserved_fence_limit: int
    confirmed_ms: int
    earlier_orders: grant_timing.EarlierOrdersBounds
    orders_end_ms: int = 0
    term_started_ms: int = 0
    recorded_vms: tuple[str, ...] = ()
    unanswered_vms: set[tuple[str, ...]] = dataclasses.field(
        default_factory=set
    )
    incarnation_at_confirmation_by_vm: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    term_confirmed: bool = True
    unanswered_check_ms: int = 0
    read_revision: int = 0
    revision_asked_ms: int = 0
    revision_read: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    store_outage: bool = False
    orders_suspended: bool = False
    stopped: bool = False
    carried_over: bool = False
    successor: peer_link.Peer | None = None
    write_due: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    deferred_write_due_ms: int = 0
    failure_streak_by_upstream: dict[str, grant_timing.FailureStreak] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    grant_accepted_ms_by_upstream: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    absence_by_upstream: dict[str, upstream_absence.Absence] = (
        dataclasses.field(default_factory=dict)
    )
    check_task_by_upstream: dict[str, asyncio.Task[None]] = dataclasses.field(
        default_factory=dict,
    )
    upstream_by_id: dict[str, upstream_state.Upstream] = dataclasses.field(
        default_factory=dict,
    )
    key_load_by_service: dict[str, key_load.KeyLoad] = dataclasses.field(
        default_factory=dict,
    )
    arrivals_by_service: dict[str, UpstreamArrivals] = dataclasses.field(
        default_factory=dict,
    )
    order_task_by_range_id: dict[int, asyncio.Task[None]] = dataclasses.field(
        default_factory=dict,
    )
    next_balance_ms_by_service: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    seen_revisions: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_SEEN_REVISIONS),
    )
    loaded_topics: set[store_link.Topic] = dataclasses.field(
        default_factory=set,
    )


def now_ms(granter_state: GranterState) -> int:
    """Return the time on the granter's clock."""
    return granter_state.gateway.now_ms()


def may_send_orders(granter_state: GranterState) -> bool:
    """Return whether this granter may still send orders."""
    if granter_state.stopped:
        return False
    return now_ms(granter_state) < granter_state.orders_end_ms


def doubts_store(granter_state: GranterState) -> bool:
    """Return whether the store may be unreachable for this granter.

    A check failed, or its answer is overdue and no request that was sent later
    has confirmed the term.
    """
    if not granter_state.term_confirmed:
        return True
    return granter_state.confirmed_ms < granter_state.unanswered_check_ms


def have_earlier_orders_ended(granter_state: GranterState) -> bool:
    """Return whether no order of an earlier granter can arrive any more.

    Until then a release binds only the process that has accepted it: the next
    one of its upstream knows no fencing tokens, and would accept a grant of an
    earlier granter.
    """
    orders_end_ms = granter_state.earlier_orders.orders_end_ms
    return now_ms(granter_state) >= orders_end_ms


def have_earlier_holds_ended(granter_state: GranterState) -> bool:
    """Return whether no hold that an earlier granter gave is left.

    Until then a successor has to know these granters. If this one hands over
    0.4 s after it began, the successor may know only when this one stopped.
    """
    return now_ms(granter_state) >= granter_state.earlier_orders.holds_end_ms


def extend_right_to_order(granter_state: GranterState) -> None:
    """Extend the right to send orders while a majority follows the term.

    No successor can have a majority then. A right that has ended isn't
    extended: a successor may have granted keys since, so that only the store
    can confirm the term again.
    """
    followed_ms = find_majority_followed_ms(granter_state)
    if followed_ms is not None and may_send_orders(granter_state):
        granter_state.orders_end_ms = max(
            granter_state.orders_end_ms,
            followed_ms + grant_timing.GRANTER_GRACE_MS,
        )


def list_vm_sets(granter_state: GranterState) -> list[tuple[str, ...]]:
    """List the VMs of each record that a successor may find in the store.

    Those of the current ownership, which may not be recorded yet, are last.
    """
    return [
        granter_state.recorded_vms,
        *granter_state.unanswered_vms,
        granter_state.ownership.vms,
    ]


def note_granter_heard(granter_state: GranterState) -> None:
    """Note that this VM's state is current while its right to order lasts.

    A granter that stood still doesn't know of changes meanwhile until the store
    has confirmed its term.
    """
    if may_send_orders(granter_state):
        state_cache = granter_state.gateway.state_cache
        state_cache.granter_heard_ms = now_ms(granter_state)
        state_cache.state_current_ms = now_ms(granter_state)


def find_majority_followed_ms(granter_state: GranterState) -> int | None:
    """Return the latest time at which a majority followed the term.

    The followers must be a majority of each of `list_vm_sets`. `None` means
    that a majority has never followed.
    """
    gateway = granter_state.gateway
    followed_ms_by_vm = {
        vm: followed_term.followed_after_ms
        for vm, followed_term in gateway.followed_term_by_vm.items()
        if _is_follower(granter_state, vm, followed_term)
    }
    followed_ms_by_vm[gateway.local_peer.vm] = now_ms(granter_state)
    majority_times_ms: list[int] = []
    for vms in list_vm_sets(granter_state):
        latest_first = sorted(
            (followed_ms_by_vm[vm] for vm in vms if vm in followed_ms_by_vm),
            reverse=True,
        )
        if not grant_timing.is_majority(len(latest_first), len(vms)):
            return None
        majority_times_ms.append(latest_first[len(vms) // 2])
    return min(majority_times_ms)


def _is_follower(
    granter_state: GranterState,
    vm: str,
    followed_term: gateway_module.FollowedTerm,
) -> bool:
    """Return whether a VM followed the term when it was last heard of.

    A VM that restarted while the store was unreachable no longer knows which
    granter it followed, and doesn't count.
    """
    if followed_term.term != granter_state.ownership.term:
        return False
    return (
        granter_state.incarnation_at_confirmation_by_vm.get(vm)
        == followed_term.incarnation
    )


def publish(granter_state: GranterState, *, write_at_once: bool) -> None:
    """Publish changes of ownership to the other VMs and record them.

    With `write_at_once` the record is written without delay, because orders
    depend on the change; otherwise the write is deferred.
    """
    ownership_module.advance_serial(granter_state.ownership)
    if write_at_once:
        granter_state.write_due.set()
    elif not granter_state.deferred_write_due_ms:
        granter_state.deferred_write_due_ms = (
            now_ms(granter_state) + DEFERRED_WRITE_DELAY_MS
        )
    state_cache = granter_state.gateway.state_cache
    state_cache.ownership = granter_state.ownership
    state_cache_module.notify_change(state_cache)


def note_term_confirmed(
    granter_state: GranterState, request_sent_ms: int
) -> None:
    """Note that the store confirmed the term.

    The confirmation counts from the time at which the request was sent. A
    process that was first heard of since may have started after the store's
    answer, and after its VM had followed a later term.
    """
    gateway = granter_state.gateway
    granter_state.confirmed_ms = max(
        granter_state.confirmed_ms, request_sent_ms
    )
    granter_state.orders_end_ms = max(
        granter_state.orders_end_ms,
        request_sent_ms + grant_timing.GRANTER_GRACE_MS,
    )
    granter_state.store_outage = False
    granter_state.incarnation_at_confirmation_by_vm = {
        vm: peer.incarnation
        for vm, peer in gateway.peer_by_vm.items()
        if gateway.first_heard_ms_by_vm[vm] <= request_sent_ms
    }
    if not granter_state.term_confirmed:
        events.log_event(events.Event.TERM_CONFIRMED)
    granter_state.term_confirmed = True


def take_fence(granter_state: GranterState) -> int | None:
    """Allocate a fencing token to send at once; `None` if none is reserved.

    Once half of the reserved tokens are used, the record is written to reserve
    more.
    """
    next_fence = granter_state.ownership.next_fence
    left = granter_state.reserved_fence_limit - next_fence
    if left < ownership_module.RESERVED_FENCES // 2:
        granter_state.write_due.set()
    if left <= 0:
        return None
    return ownership_module.allocate_fence(granter_state.ownership)


def note_store_outage(granter_state: GranterState, *, in_outage: bool) -> None:
    """Note whether the store is unreachable for most VMs."""
    if in_outage and not granter_state.store_outage:
        for range_table in granter_state.ownership.table_by_service.values():
            for key_range in range_table.ranges:
                # Grants last longer during an outage: renew all without delay.
                key_range.renewal_due_ms = 0
    granter_state.store_outage = in_outage


def stop(granter_state: GranterState, reason: str) -> None:
    """End the term on this VM: send no more orders."""
    if granter_state.stopped:
        return
    granter_state.stopped = True
    granter_state.gateway.is_granter = False
    # Keep a copy of the ownership for routing. The next granter's record has a
    # higher term, so it still replaces the copy.
    granter_state.gateway.state_cache.ownership = (
        ownership_module.make_ownership(
            ownership_module.make_record(granter_state.ownership),
        )
    )
    events.log_event(
        events.Event.GRANTER_STOPPED,
        reason=reason,
        term=granter_state.ownership.term,
    )
    for tasks in (
        granter_state.order_task_by_range_id,
        granter_state.check_task_by_upstream,
    ):
        for task in tasks.values():
            task.cancel()
        tasks.clear()
    state_cache_module.notify_change(granter_state.gateway.state_cache)


def bound_remaining_grants_ms(granter_state: GranterState) -> int:
    """Return for how long, at most, a grant may still last.

    0 means that the successor has to find out by itself when earlier granters
    stop.
    """
    if not have_earlier_orders_ended(granter_state):
        return 0
    latest_end_ms = granter_state.earlier_orders.holds_end_ms
    if latest_end_ms == grant_timing.UNKNOWN_END_MS:
        return 0
    for range_table in granter_state.ownership.table_by_service.values():
        for key_range in range_table.ranges:
            latest_end_ms = max(
                latest_end_ms,
                key_range.hold_end_ms,
                *key_range.hold_end_ms_by_previous_holder.values(),
            )
    return max(latest_end_ms - now_ms(granter_state), 1)
