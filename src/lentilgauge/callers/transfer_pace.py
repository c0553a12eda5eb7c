"""Pace of transfers from and to callers.

A caller that always makes some progress may hold memory or a connection for as
long as it likes. Once others need them, a slow one makes way.
"""

import dataclasses

#: A transfer that takes longer for this many bytes is slow: 1 Mbit/s, a fifth
#: of the platform's slowest link.
_PACE_BYTES = 375_000
_PACE_MS = 3000


@dataclasses.dataclass(slots=True, kw_only=True)
class Pace:
    """Bytes that a transfer moved since it last was as fast as required."""

    since_ms: int
    moved_bytes: int = 0


def mark_moved(pace: Pace, moved_bytes: int, now_ms: int) -> None:
    """Record that a transfer moved bytes."""
    pace.moved_bytes += moved_bytes
    if pace.moved_bytes >= _PACE_BYTES:
        pace.moved_bytes = 0
        pace.since_ms = now_ms


def is_slow(pace: Pace | None, now_ms: int) -> bool:
    """Return whether a transfer is slow; without a pace it never is."""
    return pace is not None and now_ms - pace.since_ms >= _PACE_MS
