"""Route an entry's requests to upstreams."""

import dataclasses

from lentilgauge.callers import request as request_module
from lentilgauge.contracts import holder, lease
from lentilgauge.services import catalog, slots
from lentilgauge.vms import entry as entry_module

_POOL_SAMPLE_SIZE = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Destination:
    """Upstream chosen for a request.

    `slot_grant` is the slot and epoch under which the upstream owns the key,
    or `_NO_SLOT` for a pooled upstream.
    """

    upstream: catalog.Upstream
    slot_grant: lease.SlotGrant


_NO_SLOT = lease.SlotGrant(holder.NO_SLOT, 0)


def find_destination(
    entry: entry_module.Entry,
    request: request_module.CallerRequest,
) -> Destination | None:
    """Find the owner of the request's key, or choose a pooled upstream."""
    service = entry.replica.config.service_by_name.get(request.kind.service)
    if service is None:
        return None
    if service.keyed:
        return _find_owner(entry, service, request.key)
    return _choose_from_pool(entry, service)


def _find_owner(
    entry: entry_module.Entry,
    service: catalog.Service,
    key: bytes,
) -> Destination | None:
    slot_map = entry.replica.slot_map_by_service.get(service.name)
    if slot_map is None:
        return None
    slot = slots.find_slot(key, service.slot_count)
    owner = slot_map.owner_by_slot[slot]
    upstream = entry.replica.config.upstream_by_id.get(owner)
    if upstream is None or not _may_send(entry, upstream, slot):
        return None
    return Destination(
        upstream=upstream,
        slot_grant=lease.SlotGrant(slot, slot_map.epoch_by_slot[slot]),
    )


def _may_send(
    entry: entry_module.Entry,
    upstream: catalog.Upstream,
    slot: int,
) -> bool:
    """Check whether an upstream may be sent requests for a slot.

    An upstream that checks fencing tokens always may, as it refuses requests
    for slots that it no longer owns. For any other upstream, this entry's
    configuration must be fresh, the lease current and the slot not moving.
    """
    if upstream.checks_tokens:
        return True
    if not entry_module.is_fresh(entry):
        return False
    slot_map = entry.replica.slot_map_by_service[upstream.service]
    if slot in slot_map.move_by_slot:
        return False
    term = entry.replica.term_by_upstream.get(upstream.id)
    if term is None or term.released:
        return False
    return slot_map.lease_by_id.get(upstream.id) == term.lease


def _choose_from_pool(
    entry: entry_module.Entry,
    service: catalog.Service,
) -> Destination | None:
    """Choose the less loaded of two random upstreams.

    Suspended upstreams are considered only if all of the pool is suspended.
    """
    now_ms = entry.now_ms()
    pool = entry.pooled_upstreams_by_service.get(service.name, ())
    usable = [
        upstream
        for upstream in pool
        if entry.limiter_by_upstream[upstream.id].suspended_until_ms <= now_ms
    ]
    candidates = usable or pool
    if not candidates:
        return None
    sampled = entry.random.sample(
        candidates,
        min(_POOL_SAMPLE_SIZE, len(candidates)),
    )
    chosen = min(
        sampled,
        key=lambda upstream: _estimate_cost(entry, upstream),
    )
    return Destination(upstream=chosen, slot_grant=_NO_SLOT)


def _estimate_cost(
    entry: entry_module.Entry,
    upstream: catalog.Upstream,
) -> float:
    limiter = entry.limiter_by_upstream[upstream.id]
    return (limiter.in_flight + len(limiter.waiters) + 1) * limiter.latency_ms
