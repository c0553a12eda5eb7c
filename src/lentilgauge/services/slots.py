"""Mapping of keys to slots, and of slots to the upstreams that own them."""

import dataclasses
from collections.abc import Iterable, Mapping, Set

import xxhash

#: Owner recorded for a slot that no upstream owns.
VACANT = ''
#: Term of a move that no controller has claimed yet.
UNCLAIMED = 0


def find_slot(key: bytes, slot_count: int) -> int:
    """Return the slot of a normalised key."""
    return xxhash.xxh3_64_intdigest(key) % slot_count


@dataclasses.dataclass(frozen=True, slots=True)
class SlotMove:
    """Pending move of a slot from its owner to another upstream.

    The number is unique to one round of moves or claims, so an owner's
    confirmation that it has released a slot counts only for the move it was
    asked for. Only the controller of the owner's lease in `term` may complete
    the move; nobody may while that is `UNCLAIMED`.
    """

    target: str
    number: int
    term: int = UNCLAIMED


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotMap:
    """Ownership of the slots of one service.

    `version` is the version of the platform's object. `epoch` increases with
    each change of owners and each round of moves.

    `owner_by_slot` and `epoch_by_slot` are indexed by slot. The epoch of a
    slot increases each time the slot changes owner. `move_by_slot` has the
    pending moves. `lease_by_id` names the upstreams that may receive slots,
    each with the number of the only lease under which its slots are granted.
    """

    version: int = 0
    epoch: int = 0
    owner_by_slot: tuple[str, ...] = ()
    epoch_by_slot: tuple[int, ...] = ()
    move_by_slot: Mapping[int, SlotMove] = dataclasses.field(
        default_factory=dict
    )
    lease_by_id: Mapping[str, int] = dataclasses.field(default_factory=dict)


def make_slot_map(slot_count: int) -> SlotMap:
    """Create the map of a service whose slots were never owned."""
    return SlotMap(
        owner_by_slot=(VACANT,) * slot_count,
        epoch_by_slot=(0,) * slot_count,
    )


def list_slots(slot_map: SlotMap, upstream_id: str) -> list[int]:
    """List the slots that an upstream owns."""
    return [
        slot
        for slot, owner in enumerate(slot_map.owner_by_slot)
        if owner == upstream_id
    ]


def group_settled_slots(slot_map: SlotMap) -> dict[str, list[int]]:
    """Group the owned slots without a pending move by their owner."""
    return _group_owned_slots(slot_map, slot_map.move_by_slot.keys())


def group_unclaimed_slots(slot_map: SlotMap) -> dict[str, list[int]]:
    """Group the owned slots without a claimed move by their owner."""
    claimed_slots = {
        slot
        for slot, slot_move in slot_map.move_by_slot.items()
        if slot_move.term != UNCLAIMED
    }
    return _group_owned_slots(slot_map, claimed_slots)


def _group_owned_slots(
    slot_map: SlotMap, excluded_slots: Set[int]
) -> dict[str, list[int]]:
    slots_by_owner: dict[str, list[int]] = {}
    for slot, owner in enumerate(slot_map.owner_by_slot):
        if slot not in excluded_slots:
            slots_by_owner.setdefault(owner, []).append(slot)
    slots_by_owner.pop(VACANT, None)
    return slots_by_owner


def map_outgoing_moves(
    slot_map: SlotMap, upstream_id: str
) -> dict[int, SlotMove]:
    """Map the slots that move away from an upstream to their moves."""
    return {
        slot: slot_move
        for slot, slot_move in slot_map.move_by_slot.items()
        if slot_map.owner_by_slot[slot] == upstream_id
    }


def list_vacant_slots(slot_map: SlotMap) -> list[int]:
    """List the slots without an owner."""
    return list_slots(slot_map, VACANT)


def change_owners(
    slot_map: SlotMap,
    owner_by_slot: Mapping[int, str],
) -> SlotMap:
    """Assign slots to new owners under a new epoch, ending their moves."""
    epoch = slot_map.epoch + 1
    owners = list(slot_map.owner_by_slot)
    epochs = list(slot_map.epoch_by_slot)
    for slot, owner in owner_by_slot.items():
        owners[slot] = owner
        epochs[slot] = epoch
    return dataclasses.replace(
        slot_map,
        epoch=epoch,
        owner_by_slot=tuple(owners),
        epoch_by_slot=tuple(epochs),
        move_by_slot=_drop_moves(slot_map.move_by_slot, owner_by_slot),
    )


def _drop_moves(
    move_by_slot: Mapping[int, SlotMove],
    dropped: Iterable[int],
) -> dict[int, SlotMove]:
    dropped_slots = frozenset(dropped)
    return {
        slot: slot_move
        for slot, slot_move in move_by_slot.items()
        if slot not in dropped_slots
    }


def start_moves(
    slot_map: SlotMap,
    target_by_slot: Mapping[int, str],
) -> SlotMap:
    """Start moves of slots from their owners to other upstreams."""
    number = slot_map.epoch + 1
    started = {
        slot: SlotMove(target, number)
        for slot, target in target_by_slot.items()
    }
    return dataclasses.replace(
        slot_map,
        epoch=number,
        move_by_slot={**slot_map.move_by_slot, **started},
    )


def claim_moves(
    slot_map: SlotMap, claimed_slots: Iterable[int], term: int
) -> SlotMap:
    """Claim pending moves for a term of their owner's lease.

    The moves get a new number, so that no earlier claim can complete them.
    """
    number = slot_map.epoch + 1
    claimed = {
        slot: dataclasses.replace(
            slot_map.move_by_slot[slot], number=number, term=term
        )
        for slot in claimed_slots
    }
    return dataclasses.replace(
        slot_map,
        epoch=number,
        move_by_slot={**slot_map.move_by_slot, **claimed},
    )


def add_lease(
    slot_map: SlotMap,
    upstream_id: str,
    lease_number: int,
) -> SlotMap:
    """Record that an upstream may receive slots under a lease."""
    return dataclasses.replace(
        slot_map,
        lease_by_id={**slot_map.lease_by_id, upstream_id: lease_number},
    )


def remove_lease(slot_map: SlotMap, upstream_id: str) -> SlotMap:
    """Remove an ended lease of an upstream and vacate the upstream's slots.

    Moves to the upstream are cancelled, and the owners keep those slots.
    """
    owned = list_slots(slot_map, upstream_id)
    vacated = change_owners(slot_map, dict.fromkeys(owned, VACANT))
    cancelled = [
        slot
        for slot, slot_move in vacated.move_by_slot.items()
        if slot_move.target == upstream_id
    ]
    return dataclasses.replace(
        vacated,
        move_by_slot=_drop_moves(vacated.move_by_slot, cancelled),
        lease_by_id={
            other_id: number
            for other_id, number in vacated.lease_by_id.items()
            if other_id != upstream_id
        },
    )
