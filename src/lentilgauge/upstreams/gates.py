"""Bound the requests that this entry has on each upstream."""

import asyncio
import dataclasses
import heapq

from lentilgauge import clock
from lentilgauge.services import catalog

#: How much the newest latency counts in the moving average.
_NEWEST_SHARE = 0.1


@dataclasses.dataclass(slots=True, order=True)
class Waiter:
    """Order waiting requests by priority, then by arrival."""

    priority: catalog.Priority
    order: int
    admitted: asyncio.Future[bool] = dataclasses.field(compare=False)
    deadline_ms: int = dataclasses.field(compare=False)


@dataclasses.dataclass(slots=True, kw_only=True)
class Gate:
    """Hold one upstream's load as this entry sees it.

    `suspended_deadline_ms` is until when the upstream is passed over because
    it could not be reached.
    """

    limit: int
    in_flight: int = 0
    latency_ms: float = 1
    suspended_deadline_ms: int = 0
    waiters: list[Waiter] = dataclasses.field(default_factory=list)
    last_order: int = 0


def try_enter(gate: Gate) -> bool:
    """Enter if there is room and nobody waits."""
    if gate.in_flight >= gate.limit or gate.waiters:
        return False
    gate.in_flight += 1
    return True


def estimate_wait_ms(gate: Gate, priority: catalog.Priority) -> float:
    """Estimate how long a request of a priority would wait."""
    ahead = sum(waiter.priority <= priority for waiter in gate.waiters)
    return (ahead + 1) * gate.latency_ms / max(gate.limit, 1)


async def enter(
    gate: Gate,
    priority: catalog.Priority,
    deadline_ms: int,
    now_ms: int,
) -> bool:
    """Wait for room; tell whether it was found before the deadline."""
    if try_enter(gate):
        return True
    if now_ms + estimate_wait_ms(gate, priority) >= deadline_ms:
        return False
    gate.last_order += 1
    waiter = Waiter(
        priority,
        gate.last_order,
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
        # A timed-out waiter is cancelled, and passed over when its turn comes.
        return False


def leave(gate: Gate) -> None:
    """Give the room to the first who still waits."""
    gate.in_flight -= 1
    while gate.waiters and gate.in_flight < gate.limit:
        waiter = heapq.heappop(gate.waiters)
        if not waiter.admitted.done():
            gate.in_flight += 1
            waiter.admitted.set_result(True)


def note_latency(gate: Gate, latency_ms: float) -> None:
    """Take one latency into the moving average."""
    gate.latency_ms += (latency_ms - gate.latency_ms) * _NEWEST_SHARE
