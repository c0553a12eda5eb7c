"""Limits on the concurrent requests of this entry to each upstream."""

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
    admitted: asyncio.Future[bool] = dataclasses.field(compare=False)
    deadline_ms: int = dataclasses.field(compare=False)


@dataclasses.dataclass(slots=True, kw_only=True)
class Gate:
    """Concurrency limit and wait queue of one upstream in this entry.

    `latency_ms` is a moving average. Until `suspended_deadline_ms` the
    upstream gets no requests because it could not be reached.
    """

    limit: int
    in_flight: int = 0
    latency_ms: float = 1
    suspended_deadline_ms: int = 0
    waiters: list[Waiter] = dataclasses.field(default_factory=list)
    last_sequence: int = 0


def try_enter(gate: Gate) -> bool:
    """Take a slot if one is free and no request waits; return whether taken."""
    if gate.in_flight >= gate.limit or gate.waiters:
        return False
    gate.in_flight += 1
    return True


def estimate_wait_ms(gate: Gate, priority: catalog.Priority) -> float:
    """Estimate how long a new request of a priority would wait for a slot."""
    ahead = sum(waiter.priority <= priority for waiter in gate.waiters)
    return (ahead + 1) * gate.latency_ms / max(gate.limit, 1)


async def enter(
    gate: Gate,
    priority: catalog.Priority,
    deadline_ms: int,
    now_ms: int,
) -> bool:
    """Wait for a slot; return whether one was taken before the deadline.

    A request whose estimated wait exceeds its deadline is refused at once.
    """
    if try_enter(gate):
        return True
    if now_ms + estimate_wait_ms(gate, priority) >= deadline_ms:
        return False
    gate.last_sequence += 1
    waiter = Waiter(
        priority,
        gate.last_sequence,
        asyncio.get_running_loop().create_future(),
        deadline_ms,
    )
    heapq.heappush(gate.waiters, waiter)
    try:
        return await asyncio.wait_for(
            waiter.admitted,
            clock.to_seconds(deadline_ms - now_ms),
        )
    except TimeoutError:
        # The timeout cancelled the waiter's future, so it is skipped later.
        return False


def leave(gate: Gate) -> None:
    """Release a slot and admit waiting requests as far as there are slots."""
    gate.in_flight -= 1
    while gate.waiters and gate.in_flight < gate.limit:
        waiter = heapq.heappop(gate.waiters)
        if not waiter.admitted.done():
            gate.in_flight += 1
            waiter.admitted.set_result(True)


def note_latency(gate: Gate, latency_ms: float) -> None:
    """Add one latency to the moving average."""
    gate.latency_ms += (latency_ms - gate.latency_ms) * _LATENCY_WEIGHT
