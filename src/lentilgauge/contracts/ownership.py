"""Hold who grants keys and to whom they are granted, as it is recorded.

One record holds both, so whoever takes over as granter fences off every
write of the one before by the same conditional update.
"""

import dataclasses
from collections.abc import Mapping

import msgspec

from lentilgauge.services import key_ranges

#: A range as recorded: start, end, holder, life, release fence, fence,
#: whether it is served, and who may still hold it from earlier.
RangeRow = tuple[int, int, str, int, int, int, bool, tuple[str, ...]]


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
    rows_by_service: dict[str, tuple[RangeRow, ...]] = {}


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


def _pack_range(one: key_ranges.KeyRange) -> RangeRow:
    return (
        one.start,
        one.end,
        one.holder,
        one.life,
        one.release_fence,
        one.fence,
        one.served,
        tuple(one.end_ms_by_earlier),
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
    rows_by_service: Mapping[str, tuple[RangeRow, ...]],
) -> dict[str, key_ranges.Table]:
    """Unpack every service's ranges."""
    return {
        service: key_ranges.make_table(_unpack_range(row) for row in rows)
        for service, rows in rows_by_service.items()
    }


def _unpack_range(row: RangeRow) -> key_ranges.KeyRange:
    start, end, holder, life, release_fence, fence, served, earlier = row
    return key_ranges.KeyRange(
        start=start,
        end=end,
        holder=holder,
        life=life,
        release_fence=release_fence,
        fence=fence,
        served=served,
        end_ms_by_earlier=dict.fromkeys(earlier, 0),
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
