"""Decide as granter which upstream holds which keys."""

from lentilgauge import events
from lentilgauge.contracts import orders
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import peer_link
from lentilgauge.services import balance, key_load, key_ranges
from lentilgauge.upstreams import roster
from lentilgauge.vms import beliefs as beliefs_module
from lentilgauge.vms import granting as granting_module

#: How often it is looked whether keys should move for balance.
BALANCE_EVERY_MS = 500
#: The first assignment waits until no upstream has joined for so long, but
#: not longer than the second span, so that few keys move at the start.
_SETTLED_MS = 900
_MOST_UNSETTLED_MS = 3000
#: A VM that wasn't heard of for so long no longer has a share.
FORGET_VM_MS = 20_000
#: Capacity of an upstream in cold start against a warm one.
_COLD_SHARE = 0.35
#: How much the newest report of slowness counts.
_NEWEST_SHARE = 0.06
_LEAST_SLOWNESS = 0.5
_MOST_SLOWNESS = 3.0
_SLOWNESS_DIGITS = 3


def assign_keys(granting: granting_module.Granting) -> None:
    """Bring the assignment up to date with what is known."""
    configuration = granting.gateway.beliefs.configuration
    if configuration is None or granting.stopped:
        return
    changed = count_vms_in(granting)
    for service in configuration.service_by_name.values():
        if service.keyed:
            changed |= _assign_service(granting, service.name)
    if changed:
        granting_module.publish(granting, record=True)


def count_vms_in(granting: granting_module.Granting) -> bool:
    """Count VMs in that have come, and out that are gone for long."""
    gateway = granting.gateway
    at_ms = granting_module.now_ms(granting)
    known = set(granting.ownership.vms)
    heard_ms = gateway.heard_ms_by_vm
    for named in known:
        # A successor waits as long for each VM as if it had just heard it.
        heard_ms.setdefault(named, at_ms)
    current = {
        vm for vm, last_ms in heard_ms.items() if at_ms - last_ms < FORGET_VM_MS
    }
    current.add(gateway.me.vm)
    if current == known:
        return False
    granting.ownership.vms = tuple(sorted(current))
    granting.ownership.vms_serial = granting.ownership.serial + 1
    return True


def _assign_service(
    granting: granting_module.Granting,
    service: str,
) -> bool:
    eligible = list_eligible(granting, service)
    if not eligible:
        return False
    tables = granting.ownership.table_by_service
    table = tables.get(service)
    if table is None:
        if not _has_settled(granting, service, eligible):
            return False
        tables[service] = _make_first_table(granting, eligible)
        return True
    changed = _replace_holders(granting, table, eligible)
    if not granting.confirmed:
        # What moves now is unserved until the store takes the record again.
        return changed
    changed |= _balance(granting, service, table, eligible)
    if not granting.task_by_range:
        changed |= key_ranges.join_ranges(
            table,
            lambda: ownership_module.allot_fence(granting.ownership),
        )
    return changed


def _has_settled(
    granting: granting_module.Granting,
    service: str,
    eligible: dict[str, roster.Upstream],
) -> bool:
    """Tell whether the upstreams of a new service have joined."""
    at_ms = granting_module.now_ms(granting)
    joining = granting.joining_by_service.get(service)
    if joining is None:
        joining = granting_module.Joining(first_ms=at_ms)
        granting.joining_by_service[service] = joining
    if joining.count != len(eligible):
        joining.count = len(eligible)
        joining.last_ms = at_ms
    if at_ms - joining.first_ms >= _MOST_UNSETTLED_MS:
        return True
    return at_ms - joining.last_ms >= _SETTLED_MS


def list_eligible(
    granting: granting_module.Granting,
    service: str,
) -> dict[str, roster.Upstream]:
    """List the upstreams that may be given keys."""
    beliefs = granting.gateway.beliefs
    at_ms = granting_module.now_ms(granting)
    return {
        upstream.id: upstream
        for upstream in beliefs.upstream_by_id.values()
        if upstream.service == service
        and roster.accepts_work(upstream, beliefs.evacuated)
        and not orders.is_silent(
            granting.silence_by_id.get(upstream.id),
            at_ms,
        )
    }


def _make_first_table(
    granting: granting_module.Granting,
    eligible: dict[str, roster.Upstream],
) -> key_ranges.Table:
    """Cut the keys equally; nobody can hold any yet."""
    cut = key_ranges.cut_equally(len(eligible))
    for one, upstream in zip(cut, eligible.values(), strict=True):
        _give(granting, one, upstream)
    events.record(events.Event.KEYS_ASSIGNED, upstreams=len(eligible))
    return key_ranges.make_table(cut)


def _give(
    granting: granting_module.Granting,
    one: key_ranges.KeyRange,
    upstream: roster.Upstream,
) -> None:
    if one.holder == upstream.id and one.life != upstream.life:
        # It has started anew and holds nothing of before.
        one.end_ms = 0
    key_ranges.hand_over(
        one,
        upstream.id,
        upstream.life,
        lambda: ownership_module.allot_fence(granting.ownership),
    )


def _replace_holders(
    granting: granting_module.Granting,
    table: key_ranges.Table,
    eligible: dict[str, roster.Upstream],
) -> bool:
    """Give the keys of upstreams that can't hold them to others."""
    orphaned = [
        one for one in table.ranges if not _may_keep(granting, one, eligible)
    ]
    if not orphaned:
        return False
    capacities = measure_capacities(granting, eligible)
    load = _get_load(granting, table, capacities)
    for one in orphaned:
        target = one.holder
        if target not in eligible:
            target = _find_idlest(load, capacities)
        events.record(
            events.Event.KEYS_MOVED,
            start=one.start,
            end=one.end,
            source=one.holder,
            target=target,
            reason='the holder cannot hold them',
        )
        _give(granting, one, eligible[target])
        load[target] += 1 + (one.end - one.start) / key_ranges.KEY_COUNT
    return True


def _may_keep(
    granting: granting_module.Granting,
    one: key_ranges.KeyRange,
    eligible: dict[str, roster.Upstream],
) -> bool:
    """Tell whether a range may stay with its holder.

    The entry of a holder may have lapsed while the store was away, and comes
    back soon: a granter that has just taken over waits for that.
    """
    holder = eligible.get(one.holder)
    if holder is not None:
        return one.life == holder.life
    if one.holder in granting.gateway.beliefs.upstream_by_id:
        return False
    waited_ms = granting_module.now_ms(granting) - granting.started_ms
    return waited_ms < beliefs_module.MISSING_GRACE_MS


def _find_idlest(
    load: dict[str, float],
    capacities: dict[str, float],
) -> str:
    return min(load, key=lambda each: load[each] / capacities[each])


def _get_load(
    granting: granting_module.Granting,
    table: key_ranges.Table,
    capacities: dict[str, float],
) -> dict[str, float]:
    """Sum the load of each eligible holder."""
    load: dict[str, float] = dict.fromkeys(capacities, 0)
    for one in table.ranges:
        share = (one.end - one.start + 1) / key_ranges.KEY_COUNT
        held = load.get(one.holder)
        if held is not None:
            load[one.holder] = held + share * len(capacities)
    return load


def measure_capacities(
    granting: granting_module.Granting,
    eligible: dict[str, roster.Upstream],
) -> dict[str, float]:
    """Measure how much each upstream can bear against the others."""
    at_ms = granting_module.now_ms(granting)
    return {
        upstream.id: _measure_capacity(granting, upstream, at_ms)
        for upstream in eligible.values()
    }


def _measure_capacity(
    granting: granting_module.Granting,
    upstream: roster.Upstream,
    at_ms: int,
) -> float:
    slowness = granting.ownership.slowness_by_id.get(upstream.id, 1)
    capacity = upstream.concurrency / slowness
    if upstream.warm_ms > at_ms:
        return capacity * _COLD_SHARE
    return capacity


def _balance(
    granting: granting_module.Granting,
    service: str,
    table: key_ranges.Table,
    eligible: dict[str, roster.Upstream],
) -> bool:
    """Move keys from upstreams that are far busier than others."""
    at_ms = granting_module.now_ms(granting)
    due_ms = granting.balance_ms_by_service.get(service, 0)
    if at_ms < due_ms:
        return False
    granting.balance_ms_by_service[service] = at_ms + BALANCE_EVERY_MS
    load = _get_key_load(granting, service)
    key_load.fade(load, at_ms)
    weighted = key_load.list_weights(load)
    if not key_load.knows_enough(load, len(eligible)):
        return False
    moves = balance.plan_moves(
        table,
        weighted,
        measure_capacities(granting, eligible),
        key_load.count_prior(load, len(eligible)),
    )
    for move in moves:
        for one in key_ranges.split_range(table, move.start, move.end):
            _give(granting, one, eligible[move.target])
        events.record(
            events.Event.KEYS_MOVED,
            start=move.start,
            end=move.end,
            source=move.source,
            target=move.target,
            reason='load',
        )
    return bool(moves)


def _get_key_load(
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
    """Take what a VM has counted."""
    for service, counts in report.counts_by_service.items():
        load = _get_key_load(granting, service)
        for key, count in counts:
            key_load.add_count(load, key, count)
    for upstream_id, counted in report.report_by_upstream.items():
        _take_upstream_report(granting, upstream_id, counted)


def _take_upstream_report(
    granting: granting_module.Granting,
    upstream_id: str,
    counted: peer_link.UpstreamReport,
) -> None:
    if counted.executed:
        slowness_by_id = granting.ownership.slowness_by_id
        known = slowness_by_id.get(upstream_id, 1)
        share = 1 - (1 - _NEWEST_SHARE) ** counted.executed
        known += (counted.slowness / counted.executed - known) * share
        known = min(max(known, _LEAST_SLOWNESS), _MOST_SLOWNESS)
        slowness_by_id[upstream_id] = round(known, _SLOWNESS_DIGITS)
    if counted.moved:
        _renew_soon(granting, upstream_id)


def _renew_soon(
    granting: granting_module.Granting,
    upstream_id: str,
) -> None:
    """Renew an upstream's keys at once: it says that it holds them not."""
    for table in granting.ownership.table_by_service.values():
        for one in key_ranges.list_held(table, upstream_id):
            if one.served:
                one.renew_ms = 0
