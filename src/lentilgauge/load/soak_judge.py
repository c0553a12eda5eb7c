"""Check the guarantees during a soak, from what callers and upstreams observe.

Invariants are checked at all times, without exceptions. A bound in time is
checked only for requests through gateways that have been undisturbed since
before the change in question, and only if the store has been undisturbed, too.
"""

import collections
import contextlib
import dataclasses
import http
import time
from collections.abc import Generator, Mapping

from lentilgauge.standins import (
    dialect_documents,
    dialect_holds,
    dialect_upstream,
)

#: The users' bounds on how soon a gateway must act on a draining upstream, an
#: evacuated failure domain and a new configuration.
DRAIN_SECONDS = 2.0
EVACUATE_SECONDS = 5.0
CONFIGURATION_BOUND_SECONDS = 2.0
#: A bound in time applies if a gateway was undisturbed for at least this long
#: before the change.
UNDISTURBED_SECONDS = 3.0
#: Grants that arrive this soon after a paused gateway resumes aren't checked.
_RESUME_GRACE_SECONDS = 0.3
#: Requests that an upstream in cold start may get in any second, from all
#: gateways together.
_COLD_BURST_FACTOR = 1.5
_COLD_ALLOWANCE_REQUESTS = 5
_MAX_COLD_REQUESTS_PER_SECOND = (
    dialect_documents.COLD_PER_SECOND * _COLD_BURST_FACTOR
    + _COLD_ALLOWANCE_REQUESTS
)
_MAX_UPSTREAMS_PER_REQUEST = 2
_STORE = 'store'
_NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
_MAX_VIOLATIONS = 50


@dataclasses.dataclass(slots=True, kw_only=True)
class Sent:
    """Request of a caller, with what was observed of it.

    `executing_upstreams` has the id of the upstream for each execution that
    began. `refused` is set once the caller got a status that rules out any
    execution. `at` is the time of sending on the monotonic clock, in seconds.
    """

    vm: str
    unsafe: bool
    at: float
    refused: bool = False
    executing_upstreams: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, kw_only=True)
class Change:
    """Change that gateways must act on within a bound.

    `since` is a moment on the monotonic clock; `bound` is a duration. Both are
    in seconds.
    """

    since: float
    bound: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Judge:
    """Observations of callers and upstreams, and the violations found.

    `calm_since` maps each gateway and the store to the end of its last
    disturbance, and to infinity during one. Bounds in time are checked only if
    `timed` is set: on a busy machine no gateway can keep to them. `published`
    maps the version of each configuration to the moment when it was written.
    Moments are seconds on the monotonic clock.
    """

    upstream_by_id: Mapping[str, dialect_upstream.Upstream]
    timed: bool = True
    findings: list[str] = dataclasses.field(default_factory=list)
    request_by_id: dict[str, Sent] = dataclasses.field(default_factory=dict)
    calm_since: dict[str, float] = dataclasses.field(default_factory=dict)
    active_disturbances: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    resumed_at: float = 0
    leaving_by_upstream: dict[str, Change] = dataclasses.field(
        default_factory=dict,
    )
    emptied_by_domain: dict[str, Change] = dataclasses.field(
        default_factory=dict,
    )
    cold_request_times_by_upstream: dict[str, collections.deque[float]] = (
        dataclasses.field(default_factory=dict)
    )
    published: dict[int, float] = dataclasses.field(default_factory=dict)
    newest_version_by_process: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    counted: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )


def find(checker: Judge, text: str) -> None:
    """Record a violated guarantee, up to a maximum number."""
    if len(checker.findings) < _MAX_VIOLATIONS:
        checker.findings.append(text)


def disturb(checker: Judge, subject: str) -> None:
    """Record that a disturbance of a gateway or the store begins."""
    checker.active_disturbances[subject] += 1
    checker.calm_since[subject] = float('inf')


def calm(checker: Judge, subject: str) -> None:
    """Record that one disturbance of a gateway or the store has ended."""
    checker.active_disturbances[subject] -= 1
    if checker.active_disturbances[subject] <= 0:
        checker.calm_since[subject] = time.monotonic()


@contextlib.contextmanager
def disturbing(
    checker: Judge,
    subject: str,
    busy_subjects: set[str],
) -> Generator[None]:
    """Mark a subject as disturbed during the block; then free it for others."""
    disturb(checker, subject)
    try:
        yield
    finally:
        calm(checker, subject)
        busy_subjects.discard(subject)


def note_thaw(checker: Judge) -> None:
    """Record that a paused gateway has just resumed."""
    checker.resumed_at = time.monotonic()


def has_time_bounds(checker: Judge, vm: str, since: float) -> bool:
    """Return whether bounds in time apply to a gateway.

    They do if the gateway and the store have been undisturbed since
    `UNDISTURBED_SECONDS` before the moment `since`.
    """
    return checker.timed and all(
        checker.calm_since.get(subject, 0) + UNDISTURBED_SECONDS <= since
        for subject in (vm, _STORE)
    )


def note_sent(checker: Judge, request_id: str, request: Sent) -> None:
    """Record a request that a caller is about to send."""
    checker.request_by_id[request_id] = request
    checker.counted['sent'] += 1


def note_answer(
    checker: Judge,
    request_id: str,
    status: int,
    body: Mapping[str, object],
    seal: str,
) -> None:
    """Check the answer that a caller received.

    `seal` is the value of the answer's seal header, which names the upstream
    that answered.
    """
    request = checker.request_by_id[request_id]
    checker.counted[str(status)] += 1
    if status == http.HTTPStatus.OK:
        if body.get('id') != request_id or seal != f'seal-{body.get("by")}':
            find(checker, f'mixed: {request_id} got the answer {body}')
        return
    if status in _NOT_EXECUTED_STATUSES:
        request.refused = True
        if request.executing_upstreams:
            find(
                checker,
                f'refused but run: {request_id} at '
                f'{request.executing_upstreams}',
            )


def note_begun(checker: Judge, execution: dialect_upstream.Begun) -> None:
    """Check a request that an upstream begins to execute."""
    checker.counted['begun'] += 1
    request = checker.request_by_id.get(execution.request_id)
    if request is None:
        find(
            checker,
            f'unasked: {execution.request_id} at {execution.upstream}',
        )
        return
    if request.unsafe and request.executing_upstreams:
        find(checker, f'twice: {execution.request_id} at {execution.upstream}')
    if request.refused:
        find(checker, f'refused, then run: {execution.request_id}')
    request.executing_upstreams.append(execution.upstream)
    if len(set(request.executing_upstreams)) > _MAX_UPSTREAMS_PER_REQUEST:
        find(checker, f'too many upstreams: {execution.request_id}')
    _check_owner(checker, execution)
    _check_cold(checker, execution)
    _check_leaving(checker, execution, request)


def _check_owner(checker: Judge, execution: dialect_upstream.Begun) -> None:
    if execution.key is None:
        return
    other_owners = [
        other.name
        for other in checker.upstream_by_id.values()
        if other.name != execution.upstream and other.holds_key(execution.key)
    ]
    if other_owners:
        find(
            checker,
            f'two owners: {execution.key} of {execution.upstream}, '
            f'{other_owners}',
        )


def note_granted(
    checker: Judge,
    upstream_id: str,
    hold: dialect_holds.Hold,
) -> None:
    """Check that no other upstream still holds any of the keys granted."""
    checker.counted['granted'] += 1
    now = time.monotonic()
    if now - checker.resumed_at < _RESUME_GRACE_SECONDS:
        return
    holders = [
        other.name
        for other in checker.upstream_by_id.values()
        if other.name != upstream_id and _holds_any(other, hold, now)
    ]
    if holders:
        find(
            checker,
            f'granted twice: {hold.start}-{hold.end} to {upstream_id}, held '
            f'by {holders}',
        )


def _holds_any(
    upstream: dialect_upstream.Upstream,
    granted: dialect_holds.Hold,
    now: float,
) -> bool:
    return any(
        own_hold.until > now and dialect_holds.overlaps(own_hold, granted)
        for own_hold in upstream.holdings.holds
    )


def _check_cold(checker: Judge, execution: dialect_upstream.Begun) -> None:
    now = time.monotonic()
    if checker.upstream_by_id[execution.upstream].warm_seconds <= now:
        return
    request_times = checker.cold_request_times_by_upstream.setdefault(
        execution.upstream,
        collections.deque(),
    )
    request_times.append(now)
    while request_times[0] <= now - 1:
        request_times.popleft()
    if len(request_times) > _MAX_COLD_REQUESTS_PER_SECOND:
        find(
            checker,
            f'cold: {execution.upstream} got {len(request_times)} requests '
            'in one second',
        )


def _check_leaving(
    checker: Judge,
    execution: dialect_upstream.Begun,
    request: Sent,
) -> None:
    domain = checker.upstream_by_id[execution.upstream].failure_domain
    for name, change in (
        ('leaving', checker.leaving_by_upstream.get(execution.upstream)),
        ('emptied', checker.emptied_by_domain.get(domain)),
    ):
        if change is None or time.monotonic() < change.since + change.bound:
            continue
        if has_time_bounds(checker, request.vm, change.since):
            find(
                checker,
                f'{name}: {execution.upstream} got {execution.request_id} '
                f'through {request.vm}',
            )


def note_version_served(
    checker: Judge,
    vm: str,
    process: str,
    version: int,
    sent_at: float,
) -> None:
    """Check that a gateway may still serve the route of a given version.

    `process` identifies one process of the gateway, which must never revert to
    an earlier configuration. `sent_at` is when the probe was sent, in seconds
    on the monotonic clock.
    """
    newest_served = checker.newest_version_by_process.get(process, 0)
    if version < newest_served:
        find(checker, f'reverted: {process} from {newest_served} to {version}')
    checker.newest_version_by_process[process] = max(newest_served, version)
    overdue = [
        published_at
        for number, published_at in checker.published.items()
        if number > version
        and sent_at > published_at + CONFIGURATION_BOUND_SECONDS
    ]
    if overdue and has_time_bounds(checker, vm, min(overdue)):
        find(checker, f'old configuration: {vm} still serves {version}')


def note_version_missing(
    checker: Judge,
    vm: str,
    version: int,
    sent_at: float,
) -> None:
    """Check that a gateway may still lack the route of a given version.

    It mustn't lack the newest version once the bound has passed. `sent_at` is
    when the probe was sent, in seconds on the monotonic clock.
    """
    if version != max(checker.published):
        return
    published_at = checker.published[version]
    if sent_at > published_at + CONFIGURATION_BOUND_SECONDS and has_time_bounds(
        checker,
        vm,
        published_at,
    ):
        find(checker, f'old configuration: {vm} does not serve {version}')
