"""Placement of slots on upstreams with bounded imbalance and few moves."""

from collections.abc import Collection, Mapping

import xxhash

from lentilgauge.services import catalog, slots

WeightById = Mapping[str, float]


def weigh_eligible_upstreams(
    config: catalog.Catalog,
    service: str,
    slot_map: slots.SlotMap,
) -> dict[str, float]:
    """Map each upstream that may receive slots to its weight."""
    return {
        upstream.id: upstream.weight
        for upstream in catalog.list_upstreams(config, service)
        if upstream.id in slot_map.lease_by_id
        and catalog.accepts_new_work(config, upstream.id)
    }


def count_future_slots(
    slot_map: slots.SlotMap,
    weight_by_id: WeightById,
) -> dict[str, int]:
    """Count the slots that each upstream will own after all pending moves."""
    count_by_id = dict.fromkeys(weight_by_id, 0)
    for slot, owner in enumerate(slot_map.owner_by_slot):
        slot_move = slot_map.move_by_slot.get(slot)
        future_owner = owner if slot_move is None else slot_move.target
        if future_owner in weight_by_id:
            count_by_id[future_owner] += 1
    return count_by_id


def _rank_in_tie(slot: int, upstream_id: str) -> int:
    """Rank upstreams of equal load by hash, so that slots spread over them."""
    return xxhash.xxh3_64_intdigest(f'{slot}/{upstream_id}'.encode())


def place_slots(
    slot_map: slots.SlotMap,
    weight_by_id: WeightById,
    slots_to_place: Collection[int],
) -> dict[int, str]:
    """Assign each slot to the upstream with the fewest slots for its weight."""
    if not weight_by_id:
        return {}
    count_by_id = count_future_slots(slot_map, weight_by_id)
    owner_by_slot = {}
    for slot in slots_to_place:
        owner = _choose_owner(slot, count_by_id, weight_by_id)
        owner_by_slot[slot] = owner
        count_by_id[owner] += 1
    return owner_by_slot


def _choose_owner(
    slot: int,
    count_by_id: Mapping[str, int],
    weight_by_id: WeightById,
) -> str:
    return min(
        weight_by_id,
        key=lambda candidate: (
            (count_by_id[candidate] + 1) / weight_by_id[candidate],
            _rank_in_tie(slot, candidate),
        ),
    )


def list_misplaced_slots(
    slot_map: slots.SlotMap,
    weight_by_id: WeightById,
) -> list[int]:
    """List slots without a pending move whose owner is no longer eligible."""
    return [
        slot
        for slot, owner in enumerate(slot_map.owner_by_slot)
        if owner != slots.VACANT
        and owner not in weight_by_id
        and slot not in slot_map.move_by_slot
    ]


def plan_rebalance(
    slot_map: slots.SlotMap,
    weight_by_id: WeightById,
    max_moves: int,
) -> dict[int, str]:
    """Plan up to `max_moves` slot moves that even out the load.

    A slot moves only if that lowers the higher load of its source and target,
    so planning stops at an imbalance of one slot and never oscillates.
    """
    if not weight_by_id:
        return {}
    count_by_id = count_future_slots(slot_map, weight_by_id)
    settled_slots_by_id = slots.group_settled_slots(slot_map)
    planned: dict[int, str] = {}
    for _ in range(max_moves):
        source = _find_most_loaded(
            count_by_id, weight_by_id, settled_slots_by_id
        )
        target = _find_least_loaded(count_by_id, weight_by_id)
        if source is None or not _is_worthwhile(
            count_by_id,
            weight_by_id,
            (source, target),
        ):
            break
        planned[settled_slots_by_id[source].pop()] = target
        count_by_id[source] -= 1
        count_by_id[target] += 1
    return planned


def _find_most_loaded(
    count_by_id: Mapping[str, int],
    weight_by_id: WeightById,
    settled_slots_by_id: Mapping[str, list[int]],
) -> str | None:
    sources = [
        upstream_id
        for upstream_id in weight_by_id
        if settled_slots_by_id.get(upstream_id)
    ]
    return max(
        sources,
        key=lambda upstream_id: (
            count_by_id[upstream_id] / weight_by_id[upstream_id]
        ),
        default=None,
    )


def _find_least_loaded(
    count_by_id: Mapping[str, int],
    weight_by_id: WeightById,
) -> str:
    return min(
        weight_by_id,
        key=lambda upstream_id: (
            (count_by_id[upstream_id] + 1) / weight_by_id[upstream_id]
        ),
    )


def _is_worthwhile(
    count_by_id: Mapping[str, int],
    weight_by_id: WeightById,
    pair: tuple[str, str],
) -> bool:
    source, target = pair
    load_before = count_by_id[source] / weight_by_id[source]
    load_after = (count_by_id[target] + 1) / weight_by_id[target]
    return load_after < load_before


def choose_controller(
    upstream_id: str,
    upstream_domain: str,
    domain_by_vm: Mapping[str, str],
) -> str | None:
    """Choose the VM whose controller grants an upstream's lease.

    Rendezvous hashing keeps most assignments when VMs join or leave. A VM of
    the upstream's own failure domain is chosen only if there is no other.
    """
    vms_in_other_domains = [
        vm_id
        for vm_id, domain in domain_by_vm.items()
        if domain != upstream_domain
    ]
    return max(
        vms_in_other_domains or domain_by_vm,
        key=lambda vm_id: xxhash.xxh3_64_intdigest(
            f'{upstream_id}/{vm_id}'.encode(),
        ),
        default=None,
    )
