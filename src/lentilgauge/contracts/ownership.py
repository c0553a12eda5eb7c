"""Recorded ownership of keys: who grants them and who holds them.

One record has both, so the conditional update by which a granter takes over
also fences off every later write of its predecessor.
"""

import dataclasses
from collections.abc import Mapping

import msgspec

from lentilgauge.services import key_ranges


class RangeMessage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One key range in a record, encoded as an array to be compact.

    `life` is the start time of the holder's process in Unix milliseconds.
    `release_fence` and `fence` are the fencing tokens of the release and the
    grant orders. `earlier` names previous holders that may still hold the
    keys.
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
    """Identity of the process that grants keys."""

    vm: str = ''
    address: str = ''
    failure_domain: str = ''
    incarnation: str = ''


class Record(msgspec.Struct, frozen=True, kw_only=True):
    """Snapshot of the whole ownership, for the store and between VMs.

    `term` increases with each granter, `serial` with each change within a
    term. `vms` names, in order, the VMs that share the capacity of the
    upstreams. `slowness_by_id` is the measured slowness of each upstream,
    where 1 is normal. `unsettled` names earlier granters that may not
    have stopped yet.
    """

    term: int = 0
    serial: int = 0
    next_fence: int = 1
    granter: Granter = Granter()
    vms: tuple[str, ...] = ()
    slowness_by_id: dict[str, float] = {}
    unsettled: tuple[Granter, ...] = ()
    rows_by_service: dict[str, tuple[RangeMessage, ...]] = {}


class NewsRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Routing fields of one key range, encoded as an array to be compact."""

    start: int
    end: int
    holder: str
    served: bool


class News(msgspec.Struct, frozen=True, kw_only=True):
    """Delta since a serial of the same term, or a snapshot if `whole`.

    A row replaces whatever covered its keys before. The VMs are unchanged if
    `vms` is `None`.
    """

    term: int
    serial: int
    granter: Granter
    whole: bool
    vms: tuple[str, ...] | None = None
    rows_by_service: dict[str, list[NewsRow]] = {}


@dataclasses.dataclass(slots=True, kw_only=True)
class Ownership:
    """Recorded ownership in memory, with the state to compute deltas.

    `vms_serial` is the serial of the last change of `vms`, and
    `published_by_service` has the rows of the latest serial by their start.
    """

    term: int = 0
    serial: int = 0
    next_fence: int = 1
    granter: Granter = dataclasses.field(default_factory=Granter)
    vms: tuple[str, ...] = ()
    vms_serial: int = 0
    slowness_by_id: dict[str, float] = dataclasses.field(default_factory=dict)
    unsettled: tuple[Granter, ...] = ()
    table_by_service: dict[str, key_ranges.Table] = dataclasses.field(
        default_factory=dict,
    )
    published_by_service: dict[str, dict[int, NewsRow]] = dataclasses.field(
        default_factory=dict,
    )


def allot_fence(ownership: Ownership) -> int:
    """Allocate the next fencing token."""
    ownership.next_fence += 1
    return ownership.next_fence - 1


def pack_ownership(ownership: Ownership) -> Record:
    """Convert ownership to a record for the store or another VM."""
    return Record(
        term=ownership.term,
        serial=ownership.serial,
        next_fence=ownership.next_fence,
        granter=ownership.granter,
        vms=ownership.vms,
        slowness_by_id=dict(ownership.slowness_by_id),
        unsettled=ownership.unsettled,
        rows_by_service={
            service: tuple(_pack_range(key_range) for key_range in table.ranges)
            for service, table in ownership.table_by_service.items()
        },
    )


def _pack_range(key_range: key_ranges.KeyRange) -> RangeMessage:
    return RangeMessage(
        start=key_range.start,
        end=key_range.end,
        holder=key_range.holder,
        life=key_range.life,
        release_fence=key_range.release_fence,
        fence=key_range.fence,
        served=key_range.served,
        earlier=tuple(key_range.end_ms_by_earlier),
    )


def unpack_record(record: Record) -> Ownership:
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
        table_by_service=unpack_tables(
            record.rows_by_service,
            record.serial,
        ),
    )


def unpack_tables(
    rows_by_service: Mapping[str, tuple[RangeMessage, ...]],
    serial: int,
) -> dict[str, key_ranges.Table]:
    """Convert the rows of every service to tables of ranges."""
    return {
        service: key_ranges.make_table(
            _unpack_range(row, serial) for row in rows
        )
        for service, rows in rows_by_service.items()
    }


def _unpack_range(row: RangeMessage, serial: int) -> key_ranges.KeyRange:
    return key_ranges.KeyRange(
        start=row.start,
        end=row.end,
        holder=row.holder,
        life=row.life,
        release_fence=row.release_fence,
        fence=row.fence,
        served=row.served,
        end_ms_by_earlier=dict.fromkeys(row.earlier, 0),
        serial=serial,
    )


def read_record(body: object) -> Record | None:
    """Parse a record from the store; return `None` if it is invalid."""
    try:
        return msgspec.convert(body, Record)
    except msgspec.ValidationError:
        return None


def is_newer(ownership: Ownership, term: int, serial: int) -> bool:
    """Return whether a term and serial are newer than the ownership."""
    return (term, serial) > (ownership.term, ownership.serial)


def mark_changes(ownership: Ownership) -> None:
    """Advance the serial and set it on the ranges that changed."""
    ownership.serial += 1
    for service, table in ownership.table_by_service.items():
        published = ownership.published_by_service.get(service, {})
        rows = {
            key_range.start: _make_row(key_range) for key_range in table.ranges
        }
        for key_range in table.ranges:
            if published.get(key_range.start) != rows[key_range.start]:
                key_range.serial = ownership.serial
        ownership.published_by_service[service] = rows


def _make_row(key_range: key_ranges.KeyRange) -> NewsRow:
    return NewsRow(
        start=key_range.start,
        end=key_range.end,
        holder=key_range.holder,
        served=key_range.served,
    )


def pack_news(ownership: Ownership, term: int, serial: int) -> News:
    """Make the delta since a term's serial, or a snapshot for another term."""
    whole = term != ownership.term
    vms_changed = whole or ownership.vms_serial > serial
    return News(
        term=ownership.term,
        serial=ownership.serial,
        granter=ownership.granter,
        whole=whole,
        vms=ownership.vms if vms_changed else None,
        rows_by_service={
            service: [
                _make_row(key_range)
                for key_range in table.ranges
                if whole or key_range.serial > serial
            ]
            for service, table in ownership.table_by_service.items()
        },
    )


def take_news(ownership: Ownership, news: News) -> Ownership | None:
    """Return the updated ownership, or `None` if the delta doesn't apply.

    A delta must be newer, and of the same term unless it is a snapshot.
    """
    if not is_newer(ownership, news.term, news.serial):
        return None
    if not news.whole and news.term != ownership.term:
        return None
    tables = {} if news.whole else ownership.table_by_service
    for service, rows in news.rows_by_service.items():
        table = tables.setdefault(service, key_ranges.Table())
        key_ranges.replace_spans(
            table,
            [_unpack_row(row, news.serial) for row in rows],
        )
    return Ownership(
        term=news.term,
        serial=news.serial,
        granter=news.granter,
        vms=ownership.vms if news.vms is None else news.vms,
        vms_serial=ownership.vms_serial if news.vms is None else news.serial,
        table_by_service=tables,
    )


def _unpack_row(row: NewsRow, serial: int) -> key_ranges.KeyRange:
    return key_ranges.KeyRange(
        start=row.start,
        end=row.end,
        holder=row.holder,
        served=row.served,
        serial=serial,
    )
