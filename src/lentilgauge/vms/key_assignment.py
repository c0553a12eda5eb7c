"""Assign key ranges to upstreams on the granter."""

from collections.abc import Mapping

from lentilgauge import events
from lentilgauge.contracts import grant_timing
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import peer_link
from lentilgauge.services import balance, key_load, key_ranges
from lentilgauge.upstreams import upstream_state
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import state_cache as state_cache_module

#: How often each service is checked for load imbalance.
BALANCE_INTERVAL_MS = 500
#: The first assignment of a service waits until the number of its upstreams
#: hasn't changed for the quiet time, but no longer than the maximum, so that
#: few keys move at the start.
_ARRIVAL_QUIET_MS = 900
_MAX_ARRIVAL_WAIT_MS = 3000
#: A VM that wasn't heard from for this long no longer has a share of the
#: upstreams' capacity.
VM_REMOVAL_MS = 20_000
#: Capacity of an upstream in cold start, relative to its capacity afterwards.
_COLD_CAPACITY_SHARE = 0.35
#: Weight of one execution in the moving average of an upstream's slowness.
_SLOWNESS_SAMPLE_WEIGHT = 0.06
_MIN_SLOWNESS = 0.5
_MAX_SLOWNESS = 3.0
#: Decimal places to which a slowness is rounded.
_SLOWNESS_DIGITS = 3


def assign_keys(granter_state: granter_state_module.GranterState) -> None:
    """Update the assignment of all keyed services and publish changes."""
    configuration = granter_state.gateway.state_cache.configuration
    if configuration is None or granter_state.stopped:
        return
    changed = update_vms(granter_state)
    for service in configuration.service_by_name.values():
        if service.keyed:
            changed |= _assign_service(granter_state, service.name)
    if changed:
        granter_state_module.publish(granter_state, write_at_once=True)


def update_vms(granter_state: granter_state_module.GranterState) -> bool:
    """Add VMs that are new and remove VMs that were silent for too long.

    Return whether the VMs that share the upstreams have changed.
    """
    gateway = granter_state.gateway
    current_ms = granter_state_module.now_ms(granter_state)
    previous_vms = set(granter_state.ownership.vms)
    heard_ms_by_vm = gateway.heard_ms_by_vm
    for vm_name in previous_vms:
        # A new granter gives each VM the full time, as if just heard from.
        heard_ms_by_vm.setdefault(vm_name, current_ms)
    current_vms = {
        vm
        for vm, heard_ms in heard_ms_by_vm.items()
        if current_ms - heard_ms < VM_REMOVAL_MS
    }
    current_vms.add(gateway.local_peer.vm)
    if current_vms == previous_vms:
        return False
    granter_state.ownership.vms = tuple(sorted(current_vms))
    granter_state.ownership.vms_serial = granter_state.ownership.serial + 1
    return True


def _assign_service(
    granter_state: granter_state_module.GranterState,
    service: str,
) -> bool:
    eligible = list_eligible_upstreams(granter_state, service)
    if not eligible:
        return False
    tables = granter_state.ownership.table_by_service
    range_table = tables.get(service)
    if range_table is None:
        if not _track_upstream_arrivals(granter_state, service, eligible):
            return False
        tables[service] = _make_first_table(granter_state, eligible)
        return True
    if not granter_state_module.have_earlier_orders_ended(granter_state):
        # Keys that move now are unserved until an earlier granter has stopped.
        return False
    changed = _replace_ineligible_holders(granter_state, range_table, eligible)
    if not granter_state.term_confirmed:
        # Keys that move now are unserved until the record can be written.
        return changed
    changed |= _balance_load(granter_state, service, range_table, eligible)
    if not granter_state.order_task_by_range_id:
        changed |= key_ranges.merge_ranges(
            range_table,
            lambda: ownership_module.allocate_fence(granter_state.ownership),
        )
    return changed


def _track_upstream_arrivals(
    granter_state: granter_state_module.GranterState,
    service: str,
    eligible: dict[str, upstream_state.Upstream],
) -> bool:
    """Track how the upstreams of a new service arrive.

    Return whether the wait for them is over.
    """
    current_ms = granter_state_module.now_ms(granter_state)
    upstream_arrivals = granter_state.arrivals_by_service.get(service)
    if upstream_arrivals is None:
        upstream_arrivals = granter_state_module.UpstreamArrivals(
            wait_started_ms=current_ms
        )
        granter_state.arrivals_by_service[service] = upstream_arrivals
    if upstream_arrivals.upstream_count != len(eligible):
        upstream_arrivals.upstream_count = len(eligible)
        upstream_arrivals.last_change_ms = current_ms
    if current_ms - upstream_arrivals.wait_started_ms >= _MAX_ARRIVAL_WAIT_MS:
        return True
    return current_ms - upstream_arrivals.last_change_ms >= _ARRIVAL_QUIET_MS


def list_eligible_upstreams(
    granter_state: granter_state_module.GranterState,
    service: str,
) -> dict[str, upstream_state.Upstream]:
    """List the upstreams that may be assigned keys, by their ids."""
    state_cache = granter_state.gateway.state_cache
    current_ms = granter_state_module.now_ms(granter_state)
    return {
        upstream.id: upstream
        for upstream in state_cache.upstream_by_id.values()
        if upstream.service == service
        and upstream_state.accepts_work(upstream, state_cache.evacuated_domains)
        and not grant_timing.is_unresponsive(
            granter_state.failure_streak_by_upstream.get(upstream.id),
            current_ms,
        )
    }


def _make_first_table(
    granter_state: granter_state_module.GranterState,
    eligible: dict[str, upstream_state.Upstream],
) -> key_ranges.RangeTable:
    """Split the keys equally; no upstream can hold any yet."""
    equal_ranges = key_ranges.split_key_space(len(eligible))
    for key_range, upstream in zip(
        equal_ranges, eligible.values(), strict=True
    ):
        _assign_range(granter_state, key_range, upstream)
    events.log_event(events.Event.KEYS_ASSIGNED, upstreams=len(eligible))
    return key_ranges.make_table(equal_ranges)


def _assign_range(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
    upstream: upstream_state.Upstream,
) -> None:
    # An upstream that has restarted lost its grants, but may have accepted a
    # renewal since, so it has to release the keys like any other holder.
    key_ranges.reassign_range(
        key_range,
        key_ranges.Grantee(upstream_id=upstream.id, address=upstream.address),
        upstream.incarnation,
        lambda: ownership_module.allocate_fence(granter_state.ownership),
    )


def _replace_ineligible_holders(
    granter_state: granter_state_module.GranterState,
    range_table: key_ranges.RangeTable,
    eligible: dict[str, upstream_state.Upstream],
) -> bool:
    """Reassign the ranges whose holders may not keep them."""
    orphaned_ranges = [
        key_range
        for key_range in range_table.ranges
        if not _may_stay_with_holder(granter_state, key_range, eligible)
    ]
    if not orphaned_ranges:
        return False
    capacities = estimate_capacities(granter_state, eligible)
    load_by_id = _sum_load_by_holder(granter_state, range_table, capacities)
    for key_range in orphaned_ranges:
        target = key_range.holder
        if target not in eligible:
            target = _find_least_loaded(load_by_id, capacities)
        events.log_event(
            events.Event.KEYS_MOVED,
            start=key_range.start,
            end=key_range.end,
            source=key_range.holder,
            target=target,
            reason='the holder is not eligible or has restarted',
        )
        _assign_range(granter_state, key_range, eligible[target])
        load_by_id[target] += (
            1 + (key_range.end - key_range.start) / key_ranges.KEY_COUNT
        )
    return True


def _may_stay_with_holder(
    granter_state: granter_state_module.GranterState,
    key_range: key_ranges.KeyRange,
    eligible: dict[str, upstream_state.Upstream],
) -> bool:
    """Return whether a range may stay with its holder.

    The holder's entry may have expired while the store was unreachable, and
    is soon written again: a granter that has just taken over waits for that.
    """
    holder = eligible.get(key_range.holder)
    if holder is not None:
        return key_range.incarnation == holder.incarnation and (
            key_range.address in {holder.address, ''}
        )
    if key_range.holder in granter_state.gateway.state_cache.upstream_by_id:
        return False
    waited_ms = (
        granter_state_module.now_ms(granter_state)
        - granter_state.term_started_ms
    )
    return waited_ms < state_cache_module.REREGISTRATION_GRACE_MS


def _find_least_loaded(
    load_by_id: dict[str, float],
    capacities: dict[str, float],
) -> str:
    return min(
        load_by_id,
        key=lambda candidate_id: (
            load_by_id[candidate_id] / capacities[candidate_id]
        ),
    )


def _sum_load_by_holder(
    granter_state: granter_state_module.GranterState,
    range_table: key_ranges.RangeTable,
    capacities: dict[str, float],
) -> dict[str, float]:
    """Return each eligible upstream's load, taken as its share of the keys.

    A load of 1 is an equal share.
    """
    load_by_id: dict[str, float] = dict.fromkeys(capacities, 0)
    for key_range in range_table.ranges:
        share = (key_range.end - key_range.start + 1) / key_ranges.KEY_COUNT
        load_so_far = load_by_id.get(key_range.holder)
        if load_so_far is not None:
            load_by_id[key_range.holder] = load_so_far + share * len(capacities)
    return load_by_id


def estimate_capacities(
    granter_state: granter_state_module.GranterState,
    eligible: dict[str, upstream_state.Upstream],
) -> dict[str, float]:
    """Estimate the capacity of each upstream relative to the others."""
    current_ms = granter_state_module.now_ms(granter_state)
    return {
        upstream.id: _estimate_capacity(granter_state, upstream, current_ms)
        for upstream in eligible.values()
    }


def _estimate_capacity(
    granter_state: granter_state_module.GranterState,
    upstream: upstream_state.Upstream,
    current_ms: int,
) -> float:
    slowness = granter_state.ownership.slowness_by_id.get(upstream.id, 1)
    capacity = upstream.concurrency / slowness
    if upstream.cold_until_ms > current_ms:
        return capacity * _COLD_CAPACITY_SHARE
    return capacity


def _balance_load(
    granter_state: granter_state_module.GranterState,
    service: str,
    range_table: key_ranges.RangeTable,
    eligible: dict[str, upstream_state.Upstream],
) -> bool:
    """Move keys away from upstreams that are far busier than others."""
    current_ms = granter_state_module.now_ms(granter_state)
    next_balance_ms = granter_state.next_balance_ms_by_service.get(service, 0)
    if current_ms < next_balance_ms:
        return False
    granter_state.next_balance_ms_by_service[service] = (
        current_ms + BALANCE_INTERVAL_MS
    )
    load = _get_or_create_key_load(granter_state, service)
    key_load.decay_counts(load, current_ms)
    key_weights = key_load.list_weights(load)
    if not key_load.has_enough_counts(load, len(eligible)):
        return False
    moves = balance.plan_moves(
        range_table,
        key_weights,
        estimate_capacities(granter_state, eligible),
        key_load.compute_prior_weight(load, len(eligible)),
    )
    for key_move in moves:
        for key_range in key_ranges.split_at_span(
            range_table, key_move.start, key_move.end
        ):
            _assign_range(granter_state, key_range, eligible[key_move.target])
        events.log_event(
            events.Event.KEYS_MOVED,
            start=key_move.start,
            end=key_move.end,
            source=key_move.source,
            target=key_move.target,
            reason='load',
        )
    return bool(moves)


def _get_or_create_key_load(
    granter_state: granter_state_module.GranterState,
    service: str,
) -> key_load.KeyLoad:
    load = granter_state.key_load_by_service.get(service)
    if load is None:
        load = key_load.KeyLoad(
            decayed_ms=granter_state_module.now_ms(granter_state),
            never_balanced=service in granter_state.arrivals_by_service,
        )
        granter_state.key_load_by_service[service] = load
    return load


def apply_report(
    granter_state: granter_state_module.GranterState,
    report: peer_link.Report,
) -> None:
    """Apply a VM's report to the key load and the upstreams' slowness."""
    for service, counts in report.counts_by_service.items():
        load = _get_or_create_key_load(granter_state, service)
        for key, count in counts:
            key_load.add_count(load, key, count)
    for upstream_id, upstream_report in report.report_by_upstream.items():
        _apply_upstream_report(granter_state, upstream_id, upstream_report)
    _apply_leaving(granter_state, report.leaving_by_upstream)


def _apply_leaving(
    granter_state: granter_state_module.GranterState,
    leaving_by_upstream: Mapping[str, int],
) -> None:
    """Take the upstreams for draining that told a VM that they are leaving."""
    state_cache = granter_state.gateway.state_cache
    for upstream_id, incarnation in leaving_by_upstream.items():
        upstream = state_cache.upstream_by_id.get(upstream_id)
        if upstream is not None and upstream.incarnation == incarnation:
            state_cache_module.note_leaving(state_cache, upstream)


def _apply_upstream_report(
    granter_state: granter_state_module.GranterState,
    upstream_id: str,
    upstream_report: peer_link.UpstreamReport,
) -> None:
    if upstream_report.executed:
        slowness_by_id = granter_state.ownership.slowness_by_id
        average = slowness_by_id.get(upstream_id, 1)
        weight = 1 - (1 - _SLOWNESS_SAMPLE_WEIGHT) ** upstream_report.executed
        average += (
            upstream_report.slowness / upstream_report.executed - average
        ) * weight
        average = min(max(average, _MIN_SLOWNESS), _MAX_SLOWNESS)
        slowness_by_id[upstream_id] = round(average, _SLOWNESS_DIGITS)
    if upstream_report.moved:
        renew_soon(granter_state, upstream_id)


def renew_soon(
    granter_state: granter_state_module.GranterState,
    upstream_id: str,
) -> None:
    """Make an upstream's grants due, as it doesn't hold the keys granted."""
    for range_table in granter_state.ownership.table_by_service.values():
        for key_range in key_ranges.list_ranges_of_holder(
            range_table, upstream_id
        ):
            if key_range.served:
                key_range.renewal_due_ms = 0
