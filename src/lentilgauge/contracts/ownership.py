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
    `vms` names the VMs that share what upstreams can bear, in order.
    `slowness_by_id` is how slow each upstream was measured to be. `unsettled`
    names earlier granters that may not have stopped.
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
    """Carry what requests depend on of one range, as a row to be short."""

    start: int
    end: int
    holder: str
    served: bool


class News(msgspec.Struct, frozen=True, kw_only=True):
    """Carry what has changed since a serial of the same term, or all.

    A row takes the place of whatever covered its keys before; without `vms`
    the VMs are those of before.
    """

    term: int
    serial: int
    granter: Granter
    whole: bool
    vms: tuple[str, ...] | None = None
    rows_by_service: dict[str, list[NewsRow]] = {}


@dataclasses.dataclass(slots=True, kw_only=True)
class Ownership:
    """Hold the recorded ownership, unpacked."""

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
        vms=ownership.vms,
        slowness_by_id=dict(ownership.slowness_by_id),
        unsettled=ownership.unsettled,
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
    """Unpack every service's ranges."""
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
    """Validate a record from the store; `None` if it is unreadable."""
    try:
        return msgspec.convert(body, Record)
    except msgspec.ValidationError:
        return None


def is_newer(one: Ownership, term: int, serial: int) -> bool:
    """Tell whether a term and serial come after what is known."""
    return (term, serial) > (one.term, one.serial)


def mark_changes(ownership: Ownership) -> None:
    """Take the next serial, and mark the ranges that changed with it."""
    ownership.serial += 1
    for service, table in ownership.table_by_service.items():
        published = ownership.published_by_service.get(service, {})
        rows = {one.start: _make_row(one) for one in table.ranges}
        for one in table.ranges:
            if published.get(one.start) != rows[one.start]:
                one.serial = ownership.serial
        ownership.published_by_service[service] = rows


def _make_row(one: key_ranges.KeyRange) -> NewsRow:
    return NewsRow(
        start=one.start,
        end=one.end,
        holder=one.holder,
        served=one.served,
    )


def pack_news(ownership: Ownership, term: int, serial: int) -> News:
    """Pack what has changed since a term's serial."""
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
                _make_row(one)
                for one in table.ranges
                if whole or one.serial > serial
            ]
            for service, table in ownership.table_by_service.items()
        },
    )


def take_news(ownership: Ownership, news: News) -> Ownership | None:
    """Return ownership with news taken; `None` if they don't follow on it."""
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
