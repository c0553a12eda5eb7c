"""Send a granter's orders to upstreams.

A granter first records what it is about to grant, then releases at the
earlier holder, then grants. A range is unserved from the decision until the
new holder has accepted.
"""

import asyncio
from collections.abc import Coroutine

from lentilgauge import clock, events
from lentilgauge.contracts import orders
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import upstream_link
from lentilgauge.services import key_ranges
from lentilgauge.vms import granting as granting_module

#: The pause before a release or a grant is tried again.
_RETRY_MS = 100


def start_orders(granting: granting_module.Granting) -> None:
    """Start the transfers and renewals that are due."""
    if not granting_module.may_order(granting):
        return
    at_ms = granting_module.now_ms(granting)
    for table in granting.ownership.table_by_service.values():
        for one in table.ranges:
            if _may_order_range(granting, one):
                _start_order(granting, one, at_ms)


def _may_order_range(
    granting: granting_module.Granting,
    one: key_ranges.KeyRange,
) -> bool:
    """Tell whether orders for a range may be sent and none is under way.

    Its token must be in the record, or the next granter would not know.
    """
    if not one.holder or one.fence >= granting.recorded_fence:
        return False
    return id(one) not in granting.task_by_range


def _start_order(
    granting: granting_module.Granting,
    one: key_ranges.KeyRange,
    at_ms: int,
) -> None:
    if not one.served:
        _start_task(granting, one, transfer_range(granting, one))
    elif at_ms >= one.renew_ms:
        _start_task(granting, one, renew_range(granting, one))


def _start_task(
    granting: granting_module.Granting,
    one: key_ranges.KeyRange,
    job: Coroutine[object, object, None],
) -> None:
    task = asyncio.ensure_future(job)
    granting.task_by_range[id(one)] = task

    def forget(_: object) -> None:
        if granting.task_by_range.get(id(one)) is task:
            granting.task_by_range.pop(id(one))

    task.add_done_callback(forget)


async def renew_range(
    granting: granting_module.Granting, one: key_ranges.KeyRange
) -> None:
    """Renew the holder's right to a range."""
    reply = await _grant(granting, one)
    if reply is upstream_link.GrantAnswer.FENCED:
        await _renew_token(granting, one)


async def _renew_token(
    granting: granting_module.Granting,
    one: key_ranges.KeyRange,
) -> None:
    """Take a higher token after a refusal, if the term still stands."""
    at_ms = granting_module.now_ms(granting)
    await granting_module.settle_conflict(granting, at_ms)
    if not granting.stopped:
        one.release_fence = ownership_module.allot_fence(granting.ownership)
        one.fence = ownership_module.allot_fence(granting.ownership)
        granting_module.publish(granting, record=True)


def _note_served(
    granting: granting_module.Granting,
    one: key_ranges.KeyRange,
) -> None:
    one.served = True
    one.handover = ''
    events.record(
        events.Event.KEYS_SERVED,
        start=one.start,
        end=one.end,
        upstream=one.holder,
        fence=one.fence,
        term=granting.ownership.term,
    )
    granting_module.publish(granting, record=False)


async def transfer_range(
    granting: granting_module.Granting, one: key_ranges.KeyRange
) -> None:
    """Free a range of its earlier holders, then grant it to its holder."""
    fence = one.fence
    earlier = list(one.end_ms_by_earlier)
    await asyncio.gather(
        *(_free_range(granting, one, upstream_id) for upstream_id in earlier),
    )
    while one.fence == fence and granting_module.may_order(granting):
        answer = await _grant(granting, one)
        if one.fence != fence or granting.stopped:
            return
        if answer is upstream_link.GrantAnswer.ACCEPTED:
            _note_served(granting, one)
            return
        if answer is upstream_link.GrantAnswer.FENCED:
            await _renew_token(granting, one)
            return
        await asyncio.sleep(clock.to_seconds(_RETRY_MS))


async def _free_range(
    granting: granting_module.Granting,
    one: key_ranges.KeyRange,
    upstream_id: str,
) -> None:
    """Wait until an earlier holder has released or its right has ended."""
    while not _has_ended(granting, one, upstream_id):
        if granting_module.may_order(granting):
            reply = await _release(granting, one, upstream_id)
            if reply.answer is upstream_link.GrantAnswer.ACCEPTED:
                one.handover = reply.handover or one.handover
                break
        await asyncio.sleep(clock.to_seconds(_RETRY_MS))
    one.end_ms_by_earlier.pop(upstream_id, None)


def _has_ended(
    granting: granting_module.Granting,
    one: key_ranges.KeyRange,
    upstream_id: str,
) -> bool:
    """Tell whether an earlier holder's right has surely ended."""
    return _measure_left_ms(granting, one, upstream_id) <= 0


def _measure_left_ms(
    granting: granting_module.Granting,
    one: key_ranges.KeyRange,
    upstream_id: str,
) -> int:
    """Measure for how long an earlier holder may still hold a range."""
    end_ms = one.end_ms_by_earlier.get(upstream_id)
    if end_ms is None:
        return 0
    latest_ms = max(end_ms, granting.inherited_end_ms)
    return latest_ms - granting_module.now_ms(granting)


async def _release(
    granting: granting_module.Granting,
    one: key_ranges.KeyRange,
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
            start=one.start,
            end=one.end,
            fence=one.release_fence,
            timeout_ms=min(
                orders.RELEASE_TIMEOUT_MS,
                max(_measure_left_ms(granting, one, upstream_id), 1),
            ),
        ),
    )


async def _grant(
    granting: granting_module.Granting,
    one: key_ranges.KeyRange,
) -> upstream_link.GrantAnswer:
    """Send one grant and note what its answer proves."""
    upstream = granting.upstream_by_id.get(one.holder)
    if upstream is None:
        return upstream_link.GrantAnswer.SILENT
    hold_ms = orders.choose_hold_ms(
        outage=granting.outage,
        longest_ms=granting.gateway.bounds.hold_ms,
    )
    doubtful = one.served and upstream.id in granting.silence_by_id
    if doubtful:
        hold_ms = orders.shorten_hold_ms(
            hold_ms,
            one.end_ms,
            granting_module.now_ms(granting),
        )
    before_ms = orders.note_grant_sent(
        one, granting_module.now_ms(granting), hold_ms
    )
    fence = one.fence
    reply = await granting.gateway.upstreams.grant_keys(
        upstream_link.KeyOrder(
            upstream=upstream,
            start=one.start,
            end=one.end,
            fence=one.fence,
            hold_ms=hold_ms,
            handover=one.handover,
            timeout_ms=orders.GRANT_TIMEOUT_MS,
        ),
    )
    _note_answer(granting, upstream.id, reply.answer)
    if reply.answer is upstream_link.GrantAnswer.ACCEPTED:
        orders.note_grant_accepted(
            one,
            granting_module.now_ms(granting),
            hold_ms,
            before_ms,
        )
        if one.fence != fence or doubtful:
            # Joined with its neighbour, or granted for a short time only.
            one.renew_ms = 0
    elif reply.answer is upstream_link.GrantAnswer.UNREACHABLE:
        orders.note_grant_unsent(one, before_ms)
    return reply.answer


def _note_answer(
    granting: granting_module.Granting,
    upstream_id: str,
    answer: upstream_link.GrantAnswer,
) -> None:
    lost = {
        upstream_link.GrantAnswer.SILENT,
        upstream_link.GrantAnswer.UNREACHABLE,
    }
    if answer not in lost:
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
