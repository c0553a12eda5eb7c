"""Carry a caller's request to an upstream and bring back the outcome."""

from returns import result

from lentilgauge import clock, errors
from lentilgauge.callers import request as request_module
from lentilgauge.callers import retries, routing
from lentilgauge.links import http_client, upstream_data
from lentilgauge.upstreams import gates
from lentilgauge.vms import entry as entry_module
from lentilgauge.vms import replica

#: How long an unreachable upstream is passed over.
SUSPEND_MS = 300
#: The pause before a retry, so that a route change can arrive.
_PAUSE_MS = 10
_MOST_PAUSE_MS = 80

ServeResult = result.Result[upstream_data.Executed, errors.Failure]

_NO_OWNER = errors.Failure(
    kind=errors.ErrorKind.NO_OWNER,
    detail='no upstream owns the key now',
)
_OVERLOADED = errors.Failure(
    kind=errors.ErrorKind.OVERLOADED,
    detail='the upstream has no room before the deadline',
)
_OUT_OF_TIME = upstream_data.NotSent(
    failure=errors.Failure(
        kind=errors.ErrorKind.DEADLINE_TOO_SHORT,
        detail='the deadline has passed',
    ),
)


async def serve(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
) -> ServeResult:
    """Attempt a request until it ran, can't be retried or is out of time.

    Out of time, its answer tells what kept it from running until then.
    """
    retries.earn(entry.budget_by_service[request.kind.service])
    outcome: upstream_data.Outcome = _OUT_OF_TIME
    while entry.now_ms() < request.deadline_ms:
        attempted = await _try_once(entry, request)
        if attempted is _OUT_OF_TIME:
            break
        outcome = attempted
        if not _may_go_on(entry, request, outcome):
            break
        await _pause(entry, request, outcome)
    if isinstance(outcome, upstream_data.Executed):
        return result.Success(outcome)
    return result.Failure(retries.describe_failure(outcome))


async def _try_once(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
) -> upstream_data.Outcome:
    """Attempt a request where its route leads, or wait for a route."""
    route = routing.find_route(entry, request)
    if route is None or is_suspended(entry, route):
        await _wait_for_route(entry, request, route)
        return upstream_data.NotSent(failure=_NO_OWNER)
    return await _attempt(entry, request, route)


async def _wait_for_route(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
    route: routing.Route | None,
) -> None:
    """Wait for another route, or until an upstream may be tried again."""
    deadline_ms = request.deadline_ms
    if route is not None:
        gate = entry.gate_by_upstream[route.upstream.id]
        deadline_ms = min(deadline_ms, gate.suspended_deadline_ms)
    left_ms = max(1, deadline_ms - entry.now_ms())
    await replica.wait_for_change(entry.replica, clock.to_seconds(left_ms))


def is_suspended(entry: entry_module.Entry, route: routing.Route) -> bool:
    """Tell whether an upstream is passed over, for keyed services too.

    Once the time is up, the first request to come finds out for all: the
    others go on waiting until it has its answer.
    """
    gate = entry.gate_by_upstream[route.upstream.id]
    if not gate.suspended_deadline_ms:
        return False
    now_ms = entry.now_ms()
    if now_ms < gate.suspended_deadline_ms:
        return True
    gate.suspended_deadline_ms = now_ms + SUSPEND_MS
    return False


async def _pause(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
    outcome: upstream_data.Outcome,
) -> None:
    """Wait before a retry, so that a route change can arrive."""
    if isinstance(outcome, upstream_data.NotSent):
        return
    pause_ms = min(_PAUSE_MS * 2**request.attempts, _MOST_PAUSE_MS)
    spread = entry.random.uniform(1, 2)
    left_ms = request.deadline_ms - entry.now_ms()
    await replica.wait_for_change(
        entry.replica,
        clock.to_seconds(min(pause_ms * spread, left_ms)),
    )


def _may_go_on(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
    outcome: upstream_data.Outcome,
) -> bool:
    if isinstance(outcome, upstream_data.Executed):
        return False
    if isinstance(outcome, upstream_data.NotSent):
        return outcome.failure is _NO_OWNER
    verdict = retries.judge(outcome)
    entry.metrics.count('attempts_failed', verdict)
    if not retries.may_retry(verdict, idempotent=request.kind.idempotent):
        return False
    if isinstance(outcome, upstream_data.Refused) and (
        outcome.reason in retries.MOVING_REASONS
    ):
        # The slot is moving: waiting for it costs its upstreams nothing.
        return True
    return retries.spend(entry.budget_by_service[request.kind.service])


async def _attempt(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
    route: routing.Route,
) -> upstream_data.Outcome:
    """Make one attempt once the upstream has room."""
    gate = entry.gate_by_upstream[route.upstream.id]
    entered = gates.try_enter(gate) or await gates.enter(
        gate,
        request.kind.priority,
        request.deadline_ms,
        entry.now_ms(),
    )
    if not entered:
        return upstream_data.NotSent(failure=_OVERLOADED)
    try:
        return await _send(entry, request, route)
    finally:
        gates.leave(gate)


async def _send(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
    route: routing.Route,
) -> upstream_data.Outcome:
    started_ms = entry.now_ms()
    left_ms = request.deadline_ms - started_ms
    if left_ms <= 0:
        return _OUT_OF_TIME
    if routing.find_route(entry, request) != route and (
        not route.upstream.checks_tokens
    ):
        # It waited for room, and its slot has gone elsewhere meanwhile.
        return upstream_data.NotSent(failure=_NO_OWNER)
    request.attempts += 1
    outcome = await upstream_data.send_dispatch(
        entry.client,
        route.upstream,
        upstream_data.Dispatch(
            # Each attempt has its own id: a late answer to an earlier one
            # can't pass for an answer to this one.
            request_id=f'{request.id}.{request.attempts}',
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            wanted=route.wanted,
            timeout_ms=left_ms,
            idempotent=request.kind.idempotent,
        ),
    )
    _learn(entry, route, outcome, entry.now_ms() - started_ms)
    return outcome


def _learn(
    entry: entry_module.Entry,
    route: routing.Route,
    outcome: upstream_data.Outcome,
    latency_ms: int,
) -> None:
    """Keep what an outcome tells about its upstream."""
    gate = entry.gate_by_upstream.get(route.upstream.id)
    if gate is None:
        return
    if isinstance(outcome, upstream_data.Executed):
        gates.note_latency(gate, latency_ms)
        gate.suspended_deadline_ms = 0
    elif isinstance(outcome, upstream_data.Unanswered):
        entry.metrics.count('upstream_failures', outcome.failure)
        if outcome.failure is not http_client.LinkFailure.INVALID:
            gate.suspended_deadline_ms = entry.now_ms() + SUSPEND_MS
    elif isinstance(outcome, upstream_data.Refused):
        # Whoever refuses can be reached.
        gate.suspended_deadline_ms = 0
        entry.metrics.count('upstream_refusals', outcome.reason)
