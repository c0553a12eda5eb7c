"""Stand in for an upstream: slots, lease, limits, cold start and journal."""

import asyncio
import collections
import dataclasses
import random

from lentilgauge import clock
from lentilgauge.contracts import holder, lease
from lentilgauge.standins import journal


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Hold the faults that a test has asked for, in numbers of answers."""

    close_unanswered: int = 0
    cut_bodies: int = 0
    wrong_ids: int = 0
    slow_factor: float = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """Describe how fast and wide an upstream is.

    An upstream that starts cold serves `cold_factor` times slower at first
    and warms up evenly over `warm_after` executions.
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
    """Hold one running upstream."""

    shape: Shape
    held: holder.Holder
    random: random.Random
    gate: asyncio.Semaphore
    now_ms: clock.Clock
    journal: journal.Journal
    count_by_slot: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter,
    )
    faults: Faults = dataclasses.field(default_factory=Faults)
    running: int = 0
    waiting: int = 0
    executed: int = 0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """Describe one request; `deadline_ms` is in this process's clock."""

    request_id: str
    idempotency_key: str
    path: str
    wanted: lease.SlotGrant
    deadline_ms: int


def make_upstream(
    shape: Shape,
    *,
    incarnation: str,
    seed: int,
    journal_path: str,
    now_ms: clock.Clock = clock.read_monotonic_ms,
) -> Upstream:
    """Make an upstream that holds no lease yet."""
    return Upstream(
        shape=shape,
        held=holder.Holder(incarnation=incarnation),
        journal=journal.open_journal(journal_path),
        random=random.Random(seed),  # ruff: ignore[suspicious-non-cryptographic-random-usage]
        gate=asyncio.Semaphore(shape.concurrency),
        now_ms=now_ms,
    )


def _find_refusal(
    upstream: Upstream,
    work: Work,
) -> lease.RunRefusal | None:
    now_ms = upstream.now_ms()
    if now_ms >= work.deadline_ms:
        return lease.RunRefusal.DEADLINE_PAST
    if upstream.leaving:
        return lease.RunRefusal.LEAVING
    if not upstream.shape.checks_tokens:
        return None
    return holder.find_run_refusal(upstream.held, work.wanted, now_ms)


def _record(
    upstream: Upstream,
    work: Work,
    outcome: journal.Outcome,
    reason: str = '',
) -> None:
    journal.write_line(
        upstream.journal,
        journal.Line(
            upstream_id=upstream.shape.upstream_id,
            incarnation=upstream.held.incarnation,
            request_id=work.request_id,
            idempotency_key=work.idempotency_key,
            path=work.path,
            slot=work.wanted.slot,
            epoch=work.wanted.epoch,
            outcome=outcome,
            reason=reason,
            at_us=clock.read_wall_us(),
            running=upstream.running,
        ),
    )


def refuse(
    upstream: Upstream,
    work: Work,
    reason: lease.RunRefusal,
) -> lease.RunRefusal:
    """Record and return a refusal."""
    _record(upstream, work, journal.Outcome.REFUSED, reason)
    return reason


def find_warmth(upstream: Upstream) -> float:
    """Return how warm the upstream is, from 0 (cold) to 1."""
    warm_after = upstream.shape.warm_after
    if not warm_after:
        return 1
    return min(1, upstream.executed / warm_after)


def _draw_service_ms(upstream: Upstream) -> float:
    shape = upstream.shape
    slowness = 1 + (shape.cold_factor - 1) * (1 - find_warmth(upstream))
    drawn = upstream.random.expovariate(1)
    base = shape.service_ms * (drawn + 1) / 2
    return base * slowness * upstream.faults.slow_factor


async def execute(
    upstream: Upstream,
    work: Work,
) -> lease.RunRefusal | None:
    """Run one request through the queue; return why it did not run."""
    refusal = _find_refusal(upstream, work)
    if refusal is not None:
        return refuse(upstream, work, refusal)
    if (
        upstream.waiting >= upstream.shape.queue_limit
        and upstream.gate.locked()
    ):
        return refuse(upstream, work, lease.RunRefusal.BUSY)
    upstream.waiting += 1
    upstream.count_by_slot[work.wanted.slot] += 1
    try:
        return await _run_in_turn(upstream, work)
    finally:
        upstream.count_by_slot[work.wanted.slot] -= 1


async def _run_in_turn(
    upstream: Upstream,
    work: Work,
) -> lease.RunRefusal | None:
    try:
        await upstream.gate.acquire()
    finally:
        upstream.waiting -= 1
    try:
        return await _run_if_allowed(upstream, work)
    finally:
        upstream.gate.release()


async def _run_if_allowed(
    upstream: Upstream,
    work: Work,
) -> lease.RunRefusal | None:
    # The lease and the deadline may have passed while it waited.
    refusal = _find_refusal(upstream, work)
    if refusal is not None:
        return refuse(upstream, work, refusal)
    await _run(upstream, work)
    return None


async def _run(upstream: Upstream, work: Work) -> None:
    upstream.running += 1
    _record(upstream, work, journal.Outcome.STARTED)
    try:
        if upstream.shape.service_ms:
            await asyncio.sleep(clock.to_seconds(_draw_service_ms(upstream)))
    finally:
        upstream.running -= 1
        upstream.executed += 1
        _record(upstream, work, journal.Outcome.ENDED)


def list_busy_slots(upstream: Upstream) -> list[int]:
    """List the slots with requests in the queue or running."""
    return [slot for slot, count in upstream.count_by_slot.items() if count > 0]


def turn_cold(upstream: Upstream) -> None:
    """Lose all warmth, as after a restart that nobody announced."""
    upstream.executed = 0
