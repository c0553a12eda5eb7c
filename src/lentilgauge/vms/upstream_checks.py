"""Check whether unresponsive upstreams answer the granter again.

A check is a release of one key that the upstream doesn't hold, under the token
of the key's last release: it is never refused, and gives and takes nothing. It
proves what an answered order proves, that the granter reaches the upstream. No
bound on a hold depends on it.
"""

import asyncio

from lentilgauge import events
from lentilgauge.contracts import grant_timing, upstream_absence
from lentilgauge.links import upstream_link
from lentilgauge.services import key_ranges
from lentilgauge.upstreams import upstream_state
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import suspicion_sharing


def start_due_checks(granter_state: granter_state_module.GranterState) -> None:
    """Start a check of each unresponsive upstream for which one is due.

    Those that aren't announced, or that accept no work, aren't checked.
    """
    current_ms = granter_state_module.now_ms(granter_state)
    _update_absences(granter_state, current_ms)
    if not granter_state_module.may_send_orders(granter_state):
        return
    for upstream_id, absence in granter_state.absence_by_upstream.items():
        if (
            upstream_absence.is_absent(absence)
            and current_ms >= absence.check_due_ms
            and upstream_id not in granter_state.check_task_by_upstream
        ):
            _start_check(granter_state, upstream_id, absence)


def _update_absences(
    granter_state: granter_state_module.GranterState, current_ms: int
) -> None:
    """Start and end absences as upstreams are and aren't unresponsive."""
    absence_by_upstream = granter_state.absence_by_upstream
    streak_by_upstream = granter_state.failure_streak_by_upstream
    for upstream_id, failure_streak in streak_by_upstream.items():
        earlier = absence_by_upstream.get(upstream_id)
        if not upstream_absence.is_absent(
            earlier
        ) and grant_timing.is_unresponsive(failure_streak, current_ms):
            absence_by_upstream[upstream_id] = upstream_absence.start_absence(
                earlier, current_ms
            )
    for absent_id, absence in absence_by_upstream.items():
        if (
            upstream_absence.is_absent(absence)
            and absent_id not in streak_by_upstream
        ):
            upstream_absence.end_absence(absence, current_ms)


def _start_check(
    granter_state: granter_state_module.GranterState,
    upstream_id: str,
    absence: upstream_absence.Absence,
) -> None:
    state_cache = granter_state.gateway.state_cache
    upstream = state_cache.upstream_by_id.get(upstream_id)
    if upstream is None or not upstream_state.accepts_work(
        upstream, state_cache.evacuated_domains
    ):
        return
    key_range = _find_unheld_range(granter_state, upstream)
    if key_range is None:
        return
    granter_state.check_task_by_upstream[upstream.id] = asyncio.ensure_future(
        _check_upstream(granter_state, upstream, absence, key_range)
    )


def _find_unheld_range(
    granter_state: granter_state_module.GranterState,
    upstream: upstream_state.Upstream,
) -> key_ranges.KeyRange | None:
    """Find a recorded range; none while the upstream may hold any keys.

    Until then it gets other orders, and a release may lose a handover.
    """
    range_table = granter_state.ownership.table_by_service.get(upstream.service)
    if range_table is None or any(
        key_ranges.may_be_held_by(key_range, upstream.id)
        for key_range in range_table.ranges
    ):
        return None
    return next(
        (
            key_range
            for key_range in range_table.ranges
            if key_range.fence < granter_state.recorded_fence_limit
        ),
        None,
    )


async def _check_upstream(
    granter_state: granter_state_module.GranterState,
    upstream: upstream_state.Upstream,
    absence: upstream_absence.Absence,
    key_range: key_ranges.KeyRange,
) -> None:
    """Send one check; the upstream is eligible again once it is answered."""
    reply = await granter_state.gateway.upstreams.release_keys(
        upstream_link.KeyOrder(
            upstream=upstream,
            start=key_range.start,
            end=key_range.start,
            fence=key_range.release_fence,
            timeout_ms=grant_timing.GRANT_TIMEOUT_MS,
        ),
    )
    current_ms = granter_state_module.now_ms(granter_state)
    granter_state.check_task_by_upstream.pop(upstream.id, None)
    answered = reply.answer is upstream_link.OrderAnswer.ACCEPTED
    granter_state.gateway.metrics.count('upstream_checks', reply.answer)
    if granter_state.absence_by_upstream.get(upstream.id) is not absence:
        return
    if answered:
        failure_streak = granter_state.failure_streak_by_upstream.pop(
            upstream.id, None
        )
        if failure_streak is not None and failure_streak.unreachable:
            suspicion_sharing.suspect_returned(granter_state.gateway, upstream)
        upstream_absence.end_absence(absence, current_ms)
        events.log_event(
            events.Event.UPSTREAM_RETURNED,
            upstream=upstream.id,
            checks=absence.unanswered_checks + 1,
        )
        return
    absence.unanswered_checks += 1
    upstream_absence.schedule_check(absence, current_ms)
