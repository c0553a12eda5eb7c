"""Queue of requests that wait for upstream capacity, most urgent first."""

import asyncio
import bisect
import dataclasses
from collections.abc import Callable

from lentilgauge.upstreams import upstream_state

#: Reserves capacity for a waiting request and returns the upstream that has it,
#: or `None` while no upstream has free capacity.
ReserveCapacity = Callable[[], upstream_state.Upstream | None]


@dataclasses.dataclass(slots=True, kw_only=True)
class Waiter:
    """One waiting request.

    A lower `rank` is more urgent. `upstream_future` is a future: it
    resolves to the upstream on which capacity was reserved, or to `None` at the
    deadline.
    """

    rank: int
    deadline_ms: int
    reserve_capacity: ReserveCapacity
    upstream_future: asyncio.Future[upstream_state.Upstream | None]


@dataclasses.dataclass(slots=True, kw_only=True)
class AdmissionQueue:
    """Priority queue of a service's waiting requests."""

    waiters: list[Waiter] = dataclasses.field(default_factory=list)


def _get_sort_key(waiter: Waiter) -> tuple[int, int]:
    """Order by rank, then by earliest deadline.

    Requests that callers retry after a refusal get no precedence: most can't
    be answered in time any more, and would make new requests late too (see
    docs/PLATFORM.md, "Ways tried and what binds").
    """
    return (waiter.rank, waiter.deadline_ms)


def add_waiter(queue: AdmissionQueue, waiter: Waiter) -> None:
    """Insert a request at its position in the queue."""
    bisect.insort(queue.waiters, waiter, key=_get_sort_key)


def remove_waiter(queue: AdmissionQueue, waiter: Waiter) -> None:
    """Remove a request, if it is still queued."""
    if waiter in queue.waiters:
        queue.waiters.remove(waiter)


def admit_waiters(queue: AdmissionQueue) -> None:
    """Assign free capacity to waiting requests, in order of urgency.

    The requests leave the queue later, by `remove_waiter`.
    """
    for waiter in tuple(queue.waiters):
        if waiter.upstream_future.done():
            continue
        upstream = waiter.reserve_capacity()
        if upstream is not None:
            waiter.upstream_future.set_result(upstream)


def expire_waiters(queue: AdmissionQueue, now_ms: int) -> None:
    """Resolve the futures of expired requests to `None`."""
    for waiter in queue.waiters:
        if waiter.deadline_ms <= now_ms and not waiter.upstream_future.done():
            waiter.upstream_future.set_result(None)
