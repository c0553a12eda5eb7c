"""Doubt all holders when a lost granter's tokens show at an upstream."""

from lentilgauge import events
from lentilgauge.contracts import grant_timing, store_eras
from lentilgauge.links import upstream_link
from lentilgauge.vms import granter_state as granter_state_module


def doubt_if_refused(
    granter_state: granter_state_module.GranterState,
    answer: upstream_link.OrderAnswer,
) -> bool:
    """Let no range be served until every earlier hold has ended, if needed.

    It is if an upstream has seen a higher token than those of a granter that
    went on through the store's return to an older copy. That shows that another
    granter was lost with the store's last changes: it may have moved any keys,
    and have gone on for a grace period. Return whether this was so.
    """
    refused = answer is upstream_link.OrderAnswer.FENCED
    if not refused or not granter_state.carried_over:
        return False
    granter_state.carried_over = False
    owned = granter_state.ownership
    owned.next_fence = store_eras.bound_fences(owned)
    bounds = grant_timing.bound_orders_after_succession(
        granter_state_module.now_ms(granter_state),
        granter_state.gateway.bounds.max_hold_ms,
    )
    store_eras.doubt_holders(owned, bounds.holds_end_ms)
    events.log_event(
        events.Event.HOLDERS_DOUBTED, term=owned.term, era=owned.era
    )
    granter_state_module.publish(granter_state, write_at_once=True)
    return True
