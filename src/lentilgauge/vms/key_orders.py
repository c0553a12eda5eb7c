"""Send a granter's orders (releases and grants) to upstreams.

A granter first records the new holder of a range, then has the earlier
holders release it, then grants it. The range is unserved from the decision
until the new holder has accepted the grant.
"""

import asyncio
import dataclasses
from collections.abc import Coroutine

from lentilgauge import clock, events
from lentilgauge.contracts import grant_timing
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import upstream_link
from lentilgauge.services import key_ranges
from lentilgauge.upstreams import upstream_state
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import holder_doubts, record_writer, store_watch
from lentilgauge.vms import state_cache as state_cache_module

#: Delay before a release or a grant is retried.
_ORDER_RETRY_MS = 100
#: Answers to a release after which the upstream certainly no longer holds the
#: keys. A release uses a new connection, so they answer no earlier order.
_RELEASING_ANSWERS = frozenset(
    (upstream_link.OrderAnswer.ACCEPTED, upstream_link.OrderAnswer.REPLACED)
)
#: Answers to a grant that its upstream certainly hasn't received.
_UNRECEIVED_ANSWERS = frozenset(
    (upstream_link.OrderAnswer.UNREACHABLE, upstream_link.OrderAnswer.REPLACED)
)


def start_due_orders(granter_state: granter_state_module.GranterState) -> None:
    """Start a task for each transfer or renewal that is due."""
    if not granter_state_module.may_send_orders(granter_state):
        return
    current_ms = granter_state_module.now_ms(granter_state)
    for range_table in granter_state.ownership.table_by_service.values():
        for key_range in range_table.ranges:
            if _may_send_range_orders(granter_state, key_range):
                _start_due_order(granter_state, key_range, current_ms)


def _may_send_range_orders(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
) -> bool:
    """Return whether orders for a range may be sent and none is in flight.

    The ownership record must have the range's assignment, or the next granter
    wouldn't know who may hold the keys.
    """
    if (
        not key_range.holder
        or key_range.fence >= granter_state.recorded_fence_limit
    ):
        return False
    return id(key_range) not in granter_state.order_task_by_range_id


def _start_due_order(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
    current_ms: int,
) -> None:
    if not key_range.served:
        if not store_watch.has_loaded_all_topics(granter_state):
            # The entry of an earlier holder may be older than its last grant:
            # another process at its former address would reject a release.
            return
        _start_task(
            granter_state, key_range, transfer_range(granter_state, key_range)
        )
    elif current_ms >= key_range.renewal_due_ms:
        _start_task(
            granter_state, key_range, renew_grant(granter_state, key_range)
        )


def _start_task(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
    order: Coroutine[object, object, None],
) -> None:
    task = asyncio.ensure_future(order)
    granter_state.order_task_by_range_id[id(key_range)] = task

    def remove_task(_: object) -> None:
        if granter_state.order_task_by_range_id.get(id(key_range)) is task:
            granter_state.order_task_by_range_id.pop(id(key_range))

    task.add_done_callback(remove_task)


async def renew_grant(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
) -> None:
    """Renew the holder's grant of a range."""
    answer = await _send_grant(granter_state, key_range)
    if answer is upstream_link.OrderAnswer.FENCED:
        await _allocate_new_tokens(granter_state, key_range)


async def _allocate_new_tokens(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
) -> None:
    """Allocate higher fencing tokens after a refusal, if still the granter."""
    current_ms = granter_state_module.now_ms(granter_state)
    await record_writer.resolve_write_conflict(granter_state, current_ms)
    if not granter_state.stopped and not holder_doubts.doubt_if_refused(
        granter_state, upstream_link.OrderAnswer.FENCED
    ):
        key_range.release_fence = ownership_module.allocate_fence(
            granter_state.ownership
        )
        key_range.fence = ownership_module.allocate_fence(
            granter_state.ownership
        )
        granter_state_module.publish(granter_state, write_at_once=True)


def _mark_served(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
) -> None:
    key_range.served = True
    key_range.handover = ''
    events.log_event(
        events.Event.KEYS_SERVED,
        start=key_range.start,
        end=key_range.end,
        upstream=key_range.holder,
        fence=key_range.granted_fence,
        term=granter_state.ownership.term,
    )
    granter_state_module.publish(granter_state, write_at_once=False)


async def transfer_range(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
) -> None:
    """Have earlier holders release a range, then grant it to its holder."""
    fence = key_range.fence
    earlier_holders = list(key_range.hold_end_ms_by_previous_holder)
    await asyncio.gather(
        *(
            _wait_until_released(granter_state, key_range, previous)
            for previous in earlier_holders
        ),
    )
    while key_range.fence == fence and granter_state_module.may_send_orders(
        granter_state
    ):
        answer = await _send_grant(granter_state, key_range)
        if key_range.fence != fence or granter_state.stopped:
            return
        if answer is upstream_link.OrderAnswer.ACCEPTED:
            _mark_served(granter_state, key_range)
            return
        if answer is upstream_link.OrderAnswer.FENCED:
            await _allocate_new_tokens(granter_state, key_range)
            return
        await asyncio.sleep(clock.to_seconds(_ORDER_RETRY_MS))


async def _wait_until_released(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
    previous: key_ranges.Grantee,
) -> None:
    """Wait until an earlier holder's grant is released or has expired."""
    while not _has_grant_expired(granter_state, key_range, previous):
        if granter_state_module.may_send_orders(granter_state):
            reply = await _send_release(granter_state, key_range, previous)
            if reply.answer in _RELEASING_ANSWERS:
                key_range.handover = reply.handover or key_range.handover
                break
            holder_doubts.doubt_if_refused(granter_state, reply.answer)
        await asyncio.sleep(clock.to_seconds(_ORDER_RETRY_MS))
    key_range.hold_end_ms_by_previous_holder.pop(previous, None)


def _has_grant_expired(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
    previous: key_ranges.Grantee,
) -> bool:
    """Return whether an earlier holder's grant has certainly expired."""
    return _measure_remaining_ms(granter_state, key_range, previous) <= 0


def _measure_remaining_ms(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
    previous: key_ranges.Grantee,
) -> int:
    """Return how long an earlier holder's grant of a range may still last."""
    end_ms = key_range.hold_end_ms_by_previous_holder.get(previous)
    if end_ms is None:
        return 0
    latest_end_ms = max(end_ms, granter_state.earlier_orders.holds_end_ms)
    return latest_end_ms - granter_state_module.now_ms(granter_state)


async def _send_release(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
    previous: key_ranges.Grantee,
) -> upstream_link.KeyReply:
    """Send a release to the address to which the grants were sent.

    The upstream may have moved since. What another process accepted there, in
    its place, is released by that process only.
    """
    upstream = granter_state.upstream_by_id.get(previous.upstream_id)
    if upstream is None:
        return upstream_link.KeyReply(
            answer=upstream_link.OrderAnswer.SILENT,
        )
    return await granter_state.gateway.upstreams.release_keys(
        upstream_link.KeyOrder(
            upstream=dataclasses.replace(
                upstream, address=previous.address or upstream.address
            ),
            start=key_range.start,
            end=key_range.end,
            fence=key_range.release_fence,
            timeout_ms=min(
                grant_timing.RELEASE_TIMEOUT_MS,
                max(
                    _measure_remaining_ms(granter_state, key_range, previous),
                    1,
                ),
            ),
        ),
    )


def _find_holder(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
) -> upstream_state.Upstream | None:
    """Return the upstream that a range is assigned to.

    Return `None` if it is known at another address than the recorded one: a
    successor wouldn't look for a grant there.
    """
    upstream = granter_state.upstream_by_id.get(key_range.holder)
    if upstream is None or key_range.address in {upstream.address, ''}:
        return upstream
    return None


async def _send_grant(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
) -> upstream_link.OrderAnswer:
    """Send one grant and update when the holder's right to the range ends.

    Renewals too have a token of their own: the process that accepts one may
    have taken the place of the holder at its address.
    """
    upstream = _find_holder(granter_state, key_range)
    grant_fence = granter_state_module.take_fence(granter_state)
    if upstream is None or grant_fence is None:
        return upstream_link.OrderAnswer.SILENT
    key_range.granted_fence = grant_fence
    key_range.address = upstream.address
    hold_ms = grant_timing.choose_hold_ms(
        outage=granter_state.store_outage,
        longest_ms=granter_state.gateway.bounds.max_hold_ms,
    )
    possibly_lost = (
        key_range.served
        and upstream.id in granter_state.failure_streak_by_upstream
    )
    if possibly_lost:
        hold_ms = grant_timing.cap_hold_ms(
            hold_ms,
            key_range.hold_end_ms,
            granter_state_module.now_ms(granter_state),
        )
    previous_end_ms = grant_timing.extend_end_before_grant(
        key_range, granter_state_module.now_ms(granter_state), hold_ms
    )
    fence = key_range.fence
    reply = await granter_state.gateway.upstreams.grant_keys(
        upstream_link.KeyOrder(
            upstream=upstream,
            start=key_range.start,
            end=key_range.end,
            fence=grant_fence,
            hold_ms=hold_ms,
            handover=key_range.handover,
            timeout_ms=grant_timing.GRANT_TIMEOUT_MS,
        ),
    )
    _track_silence(granter_state, upstream, reply.answer)
    if reply.leaving:
        state_cache_module.note_leaving(
            granter_state.gateway.state_cache, upstream
        )
    _log_refusal(granter_state, key_range, upstream.id, reply.answer)
    if reply.answer is upstream_link.OrderAnswer.ACCEPTED:
        granter_state.grant_accepted_ms_by_upstream[upstream.id] = (
            granter_state_module.now_ms(granter_state)
        )
        grant_timing.tighten_end_after_grant(
            key_range,
            granter_state_module.now_ms(granter_state),
            hold_ms,
            previous_end_ms,
        )
        if key_range.fence != fence or possibly_lost:
            # Assigned anew meanwhile, or granted for a short time only.
            key_range.renewal_due_ms = 0
    elif reply.answer is upstream_link.OrderAnswer.UNREACHABLE:
        grant_timing.restore_end_of_unsent_grant(key_range, previous_end_ms)
    return reply.answer


def _track_silence(
    granter_state: granter_state_module.GranterState,
    upstream: upstream_state.Upstream,
    answer: upstream_link.OrderAnswer,
) -> None:
    """Note whether an upstream has answered an order that was sent to it."""
    if (
        answer not in _UNRECEIVED_ANSWERS
        and answer is not upstream_link.OrderAnswer.SILENT
    ):
        granter_state.failure_streak_by_upstream.pop(upstream.id, None)
        return
    granter_state.gateway.metrics.count('orders_unanswered', answer)
    known = granter_state.upstream_by_id[upstream.id]
    if known.incarnation != upstream.incarnation:
        # The upstream has restarted since.
        return
    grant_timing.record_failure(
        granter_state.failure_streak_by_upstream,
        upstream.id,
        granter_state_module.now_ms(granter_state),
        unreachable=answer in _UNRECEIVED_ANSWERS,
    )
    failure_streak = granter_state.failure_streak_by_upstream[upstream.id]
    events.log_event(
        events.Event.UPSTREAM_SILENT,
        upstream=upstream.id,
        answer=answer,
        failures=failure_streak.failures,
        since_ms=granter_state_module.now_ms(granter_state)
        - failure_streak.since_ms,
    )


def _log_refusal(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
    upstream_id: str,
    answer: upstream_link.OrderAnswer,
) -> None:
    """Log a grant that its upstream has answered, but not accepted."""
    refusals = {
        upstream_link.OrderAnswer.FENCED,
        upstream_link.OrderAnswer.BAD,
    }
    if answer not in refusals:
        return
    granter_state.gateway.metrics.count('orders_refused', answer)
    events.log_event(
        events.Event.ORDER_REFUSED,
        upstream=upstream_id,
        answer=answer,
        start=key_range.start,
        end=key_range.end,
        fence=key_range.granted_fence,
        term=granter_state.ownership.term,
    )
