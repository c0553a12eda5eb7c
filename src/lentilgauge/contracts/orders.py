"""Bound how long a granted right to keys can last.

A hold runs on the upstream's clock from the arrival of the order. The sender
only knows that it arrives after it was sent and, once answered, before the
answer; an order without an answer arrives before its connection is reset.
"""

import dataclasses

from lentilgauge.services import key_ranges

#: An upstream's clock may run this much slow.
DRIFT_SHARE = 0.02
#: Added to each bound for what timers and links add at both ends.
SLACK_MS = 100
#: How long to wait for the answer to a grant.
GRANT_TIMEOUT_MS = 300
#: How long to wait for the answer to a release, which comes when the work
#: under way on the keys has ended.
RELEASE_TIMEOUT_MS = 1500
#: A usual hold: short, so that a lost upstream's keys are free soon, but
#: longer than it takes to notice that the granter is lost and to replace it.
USUAL_HOLD_MS = 2500
#: A shorter hold would end before its answer is read.
LEAST_HOLD_MS = 300
#: How long after it was granted a hold is renewed.
RENEW_AFTER_MS = 800
#: How soon a renewal without an answer is tried again.
RENEW_RETRY_MS = 200
#: How long a granter goes on after the store, or most VMs, last confirmed it.
ORDER_GRACE_MS = 1200
#: A VM remembers for this long that it told a granter of an outage.
OUTAGE_MEMORY_MS = 14_000
#: Stands for an end that isn't known yet.
UNKNOWN_END_MS = 9_000_000_000_000_000


@dataclasses.dataclass(slots=True, kw_only=True)
class Silence:
    """Hold how an upstream has failed to answer orders in a row."""

    since_ms: int
    failures: int = 0
    unreachable: int = 0


#: An upstream that fails so many orders in a row over so long a time is
#: given up; one at whose address nothing listens sooner.
_SILENT_FAILURES = 3
_SILENT_MS = 700
_UNREACHABLE_FAILURES = 2


def note_failure(
    silence_by_id: dict[str, Silence],
    upstream_id: str,
    now_ms: int,
    *,
    unreachable: bool,
) -> None:
    """Count an order without an answer."""
    silence = silence_by_id.setdefault(upstream_id, Silence(since_ms=now_ms))
    silence.failures += 1
    silence.unreachable += unreachable


def is_silent(silence: Silence | None, now_ms: int) -> bool:
    """Tell whether an upstream is given up."""
    if silence is None:
        return False
    if silence.unreachable >= _UNREACHABLE_FAILURES:
        return True
    return (
        silence.failures >= _SILENT_FAILURES
        and now_ms - silence.since_ms >= _SILENT_MS
    )


def add_drift(hold_ms: int) -> int:
    """Return how long a hold may last on a slow clock, with slack."""
    return int(hold_ms * (1 + DRIFT_SHARE)) + SLACK_MS


def note_grant_sent(
    one: key_ranges.KeyRange,
    now_ms: int,
    hold_ms: int,
) -> int:
    """Note that a grant is about to be sent; return the end before it."""
    before_ms = one.end_ms
    latest_ms = now_ms + GRANT_TIMEOUT_MS + add_drift(hold_ms)
    one.end_ms = max(one.end_ms, latest_ms)
    one.renew_ms = now_ms + RENEW_RETRY_MS
    return before_ms


def note_grant_accepted(
    one: key_ranges.KeyRange,
    now_ms: int,
    hold_ms: int,
    before_ms: int,
) -> None:
    """Tighten the end of a hold once its grant was answered."""
    one.end_ms = max(before_ms, now_ms + add_drift(hold_ms))
    one.renew_ms = now_ms + RENEW_AFTER_MS


def choose_hold_ms(*, outage: bool, longest_ms: int) -> int:
    """Choose how long to grant.

    While the store is away for most VMs nobody can take over, so holds are as
    long as allowed and a granter's loss meanwhile costs the least.
    """
    return longest_ms if outage else min(USUAL_HOLD_MS, longest_ms)


def note_grant_unsent(one: key_ranges.KeyRange, before_ms: int) -> None:
    """Take a grant back that has reached nobody."""
    one.end_ms = before_ms


def shorten_hold_ms(hold_ms: int, end_ms: int, now_ms: int) -> int:
    """Shorten a hold so that it can't outlast the one that still runs.

    An upstream that has just failed to answer may be lost, and each grant
    that it may yet have got would put off the end of its right.
    """
    left_ms = end_ms - now_ms - GRANT_TIMEOUT_MS - SLACK_MS
    shortened = int(left_ms / (1 + DRIFT_SHARE))
    return max(min(hold_ms, shortened), LEAST_HOLD_MS)


def is_majority(counted: int, members: int) -> bool:
    """Tell whether so many of the members are more than half."""
    return counted * 2 > members


def bound_end_after_stop_ms(now_ms: int, hold_ms: int) -> int:
    """Return by when all has ended that a stopped granter has granted."""
    return now_ms + GRANT_TIMEOUT_MS + add_drift(hold_ms)


def bound_end_after_succession_ms(now_ms: int, hold_ms: int) -> int:
    """Return the same once most VMs follow a successor.

    The store no longer confirms the earlier granter, and too few VMs do, so
    it stops by itself when its grace is over.
    """
    return bound_end_after_stop_ms(now_ms + ORDER_GRACE_MS, hold_ms)
