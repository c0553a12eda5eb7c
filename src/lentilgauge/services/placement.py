"""Decide which upstream gets which slot, with bounded imbalance and churn."""

from collections.abc import Collection, Mapping

import xxhash

from lentilgauge.services import catalog, slots

WeightById = Mapping[str, float]


def list_eligible(
    config: catalog.Catalog,
    service: str,
    slot_map: slots.SlotMap,
) -> dict[str, float]:
    """Map each upstream that may be given slots to its weight."""
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
    """Count the slots each upstream will own once all moves have ended."""
    count_by_id = dict.fromkeys(weight_by_id, 0)
    for slot, owner in enumerate(slot_map.owner_by_slot):
        move = slot_map.move_by_slot.get(slot)
        holder = owner if move is None else move.taker
        if holder in weight_by_id:
            count_by_id[holder] += 1
    return count_by_id


def _break_tie(slot: int, upstream_id: str) -> int:
    """Order equals by a hash, so equal loads don't all pick one upstream."""
    return xxhash.xxh3_64_intdigest(f'{slot}/{upstream_id}'.encode())


def place_slots(
    slot_map: slots.SlotMap,
    weight_by_id: WeightById,
    placed: Collection[int],
) -> dict[int, str]:
    """Give each slot to the upstream that has least for its weight."""
    if not weight_by_id:
        return {}
    count_by_id = count_future_slots(slot_map, weight_by_id)
    owner_by_slot = {}
    for slot in placed:
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
            _break_tie(slot, candidate),
        ),
    )


def list_displaced(
    slot_map: slots.SlotMap,
    weight_by_id: WeightById,
) -> list[int]:
    """List owned slots whose owner should have none, and isn't giving up."""
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
    most_moves: int,
) -> dict[int, str]:
    """Choose up to `most_moves` slots to even out the load.

    A slot moves only where that lowers the larger of the two loads, so the
    plan stops at an imbalance of one slot and can't go back and forth.
    """
    if not weight_by_id:
        return {}
    count_by_id = count_future_slots(slot_map, weight_by_id)
    kept_by_id = slots.group_kept_slots(slot_map)
    planned: dict[int, str] = {}
    for _ in range(most_moves):
        giver = _find_most_loaded(count_by_id, weight_by_id, kept_by_id)
        taker = _find_least_loaded(count_by_id, weight_by_id)
        if giver is None or not _is_worthwhile(
            count_by_id,
            weight_by_id,
            (giver, taker),
        ):
            break
        planned[kept_by_id[giver].pop()] = taker
        count_by_id[giver] -= 1
        count_by_id[taker] += 1
    return planned


def _find_most_loaded(
    count_by_id: Mapping[str, int],
    weight_by_id: WeightById,
    kept_by_id: Mapping[str, list[int]],
) -> str | None:
    givers = [
        upstream_id
        for upstream_id in weight_by_id
        if kept_by_id.get(upstream_id)
    ]
    return max(
        givers,
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
    giver, taker = pair
    before = count_by_id[giver] / weight_by_id[giver]
    after = (count_by_id[taker] + 1) / weight_by_id[taker]
    return after < before


def choose_controller(
    upstream_id: str,
    upstream_domain: str,
    domain_by_vm: Mapping[str, str],
) -> str | None:
    """Choose the VM whose controller grants an upstream's lease.

    Rendezvous hashing keeps most choices when VMs come and go. A VM of the
    upstream's own failure domain serves only where there is no other.
    """
    elsewhere = [
        vm_id
        for vm_id, domain in domain_by_vm.items()
        if domain != upstream_domain
    ]
    return max(
        elsewhere or domain_by_vm,
        key=lambda vm_id: xxhash.xxh3_64_intdigest(
            f'{upstream_id}/{vm_id}'.encode(),
        ),
        default=None,
    )
