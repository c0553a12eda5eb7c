"""Lend permits as granter, within the quotas of the configuration."""

import types

from lentilgauge.contracts import grant_timing, quota_ledger, quotas
from lentilgauge.links import peer_link, quota_link
from lentilgauge.services import routes
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import quota_reports

_NO_LOANS = quota_link.QuotaLoans()


def get_plans(
    gateway: gateway_module.Gateway,
) -> types.MappingProxyType[str, quotas.QuotaPlan]:
    """Get the plans of the configuration in force, made at its first use."""
    state = gateway.quota_state
    configuration = gateway.state_cache.configuration
    bounds = gateway.bounds.quota
    is_current = state.planned_configuration is configuration
    if not is_current or state.planned_bounds != bounds:
        state.plan_by_workspace = {
            name: plan
            for name, workspace in routes.get_workspaces(configuration).items()
            if (plan := quotas.make_plan(workspace, bounds)) is not None
        }
        state.planned_configuration = configuration
        state.planned_bounds = bounds
    return types.MappingProxyType(state.plan_by_workspace)


def update_ledger(granter_state: granter_state_module.GranterState) -> None:
    """Begin a ledger for the granter's term, and extend the right to lend.

    Nothing is lent until all loans of earlier granters have lapsed. An earlier
    granter lends no longer than it may send orders, so its last loan precedes
    the end of its orders by the time allowed for their delivery.
    """
    state = granter_state.gateway.quota_state
    state.lending_ends_ms = granter_state.orders_end_ms
    term = granter_state.ownership.term
    if state.ledger is not None and state.ledger.term == term:
        return
    bounds = granter_state.earlier_orders
    if bounds.holds_end_ms == grant_timing.UNKNOWN_END_MS:
        return
    last_loan_ms = max(
        bounds.orders_end_ms
        - grant_timing.GRANT_TIMEOUT_MS
        - grant_timing.SLACK_MS,
        granter_state.term_started_ms,
    )
    lends_from_ms = last_loan_ms + quotas.LAPSE_MS
    sections_known_ms = lends_from_ms
    if term > 1:
        sections_known_ms += quotas.SECTION_TTL_MS
    handed_over = term > 1 and not bounds.orders_end_ms
    if handed_over and state.predecessor_term == term - 1:
        # Mostly the first granter, on a small VM, leased none in its 0.4 s. It
        # can't speak for a granter of a term that a restored store has lost.
        sections_known_ms = max(
            lends_from_ms, state.predecessor_sections_end_ms
        )
    state.ledger = quota_ledger.Ledger(
        term=term,
        lends_from_ms=lends_from_ms,
        sections_known_ms=sections_known_ms,
    )


def bound_sections_ms(
    granter_state: granter_state_module.GranterState,
) -> int | None:
    """Return how long sections that have been leased may still be used.

    The granter has stopped. Return `None` if it has no ledger of its term.
    """
    ledger = granter_state.gateway.quota_state.ledger
    if ledger is None or ledger.term != granter_state.ownership.term:
        return None
    now_ms = granter_state.gateway.now_ms()
    return quota_ledger.find_sections_end_ms(ledger, now_ms) - now_ms


def note_sections(
    gateway: gateway_module.Gateway, message: peer_link.TakeoverMessage
) -> None:
    """Note what a granter that hands over says of the leased sections."""
    if message.granter_lost or message.sections_ms is None:
        return
    state = gateway.quota_state
    state.predecessor_term = message.term
    state.predecessor_sections_end_ms = gateway.now_ms() + message.sections_ms


def _get_ledger(gateway: gateway_module.Gateway) -> quota_ledger.Ledger | None:
    """Get the ledger if this VM may lend now."""
    state = gateway.quota_state
    ledger = state.ledger
    if ledger is None or not gateway.is_granter:
        return None
    if ledger.term != gateway.state_cache.ownership.term:
        return None
    return ledger if gateway.now_ms() < state.lending_ends_ms else None


def note_needs(
    gateway: gateway_module.Gateway, ask: quota_link.QuotaAsk
) -> None:
    """Note that a VM's needs have arrived, before the reply is delayed."""
    ledger = _get_ledger(gateway)
    if ledger is not None and quota_link.list_workspaces(ask.needs):
        quota_ledger.note_needs(ledger, _name_process(ask), ask.needs.sent_ms)


def _name_process(ask: quota_link.QuotaAsk) -> str:
    """Name a process, as the clock starts anew when its machine does."""
    return f'{ask.vm}/{ask.incarnation}'


def lend(
    gateway: gateway_module.Gateway,
    ask: quota_link.QuotaAsk,
    received_ms: int,
) -> quota_link.QuotaLoans | None:
    """Lend what a VM needs; return `None` if there is nothing to say."""
    ledger = _get_ledger(gateway)
    if ledger is None:
        return None
    now_ms = gateway.now_ms()
    needs = ask.needs
    lent_by_workspace = {}
    if quota_ledger.are_needs_current(
        ledger, _name_process(ask), needs.sent_ms
    ):
        lent_by_workspace = quota_ledger.lend(
            ledger, get_plans(gateway), _unpack_needs(needs), now_ms
        )
    for lent_workspace, lent in lent_by_workspace.items():
        quota_reports.count_permits(
            gateway, 'quota_permits_lent', lent_workspace, lent
        )
    lease = None
    if needs.lease is not None:
        lease = _lease_section(gateway, ledger, ask.vm, needs.lease)
    if not lent_by_workspace and lease is None:
        return None
    return quota_link.QuotaLoans(
        held_ms=now_ms - received_ms,
        lent_counts=[
            lent_by_workspace.get(workspace, 0)
            for workspace in quota_link.list_workspaces(needs)
        ],
        lease=lease,
    )


def _unpack_needs(needs: quota_link.QuotaNeeds) -> dict[str, quotas.Need]:
    waiting_by_workspace = needs.waiting_by_workspace
    refill_by_workspace = needs.refill_by_workspace
    return {
        workspace: quotas.Need(
            total=waiting_by_workspace.get(workspace, 0)
            + refill_by_workspace.get(workspace, 0),
            waiting=waiting_by_workspace.get(workspace, 0),
        )
        for workspace in quota_link.list_workspaces(needs)
    }


def _lease_section(
    gateway: gateway_module.Gateway,
    ledger: quota_ledger.Ledger,
    vm: str,
    held: quota_link.LeaseMessage,
) -> quota_link.LeaseMessage | None:
    now_ms = gateway.now_ms()
    lease = quota_ledger.lease_section(
        ledger,
        vm,
        quotas.divide_circle(gateway.state_cache.ownership.vms, vm),
        quota_link.unpack_lease(held, now_ms),
        now_ms,
    )
    if lease == quotas.NO_LEASE:
        return None
    return quota_link.pack_lease(lease)


def answer_ask(
    gateway: gateway_module.Gateway, ask: quota_link.QuotaAsk
) -> quota_link.QuotaLoans:
    """Answer a VM whose requests wait."""
    note_needs(gateway, ask)
    return lend(gateway, ask, gateway.now_ms()) or _NO_LOANS
