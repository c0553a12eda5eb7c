"""Hold who grants keys and to whom they are granted, as it is recorded.

One record holds both, so whoever takes over as granter fences off every
write of the one before by the same conditional update.
"""

import dataclasses
from collections.abc import Mapping

import msgspec

from lentilgauge.services import key_ranges


class RangeMessage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry one range, as a row to be short.

    `earlier` names who may still hold the keys.
    """

    start: int
    end: int
    holder: str
    life: int
    release_fence: int
    fence: int
    served: bool
    earlier: tuple[str, ...] = ()


class Granter(msgspec.Struct, frozen=True, kw_only=True):
    """Name the process that grants keys."""

    vm: str = ''
    address: str = ''
    failure_domain: str = ''
    incarnation: str = ''


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the whole of ownership: in the store, and between VMs.

    `term` grows with each granter, `serial` with each change inside a term.
    """

    term: int = 0
    serial: int = 0
    next_fence: int = 1
    granter: Granter = Granter()
    rows_by_service: dict[str, tuple[RangeMessage, ...]] = {}


@dataclasses.dataclass(slots=True, kw_only=True)
class Ownership:
    """Hold the recorded ownership, unpacked."""

    term: int = 0
    serial: int = 0
    next_fence: int = 1
    granter: Granter = dataclasses.field(default_factory=Granter)
    table_by_service: dict[str, key_ranges.Table] = dataclasses.field(
        default_factory=dict,
    )


def allot_fence(ownership: Ownership) -> int:
    """Allot the next fencing token."""
    ownership.next_fence += 1
    return ownership.next_fence - 1


def pack_ownership(ownership: Ownership) -> Record:
    """Pack ownership for its way."""
    return Record(
        term=ownership.term,
        serial=ownership.serial,
        next_fence=ownership.next_fence,
        granter=ownership.granter,
        rows_by_service={
            service: tuple(_pack_range(one) for one in table.ranges)
            for service, table in ownership.table_by_service.items()
        },
    )


def _pack_range(one: key_ranges.KeyRange) -> RangeMessage:
    return RangeMessage(
        start=one.start,
        end=one.end,
        holder=one.holder,
        life=one.life,
        release_fence=one.release_fence,
        fence=one.fence,
        served=one.served,
        earlier=tuple(one.end_ms_by_earlier),
    )


def unpack_record(record: Record) -> Ownership:
    """Unpack ownership that has arrived."""
    return Ownership(
        term=record.term,
        serial=record.serial,
        next_fence=record.next_fence,
        granter=record.granter,
        table_by_service=unpack_tables(record.rows_by_service),
    )


def unpack_tables(
    rows_by_service: Mapping[str, tuple[RangeMessage, ...]],
) -> dict[str, key_ranges.Table]:
    """Unpack every service's ranges."""
    return {
        service: key_ranges.make_table(_unpack_range(row) for row in rows)
        for service, rows in rows_by_service.items()
    }


def _unpack_range(row: RangeMessage) -> key_ranges.KeyRange:
    return key_ranges.KeyRange(
        start=row.start,
        end=row.end,
        holder=row.holder,
        life=row.life,
        release_fence=row.release_fence,
        fence=row.fence,
        served=row.served,
        end_ms_by_earlier=dict.fromkeys(row.earlier, 0),
    )


def read_record(body: object) -> Record | None:
    """Validate a record from the store; `None` if it is unreadable."""
    try:
        return msgspec.convert(body, Record)
    except msgspec.ValidationError:
        return None


def is_newer(one: Ownership, term: int, serial: int) -> bool:
    """Tell whether a term and serial come after what is known."""
    return (term, serial) > (one.term, one.serial)
