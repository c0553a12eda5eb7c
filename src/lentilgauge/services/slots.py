"""Map keys to slots and slots to the upstreams that own them."""

import dataclasses
from collections.abc import Iterable, Mapping

import xxhash

#: The owner of a slot that nobody owns.
VACANT = ''


def find_slot(key: bytes, slot_count: int) -> int:
    """Return the slot of a normalised key."""
    return xxhash.xxh3_64_intdigest(key) % slot_count


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotMap:
    """Hold which upstream owns each slot of one service.

    `owner_by_slot` and `epoch_by_slot` are indexed by slot; an epoch grows
    each time its slot changes owner. `next_by_slot` holds the slots whose
    owner is giving them up, with who gets them. `incarnation_by_id` names the
    upstreams that hold a lease and may be given slots, each with the one
    incarnation that its slots are granted to.
    """

    version: int = 0
    epoch: int = 0
    owner_by_slot: tuple[str, ...] = ()
    epoch_by_slot: tuple[int, ...] = ()
    next_by_slot: Mapping[int, str] = dataclasses.field(default_factory=dict)
    incarnation_by_id: Mapping[str, str] = dataclasses.field(
        default_factory=dict,
    )


def make_slot_map(slot_count: int) -> SlotMap:
    """Make the map of a service whose slots were never owned."""
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


def list_kept_slots(slot_map: SlotMap, upstream_id: str) -> list[int]:
    """List the slots that an upstream owns and isn't giving up."""
    return [
        slot
        for slot in list_slots(slot_map, upstream_id)
        if slot not in slot_map.next_by_slot
    ]


def list_vacant_slots(slot_map: SlotMap) -> list[int]:
    """List the slots that nobody owns."""
    return list_slots(slot_map, VACANT)


def change_owners(
    slot_map: SlotMap,
    owner_by_slot: Mapping[int, str],
) -> SlotMap:
    """Give slots to new owners under a new epoch, ending their moves."""
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
        next_by_slot=_drop_slots(slot_map.next_by_slot, owner_by_slot),
    )


def _drop_slots(
    next_by_slot: Mapping[int, str],
    dropped: Iterable[int],
) -> dict[int, str]:
    gone = frozenset(dropped)
    return {
        slot: taker for slot, taker in next_by_slot.items() if slot not in gone
    }


def start_moves(
    slot_map: SlotMap,
    next_by_slot: Mapping[int, str],
) -> SlotMap:
    """Ask the owners of slots to give them up to others."""
    return dataclasses.replace(
        slot_map,
        next_by_slot={**slot_map.next_by_slot, **next_by_slot},
    )


def add_available(
    slot_map: SlotMap,
    upstream_id: str,
    incarnation: str,
) -> SlotMap:
    """Note that an incarnation of an upstream may be given slots."""
    return dataclasses.replace(
        slot_map,
        incarnation_by_id={
            **slot_map.incarnation_by_id,
            upstream_id: incarnation,
        },
    )


def remove_available(slot_map: SlotMap, upstream_id: str) -> SlotMap:
    """Vacate an upstream whose lease has lapsed or was given back.

    Moves towards it are called off: their owners keep those slots.
    """
    owned = list_slots(slot_map, upstream_id)
    vacated = change_owners(slot_map, dict.fromkeys(owned, VACANT))
    called_off = [
        slot
        for slot, taker in vacated.next_by_slot.items()
        if taker == upstream_id
    ]
    return dataclasses.replace(
        vacated,
        next_by_slot=_drop_slots(vacated.next_by_slot, called_off),
        incarnation_by_id={
            other: incarnation
            for other, incarnation in vacated.incarnation_by_id.items()
            if other != upstream_id
        },
    )
