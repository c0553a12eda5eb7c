"""Send a granter's orders, releases and grants, to upstreams.

A granter first records the new holder of a range, then has the earlier
holders release it, then grants it. The range is unserved from the decision
until the new holder has accepted the grant.
"""

import asyncio
from collections.abc import Coroutine

from lentilgauge import clock, events
from lentilgauge.contracts import orders
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import upstream_link
from lentilgauge.services import key_ranges
from lentilgauge.vms import granting as granting_module

#: Delay before a release or a grant is retried.
_ORDER_RETRY_MS = 100


def start_orders(granting: granting_module.Granting) -> None:
    """Start a task for each transfer or renewal that is due."""
    if not granting_module.may_order(granting):
        return
    current_ms = granting_module.now_ms(granting)
    for table in granting.ownership.table_by_service.values():
        for key_range in table.ranges:
            if _may_order_range(granting, key_range):
                _start_due_order(granting, key_range, current_ms)


def _may_order_range(
    granting: granting_module.Granting,
    key_range: key_ranges.KeyRange,
) -> bool:
    """Return whether orders for a range may be sent and none is in flight.

    Its fencing token must be in the record, or the next granter would not know
    of it.
    """
    if not key_range.holder or key_range.fence >= granting.recorded_fence:
        return False
    return id(key_range) not in granting.task_by_range


def _start_due_order(
    granting: granting_module.Granting,
    key_range: key_ranges.KeyRange,
    current_ms: int,
) -> None:
    if not key_range.served:
        _start_task(granting, key_range, transfer_range(granting, key_range))
    elif current_ms >= key_range.renew_ms:
        _start_task(granting, key_range, renew_grant(granting, key_range))


def _start_task(
    granting: granting_module.Granting,
    key_range: key_ranges.KeyRange,
    order: Coroutine[object, object, None],
) -> None:
    task = asyncio.ensure_future(order)
    granting.task_by_range[id(key_range)] = task

    def remove_task(_: object) -> None:
        if granting.task_by_range.get(id(key_range)) is task:
            granting.task_by_range.pop(id(key_range))

    task.add_done_callback(remove_task)


async def renew_grant(
    granting: granting_module.Granting, key_range: key_ranges.KeyRange
) -> None:
    """Renew the holder's grant of a range."""
    reply = await _send_grant(granting, key_range)
    if reply is upstream_link.GrantAnswer.FENCED:
        await _allot_new_token(granting, key_range)


async def _allot_new_token(
    granting: granting_module.Granting,
    key_range: key_ranges.KeyRange,
) -> None:
    """Allot a higher fencing token after a refusal, if still granter."""
    current_ms = granting_module.now_ms(granting)
    await granting_module.settle_conflict(granting, current_ms)
    if not granting.stopped:
        key_range.release_fence = ownership_module.allot_fence(
            granting.ownership
        )
        key_range.fence = ownership_module.allot_fence(granting.ownership)
        granting_module.publish(granting, record=True)


def _mark_served(
    granting: granting_module.Granting,
    key_range: key_ranges.KeyRange,
) -> None:
    key_range.served = True
    key_range.handover = ''
    events.record(
        events.Event.KEYS_SERVED,
        start=key_range.start,
        end=key_range.end,
        upstream=key_range.holder,
        fence=key_range.fence,
        term=granting.ownership.term,
    )
    granting_module.publish(granting, record=False)


async def transfer_range(
    granting: granting_module.Granting, key_range: key_ranges.KeyRange
) -> None:
    """Have earlier holders release a range, then grant it to its holder."""
    fence = key_range.fence
    earlier_holders = list(key_range.end_ms_by_earlier)
    await asyncio.gather(
        *(
            _free_range(granting, key_range, upstream_id)
            for upstream_id in earlier_holders
        ),
    )
    while key_range.fence == fence and granting_module.may_order(granting):
        answer = await _send_grant(granting, key_range)
        if key_range.fence != fence or granting.stopped:
            return
        if answer is upstream_link.GrantAnswer.ACCEPTED:
            _mark_served(granting, key_range)
            return
        if answer is upstream_link.GrantAnswer.FENCED:
            await _allot_new_token(granting, key_range)
            return
        await asyncio.sleep(clock.to_seconds(_ORDER_RETRY_MS))


async def _free_range(
    granting: granting_module.Granting,
    key_range: key_ranges.KeyRange,
    upstream_id: str,
) -> None:
    """Wait until an earlier holder's grant is released or has expired."""
    while not _has_ended(granting, key_range, upstream_id):
        if granting_module.may_order(granting):
            reply = await _send_release(granting, key_range, upstream_id)
            if reply.answer is upstream_link.GrantAnswer.ACCEPTED:
                key_range.handover = reply.handover or key_range.handover
                break
        await asyncio.sleep(clock.to_seconds(_ORDER_RETRY_MS))
    key_range.end_ms_by_earlier.pop(upstream_id, None)


def _has_ended(
    granting: granting_module.Granting,
    key_range: key_ranges.KeyRange,
    upstream_id: str,
) -> bool:
    """Return whether an earlier holder's grant has certainly expired."""
    return _measure_remaining_ms(granting, key_range, upstream_id) <= 0


def _measure_remaining_ms(
    granting: granting_module.Granting,
    key_range: key_ranges.KeyRange,
    upstream_id: str,
) -> int:
    """Return how long an earlier holder's grant of a range may still last."""
    end_ms = key_range.end_ms_by_earlier.get(upstream_id)
    if end_ms is None:
        return 0
    latest_end_ms = max(end_ms, granting.inherited_end_ms)
    return latest_end_ms - granting_module.now_ms(granting)


async def _send_release(
    granting: granting_module.Granting,
    key_range: key_ranges.KeyRange,
    upstream_id: str,
) -> upstream_link.KeyReply:
    upstream = granting.upstream_by_id.get(upstream_id)
    if upstream is None:
        return upstream_link.KeyReply(
            answer=upstream_link.GrantAnswer.SILENT,
        )
    return await granting.gateway.upstreams.release_keys(
        upstream_link.KeyOrder(
            upstream=upstream,
            start=key_range.start,
            end=key_range.end,
            fence=key_range.release_fence,
            timeout_ms=min(
                orders.RELEASE_TIMEOUT_MS,
                max(_measure_remaining_ms(granting, key_range, upstream_id), 1),
            ),
        ),
    )


async def _send_grant(
    granting: granting_module.Granting,
    key_range: key_ranges.KeyRange,
) -> upstream_link.GrantAnswer:
    """Send one grant and update the range's bounds by its answer."""
    upstream = granting.upstream_by_id.get(key_range.holder)
    if upstream is None:
        return upstream_link.GrantAnswer.SILENT
    grant_duration_ms = orders.choose_hold_ms(
        outage=granting.outage,
        longest_ms=granting.gateway.bounds.hold_ms,
    )
    possibly_lost = key_range.served and upstream.id in granting.silence_by_id
    if possibly_lost:
        grant_duration_ms = orders.shorten_hold_ms(
            grant_duration_ms,
            key_range.end_ms,
            granting_module.now_ms(granting),
        )
    previous_end_ms = orders.note_grant_sent(
        key_range, granting_module.now_ms(granting), grant_duration_ms
    )
    fence = key_range.fence
    reply = await granting.gateway.upstreams.grant_keys(
        upstream_link.KeyOrder(
            upstream=upstream,
            start=key_range.start,
            end=key_range.end,
            fence=key_range.fence,
            hold_ms=grant_duration_ms,
            handover=key_range.handover,
            timeout_ms=orders.GRANT_TIMEOUT_MS,
        ),
    )
    _track_silence(granting, upstream.id, reply.answer)
    if reply.answer is upstream_link.GrantAnswer.ACCEPTED:
        orders.note_grant_accepted(
            key_range,
            granting_module.now_ms(granting),
            grant_duration_ms,
            previous_end_ms,
        )
        if key_range.fence != fence or possibly_lost:
            # Joined with its neighbour meanwhile, or granted for a short
            # time only: renew at once.
            key_range.renew_ms = 0
    elif reply.answer is upstream_link.GrantAnswer.UNREACHABLE:
        orders.note_grant_unsent(key_range, previous_end_ms)
    return reply.answer


def _track_silence(
    granting: granting_module.Granting,
    upstream_id: str,
    answer: upstream_link.GrantAnswer,
) -> None:
    no_answer_kinds = {
        upstream_link.GrantAnswer.SILENT,
        upstream_link.GrantAnswer.UNREACHABLE,
    }
    if answer not in no_answer_kinds:
        granting.silence_by_id.pop(upstream_id, None)
        return
    granting.gateway.metrics.count('orders_unanswered', answer)
    orders.note_failure(
        granting.silence_by_id,
        upstream_id,
        granting_module.now_ms(granting),
        unreachable=answer is upstream_link.GrantAnswer.UNREACHABLE,
    )
    silence = granting.silence_by_id[upstream_id]
    events.record(
        events.Event.UPSTREAM_SILENT,
        upstream=upstream_id,
        answer=answer,
        failures=silence.failures,
        since_ms=granting_module.now_ms(granting) - silence.since_ms,
    )
