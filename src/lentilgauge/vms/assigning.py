"""Assign key ranges to upstreams on the granter."""

from lentilgauge import events
from lentilgauge.contracts import orders
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import peer_link
from lentilgauge.services import balance, key_load, key_ranges
from lentilgauge.upstreams import roster
from lentilgauge.vms import beliefs as beliefs_module
from lentilgauge.vms import granting as granting_module

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
#: Capacity of an upstream during warm-up, relative to a warm one.
_COLD_CAPACITY_SHARE = 0.35
#: Weight of one execution in the moving average of an upstream's slowness.
_SLOWNESS_SAMPLE_WEIGHT = 0.06
_MIN_SLOWNESS = 0.5
_MAX_SLOWNESS = 3.0
_SLOWNESS_DIGITS = 3


def assign_keys(granting: granting_module.Granting) -> None:
    """Update the assignment of all keyed services and publish changes."""
    configuration = granting.gateway.beliefs.configuration
    if configuration is None or granting.stopped:
        return
    changed = update_vms(granting)
    for service in configuration.service_by_name.values():
        if service.keyed:
            changed |= _assign_service(granting, service.name)
    if changed:
        granting_module.publish(granting, record=True)


def update_vms(granting: granting_module.Granting) -> bool:
    """Add VMs that are new and remove VMs that were silent for too long.

    Return whether the VMs that share the upstreams have changed.
    """
    gateway = granting.gateway
    current_ms = granting_module.now_ms(granting)
    previous_vms = set(granting.ownership.vms)
    heard_ms = gateway.heard_ms_by_vm
    for vm_name in previous_vms:
        # A new granter gives each VM the full time, as if just heard from.
        heard_ms.setdefault(vm_name, current_ms)
    current_vms = {
        vm
        for vm, last_ms in heard_ms.items()
        if current_ms - last_ms < VM_REMOVAL_MS
    }
    current_vms.add(gateway.me.vm)
    if current_vms == previous_vms:
        return False
    granting.ownership.vms = tuple(sorted(current_vms))
    granting.ownership.vms_serial = granting.ownership.serial + 1
    return True


def _assign_service(
    granting: granting_module.Granting,
    service: str,
) -> bool:
    eligible = list_eligible_upstreams(granting, service)
    if not eligible:
        return False
    tables = granting.ownership.table_by_service
    table = tables.get(service)
    if table is None:
        if not _have_upstreams_arrived(granting, service, eligible):
            return False
        tables[service] = _make_first_table(granting, eligible)
        return True
    changed = _replace_ineligible_holders(granting, table, eligible)
    if not granting.confirmed:
        # Keys that move now are unserved until the record can be written.
        return changed
    changed |= _balance_load(granting, service, table, eligible)
    if not granting.task_by_range:
        changed |= key_ranges.join_ranges(
            table,
            lambda: ownership_module.allot_fence(granting.ownership),
        )
    return changed


def _have_upstreams_arrived(
    granting: granting_module.Granting,
    service: str,
    eligible: dict[str, roster.Upstream],
) -> bool:
    """Return whether the wait for a new service's upstreams is over."""
    current_ms = granting_module.now_ms(granting)
    joining = granting.joining_by_service.get(service)
    if joining is None:
        joining = granting_module.Joining(first_ms=current_ms)
        granting.joining_by_service[service] = joining
    if joining.count != len(eligible):
        joining.count = len(eligible)
        joining.last_ms = current_ms
    if current_ms - joining.first_ms >= _MAX_ARRIVAL_WAIT_MS:
        return True
    return current_ms - joining.last_ms >= _ARRIVAL_QUIET_MS


def list_eligible_upstreams(
    granting: granting_module.Granting,
    service: str,
) -> dict[str, roster.Upstream]:
    """List the upstreams that may be assigned keys, by their ids."""
    beliefs = granting.gateway.beliefs
    current_ms = granting_module.now_ms(granting)
    return {
        upstream.id: upstream
        for upstream in beliefs.upstream_by_id.values()
        if upstream.service == service
        and roster.accepts_work(upstream, beliefs.evacuated)
        and not orders.is_silent(
            granting.silence_by_id.get(upstream.id),
            current_ms,
        )
    }


def _make_first_table(
    granting: granting_module.Granting,
    eligible: dict[str, roster.Upstream],
) -> key_ranges.Table:
    """Split the keys equally; no upstream can hold any yet."""
    equal_ranges = key_ranges.cut_equally(len(eligible))
    for key_range, upstream in zip(
        equal_ranges, eligible.values(), strict=True
    ):
        _assign_range(granting, key_range, upstream)
    events.record(events.Event.KEYS_ASSIGNED, upstreams=len(eligible))
    return key_ranges.make_table(equal_ranges)


def _assign_range(
    granting: granting_module.Granting,
    key_range: key_ranges.KeyRange,
    upstream: roster.Upstream,
) -> None:
    if key_range.holder == upstream.id and key_range.life != upstream.life:
        # It has restarted and no longer holds its earlier grants.
        key_range.end_ms = 0
    key_ranges.hand_over(
        key_range,
        upstream.id,
        upstream.life,
        lambda: ownership_module.allot_fence(granting.ownership),
    )


def _replace_ineligible_holders(
    granting: granting_module.Granting,
    table: key_ranges.Table,
    eligible: dict[str, roster.Upstream],
) -> bool:
    """Reassign the ranges whose holders may not keep them."""
    orphaned_ranges = [
        key_range
        for key_range in table.ranges
        if not _may_stay_with_holder(granting, key_range, eligible)
    ]
    if not orphaned_ranges:
        return False
    capacities = estimate_capacities(granting, eligible)
    load = _sum_load_by_holder(granting, table, capacities)
    for key_range in orphaned_ranges:
        target = key_range.holder
        if target not in eligible:
            target = _find_least_loaded(load, capacities)
        events.record(
            events.Event.KEYS_MOVED,
            start=key_range.start,
            end=key_range.end,
            source=key_range.holder,
            target=target,
            reason='the holder is not eligible or has restarted',
        )
        _assign_range(granting, key_range, eligible[target])
        load[target] += (
            1 + (key_range.end - key_range.start) / key_ranges.KEY_COUNT
        )
    return True


def _may_stay_with_holder(
    granting: granting_module.Granting,
    key_range: key_ranges.KeyRange,
    eligible: dict[str, roster.Upstream],
) -> bool:
    """Return whether a range may stay with its holder.

    The holder's entry may have expired while the store was unreachable, and
    is soon written again: a granter that has just taken over waits for that.
    """
    holder = eligible.get(key_range.holder)
    if holder is not None:
        return key_range.life == holder.life
    if key_range.holder in granting.gateway.beliefs.upstream_by_id:
        return False
    waited_ms = granting_module.now_ms(granting) - granting.started_ms
    return waited_ms < beliefs_module.MISSING_GRACE_MS


def _find_least_loaded(
    load: dict[str, float],
    capacities: dict[str, float],
) -> str:
    return min(
        load,
        key=lambda candidate_id: load[candidate_id] / capacities[candidate_id],
    )


def _sum_load_by_holder(
    granting: granting_module.Granting,
    table: key_ranges.Table,
    capacities: dict[str, float],
) -> dict[str, float]:
    """Sum the share of keys of each eligible upstream.

    1 is an equal share.
    """
    load: dict[str, float] = dict.fromkeys(capacities, 0)
    for key_range in table.ranges:
        share = (key_range.end - key_range.start + 1) / key_ranges.KEY_COUNT
        load_so_far = load.get(key_range.holder)
        if load_so_far is not None:
            load[key_range.holder] = load_so_far + share * len(capacities)
    return load


def estimate_capacities(
    granting: granting_module.Granting,
    eligible: dict[str, roster.Upstream],
) -> dict[str, float]:
    """Estimate the capacity of each upstream relative to the others."""
    current_ms = granting_module.now_ms(granting)
    return {
        upstream.id: _estimate_capacity(granting, upstream, current_ms)
        for upstream in eligible.values()
    }


def _estimate_capacity(
    granting: granting_module.Granting,
    upstream: roster.Upstream,
    current_ms: int,
) -> float:
    slowness = granting.ownership.slowness_by_id.get(upstream.id, 1)
    capacity = upstream.concurrency / slowness
    if upstream.warm_ms > current_ms:
        return capacity * _COLD_CAPACITY_SHARE
    return capacity


def _balance_load(
    granting: granting_module.Granting,
    service: str,
    table: key_ranges.Table,
    eligible: dict[str, roster.Upstream],
) -> bool:
    """Move keys away from upstreams that are far busier than others."""
    current_ms = granting_module.now_ms(granting)
    next_balance_ms = granting.balance_ms_by_service.get(service, 0)
    if current_ms < next_balance_ms:
        return False
    granting.balance_ms_by_service[service] = current_ms + BALANCE_INTERVAL_MS
    load = _get_or_create_key_load(granting, service)
    key_load.fade(load, current_ms)
    key_weights = key_load.list_weights(load)
    if not key_load.knows_enough(load, len(eligible)):
        return False
    moves = balance.plan_moves(
        table,
        key_weights,
        estimate_capacities(granting, eligible),
        key_load.count_prior(load, len(eligible)),
    )
    for move in moves:
        for key_range in key_ranges.split_range(table, move.start, move.end):
            _assign_range(granting, key_range, eligible[move.target])
        events.record(
            events.Event.KEYS_MOVED,
            start=move.start,
            end=move.end,
            source=move.source,
            target=move.target,
            reason='load',
        )
    return bool(moves)


def _get_or_create_key_load(
    granting: granting_module.Granting,
    service: str,
) -> key_load.KeyLoad:
    load = granting.load_by_service.get(service)
    if load is None:
        load = key_load.KeyLoad(
            faded_ms=granting_module.now_ms(granting),
            first=service in granting.joining_by_service,
        )
        granting.load_by_service[service] = load
    return load


def take_report(
    granting: granting_module.Granting,
    report: peer_link.Report,
) -> None:
    """Add a VM's counts to key load and to upstreams' slowness."""
    for service, counts in report.counts_by_service.items():
        load = _get_or_create_key_load(granting, service)
        for key, count in counts:
            key_load.add_count(load, key, count)
    for upstream_id, upstream_report in report.report_by_upstream.items():
        _apply_upstream_report(granting, upstream_id, upstream_report)


def _apply_upstream_report(
    granting: granting_module.Granting,
    upstream_id: str,
    upstream_report: peer_link.UpstreamReport,
) -> None:
    if upstream_report.executed:
        slowness_by_id = granting.ownership.slowness_by_id
        average = slowness_by_id.get(upstream_id, 1)
        weight = 1 - (1 - _SLOWNESS_SAMPLE_WEIGHT) ** upstream_report.executed
        average += (
            upstream_report.slowness / upstream_report.executed - average
        ) * weight
        average = min(max(average, _MIN_SLOWNESS), _MAX_SLOWNESS)
        slowness_by_id[upstream_id] = round(average, _SLOWNESS_DIGITS)
    if upstream_report.moved:
        _renew_soon(granting, upstream_id)


def _renew_soon(
    granting: granting_module.Granting,
    upstream_id: str,
) -> None:
    """Make an upstream's grants due, as it refused requests for its keys."""
    for table in granting.ownership.table_by_service.values():
        for key_range in key_ranges.list_held(table, upstream_id):
            if key_range.served:
                key_range.renew_ms = 0
