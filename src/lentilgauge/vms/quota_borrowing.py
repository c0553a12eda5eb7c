"""Report needs of permits to the granter, and serve requests with loans."""

import asyncio
import collections

from returns import result

from lentilgauge import clock
from lentilgauge.contracts import quota_account, quotas
from lentilgauge.links import peer_link, quota_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import quota_lending, quota_reports, quota_state

#: How often a VM whose requests wait checks whether it may ask again.
_ASK_POLL_MS = 20
#: How often the granter lends to its own VM. It takes about 0.2 ms with 73
#: workspaces, and the granter's loop may run a hundred times a second.
_SELF_LENDING_MS = 100


def pack_following_needs(
    gateway: gateway_module.Gateway,
) -> quota_link.QuotaNeeds | None:
    """Make this VM's needs for a message of following."""
    quota_reports.log_ended_refusals(gateway)
    account = gateway.quota_state.account
    if quota_account.has_asked_lately(account, gateway.now_ms()):
        return None
    return pack_needs(gateway)


def pack_needs(
    gateway: gateway_module.Gateway,
) -> quota_link.QuotaNeeds | None:
    """Make this VM's needs for a message, `None` without any."""
    plans = quota_lending.get_plans(gateway)
    if not plans:
        return None
    account = gateway.quota_state.account
    now_ms = gateway.now_ms()
    need_by_workspace = quota_account.list_needs(account, plans, now_ms)
    lease = quota_account.get_reported_lease(account, now_ms)
    if not need_by_workspace and lease is None:
        return None
    return quota_link.QuotaNeeds(
        sent_ms=now_ms,
        waiting_by_workspace={
            workspace: need.waiting
            for workspace, need in need_by_workspace.items()
            if need.waiting
        },
        refill_by_workspace={
            workspace: need.total - need.waiting
            for workspace, need in need_by_workspace.items()
            if need.total > need.waiting
        },
        lease=None if lease is None else quota_link.pack_lease(lease),
    )


def apply_loans(
    gateway: gateway_module.Gateway,
    needs: quota_link.QuotaNeeds | None,
    loans: quota_link.QuotaLoans | None,
) -> None:
    """Add the loans in the reply to needs, and serve waiting requests."""
    if needs is None or loans is None:
        return
    account = gateway.quota_state.account
    lent_ms = needs.sent_ms + max(loans.held_ms, 0)
    if needs.lease is not None and loans.lease is not None:
        offered = quota_link.unpack_lease(
            loans.lease, lent_ms + quotas.SECTION_TTL_MS
        )
        reported = quota_link.unpack_lease(needs.lease, 0)
        quota_account.adopt_lease(account, offered, reported.version)
    workspaces = quota_link.list_workspaces(needs)
    lent_by_workspace = dict(zip(workspaces, loans.lent_counts, strict=False))
    quota_account.add_loans(
        account,
        quota_lending.get_plans(gateway),
        lent_by_workspace,
        lent_ms,
        gateway.now_ms(),
    )
    for workspace in lent_by_workspace:
        serve_waiters(gateway, workspace)


def serve_waiters(gateway: gateway_module.Gateway, workspace: str) -> None:
    """Give the permits on hand to the requests that wait, in order."""
    waiters = gateway.quota_state.waiters_by_workspace.get(workspace)
    plan = quota_lending.get_plans(gateway).get(workspace)
    while waiters and plan is not None:
        permit = quota_account.take_permit(
            gateway.quota_state.account, workspace, plan, gateway.now_ms()
        )
        if permit is None:
            break
        waiter = waiters.popleft()
        waiter.request.permit = permit
        if not waiter.permitted.done():
            waiter.permitted.set_result(None)
        count_waiters(gateway, workspace)


def count_waiters(gateway: gateway_module.Gateway, workspace: str) -> None:
    """Tell the account how many requests of a workspace wait."""
    state = gateway.quota_state
    found = state.account.account_by_workspace.get(workspace)
    if found is not None:
        found.waiting = len(state.waiters_by_workspace.get(workspace, ()))


def add_waiter(
    gateway: gateway_module.Gateway,
    workspace: str,
    waiter: quota_state.Waiter,
) -> None:
    """Let a request wait for a permit, and ask for permits while it does."""
    state = gateway.quota_state
    state.waiters_by_workspace.setdefault(
        workspace, collections.deque()
    ).append(waiter)
    count_waiters(gateway, workspace)
    if state.ask_task is None or state.ask_task.done():
        state.ask_task = asyncio.ensure_future(_ask_while_waiting(gateway))


def remove_waiter(
    gateway: gateway_module.Gateway,
    workspace: str,
    waiter: quota_state.Waiter,
) -> None:
    """Remove a request that waits no longer."""
    waiters = gateway.quota_state.waiters_by_workspace[workspace]
    if waiter in waiters:
        waiters.remove(waiter)
        count_waiters(gateway, workspace)


async def _ask_while_waiting(gateway: gateway_module.Gateway) -> None:
    """Ask the granter, within the allowed rate, until no request waits."""
    state = gateway.quota_state
    # Requests that arrive together share one message.
    await asyncio.sleep(0)
    while any(state.waiters_by_workspace.values()):
        if gateway.is_granter:
            _lend_to_self(gateway)
        elif quota_account.try_ask(
            state.account, gateway_module.count_vms(gateway), gateway.now_ms()
        ):
            await _ask_granter(gateway)
        await asyncio.sleep(clock.to_seconds(_ASK_POLL_MS))


def _make_ask(
    gateway: gateway_module.Gateway, needs: quota_link.QuotaNeeds
) -> quota_link.QuotaAsk:
    return quota_link.QuotaAsk(
        vm=gateway.local_peer.vm,
        incarnation=gateway.local_peer.incarnation,
        needs=needs,
    )


def _lend_to_self(gateway: gateway_module.Gateway) -> None:
    needs = pack_needs(gateway)
    if needs is not None:
        loans = quota_lending.lend(
            gateway, _make_ask(gateway, needs), gateway.now_ms()
        )
        apply_loans(gateway, needs, loans)


async def _ask_granter(gateway: gateway_module.Gateway) -> None:
    needs = pack_needs(gateway)
    address = gateway.state_cache.ownership.granter.address
    if needs is None or not address:
        return
    reply = await peer_link.call_peer(
        gateway.client,
        peer_link.PeerCall(
            address=address,
            path=quota_link.QUOTA_PATH,
            timeout_ms=quotas.TRANSIT_MS,
            message=_make_ask(gateway, needs),
            compressible=False,
        ),
        quota_link.QuotaLoans,
    )
    if isinstance(reply, result.Success):
        apply_loans(gateway, needs, reply.unwrap())
    else:
        gateway.metrics.count('quota_ask_failures', reply.failure())


def run_lending(granter_state: granter_state_module.GranterState) -> None:
    """Update the ledger, and lend to the granter's own VM at intervals.

    Requests that wait at this VM don't wait for the interval.
    """
    quota_lending.update_ledger(granter_state)
    quota_reports.log_ended_refusals(granter_state.gateway)
    state = granter_state.gateway.quota_state
    now_ms = granter_state.gateway.now_ms()
    if now_ms - state.self_lent_ms >= _SELF_LENDING_MS:
        state.self_lent_ms = now_ms
        _lend_to_self(granter_state.gateway)
