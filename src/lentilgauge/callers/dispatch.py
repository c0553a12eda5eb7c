"""Dispatch the requests received by an entry, with retries and deadlines.

An entry is a process to which callers send their requests.
"""

from returns import result

from lentilgauge import clock, errors
from lentilgauge.callers import memory_account, retries, routing
from lentilgauge.callers import request as request_module
from lentilgauge.links import http_client, upstream_data
from lentilgauge.upstreams import concurrency_limiter
from lentilgauge.vms import entry as entry_module
from lentilgauge.vms import replica

#: How long an unreachable upstream gets no requests.
_UNREACHABLE_SUSPEND_MS = 300
#: Base and maximum of the exponential back-off before a retry. Jitter then
#: multiplies the delay by 1 to 2. A change of the replica ends it early.
_RETRY_DELAY_MS = 10
_MAX_RETRY_DELAY_MS = 80

ServeResult = result.Result[upstream_data.Executed, errors.Failure]

_NO_OWNER = errors.Failure(
    kind=errors.ErrorKind.NO_OWNER,
    detail='no upstream can currently take requests for the key',
)
_OVERLOADED = errors.Failure(
    kind=errors.ErrorKind.OVERLOADED,
    detail='the upstream has no free capacity before the deadline',
)
_DEADLINE_PASSED_OUTCOME = upstream_data.NotSent(
    failure=errors.Failure(
        kind=errors.ErrorKind.DEADLINE_TOO_SHORT,
        detail='the deadline passed before the request could be sent',
    ),
)


async def serve(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
) -> ServeResult:
    """Attempt a request until it runs, can't be retried or its deadline passes.

    The error is that of the last failed attempt, or of
    `_DEADLINE_PASSED_OUTCOME` if there was none. If only an earlier attempt may
    have run, the error is that of this attempt.
    """
    retries.deposit(entry.retry_budget_by_service[request.kind.service])
    decisive_outcome: upstream_data.Outcome = _DEADLINE_PASSED_OUTCOME
    while entry.now_ms() < request.deadline_ms:
        outcome = await _attempt_or_wait(entry, request)
        if outcome is _DEADLINE_PASSED_OUTCOME:
            break
        decisive_outcome = retries.choose_decisive(decisive_outcome, outcome)
        if not _may_retry(entry, request, outcome):
            break
        await _wait_before_retry(entry, request, outcome)
    if isinstance(decisive_outcome, upstream_data.Executed):
        return result.Success(decisive_outcome)
    return result.Failure(retries.describe_failure(decisive_outcome))


async def _attempt_or_wait(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
) -> upstream_data.Outcome:
    """Attempt a request, or wait if it has no destination that may get it."""
    destination = routing.find_destination(entry, request)
    if destination is None or _check_suspension(entry, destination):
        await _wait_for_routing_change(entry, request, destination)
        return upstream_data.NotSent(failure=_NO_OWNER)
    return await _attempt(entry, request, destination)


async def _wait_for_routing_change(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
    destination: routing.Destination | None,
) -> None:
    """Wait for a change of the replica, at most until the deadline.

    With a destination, wait at most until its suspension ends.
    """
    deadline_ms = request.deadline_ms
    if destination is not None:
        limiter = entry.limiter_by_upstream[destination.upstream.id]
        deadline_ms = min(deadline_ms, limiter.suspended_until_ms)
    remaining_ms = max(1, deadline_ms - entry.now_ms())
    await replica.wait_for_change(entry.replica, clock.to_seconds(remaining_ms))


def _check_suspension(
    entry: entry_module.Entry, destination: routing.Destination
) -> bool:
    """Return whether a request must wait for the end of a suspension.

    The first request after a suspension has run out may be sent, as a probe.
    The suspension is renewed then, so that all others wait until an answer to
    the probe lifts it. This holds for keyed services, where only the owner may
    serve a key, and for pooled ones, where any upstream may.
    """
    limiter = entry.limiter_by_upstream[destination.upstream.id]
    if not limiter.suspended_until_ms:
        return False
    now_ms = entry.now_ms()
    if now_ms < limiter.suspended_until_ms:
        return True
    limiter.suspended_until_ms = now_ms + _UNREACHABLE_SUSPEND_MS
    return False


async def _wait_before_retry(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
    outcome: upstream_data.Outcome,
) -> None:
    """Wait for a jittered back-off or a change of the replica.

    A request that was not sent isn't delayed: either it has waited already, or
    its destination changed while it waited for a permit.
    """
    if isinstance(outcome, upstream_data.NotSent):
        return
    delay_ms = min(_RETRY_DELAY_MS * 2**request.attempts, _MAX_RETRY_DELAY_MS)
    jitter = entry.random.uniform(1, 2)
    remaining_ms = request.deadline_ms - entry.now_ms()
    await replica.wait_for_change(
        entry.replica,
        clock.to_seconds(min(delay_ms * jitter, remaining_ms)),
    )


def _may_retry(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
    outcome: upstream_data.Outcome,
) -> bool:
    """Check whether to attempt again, taking a retry from the budget if so."""
    if isinstance(outcome, upstream_data.Executed):
        return False
    if isinstance(outcome, upstream_data.NotSent):
        return outcome.failure is _NO_OWNER
    execution_status = retries.classify_outcome(outcome)
    entry.metrics.count('attempts_failed', execution_status)
    if not retries.may_retry(
        execution_status, idempotent=request.kind.idempotent
    ):
        return False
    if isinstance(outcome, upstream_data.Refused) and (
        outcome.reason in retries.SLOT_MOVE_REFUSALS
    ):
        # Retries while a slot of keys moves are exempt from the budget:
        # waiting for the move adds no load to the upstreams.
        return True
    return retries.try_withdraw(
        entry.retry_budget_by_service[request.kind.service]
    )


async def _attempt(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
    destination: routing.Destination,
) -> upstream_data.Outcome:
    """Make one attempt once the upstream's concurrency limit admits it."""
    limiter = entry.limiter_by_upstream[destination.upstream.id]
    admitted = concurrency_limiter.try_acquire_permit(
        limiter
    ) or await concurrency_limiter.acquire_permit(
        limiter,
        request.kind.priority,
        request.deadline_ms,
        entry.now_ms(),
    )
    if not admitted:
        return upstream_data.NotSent(failure=_OVERLOADED)
    try:
        return await _send(entry, request, destination)
    finally:
        concurrency_limiter.release_permit(limiter)


async def _send(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
    destination: routing.Destination,
) -> upstream_data.Outcome:
    started_ms = entry.now_ms()
    remaining_ms = request.deadline_ms - started_ms
    if remaining_ms <= 0:
        return _DEADLINE_PASSED_OUTCOME
    if routing.find_destination(entry, request) != destination and (
        not destination.upstream.checks_tokens
    ):
        # The key's slot moved while the request waited for the limiter. An
        # upstream that checks fencing tokens refuses such a request by itself.
        return upstream_data.NotSent(failure=_NO_OWNER)
    if not memory_account.make_room(
        entry.account,
        memory_account.Claim.ATTEMPT,
        http_client.UNSEEN_REPLY_BYTES,
        started_ms,
    ):
        return upstream_data.NotSent(failure=memory_account.SHORTAGE)
    request.attempts += 1
    outcome = await upstream_data.send_dispatch(
        entry.client,
        destination.upstream,
        upstream_data.Dispatch(
            # Each attempt has its own id, so that a late answer to an earlier
            # attempt can't be taken for the answer to this one.
            request_id=f'{request.id}.{request.attempts}',
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            slot_grant=destination.slot_grant,
            timeout_ms=remaining_ms,
            idempotent=request.kind.idempotent,
        ),
    )
    _record_outcome(entry, destination, outcome, entry.now_ms() - started_ms)
    return outcome


def _record_outcome(
    entry: entry_module.Entry,
    destination: routing.Destination,
    outcome: upstream_data.Outcome,
    latency_ms: int,
) -> None:
    """Update metrics and the upstream's latency and suspension."""
    limiter = entry.limiter_by_upstream.get(destination.upstream.id)
    if limiter is None:
        return
    if isinstance(outcome, upstream_data.Executed):
        concurrency_limiter.record_latency(limiter, latency_ms)
        limiter.suspended_until_ms = 0
    elif isinstance(outcome, upstream_data.Unanswered):
        entry.metrics.count('upstream_failures', outcome.failure)
        if outcome.failure is not http_client.LinkFailure.INVALID:
            limiter.suspended_until_ms = (
                entry.now_ms() + _UNREACHABLE_SUSPEND_MS
            )
    elif isinstance(outcome, upstream_data.Refused):
        # A refusal proves that the upstream is reachable.
        limiter.suspended_until_ms = 0
        entry.metrics.count('upstream_refusals', outcome.reason)
