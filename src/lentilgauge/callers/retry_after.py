"""Compute the `Retry-After` delays of refused requests.

Requests are refused when upstreams are overloaded and while a key has no
owner. A caller retries once, after at most a third of its remaining time, and
a request refused again has failed for good. Retries are therefore scheduled
one after the other at the rate at which capacity becomes free, and not before
they have a chance to succeed.
"""

import dataclasses

#: Minimum delay before a retry; an upstream's shortest request takes about as
#: long.
MIN_DELAY_MS = 100
#: Callers wait for at most this fraction of their remaining time.
MAX_DELAY_SHARE = 1 / 3
#: Fraction of the freed capacity that is reserved for retries.
_RETRY_CAPACITY_SHARE = 0.5
#: Weight of the newest interval in the moving average.
_NEWEST_WEIGHT = 0.1
#: Longest interval that is averaged; after a longer time without an answer the
#: rate is unknown.
_MAX_INTERVAL_MS = 1000
_INITIAL_INTERVAL_MS = 50


@dataclasses.dataclass(slots=True, kw_only=True)
class RetrySchedule:
    """Schedule of a service's retries at this gateway.

    `interval_ms` is the moving average of the time between two answers, each
    of which frees capacity; `last_answer_ms` is the time of the last one.
    Capacity for retries is reserved up to `next_retry_ms`.
    """

    interval_ms: float = _INITIAL_INTERVAL_MS
    last_answer_ms: int = 0
    next_retry_ms: float = 0


def record_answer(schedule: RetrySchedule, now_ms: int) -> None:
    """Update the average interval with an answer, which frees capacity."""
    interval_ms = min(now_ms - schedule.last_answer_ms, _MAX_INTERVAL_MS)
    schedule.last_answer_ms = now_ms
    schedule.interval_ms += (
        interval_ms - schedule.interval_ms
    ) * _NEWEST_WEIGHT


def schedule_retry(
    schedule: RetrySchedule, now_ms: int, remaining_ms: int
) -> int:
    """Reserve a time for a caller's retry; return the delay in milliseconds.

    If the next free time is later than the caller will wait, the longest delay
    that it accepts is returned and nothing is reserved, so that the retries of
    later callers are not delayed further.
    """
    max_delay_ms = max(remaining_ms * MAX_DELAY_SHARE, MIN_DELAY_MS)
    earliest_ms = now_ms + MIN_DELAY_MS
    retry_at_ms = max(earliest_ms, schedule.next_retry_ms)
    if retry_at_ms - now_ms > max_delay_ms:
        return int(max_delay_ms)
    schedule.next_retry_ms = (
        retry_at_ms + schedule.interval_ms / _RETRY_CAPACITY_SHARE
    )
    return int(retry_at_ms - now_ms)


def compute_ownerless_delay_ms(unserved_ms: int, remaining_ms: int) -> int:
    """Return the delay in milliseconds before a retry for a key without owner.

    Most keys lack an owner only briefly; one that has lacked it for long is
    likely to lack it for long again, so the delay grows with `unserved_ms`.
    """
    max_delay_ms = max(remaining_ms * MAX_DELAY_SHARE, MIN_DELAY_MS)
    return int(min(max(unserved_ms, MIN_DELAY_MS), max_delay_ms))
