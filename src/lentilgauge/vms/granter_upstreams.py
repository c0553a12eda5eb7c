"""Upstreams that a granter knows, including those that have left the store.

Holders that are gone from the store still have to release their keys.
"""

from lentilgauge import events
from lentilgauge.upstreams import upstream_state
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import key_assignment


def update_upstreams(granter_state: granter_state_module.GranterState) -> None:
    """Adopt the announced upstreams, and log addresses used again.

    Orders that an earlier process left unanswered don't count against the next
    one with its id, which holds none of the keys granted.
    """
    announced_by_id = granter_state.gateway.state_cache.upstream_by_id
    for upstream in announced_by_id.values():
        known = granter_state.upstream_by_id.get(upstream.id)
        if known is None or known.incarnation != upstream.incarnation:
            _log_address_reuse(granter_state, upstream)
            granter_state.failure_streak_by_upstream.pop(upstream.id, None)
            granter_state.absence_by_upstream.pop(upstream.id, None)
            key_assignment.renew_soon(granter_state, upstream.id)
        granter_state.upstream_by_id[upstream.id] = upstream


def _log_address_reuse(
    granter_state: granter_state_module.GranterState,
    upstream: upstream_state.Upstream,
) -> None:
    """Log which earlier process was last granted keys at the address.

    A grant that was accepted there after the start of the new process has
    reached that process.
    """
    accepted_ms_by_upstream = granter_state.grant_accepted_ms_by_upstream
    accepted_ms_by_earlier = {
        earlier.id: accepted_ms_by_upstream[earlier.id]
        for earlier in granter_state.upstream_by_id.values()
        if earlier.address == upstream.address
        and earlier.id in accepted_ms_by_upstream
    }
    if not accepted_ms_by_earlier:
        return
    latest_id = max(
        accepted_ms_by_earlier,
        key=lambda earlier_id: accepted_ms_by_earlier[earlier_id],
    )
    events.log_event(
        events.Event.ADDRESS_REUSED,
        upstream=upstream.id,
        life=upstream.incarnation,
        earlier=latest_id,
        address=upstream.address,
        accepted_age_ms=granter_state_module.now_ms(granter_state)
        - accepted_ms_by_earlier[latest_id],
    )
