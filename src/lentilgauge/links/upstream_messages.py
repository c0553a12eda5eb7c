"""Shape the messages between a controller and an upstream."""

import pydantic

from lentilgauge.contracts import lease, lessor


class SlotMessage(pydantic.BaseModel):
    """Carry one granted slot."""

    slot: int
    epoch: int


class GrantMessage(pydantic.BaseModel):
    """Carry a grant; `deadline_ms` is in the upstream's own clock."""

    upstream_id: str
    incarnation: str
    term: int
    sequence: int
    deadline_ms: int
    slots: list[SlotMessage] | None = None


class GrantReplyMessage(pydantic.BaseModel):
    """Carry an upstream's answer to a grant, its clock and its work."""

    incarnation: str
    clock_ms: int
    refusal: lease.GrantRefusal | None = None
    term: int
    sequence: int
    busy_slots: list[int] = []
    queued: int = 0
    running: int = 0


def pack_grant(grant: lease.Grant) -> GrantMessage:
    """Pack a grant for its way."""
    granted = grant.slots
    return GrantMessage(
        upstream_id=grant.upstream_id,
        incarnation=grant.incarnation,
        term=grant.token.term,
        sequence=grant.token.sequence,
        deadline_ms=grant.deadline_ms,
        slots=None
        if granted is None
        else [SlotMessage(slot=one.slot, epoch=one.epoch) for one in granted],
    )


def unpack_grant(message: GrantMessage) -> lease.Grant:
    """Unpack a grant that has arrived."""
    granted = message.slots
    return lease.Grant(
        upstream_id=message.upstream_id,
        incarnation=message.incarnation,
        token=lease.Token(message.term, message.sequence),
        deadline_ms=message.deadline_ms,
        slots=None
        if granted is None
        else tuple(lease.SlotGrant(one.slot, one.epoch) for one in granted),
    )


def unpack_reply(message: GrantReplyMessage) -> lessor.GrantReply:
    """Unpack an upstream's answer."""
    return lessor.GrantReply(
        incarnation=message.incarnation,
        clock_ms=message.clock_ms,
        refusal=message.refusal,
        token=lease.Token(message.term, message.sequence),
        busy_slots=frozenset(message.busy_slots),
    )
