"""Measure when the soak's own process stands still.

All stand-in upstreams run in it. A grant whose sender gave up meanwhile is
read, and takes effect, once the process goes on.
"""

import asyncio
import dataclasses
import math
import time

from lentilgauge import clock
from lentilgauge.contracts import grant_timing

#: In a shorter stall no grant times out.
MIN_STALL_SECONDS = clock.to_seconds(grant_timing.GRANT_TIMEOUT_MS)
#: Grants that are read this soon after a stall may have waited during it.
AFTERMATH_SECONDS = 0.3
_BEAT_SECONDS = 0.02


@dataclasses.dataclass(slots=True, kw_only=True)
class Stalls:
    """Stalls of the event loop, from a heartbeat on it.

    `beat_at` is the moment of the last heartbeat, infinity before the first;
    `ended_at` is the end of the last stall. Both are in seconds on the
    monotonic clock. `lengths_seconds` has the length of each stall.
    """

    beat_at: float = math.inf
    ended_at: float = -math.inf
    lengths_seconds: list[float] = dataclasses.field(default_factory=list)


def record_beat(stalls: Stalls, now: float) -> None:
    """Record a heartbeat; if it is late enough, a stall has just ended."""
    delay_seconds = now - stalls.beat_at
    if delay_seconds >= MIN_STALL_SECONDS:
        stalls.ended_at = now
        stalls.lengths_seconds.append(delay_seconds)
    stalls.beat_at = now


async def keep_measuring(stalls: Stalls) -> None:
    """Record heartbeats until the task is cancelled."""
    while True:
        record_beat(stalls, time.monotonic())
        await asyncio.sleep(_BEAT_SECONDS)


def is_aftermath(stalls: Stalls, now: float) -> bool:
    """Return whether the loop has just stood still.

    What the loop reads first after a stall comes before its next heartbeat.
    """
    return (
        now - stalls.beat_at >= MIN_STALL_SECONDS
        or now - stalls.ended_at < AFTERMATH_SECONDS
    )
