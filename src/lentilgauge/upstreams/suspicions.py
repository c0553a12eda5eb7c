"""Suspicions that an upstream has restarted without being announced.

An upstream that crashed and restarts under the same id is cold and takes
requests before its announcement has reached all VMs, which still know its
previous incarnation. A VM that fails to connect suspects such a restart. VMs
that did not try in the meantime learn of it from others.
"""

import dataclasses

from lentilgauge.upstreams import upstream_state

#: An announcement reaches all VMs within this time, if the store is reachable.
ANNOUNCEMENT_DELAY_MS = 1000
#: Consecutive connection failures after which an upstream may have crashed.
_SUSPECT_AFTER_FAILURES = 2
#: Failures of one VM count for others only if they span at least this time: a
#: full upstream may reset several connections at once.
_MIN_FAILING_MS = 200
#: An upstream that answered some VM within this time hasn't crashed. VMs report
#: their answers about this often.
_ANSWER_TTL_MS = 350
#: What a VM last heard of an upstream is out of date after this time, which is
#: longer than it takes to replace a granter.
_NEWS_TTL_MS = 2000


@dataclasses.dataclass(slots=True, kw_only=True)
class Suspicion:
    """Suspicion that `incarnation` has ended.

    Until `until_ms` its successor may be in cold start without having been
    announced.
    """

    incarnation: int | None = None
    until_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Reachability:
    """Whether an upstream was reachable for this VM and for others.

    `connect_failures` counts consecutive connections that this VM could not
    make, the first at `failing_since_ms` and the last at `failed_ms`.
    `answered_ms` is when an answer was last seen or reported, and `news_ms` a
    time after which the process that gave it was running: an answer or report
    that is read late, as after a pause, is no news. `own` is this
    VM's suspicion and `shared` that of another. With `extends_shared` the next
    answer to this VM extends the latter. `outdated_ms` is when this VM last
    found that what it knew of the upstream was out of date, or 0.
    """

    connect_failures: int = 0
    failing_since_ms: int = 0
    failed_ms: int = 0
    answered_ms: int = 0
    news_ms: int = 0
    own: Suspicion = dataclasses.field(default_factory=Suspicion)
    shared: Suspicion = dataclasses.field(default_factory=Suspicion)
    extends_shared: bool = False
    outdated_ms: int = 0


def record_connect_failure(
    reachability: Reachability,
    incarnation: int,
    now_ms: int,
    suspect_ms: int,
) -> None:
    """Count a failed connection.

    The second in a row makes the upstream suspect for `suspect_ms`.
    """
    if not reachability.connect_failures:
        reachability.failing_since_ms = now_ms
    reachability.connect_failures += 1
    reachability.failed_ms = now_ms
    if reachability.connect_failures >= _SUSPECT_AFTER_FAILURES:
        reachability.own.incarnation = incarnation
        reachability.own.until_ms = now_ms + suspect_ms


def record_response(
    reachability: Reachability,
    now_ms: int,
    suspect_ms: int,
    *,
    sent_ms: int,
) -> None:
    """Reset the failure count after an answer to a request sent at a time.

    A suspect upstream that answers again may be in cold start, not yet
    announced, for `suspect_ms`.
    """
    if reachability.connect_failures >= _SUSPECT_AFTER_FAILURES:
        reachability.own.until_ms = now_ms + suspect_ms
    if reachability.extends_shared and now_ms < reachability.shared.until_ms:
        reachability.shared.until_ms = now_ms + suspect_ms
    reachability.extends_shared = False
    reachability.connect_failures = 0
    reachability.answered_ms = now_ms
    reachability.news_ms = max(reachability.news_ms, sent_ms)


def is_suspect(
    upstream: upstream_state.Upstream,
    reachability: Reachability,
    now_ms: int,
) -> bool:
    """Return whether an upstream may have restarted without being announced.

    The suspicion ends with time alone: a VM without a share of the cold rate
    sends no requests that could show it to be wrong.
    """
    return any(
        suspicion.incarnation == upstream.incarnation
        and now_ms < suspicion.until_ms
        for suspicion in (reachability.own, reachability.shared)
    )


def check_news(
    reachability: Reachability, state_current_ms: int, now_ms: int
) -> None:
    """Note if this VM may have missed a restart, as when it stood still.

    It has then neither had an answer from the upstream nor current state of
    the store's topics for some time. A VM that has yet to hear of a granter
    knows of no earlier process either.
    """
    last_news_ms = max(reachability.news_ms, state_current_ms)
    if state_current_ms and now_ms - last_news_ms >= _NEWS_TTL_MS:
        reachability.outdated_ms = now_ms


def is_outdated(reachability: Reachability, state_current_ms: int) -> bool:
    """Return whether this VM has had no current state since it noted that.

    An answer doesn't tell whether the upstream has restarted.
    """
    return 0 < state_current_ms <= reachability.outdated_ms


def is_failing(reachability: Reachability) -> bool:
    """Return whether connections fail, and not only in one burst."""
    span_ms = reachability.failed_ms - reachability.failing_since_ms
    return reachability.connect_failures > 0 and span_ms >= _MIN_FAILING_MS


def is_unanswering(reachability: Reachability, now_ms: int) -> bool:
    """Return whether no VM is known to have had an answer of late."""
    return now_ms - reachability.answered_ms > _ANSWER_TTL_MS


def adopt(
    reachability: Reachability,
    suspicion: Suspicion,
    now_ms: int,
) -> bool:
    """Adopt another VM's suspicion; return whether it is new.

    It isn't adopted if a later incarnation is suspected.
    """
    shared = reachability.shared
    known_incarnation = None
    if now_ms < shared.until_ms:
        known_incarnation = shared.incarnation
    if known_incarnation == suspicion.incarnation:
        suspicion.until_ms = max(suspicion.until_ms, shared.until_ms)
    elif (known_incarnation or 0) > (suspicion.incarnation or 0):
        return False
    reachability.shared = suspicion
    reachability.extends_shared = True
    return known_incarnation != suspicion.incarnation
