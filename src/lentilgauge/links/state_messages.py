"""Format in which the platform stores this system's own objects.

They are slot maps, the terms of upstreams' leases, and entry VMs. The field
`write_ids` has the ids of the latest writes to an object.
"""

import enum

import pydantic

from lentilgauge.services import slots

ASSIGNMENT_PREFIX = 'assignment/'
TERM_PREFIX = 'term/'
VM_PREFIX = 'vm/'
_VACANT_INDEX = -1


class MoveBody(pydantic.BaseModel):
    """Pending move of a slot to the upstream `taker`.

    `number` identifies the round of moves or claims to which the move belongs,
    and `term` the owner's term whose controller has claimed it.
    """

    taker: str
    number: int
    term: int = slots.UNCLAIMED


class AssignmentBody(pydantic.BaseModel):
    """Slot map of a service, a `slots.SlotMap` with its owners listed once.

    `owner_index_by_slot` has indexes into `owners`, and -1 for a slot
    without an owner.
    """

    epoch: int
    owners: list[str]
    owner_index_by_slot: list[int]
    epoch_by_slot: list[int]
    move_by_slot: dict[int, MoveBody]
    lease_by_id: dict[str, int]
    write_ids: list[str] = []


class WitnessBody(pydantic.BaseModel):
    """Witness: a VM and the incarnation of its controller."""

    vm: str
    incarnation: str


class EarlierTerm(pydantic.BaseModel):
    """Term of an upstream's lease: its granting controller and witnesses."""

    controller: str
    incarnation: str
    term: int
    witnesses: list[WitnessBody]


class TermBody(EarlierTerm):
    """Controller that grants an upstream's lease, and the current term.

    `unsettled` are the earlier terms whose grants may not have expired yet;
    the controller that opens the next term has to account for them too.
    `lease` is the number of the latest lease and `holder` the incarnation of
    the upstream that got it. The lease has ended once `released` is true. A
    release and a change of term exclude each other, as both are conditional
    updates of this object.
    """

    lease: int = 0
    holder: str = ''
    released: bool = True
    unsettled: list[EarlierTerm] = []
    write_ids: list[str] = []


class VmState(enum.StrEnum):
    """State of an entry VM.

    A VM is recorded as `LOST` when it answers no heartbeats; if it is alive,
    it announces itself again.
    """

    LIVE = 'live'
    LEAVING = 'leaving'
    LOST = 'lost'


class VmBody(pydantic.BaseModel):
    """Entry VM: its state, and its controller's address and incarnation."""

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
    """Convert a slot map to its stored format."""
    owners = sorted(set(slot_map.owner_by_slot) - {slots.VACANT})
    index_by_owner = {owner: index for index, owner in enumerate(owners)}
    index_by_owner[slots.VACANT] = _VACANT_INDEX
    return AssignmentBody(
        epoch=slot_map.epoch,
        owners=owners,
        owner_index_by_slot=[
            index_by_owner[owner] for owner in slot_map.owner_by_slot
        ],
        epoch_by_slot=list(slot_map.epoch_by_slot),
        move_by_slot={
            slot: MoveBody(
                taker=slot_move.target,
                number=slot_move.number,
                term=slot_move.term,
            )
            for slot, slot_move in slot_map.move_by_slot.items()
        },
        lease_by_id=dict(slot_map.lease_by_id),
        write_ids=write_ids,
    )


def unpack_slot_map(version: int, body: AssignmentBody) -> slots.SlotMap:
    """Convert a slot map from its stored format; `version` is the object's."""
    owner_by_index = dict(enumerate(body.owners))
    owner_by_index[_VACANT_INDEX] = slots.VACANT
    return slots.SlotMap(
        version=version,
        epoch=body.epoch,
        owner_by_slot=tuple(
            owner_by_index[index] for index in body.owner_index_by_slot
        ),
        epoch_by_slot=tuple(body.epoch_by_slot),
        move_by_slot={
            slot: slots.SlotMove(move.taker, move.number, move.term)
            for slot, move in body.move_by_slot.items()
        },
        lease_by_id=body.lease_by_id,
    )
