"""Recorded ownership of keys: who grants them and who holds them.

One record has both, so the conditional update by which a granter takes over
also fences off every later write of its predecessor.
"""

import dataclasses
from collections.abc import Mapping

import msgspec

from lentilgauge.services import key_ranges

#: Fencing tokens that a stored record reserves for its granter: more than it
#: uses up during a store outage, in which no record can be written.
RESERVED_FENCES = 10_000_000


class RangeRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One key range in a record, encoded as an array to be compact.

    `life` is the holder's incarnation: the start time of its process in Unix
    milliseconds. `fence` is the fencing token of the assignment and
    `release_fence` that of the releases; grants have higher tokens, which
    aren't recorded. `earlier` names previous holders that may still hold the
    keys. `address` is where grants of the assignment are sent, and
    `earlier_addresses` where those to each of the previous holders were.
    Records of earlier versions end before these two.
    """

    start: int
    end: int
    holder: str
    life: int
    release_fence: int
    fence: int
    served: bool
    earlier: tuple[str, ...] = ()
    address: str = ''
    earlier_addresses: tuple[str, ...] = ()


class Granter(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of a process that grants keys.

    `vms` is set for an earlier granter that may not have stopped yet: the VMs
    of its record. It may go on while most of them follow it, whichever VMs
    later records name.
    """

    vm: str = ''
    address: str = ''
    failure_domain: str = ''
    incarnation: str = ''
    vms: tuple[str, ...] = ()


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Snapshot of the whole ownership, for the store and between VMs.

    `term` increases with each granter, `serial` with each change within a
    term. `next_fence` is the first fencing token that the next granter may
    allocate, unless `fence_floor` is above it. `vms` names, in order, the VMs
    that share the capacity of the upstreams. `slowness_by_id` is the measured
    slowness of each upstream, where 1 is normal. `unsettled` has the earlier
    granters that may not have stopped yet. `era` is the store's era in which
    the record was written. Records of earlier versions end before it.
    """

    term: int = 0
    serial: int = 0
    next_fence: int = 1
    granter: Granter = Granter()
    vms: tuple[str, ...] = ()
    slowness_by_id: dict[str, float] = {}
    unsettled: tuple[Granter, ...] = ()
    rows_by_service: dict[str, tuple[RangeRow, ...]] = {}
    era: int = 0
    fence_floor: int = 0


class DeltaRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Routing fields of one key range, encoded as an array to be compact."""

    start: int
    end: int
    holder: str
    served: bool


class OwnershipDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Delta since a serial of the same term, or a snapshot if `whole`.

    A row replaces whatever covered its keys before. The VMs are unchanged if
    `vms` is `None`. `next_fence` is above all fencing tokens that the granter
    has reserved; 0 from earlier versions.
    """

    term: int
    serial: int
    granter: Granter
    whole: bool
    vms: tuple[str, ...] | None = None
    rows_by_service: dict[str, list[DeltaRow]] = {}
    next_fence: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Ownership:
    """Recorded ownership in memory, with the state to compute deltas.

    `vms_serial` is the serial of the last change of `vms`, and
    `published_rows_by_service` has the rows of the latest serial by their
    start.
    """

    term: int = 0
    serial: int = 0
    next_fence: int = 1
    granter: Granter = dataclasses.field(default_factory=Granter)
    vms: tuple[str, ...] = ()
    vms_serial: int = 0
    slowness_by_id: dict[str, float] = dataclasses.field(default_factory=dict)
    unsettled: tuple[Granter, ...] = ()
    era: int = 0
    fence_floor: int = 0
    table_by_service: dict[str, key_ranges.RangeTable] = dataclasses.field(
        default_factory=dict,
    )
    published_rows_by_service: dict[str, dict[int, DeltaRow]] = (
        dataclasses.field(
            default_factory=dict,
        )
    )


def allocate_fence(ownership: Ownership) -> int:
    """Allocate the next fencing token, of an assignment or a release.

    It may be sent once a record that covers it is stored.
    """
    ownership.next_fence += 1
    return ownership.next_fence - 1


def make_record(ownership: Ownership) -> Record:
    """Convert ownership to a record for the store or another VM."""
    return Record(
        term=ownership.term,
        serial=ownership.serial,
        next_fence=ownership.next_fence,
        granter=ownership.granter,
        vms=ownership.vms,
        slowness_by_id=dict(ownership.slowness_by_id),
        unsettled=ownership.unsettled,
        era=ownership.era,
        fence_floor=ownership.fence_floor,
        rows_by_service={
            service: tuple(
                _pack_range(key_range) for key_range in range_table.ranges
            )
            for service, range_table in ownership.table_by_service.items()
        },
    )


def reserve_fences(record: Record) -> Record:
    """Reserve fencing tokens for orders sent after the record was made."""
    return msgspec.structs.replace(
        record, next_fence=record.next_fence + RESERVED_FENCES
    )


def _pack_range(key_range: key_ranges.KeyRange) -> RangeRow:
    previous_holders = tuple(key_range.hold_end_ms_by_previous_holder)
    return RangeRow(
        start=key_range.start,
        end=key_range.end,
        holder=key_range.holder,
        life=key_range.incarnation,
        release_fence=key_range.release_fence,
        fence=key_range.fence,
        served=key_range.served,
        earlier=tuple(previous.upstream_id for previous in previous_holders),
        address=key_range.address,
        earlier_addresses=tuple(
            previous.address for previous in previous_holders
        ),
    )


def make_ownership(record: Record) -> Ownership:
    """Convert a record from the store or another VM to ownership."""
    return Ownership(
        term=record.term,
        serial=record.serial,
        next_fence=record.next_fence,
        granter=record.granter,
        vms=record.vms,
        vms_serial=record.serial,
        slowness_by_id=dict(record.slowness_by_id),
        unsettled=record.unsettled,
        era=record.era,
        fence_floor=record.fence_floor,
        table_by_service=unpack_tables(
            record.rows_by_service,
            record.serial,
        ),
    )


def unpack_tables(
    rows_by_service: Mapping[str, tuple[RangeRow, ...]],
    serial: int,
) -> dict[str, key_ranges.RangeTable]:
    """Convert the rows of every service to tables of ranges."""
    return {
        service: key_ranges.make_table(
            _unpack_range(row, serial) for row in rows
        )
        for service, rows in rows_by_service.items()
    }


def _unpack_range(row: RangeRow, serial: int) -> key_ranges.KeyRange:
    earlier_addresses = row.earlier_addresses
    if len(earlier_addresses) != len(row.earlier):
        # The row was written by an earlier version.
        earlier_addresses = ('',) * len(row.earlier)
    previous_holders = [
        key_ranges.Grantee(upstream_id=upstream_id, address=address)
        for upstream_id, address in zip(
            row.earlier, earlier_addresses, strict=True
        )
    ]
    return key_ranges.KeyRange(
        start=row.start,
        end=row.end,
        holder=row.holder,
        address=row.address,
        incarnation=row.life,
        release_fence=row.release_fence,
        fence=row.fence,
        served=row.served,
        hold_end_ms_by_previous_holder=dict.fromkeys(previous_holders, 0),
        serial=serial,
    )


def parse_record(body: object) -> Record | None:
    """Parse a record from the store; return `None` if it is invalid."""
    try:
        return msgspec.convert(body, Record)
    except msgspec.ValidationError:
        return None


def is_newer(ownership: Ownership, term: int, serial: int) -> bool:
    """Return whether a term and serial are newer than the ownership."""
    return (term, serial) > (ownership.term, ownership.serial)


def advance_serial(ownership: Ownership) -> None:
    """Advance the serial and set it on the ranges that changed."""
    ownership.serial += 1
    for service, range_table in ownership.table_by_service.items():
        published = ownership.published_rows_by_service.get(service, {})
        rows = {
            key_range.start: _make_delta_row(key_range)
            for key_range in range_table.ranges
        }
        for key_range in range_table.ranges:
            if published.get(key_range.start) != rows[key_range.start]:
                key_range.serial = ownership.serial
        ownership.published_rows_by_service[service] = rows


def _make_delta_row(key_range: key_ranges.KeyRange) -> DeltaRow:
    return DeltaRow(
        start=key_range.start,
        end=key_range.end,
        holder=key_range.holder,
        served=key_range.served,
    )


def make_delta(ownership: Ownership, term: int, serial: int) -> OwnershipDelta:
    """Make the delta since a term's serial, or a snapshot for another term."""
    whole = term != ownership.term
    vms_changed = whole or ownership.vms_serial > serial
    return OwnershipDelta(
        term=ownership.term,
        serial=ownership.serial,
        granter=ownership.granter,
        whole=whole,
        vms=ownership.vms if vms_changed else None,
        rows_by_service={
            service: [
                _make_delta_row(key_range)
                for key_range in range_table.ranges
                if whole or key_range.serial > serial
            ]
            for service, range_table in ownership.table_by_service.items()
        },
        next_fence=max(
            ownership.next_fence + RESERVED_FENCES, ownership.fence_floor
        ),
    )


def apply_delta(
    ownership: Ownership, ownership_delta: OwnershipDelta
) -> Ownership | None:
    """Return the updated ownership, or `None` if the delta doesn't apply.

    A delta must be newer, and of the same term unless it is a snapshot. The
    given ownership is left as it was, but shares unchanged ranges.
    """
    if not is_newer(ownership, ownership_delta.term, ownership_delta.serial):
        return None
    if not ownership_delta.whole and ownership_delta.term != ownership.term:
        return None
    tables = {} if ownership_delta.whole else dict(ownership.table_by_service)
    for service, rows in ownership_delta.rows_by_service.items():
        range_table = dataclasses.replace(
            tables.get(service, key_ranges.RangeTable())
        )
        tables[service] = range_table
        key_ranges.insert_ranges(
            range_table,
            [_unpack_delta_row(row, ownership_delta.serial) for row in rows],
        )
    return Ownership(
        term=ownership_delta.term,
        serial=ownership_delta.serial,
        next_fence=max(ownership_delta.next_fence, 1),
        granter=ownership_delta.granter,
        vms=ownership.vms
        if ownership_delta.vms is None
        else ownership_delta.vms,
        vms_serial=ownership.vms_serial
        if ownership_delta.vms is None
        else ownership_delta.serial,
        table_by_service=tables,
    )


def _unpack_delta_row(row: DeltaRow, serial: int) -> key_ranges.KeyRange:
    return key_ranges.KeyRange(
        start=row.start,
        end=row.end,
        holder=row.holder,
        served=row.served,
        serial=serial,
    )
