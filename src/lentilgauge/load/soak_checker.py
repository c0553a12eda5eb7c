"""Check the guarantees during a soak, from what callers and upstreams observe.

Invariants are checked at all times, without exceptions. A bound in time is
checked only for requests through gateways that have been undisturbed since
before the change in question, and only if the store has been undisturbed, too.
"""

import collections
import contextlib
import dataclasses
import http
import json
import time
from collections.abc import Generator, Mapping

from lentilgauge.load import (
    soak_notices,
    soak_owners,
    soak_stalls,
    soak_tokens,
)
from lentilgauge.standins import (
    gateway_documents,
    gateway_upstream,
    key_holds,
)

#: The users' bounds on how soon a gateway must act on a draining upstream and
#: an evacuated failure domain.
DRAIN_BOUND_SECONDS = 2.0
EVACUATION_BOUND_SECONDS = 5.0
#: A bound in time applies if a gateway was undisturbed for at least this long
#: before the change.
UNDISTURBED_SECONDS = 3.0
#: Grants that arrive this soon after a paused gateway resumes aren't checked.
_RESUME_GRACE_SECONDS = 0.3
_COLD_BURST_FACTOR = 1.5
_COLD_ALLOWANCE_REQUESTS = 5
#: Requests that an upstream in cold start may get in any second, from all
#: gateways together.
_MAX_COLD_REQUESTS_PER_SECOND = (
    gateway_documents.COLD_START_REQUESTS_PER_SECOND * _COLD_BURST_FACTOR
    + _COLD_ALLOWANCE_REQUESTS
)
_MAX_UPSTREAMS_PER_REQUEST = 2
_STORE = 'store'
_NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
_MAX_RECORDED_VIOLATIONS = 50
_TIME_DECIMALS = 4


@dataclasses.dataclass(slots=True, kw_only=True)
class TrackedRequest:
    """Request of a caller, with what was observed of it.

    `executing_upstreams` has the id of the upstream for each execution that
    began. `refused` is set once the caller got a status that rules out any
    execution. `sent_at` is the time of sending on the monotonic clock, in
    seconds.
    """

    vm: str
    unsafe: bool
    sent_at: float
    refused: bool = False
    executing_upstreams: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdRequest:
    """Request that began at a cold upstream.

    `begun_at` is in seconds on the monotonic clock.
    """

    begun_at: float
    request_id: str
    vm: str


@dataclasses.dataclass(slots=True, kw_only=True)
class BoundedChange:
    """Change that gateways must act on within a bound.

    `since` is a moment on the monotonic clock; `bound_seconds` is a duration.
    Both are in seconds.
    """

    since: float
    bound_seconds: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Checker:
    """Observations of callers and upstreams, and the violations found.

    `undisturbed_since` maps each gateway and the store to the end of its last
    disturbance, and to infinity during one. Bounds in time are checked only if
    `checks_time_bounds` is set: on a busy machine no gateway can keep to them.
    `published_at_by_version` maps the version of each configuration to the
    moment when it was written. Moments are seconds on the monotonic clock.
    `exemptions` has what would be violations but for grants that were read
    late, as the soak stood still. `event_lines` is the soak's log, with the
    time as in those of the gateways.
    """

    upstream_by_id: Mapping[str, gateway_upstream.Upstream]
    checks_time_bounds: bool = True
    violations: list[str] = dataclasses.field(default_factory=list)
    request_by_id: dict[str, TrackedRequest] = dataclasses.field(
        default_factory=dict
    )
    undisturbed_since: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    active_disturbances: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    resumed_at: float = 0
    draining_by_upstream: dict[str, BoundedChange] = dataclasses.field(
        default_factory=dict,
    )
    evacuated_by_domain: dict[str, BoundedChange] = dataclasses.field(
        default_factory=dict,
    )
    cold_requests_by_upstream: dict[str, collections.deque[ColdRequest]] = (
        dataclasses.field(default_factory=dict)
    )
    published_at_by_version: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    newest_version_by_process: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    tokens_by_process: soak_tokens.TokensByProcess = dataclasses.field(
        default_factory=dict,
    )
    event_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    stalls: soak_stalls.Stalls = dataclasses.field(
        default_factory=soak_stalls.Stalls
    )
    late_grants: soak_owners.LateGrants = dataclasses.field(default_factory=set)
    exemptions: list[str] = dataclasses.field(default_factory=list)
    notices: soak_notices.Notices = dataclasses.field(
        default_factory=soak_notices.Notices
    )
    event_lines: list[str] = dataclasses.field(default_factory=list)


def log_event(checker: Checker, event: str, **fields: object) -> None:
    """Add a line to the soak's log."""
    line = {'time': round(time.time(), _TIME_DECIMALS), 'event': event}
    checker.event_lines.append(json.dumps({**line, **fields}))


def record_violation(checker: Checker, text: str) -> None:
    """Record a violated guarantee, up to a maximum number."""
    log_event(checker, 'broken', text=text)
    if len(checker.violations) < _MAX_RECORDED_VIOLATIONS:
        checker.violations.append(text)


def begin_disturbance(checker: Checker, subject: str) -> None:
    """Record that a disturbance of a gateway or the store begins."""
    checker.active_disturbances[subject] += 1
    checker.undisturbed_since[subject] = float('inf')


def end_disturbance(checker: Checker, subject: str) -> None:
    """Record that one disturbance of a gateway or the store has ended."""
    checker.active_disturbances[subject] -= 1
    if checker.active_disturbances[subject] <= 0:
        checker.undisturbed_since[subject] = time.monotonic()


@contextlib.contextmanager
def disturbance(
    checker: Checker,
    subject: str,
    busy_subjects: set[str],
) -> Generator[None]:
    """Mark a subject as disturbed during the block; then free it for others."""
    begin_disturbance(checker, subject)
    try:
        yield
    finally:
        end_disturbance(checker, subject)
        busy_subjects.discard(subject)


def record_resume(checker: Checker) -> None:
    """Record that a paused gateway has just resumed."""
    checker.resumed_at = time.monotonic()


def has_time_bounds(checker: Checker, vm: str, since: float) -> bool:
    """Return whether bounds in time apply to a gateway.

    They do if the gateway and the store have been undisturbed since
    `UNDISTURBED_SECONDS` before the moment `since`.
    """
    return checker.checks_time_bounds and all(
        checker.undisturbed_since.get(subject, 0) + UNDISTURBED_SECONDS <= since
        for subject in (vm, _STORE)
    )


def record_sent(
    checker: Checker, request_id: str, request: TrackedRequest
) -> None:
    """Record a request that a caller is about to send."""
    checker.request_by_id[request_id] = request
    checker.event_counts['sent'] += 1


def check_answer(
    checker: Checker,
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
    checker.event_counts[str(status)] += 1
    if status == http.HTTPStatus.OK:
        if body.get('id') != request_id or seal != f'seal-{body.get("by")}':
            record_violation(
                checker, f'mixed: {request_id} got the answer {body}'
            )
        return
    if status in _NOT_EXECUTED_STATUSES:
        request.refused = True
        if request.executing_upstreams:
            record_violation(
                checker,
                f'refused but run: {request_id} at '
                f'{request.executing_upstreams}',
            )


def check_execution(
    checker: Checker, execution: gateway_upstream.Execution
) -> None:
    """Check a request that an upstream begins to execute."""
    checker.event_counts['begun'] += 1
    request = checker.request_by_id.get(execution.request_id)
    if request is None:
        record_violation(
            checker,
            f'unasked: {execution.request_id} at {execution.upstream}',
        )
        return
    if request.unsafe and request.executing_upstreams:
        record_violation(
            checker, f'twice: {execution.request_id} at {execution.upstream}'
        )
    if request.refused:
        record_violation(checker, f'refused, then run: {execution.request_id}')
    request.executing_upstreams.append(execution.upstream)
    if len(set(request.executing_upstreams)) > _MAX_UPSTREAMS_PER_REQUEST:
        record_violation(checker, f'too many upstreams: {execution.request_id}')
    _check_sole_owner(checker, execution)
    _check_cold_start_rate(checker, execution)
    _check_draining(checker, execution, request)


def _check_sole_owner(
    checker: Checker, execution: gateway_upstream.Execution
) -> None:
    if execution.key is None:
        return
    now = time.monotonic()
    own = checker.upstream_by_id[execution.upstream]
    conflicts = soak_owners.find_conflicts(
        checker.upstream_by_id.values(),
        own,
        soak_owners.find_own_hold(own, execution.key, now),
        checker.late_grants,
        now,
    )
    _record_conflicts(
        checker, f'two owners: {execution.key} of {own.name}', conflicts
    )


def _record_conflicts(
    checker: Checker, text: str, conflicts: soak_owners.Conflicts
) -> None:
    if conflicts.counted:
        record_violation(checker, f'{text}, held by {conflicts.counted}')
    if conflicts.exempt:
        _record_exemption(checker, f'{text}, held by {conflicts.exempt}')


def _record_exemption(checker: Checker, text: str) -> None:
    log_event(checker, 'exempt', text=text)
    checker.exemptions.append(text)


def check_grant(
    checker: Checker,
    upstream_id: str,
    hold: key_holds.Hold,
) -> None:
    """Check the token, and that no other upstream still holds the keys."""
    checker.event_counts['granted'] += 1
    now = time.monotonic()
    upstream = checker.upstream_by_id[upstream_id]
    is_late = soak_stalls.is_aftermath(checker.stalls, now)
    if is_late:
        checker.event_counts['granted after a stall'] += 1
        checker.late_grants.add(soak_owners.identify_hold(upstream, hold))
    earlier_grants = soak_tokens.record_grant(
        checker.tokens_by_process, upstream, hold, now
    )
    if now - checker.resumed_at < _RESUME_GRACE_SECONDS:
        return
    keys = f'{hold.start}-{hold.end} to {upstream_id}'
    for earlier in earlier_grants:
        record = record_violation
        if is_late and earlier.hold.fence > hold.fence:
            record = _record_exemption
        record(
            checker,
            f'token: {keys} with {hold.fence}, after '
            f'{soak_tokens.describe_grant(earlier)}',
        )
    _record_conflicts(
        checker,
        f'granted twice: {keys}',
        soak_owners.find_conflicts(
            checker.upstream_by_id.values(),
            upstream,
            hold,
            checker.late_grants,
            now,
        ),
    )


def _check_cold_start_rate(
    checker: Checker, execution: gateway_upstream.Execution
) -> None:
    now = time.monotonic()
    if checker.upstream_by_id[execution.upstream].cold_until_seconds <= now:
        return
    recent = checker.cold_requests_by_upstream.setdefault(
        execution.upstream,
        collections.deque(),
    )
    recent.append(
        ColdRequest(
            begun_at=now,
            request_id=execution.request_id,
            vm=checker.request_by_id[execution.request_id].vm,
        )
    )
    while recent[0].begun_at <= now - 1:
        recent.popleft()
    if len(recent) > _MAX_COLD_REQUESTS_PER_SECOND:
        count_by_vm = collections.Counter(request.vm for request in recent)
        record_violation(
            checker,
            f'cold: {execution.upstream} got {len(recent)} requests in one '
            f'second, {dict(count_by_vm)}',
        )
        log_event(
            checker,
            'cold_requests',
            upstream=execution.upstream,
            ids=[request.request_id for request in recent],
        )


def _check_draining(
    checker: Checker,
    execution: gateway_upstream.Execution,
    request: TrackedRequest,
) -> None:
    """Check that a draining or evacuated upstream gets no late requests."""
    domain = checker.upstream_by_id[execution.upstream].failure_domain
    for name, bounded_change in (
        ('leaving', checker.draining_by_upstream.get(execution.upstream)),
        ('emptied', checker.evacuated_by_domain.get(domain)),
    ):
        if (
            bounded_change is None
            or time.monotonic()
            < bounded_change.since + bounded_change.bound_seconds
        ):
            continue
        if has_time_bounds(checker, request.vm, bounded_change.since):
            record_violation(
                checker,
                f'{name}: {execution.upstream} got {execution.request_id} '
                f'through {request.vm}',
            )
