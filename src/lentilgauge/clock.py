"""Read the clocks that deadlines are written in."""

import time
from collections.abc import Callable

MS_PER_SECOND = 1000
SECONDS_PER_MS = 0.001
NS_PER_MS = 1_000_000
NS_PER_US = 1000

#: A clock gives whole milliseconds that never go back while a process lives.
Clock = Callable[[], int]


def read_monotonic_ms() -> int:
    """Return this process's monotonic clock in milliseconds."""
    return time.monotonic_ns() // NS_PER_MS


def read_wall_us() -> int:
    """Return the wall clock in microseconds since the epoch."""
    return time.time_ns() // NS_PER_US


def to_seconds(span_ms: float) -> float:
    """Convert a span in milliseconds to seconds."""
    return span_ms * SECONDS_PER_MS
