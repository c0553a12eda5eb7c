"""Bounds on when the right to serve keys, given by a grant, ends.

An order is a grant or a release sent to an upstream. A grant's hold, the time
for which the upstream may serve the keys, runs on the upstream's clock from
the arrival of the order. The granter only knows that the order arrives after
it was sent and, once answered, before the answer; an order without an answer
arrives before its connection is reset.
"""

import dataclasses
from collections.abc import Iterable

from lentilgauge.services import key_ranges

#: Largest share by which an upstream's clock may run slow.
MAX_DRIFT_SHARE = 0.02
#: Added to each bound for timer and network delays at both ends.
SLACK_MS = 100
#: Timeout for the answer to a grant.
GRANT_TIMEOUT_MS = 300
#: Timeout for the answer to a release, which comes once the upstream has
#: finished the requests in flight on the keys.
RELEASE_TIMEOUT_MS = 1500
#: Default hold: short, so that a failed upstream's keys are free soon, but
#: longer than it takes to detect a failed granter and to replace it.
DEFAULT_HOLD_MS = 2500
#: A shorter hold would end before the answer to its grant is read.
MIN_HOLD_MS = 300
#: Delay from the answer to a grant until the hold is renewed.
RENEW_AFTER_MS = 800
#: Delay from an attempted grant until it is retried if unanswered.
RENEW_RETRY_MS = 200
#: How long a granter keeps granting after the store, or a majority of the
#: VMs, last confirmed it.
GRANTER_GRACE_MS = 1200
#: How long a VM remembers that it has reported a store outage to a granter.
OUTAGE_REPORT_TTL_MS = 14_000
#: Placeholder for an end that isn't known yet.
UNKNOWN_END_MS = 9_000_000_000_000_000


@dataclasses.dataclass(slots=True, kw_only=True)
class FailureStreak:
    """Consecutive orders that an upstream has failed to answer.

    The first of them was counted at `since_ms`. `unreachable` counts those
    that failed because nothing listened at the upstream's address, or another
    process did.
    """

    since_ms: int
    failures: int = 0
    unreachable: int = 0


#: An upstream is unresponsive after this many consecutive failed orders over
#: at least this time. Fewer failures are enough if nothing listens at its
#: address.
_UNRESPONSIVE_FAILURES = 3
_UNRESPONSIVE_MS = 700
_UNREACHABLE_FAILURES = 2


def record_failure(
    failure_streak_by_upstream: dict[str, FailureStreak],
    upstream_id: str,
    now_ms: int,
    *,
    unreachable: bool,
) -> None:
    """Count an order that the upstream failed to answer."""
    failure_streak = failure_streak_by_upstream.setdefault(
        upstream_id, FailureStreak(since_ms=now_ms)
    )
    failure_streak.failures += 1
    failure_streak.unreachable += unreachable


def is_unresponsive(failure_streak: FailureStreak | None, now_ms: int) -> bool:
    """Return whether an upstream counts as unresponsive."""
    if failure_streak is None:
        return False
    if failure_streak.unreachable >= _UNREACHABLE_FAILURES:
        return True
    return (
        failure_streak.failures >= _UNRESPONSIVE_FAILURES
        and now_ms - failure_streak.since_ms >= _UNRESPONSIVE_MS
    )


def add_drift(hold_ms: int) -> int:
    """Return how long a hold may last on a slow clock, with slack."""
    return int(hold_ms * (1 + MAX_DRIFT_SHARE)) + SLACK_MS


def extend_end_before_grant(
    key_range: key_ranges.KeyRange,
    now_ms: int,
    hold_ms: int,
) -> int:
    """Extend the hold's end for a grant about to be sent.

    Return the previous end, for when the grant is answered or not sent.
    """
    previous_end_ms = key_range.hold_end_ms
    latest_end_ms = now_ms + GRANT_TIMEOUT_MS + add_drift(hold_ms)
    key_range.hold_end_ms = max(key_range.hold_end_ms, latest_end_ms)
    key_range.renewal_due_ms = now_ms + RENEW_RETRY_MS
    return previous_end_ms


def tighten_end_after_grant(
    key_range: key_ranges.KeyRange,
    now_ms: int,
    hold_ms: int,
    previous_end_ms: int,
) -> None:
    """Tighten the hold's end once its grant was answered."""
    key_range.hold_end_ms = max(previous_end_ms, now_ms + add_drift(hold_ms))
    key_range.renewal_due_ms = now_ms + RENEW_AFTER_MS


def choose_hold_ms(*, outage: bool, longest_ms: int) -> int:
    """Choose the hold of the next grant.

    While most VMs can't reach the store, no other granter can take over. Holds
    are then as long as allowed, so that upstreams can go on serving their keys
    for longest if this granter fails.
    """
    return longest_ms if outage else min(DEFAULT_HOLD_MS, longest_ms)


def restore_end_of_unsent_grant(
    key_range: key_ranges.KeyRange, previous_end_ms: int
) -> None:
    """Restore the hold's end after a grant that was never delivered."""
    key_range.hold_end_ms = previous_end_ms


def cap_hold_ms(hold_ms: int, end_ms: int, now_ms: int) -> int:
    """Shorten a hold so that it can't outlast the current one.

    An upstream that has just failed to answer may be down, and each further
    grant that it may have received would delay the end of its right. The
    hold is never shorter than `MIN_HOLD_MS`.
    """
    remaining_ms = end_ms - now_ms - GRANT_TIMEOUT_MS - SLACK_MS
    shortened = int(remaining_ms / (1 + MAX_DRIFT_SHARE))
    return max(min(hold_ms, shortened), MIN_HOLD_MS)


def is_majority(counted: int, total: int) -> bool:
    """Return whether a count is more than half of the total."""
    return counted * 2 > total


def is_half(counted: int, total: int) -> bool:
    """Return whether a count is at least half of the total.

    Half is enough to deny the others a majority.
    """
    return counted * 2 >= total


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EarlierOrdersBounds:
    """Bounds on the effect of earlier granters' orders.

    All of their orders have arrived or timed out by `orders_end_ms`, and all
    holds that these gave have ended by `holds_end_ms`.
    """

    orders_end_ms: int = 0
    holds_end_ms: int = 0


#: Bounds on the orders of a granter that may still be sending some.
UNKNOWN_BOUNDS = EarlierOrdersBounds(
    orders_end_ms=UNKNOWN_END_MS, holds_end_ms=UNKNOWN_END_MS
)


def bound_orders_after_stop(now_ms: int, hold_ms: int) -> EarlierOrdersBounds:
    """Return bounds on the orders of a granter that has stopped."""
    return EarlierOrdersBounds(
        orders_end_ms=now_ms + GRANT_TIMEOUT_MS + SLACK_MS,
        holds_end_ms=now_ms + GRANT_TIMEOUT_MS + add_drift(hold_ms),
    )


def bound_orders_after_succession(
    now_ms: int, hold_ms: int
) -> EarlierOrdersBounds:
    """Return bounds on the orders of a granter that was replaced.

    Half of the VMs follow the successor by now. The store no longer confirms
    the predecessor, and too few VMs do, so it stops by itself at the end of its
    grace period.
    """
    return bound_orders_after_stop(now_ms + GRANTER_GRACE_MS, hold_ms)


def bound_orders_before_stop(now_ms: int) -> EarlierOrdersBounds:
    """Return bounds on the orders of a granter that may not have stopped.

    The store no longer confirms it. If most VMs still follow it after its grace
    period, holders that accepted the successor's grants have refused it since,
    and it can't record the higher tokens that it needs to order these keys.
    """
    return EarlierOrdersBounds(
        orders_end_ms=now_ms + GRANTER_GRACE_MS + GRANT_TIMEOUT_MS + SLACK_MS,
        holds_end_ms=UNKNOWN_END_MS,
    )


def join_bounds(bounds: Iterable[EarlierOrdersBounds]) -> EarlierOrdersBounds:
    """Return the bounds that hold for the orders of several granters."""
    all_bounds = tuple(bounds)
    if UNKNOWN_BOUNDS in all_bounds:
        return UNKNOWN_BOUNDS
    return EarlierOrdersBounds(
        orders_end_ms=max(each.orders_end_ms for each in all_bounds),
        holds_end_ms=max(each.holds_end_ms for each in all_bounds),
    )
