"""Clock readings and conversions between units of time."""

import time
from collections.abc import Callable

MS_PER_SECOND = 1000
SECONDS_PER_MS = 0.001
NS_PER_MS = 1_000_000
NS_PER_US = 1000

#: Returns whole milliseconds that never decrease within a process.
Clock = Callable[[], int]


def read_monotonic_ms() -> int:
    """Return this process's monotonic clock in milliseconds."""
    return time.monotonic_ns() // NS_PER_MS


def read_wall_us() -> int:
    """Return the wall clock in microseconds since the Unix epoch."""
    return time.time_ns() // NS_PER_US


def to_seconds(duration_ms: float) -> float:
    """Convert a duration in milliseconds to seconds."""
    return duration_ms * SECONDS_PER_MS
