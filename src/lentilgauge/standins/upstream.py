"""Upstream stand-in: lease checks, queue, execution times and journal."""

import asyncio
import collections
import dataclasses
import random

from lentilgauge import clock
from lentilgauge.contracts import holder, lease
from lentilgauge.standins import journal


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults that a test has set.

    `close_unanswered`, `cut_bodies` and `wrong_ids` are numbers of next
    answers to drop, truncate or label with another request's id;
    `slow_factor` multiplies execution times.
    """

    close_unanswered: int = 0
    cut_bodies: int = 0
    wrong_ids: int = 0
    slow_factor: float = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamProfile:
    """Capacity and execution times of an upstream.

    `service_ms` is the mean execution time of a warm upstream. A cold one is
    slower by `cold_factor` at first and warms up linearly over `warm_after`
    executions. Without `checks_tokens` it ignores leases.
    """

    upstream_id: str
    concurrency: int
    queue_limit: int
    service_ms: float
    checks_tokens: bool
    cold_factor: float
    warm_after: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Upstream:
    """State of a running upstream.

    `executed` counts the executions since it was last cold.
    """

    profile: UpstreamProfile
    lease_holder: holder.Holder
    random: random.Random
    execution_slots: asyncio.Semaphore
    now_ms: clock.Clock
    journal: journal.Journal
    request_count_by_slot: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )
    faults: Faults = dataclasses.field(default_factory=Faults)
    running: int = 0
    waiting: int = 0
    executed: int = 0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataRequest:
    """Request to execute; `deadline_ms` is on this process's clock."""

    request_id: str
    idempotency_key: str
    path: str
    slot_grant: lease.SlotGrant
    deadline_ms: int


def make_upstream(
    profile: UpstreamProfile,
    *,
    incarnation: str,
    seed: int,
    journal_path: str,
    now_ms: clock.Clock = clock.read_monotonic_ms,
) -> Upstream:
    """Make an upstream without a lease."""
    return Upstream(
        profile=profile,
        lease_holder=holder.Holder(incarnation=incarnation),
        journal=journal.open_journal(journal_path),
        random=random.Random(seed),  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        execution_slots=asyncio.Semaphore(profile.concurrency),
        now_ms=now_ms,
    )


def _find_refusal(
    upstream: Upstream,
    data_request: DataRequest,
) -> lease.RunRefusal | None:
    now_ms = upstream.now_ms()
    if now_ms >= data_request.deadline_ms:
        return lease.RunRefusal.DEADLINE_PAST
    if upstream.leaving:
        return lease.RunRefusal.LEAVING
    if not upstream.profile.checks_tokens:
        return None
    return holder.find_run_refusal(
        upstream.lease_holder, data_request.slot_grant, now_ms
    )


def _record_event(
    upstream: Upstream,
    data_request: DataRequest,
    request_event: journal.RequestEvent,
    reason: str = '',
) -> None:
    journal.write_line(
        upstream.journal,
        journal.JournalLine(
            upstream_id=upstream.profile.upstream_id,
            incarnation=upstream.lease_holder.incarnation,
            request_id=data_request.request_id,
            idempotency_key=data_request.idempotency_key,
            path=data_request.path,
            slot=data_request.slot_grant.slot,
            epoch=data_request.slot_grant.epoch,
            outcome=request_event,
            reason=reason,
            at_us=clock.read_wall_us(),
            running=upstream.running,
        ),
    )


def record_refusal(
    upstream: Upstream,
    data_request: DataRequest,
    reason: lease.RunRefusal,
) -> lease.RunRefusal:
    """Write a refusal to the journal; return its reason."""
    _record_event(upstream, data_request, journal.RequestEvent.REFUSED, reason)
    return reason


def compute_warmth(upstream: Upstream) -> float:
    """Return the progress of the warm-up, from 0 (cold) to 1 (warm)."""
    warm_after = upstream.profile.warm_after
    if not warm_after:
        return 1
    return min(1, upstream.executed / warm_after)


def _draw_execution_ms(upstream: Upstream) -> float:
    profile = upstream.profile
    cold_slowdown = 1 + (profile.cold_factor - 1) * (
        1 - compute_warmth(upstream)
    )
    exponential = upstream.random.expovariate(1)
    warm_ms = profile.service_ms * (exponential + 1) / 2
    return warm_ms * cold_slowdown * upstream.faults.slow_factor


async def execute(
    upstream: Upstream,
    data_request: DataRequest,
) -> lease.RunRefusal | None:
    """Queue and execute a request; return the reason if it was refused."""
    refusal = _find_refusal(upstream, data_request)
    if refusal is not None:
        return record_refusal(upstream, data_request, refusal)
    if (
        upstream.waiting >= upstream.profile.queue_limit
        and upstream.execution_slots.locked()
    ):
        return record_refusal(upstream, data_request, lease.RunRefusal.BUSY)
    upstream.waiting += 1
    upstream.request_count_by_slot[data_request.slot_grant.slot] += 1
    try:
        return await _wait_and_run(upstream, data_request)
    finally:
        upstream.request_count_by_slot[data_request.slot_grant.slot] -= 1


async def _wait_and_run(
    upstream: Upstream,
    data_request: DataRequest,
) -> lease.RunRefusal | None:
    try:
        await upstream.execution_slots.acquire()
    finally:
        upstream.waiting -= 1
    try:
        return await _run_if_allowed(upstream, data_request)
    finally:
        upstream.execution_slots.release()


async def _run_if_allowed(
    upstream: Upstream,
    data_request: DataRequest,
) -> lease.RunRefusal | None:
    # The lease or the deadline may have expired in the queue.
    refusal = _find_refusal(upstream, data_request)
    if refusal is not None:
        return record_refusal(upstream, data_request, refusal)
    await _run(upstream, data_request)
    return None


async def _run(upstream: Upstream, data_request: DataRequest) -> None:
    upstream.running += 1
    _record_event(upstream, data_request, journal.RequestEvent.STARTED)
    try:
        if upstream.profile.service_ms:
            await asyncio.sleep(clock.to_seconds(_draw_execution_ms(upstream)))
    finally:
        upstream.running -= 1
        upstream.executed += 1
        _record_event(upstream, data_request, journal.RequestEvent.ENDED)


def list_busy_slots(upstream: Upstream) -> list[int]:
    """List the slots with requests queued or in execution."""
    return [
        slot
        for slot, count in upstream.request_count_by_slot.items()
        if count > 0
    ]


def reset_warmth(upstream: Upstream) -> None:
    """Reset the warm-up, as after a restart that wasn't announced."""
    upstream.executed = 0
