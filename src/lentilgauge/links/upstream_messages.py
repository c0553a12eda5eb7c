"""Messages between a controller and an upstream."""

import pydantic

from lentilgauge.contracts import lease, lessor


class SlotMessage(pydantic.BaseModel):
    """One granted slot."""

    slot: int
    epoch: int


class GrantMessage(pydantic.BaseModel):
    """Grant or renewal of a lease, a `lease.Grant`.

    `deadline_ms` is on the upstream's clock, and `slots` is `None` in a
    renewal.
    """

    upstream_id: str
    incarnation: str
    term: int
    sequence: int
    deadline_ms: int
    slots: list[SlotMessage] | None = None


class GrantReplyMessage(pydantic.BaseModel):
    """Upstream's answer to a grant, with its clock and its load.

    `refusal` is `None` if the grant was accepted. `busy_slots` are the slots
    with requests queued or in execution, and `queued` and `running` count those
    requests.
    """

    incarnation: str
    clock_ms: int
    refusal: lease.GrantRefusal | None = None
    term: int
    sequence: int
    busy_slots: list[int] = []
    queued: int = 0
    running: int = 0


def pack_grant(grant: lease.Grant) -> GrantMessage:
    """Convert a grant to a message."""
    granted_slots = grant.slots
    return GrantMessage(
        upstream_id=grant.upstream_id,
        incarnation=grant.incarnation,
        term=grant.token.term,
        sequence=grant.token.sequence,
        deadline_ms=grant.deadline_ms,
        slots=None
        if granted_slots is None
        else [
            SlotMessage(slot=slot_grant.slot, epoch=slot_grant.epoch)
            for slot_grant in granted_slots
        ],
    )


def unpack_grant(message: GrantMessage) -> lease.Grant:
    """Convert a message to a grant."""
    granted_slots = message.slots
    return lease.Grant(
        upstream_id=message.upstream_id,
        incarnation=message.incarnation,
        token=lease.Token(message.term, message.sequence),
        deadline_ms=message.deadline_ms,
        slots=None
        if granted_slots is None
        else tuple(
            lease.SlotGrant(slot_message.slot, slot_message.epoch)
            for slot_message in granted_slots
        ),
    )


def unpack_reply(message: GrantReplyMessage) -> lessor.GrantReply:
    """Convert a message to the reply to a grant."""
    return lessor.GrantReply(
        incarnation=message.incarnation,
        clock_ms=message.clock_ms,
        refusal=message.refusal,
        token=lease.Token(message.term, message.sequence),
        busy_slots=frozenset(message.busy_slots),
    )
