"""Shape the system's own objects as the platform keeps them."""

import enum

import pydantic

from lentilgauge.services import slots

ASSIGNMENT_PREFIX = 'assignment/'
TERM_PREFIX = 'term/'
VM_PREFIX = 'vm/'
_NOBODY = -1


class MoveBody(pydantic.BaseModel):
    """Keep one move of a slot."""

    taker: str
    number: int


class AssignmentBody(pydantic.BaseModel):
    """Keep a service's slot map; owners are indexes into `owners`."""

    epoch: int
    owners: list[str]
    owner_index_by_slot: list[int]
    epoch_by_slot: list[int]
    move_by_slot: dict[int, MoveBody]
    lease_by_id: dict[str, int]
    write_ids: list[str] = []


class WitnessBody(pydantic.BaseModel):
    """Name a witness by its VM and the incarnation of its controller."""

    vm: str
    incarnation: str


class EarlierTerm(pydantic.BaseModel):
    """Keep who granted an upstream's lease in one term, and its witnesses."""

    controller: str
    incarnation: str
    term: int
    witnesses: list[WitnessBody]


class TermBody(EarlierTerm):
    """Keep which controller grants an upstream's lease, in which term.

    `unsettled` are the earlier terms whose grants may still be held: whoever
    opens the next term has to account for them too. `lease` numbers the
    latest lease, given to the upstream's incarnation `holder` and over once
    it is `released`: that and a change of term exclude each other.
    """

    lease: int = 0
    holder: str = ''
    released: bool = True
    unsettled: list[EarlierTerm] = []
    write_ids: list[str] = []


class VmState(enum.StrEnum):
    """Name the states of an entry VM."""

    LIVE = 'live'
    LEAVING = 'leaving'
    LOST = 'lost'


class VmBody(pydantic.BaseModel):
    """Keep one entry VM: where its controller listens and its state."""

    failure_domain: str
    address: str
    port: int
    incarnation: str
    state: VmState
    write_ids: list[str] = []


def pack_slot_map(
    slot_map: slots.SlotMap,
    write_ids: list[str],
) -> AssignmentBody:
    """Pack a slot map into its object."""
    owners = sorted(set(slot_map.owner_by_slot) - {slots.VACANT})
    index_by_owner = {owner: index for index, owner in enumerate(owners)}
    index_by_owner[slots.VACANT] = _NOBODY
    return AssignmentBody(
        epoch=slot_map.epoch,
        owners=owners,
        owner_index_by_slot=[
            index_by_owner[owner] for owner in slot_map.owner_by_slot
        ],
        epoch_by_slot=list(slot_map.epoch_by_slot),
        move_by_slot={
            slot: MoveBody(taker=move.taker, number=move.number)
            for slot, move in slot_map.move_by_slot.items()
        },
        lease_by_id=dict(slot_map.lease_by_id),
        write_ids=write_ids,
    )


def unpack_slot_map(version: int, body: AssignmentBody) -> slots.SlotMap:
    """Unpack a slot map from its object."""
    owner_by_index = dict(enumerate(body.owners))
    owner_by_index[_NOBODY] = slots.VACANT
    return slots.SlotMap(
        version=version,
        epoch=body.epoch,
        owner_by_slot=tuple(
            owner_by_index[index] for index in body.owner_index_by_slot
        ),
        epoch_by_slot=tuple(body.epoch_by_slot),
        move_by_slot={
            slot: slots.Move(move.taker, move.number)
            for slot, move in body.move_by_slot.items()
        },
        lease_by_id=body.lease_by_id,
    )
