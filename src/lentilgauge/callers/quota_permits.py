"""Permits of the requests of workspaces that have a quota.

A request gets a permit before an upstream is acquired, and uses it up when it
is sent to one. Attempts that the upstream has not run don't count.
"""

import asyncio

from lentilgauge import clock
from lentilgauge.callers import gateway_request
from lentilgauge.contracts import quota_account, quotas
from lentilgauge.links import upstream_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import (
    quota_borrowing,
    quota_lending,
    quota_reports,
    quota_state,
)

#: Longest wait for a permit: this, or a share of the route's target latency if
#: that is longer. Two questions to the granter of a large fleet and a handover
#: of granting take some 500 ms.
_LEAST_WAIT_LIMIT_MS = 250
_MAX_WAIT_SHARE = 0.5
#: Time that must remain after the wait.
_MIN_REMAINING_MS = 30
#: Most requests of a workspace that wait at a VM; more are refused at once.
_MAX_WAITERS = 100
_NOT_RUN_PROOFS = frozenset(
    (
        upstream_link.Proof.NOT_SENT,
        upstream_link.Proof.UNSENT,
        upstream_link.Proof.REFUSED,
        upstream_link.Proof.MOVED,
    )
)


def _find_plan(
    gateway: gateway_module.Gateway, request: gateway_request.Request
) -> quotas.QuotaPlan | None:
    if request.workspace is None:
        return None
    plans = quota_lending.get_plans(gateway)
    return plans.get(request.workspace.name)


def _try_take(
    gateway: gateway_module.Gateway, request: gateway_request.Request
) -> bool:
    """Take a permit for a request that needs one; return whether it may go."""
    plan = _find_plan(gateway, request)
    if plan is None or request.workspace is None:
        return True
    request.permit = quota_account.take_permit(
        gateway.quota_state.account,
        request.workspace.name,
        plan,
        gateway.now_ms(),
    )
    return request.permit is not None


def compute_max_wait_ms(target_ms: int) -> int:
    """Return how long a request may wait for a permit, in milliseconds.

    This addresses requests within a quota whose permits lie with the granter,
    while many VMs ask it or it is replaced. An answer in time is worth more to
    the caller than a refusal, after which it returns once.
    """
    return max(_LEAST_WAIT_LIMIT_MS, int(target_ms * _MAX_WAIT_SHARE))


async def obtain_permit(
    gateway: gateway_module.Gateway, request: gateway_request.Request
) -> bool:
    """Take a permit, or wait briefly for the granter to lend one.

    Return whether the request may be sent; one without a quota may.
    """
    if _try_take(gateway, request) or request.workspace is None:
        return True
    workspace = request.workspace.name
    remaining_ms = request.deadline_ms - gateway.now_ms() - _MIN_REMAINING_MS
    waiters = gateway.quota_state.waiters_by_workspace.get(workspace, ())
    if remaining_ms <= 0 or len(waiters) >= _MAX_WAITERS:
        return False
    waiter = quota_state.Waiter(
        request=request,
        permitted=asyncio.get_running_loop().create_future(),
    )
    quota_borrowing.add_waiter(gateway, workspace, waiter)
    try:
        await asyncio.wait(
            (waiter.permitted,),
            timeout=clock.to_seconds(
                min(remaining_ms, compute_max_wait_ms(request.route.target_ms))
            ),
        )
    finally:
        quota_borrowing.remove_waiter(gateway, workspace, waiter)
    return request.permit is not None or _try_take(gateway, request)


def renew_permit(
    gateway: gateway_module.Gateway, request: gateway_request.Request
) -> bool:
    """Replace a permit that expired while the request waited for an upstream.

    Return whether the request has a permit, or needs none.
    """
    if _find_plan(gateway, request) is None:
        return True
    permit = request.permit
    if permit is not None and gateway.now_ms() < permit.expires_ms:
        return True
    return _try_take(gateway, request)


def use_permit(
    gateway: gateway_module.Gateway, request: gateway_request.Request
) -> bool:
    """Use a request's permit for an attempt that is sent now.

    Return whether the attempt may be sent.
    """
    if not renew_permit(gateway, request):
        return False
    request.used_permit = request.permit
    request.permit = None
    return True


def record_outcome(
    gateway: gateway_module.Gateway,
    request: gateway_request.Request,
    outcome: upstream_link.Outcome,
) -> None:
    """Give the request its permit back if the attempt was not run."""
    permit = request.used_permit
    if permit is None:
        return
    request.used_permit = None
    if outcome.proof in _NOT_RUN_PROOFS:
        request.permit = permit
    else:
        quota_reports.count_permits(
            gateway, 'quota_permits_used', permit.workspace, 1
        )


def return_permit(
    gateway: gateway_module.Gateway, request: gateway_request.Request
) -> None:
    """Return the permit of a request that ends without having used it."""
    permit = request.permit
    plan = _find_plan(gateway, request)
    if permit is None or plan is None:
        return
    request.permit = None
    quota_account.return_permit(
        gateway.quota_state.account, permit, plan, gateway.now_ms()
    )
    quota_borrowing.serve_waiters(gateway, permit.workspace)


def refuse(
    gateway: gateway_module.Gateway, request: gateway_request.Request
) -> int:
    """Record a refusal for the quota; return the delay before a retry in ms.

    This VM gets its part of the workspace's rate, and earlier refused requests
    of the workspace come first.
    """
    if request.workspace is None:
        return 0
    quota_reports.record_refusal(gateway, request.workspace.name)
    return quota_account.schedule_retry(
        gateway.quota_state.account,
        request.workspace.name,
        request.workspace.requests_per_second
        / gateway_module.count_vms(gateway),
        gateway.now_ms(),
    )
