"""Limits on the concurrent requests of this entry to each upstream.

A request needs a permit of the upstream's limiter while it is in flight.
"""

import asyncio
import dataclasses
import heapq

from lentilgauge import clock
from lentilgauge.services import catalog

#: Weight of the newest sample in the moving average of the latency.
_LATENCY_WEIGHT = 0.1


@dataclasses.dataclass(slots=True, order=True)
class Waiter:
    """A waiting request; sorts by priority, then by arrival."""

    priority: catalog.Priority
    sequence: int
    admission_future: asyncio.Future[bool] = dataclasses.field(compare=False)
    deadline_ms: int = dataclasses.field(compare=False)


@dataclasses.dataclass(slots=True, kw_only=True)
class ConcurrencyLimiter:
    """Concurrency limit and wait queue of one upstream in this entry.

    `limit` is the number of permits, `in_flight` how many are taken.
    `latency_ms` is a moving average. Until `suspended_until_ms` the upstream
    gets no requests because it could not be reached; 0 means not suspended.
    """

    limit: int
    in_flight: int = 0
    latency_ms: float = 1
    suspended_until_ms: int = 0
    waiters: list[Waiter] = dataclasses.field(default_factory=list)
    last_sequence: int = 0


def try_acquire_permit(concurrency_limiter: ConcurrencyLimiter) -> bool:
    """Take a permit if one is free and no request waits.

    Return whether one was taken.
    """
    if (
        concurrency_limiter.in_flight >= concurrency_limiter.limit
        or concurrency_limiter.waiters
    ):
        return False
    concurrency_limiter.in_flight += 1
    return True


def estimate_wait_ms(
    concurrency_limiter: ConcurrencyLimiter, priority: catalog.Priority
) -> float:
    """Estimate how long a new request of a priority would wait for a permit."""
    ahead = sum(
        waiter.priority <= priority for waiter in concurrency_limiter.waiters
    )
    return (
        (ahead + 1)
        * concurrency_limiter.latency_ms
        / max(concurrency_limiter.limit, 1)
    )


async def acquire_permit(
    concurrency_limiter: ConcurrencyLimiter,
    priority: catalog.Priority,
    deadline_ms: int,
    now_ms: int,
) -> bool:
    """Wait for a permit; return whether one was taken before the deadline.

    A request that would wait beyond its deadline, by the estimate, is refused
    at once. A request that is cancelled keeps no permit.
    """
    if try_acquire_permit(concurrency_limiter):
        return True
    if now_ms + estimate_wait_ms(concurrency_limiter, priority) >= deadline_ms:
        return False
    concurrency_limiter.last_sequence += 1
    waiter = Waiter(
        priority,
        concurrency_limiter.last_sequence,
        asyncio.get_running_loop().create_future(),
        deadline_ms,
    )
    heapq.heappush(concurrency_limiter.waiters, waiter)
    try:
        # Unlike `asyncio.wait_for`, this never drops the task's cancellation.
        await asyncio.wait(
            (waiter.admission_future,),
            timeout=clock.to_seconds(deadline_ms - now_ms),
        )
    except asyncio.CancelledError:
        if not _withdraw_waiter(waiter):
            release_permit(concurrency_limiter)
        raise
    return not _withdraw_waiter(waiter)


def _withdraw_waiter(waiter: Waiter) -> bool:
    """Let `release_permit` skip a waiter; return false if it has a permit."""
    return waiter.admission_future.cancel()


def release_permit(concurrency_limiter: ConcurrencyLimiter) -> None:
    """Release a permit and give the free permits to waiting requests."""
    concurrency_limiter.in_flight -= 1
    while (
        concurrency_limiter.waiters
        and concurrency_limiter.in_flight < concurrency_limiter.limit
    ):
        waiter = heapq.heappop(concurrency_limiter.waiters)
        if not waiter.admission_future.done():
            concurrency_limiter.in_flight += 1
            waiter.admission_future.set_result(True)


def record_latency(
    concurrency_limiter: ConcurrencyLimiter, latency_ms: float
) -> None:
    """Add one latency to the moving average."""
    concurrency_limiter.latency_ms += (
        latency_ms - concurrency_limiter.latency_ms
    ) * _LATENCY_WEIGHT
