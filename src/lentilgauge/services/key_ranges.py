"""Tables that map ranges of a service's keys to the upstreams that own them.

A table covers the whole key space with ranges that don't overlap. Each range
has one holder: the upstream to which it is assigned, and which serves it once
it has been granted. `hold_end_ms_by_previous_holder` lists previous holders
whose right to the range may not have ended yet; until every such right has
ended, no upstream serves the range. A previous holder is whichever process
accepted the grants at the address to which they were sent.
"""

import bisect
import dataclasses
import itertools
from collections.abc import Callable, Iterable

FIRST_KEY = 0
LAST_KEY = 65_535
KEY_COUNT = LAST_KEY + 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grantee:
    """Where grants of a range are sent: an upstream's id and an address.

    `address` is empty if it isn't known, as records of earlier versions don't
    have it.
    """

    upstream_id: str
    address: str = ''


@dataclasses.dataclass(slots=True, kw_only=True)
class KeyRange:
    """One range of keys, both ends included, with its holder.

    `incarnation` is the start time of the holder's process, which tells its
    incarnations apart. `address` is the only address to which grants of the
    assignment are sent, or empty if it isn't known. `served` is whether the
    holder has been granted the range and so may get requests for it.
    `hold_end_ms` is when the holder's right ends unless it is renewed, or 0 if
    the holder has no grant. `hold_end_ms_by_previous_holder` has that time for
    each previous holder that may still hold the keys. Both are on the granter's
    clock and known to the granter only, as is `renewal_due_ms`, when the next
    grant is due.

    `fence` is the fencing token of the assignment to the holder,
    `release_fence` that of the releases sent to previous holders. Each grant
    has a token of its own, above both; `granted_fence` is that of the last one
    sent. `handover` is what a release returned, to be passed on to the next
    holder. `serial` is the serial that the ownership had at the last change of
    this range that affects routing. `first_refused_ms` is when this VM first
    refused a request for these keys because no upstream served them, or 0.
    """

    start: int
    end: int
    holder: str = ''
    address: str = ''
    incarnation: int = 0
    fence: int = 0
    release_fence: int = 0
    granted_fence: int = 0
    served: bool = False
    hold_end_ms: int = 0
    renewal_due_ms: int = 0
    hold_end_ms_by_previous_holder: dict[Grantee, int] = dataclasses.field(
        default_factory=dict,
    )
    handover: str = ''
    serial: int = 0
    first_refused_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class RangeTable:
    """Ranges of a service sorted by key, with their starts for bisection."""

    ranges: list[KeyRange] = dataclasses.field(default_factory=list)
    starts: list[int] = dataclasses.field(default_factory=list)


def make_table(ranges: Iterable[KeyRange]) -> RangeTable:
    """Build a table from ranges in any order."""
    ordered = sorted(ranges, key=lambda key_range: key_range.start)
    return RangeTable(
        ranges=ordered, starts=[key_range.start for key_range in ordered]
    )


def covers_all_keys(range_table: RangeTable) -> bool:
    """Return whether the ranges cover the key space without gap or overlap."""
    expected_start = FIRST_KEY
    for key_range in range_table.ranges:
        if key_range.start != expected_start or key_range.end < key_range.start:
            return False
        expected_start = key_range.end + 1
    return expected_start == KEY_COUNT


def find_range(range_table: RangeTable, key: int) -> KeyRange | None:
    """Return the range that contains a key, or `None`."""
    position = bisect.bisect_right(range_table.starts, key) - 1
    if position < 0:
        return None
    candidate = range_table.ranges[position]
    return candidate if key <= candidate.end else None


def split_key_space(parts: int) -> list[KeyRange]:
    """Split the key space into ranges whose sizes differ by one at most."""
    edges = [KEY_COUNT * number // parts for number in range(parts + 1)]
    return [
        KeyRange(start=edge, end=following - 1)
        for edge, following in itertools.pairwise(edges)
    ]


def copy_range(key_range: KeyRange, start: int, end: int) -> KeyRange:
    """Copy a part of a range, with the whole state of the range."""
    return dataclasses.replace(
        key_range,
        start=start,
        end=end,
        hold_end_ms_by_previous_holder=dict(
            key_range.hold_end_ms_by_previous_holder
        ),
    )


def split_at_span(
    range_table: RangeTable, start: int, end: int
) -> list[KeyRange]:
    """Split the table's ranges at both ends of a span.

    Return the ranges inside the span. They are new objects in the table.
    """
    pieces: list[KeyRange] = []
    inside: list[KeyRange] = []
    for key_range in range_table.ranges:
        low = max(key_range.start, start)
        high = min(key_range.end, end)
        if low > high:
            pieces.append(key_range)
            continue
        if key_range.start < low:
            pieces.append(copy_range(key_range, key_range.start, low - 1))
        middle = copy_range(key_range, low, high)
        pieces.append(middle)
        inside.append(middle)
        if high < key_range.end:
            pieces.append(copy_range(key_range, high + 1, key_range.end))
    _replace_ranges(range_table, pieces)
    return inside


def _replace_ranges(range_table: RangeTable, ranges: list[KeyRange]) -> None:
    range_table.ranges = ranges
    range_table.starts = [key_range.start for key_range in ranges]


def _can_merge(left: KeyRange, right: KeyRange) -> bool:
    """Check whether one process serves both and no previous holder is left."""
    if (
        left.hold_end_ms_by_previous_holder
        or right.hold_end_ms_by_previous_holder
    ):
        return False
    return (
        (left.holder, left.incarnation) == (right.holder, right.incarnation)
        and left.address == right.address
        and left.served
        and right.served
    )


def merge_ranges(
    range_table: RangeTable, allocate_fence: Callable[[], int]
) -> bool:
    """Merge adjacent ranges of one holder; return whether any were merged.

    A merged range gets a new fencing token and its renewal is due at once.
    """
    merged: list[KeyRange] = []
    for key_range in range_table.ranges:
        if merged and _can_merge(merged[-1], key_range):
            last_range = merged[-1]
            last_range.end = key_range.end
            last_range.hold_end_ms = max(
                last_range.hold_end_ms, key_range.hold_end_ms
            )
            last_range.renewal_due_ms = 0
            last_range.fence = allocate_fence()
        else:
            merged.append(key_range)
    any_merged = len(merged) < len(range_table.ranges)
    _replace_ranges(range_table, merged)
    return any_merged


def reassign_range(
    key_range: KeyRange,
    grantee: Grantee,
    incarnation: int,
    allocate_fence: Callable[[], int],
) -> None:
    """Assign a range to another holder, leaving it unserved until granted.

    It can be granted only once each previous holder that may still hold the
    keys has released them, or its right has ended.
    """
    if key_range.holder and key_range.hold_end_ms:
        previous = Grantee(
            upstream_id=key_range.holder, address=key_range.address
        )
        key_range.hold_end_ms_by_previous_holder[previous] = max(
            key_range.hold_end_ms,
            key_range.hold_end_ms_by_previous_holder.get(previous, 0),
        )
    key_range.holder = grantee.upstream_id
    key_range.address = grantee.address
    key_range.incarnation = incarnation
    key_range.release_fence = allocate_fence()
    key_range.fence = allocate_fence()
    key_range.served = False
    key_range.hold_end_ms = 0
    key_range.renewal_due_ms = 0
    key_range.handover = ''
    key_range.first_refused_ms = 0


def may_be_held_by(key_range: KeyRange, upstream_id: str) -> bool:
    """Return whether an upstream is the holder or a previous holder."""
    return upstream_id == key_range.holder or any(
        upstream_id == previous.upstream_id
        for previous in key_range.hold_end_ms_by_previous_holder
    )


def insert_ranges(
    range_table: RangeTable, inserted_ranges: Iterable[KeyRange]
) -> None:
    """Put new ranges in the place of whatever covered their keys.

    The new ranges must not overlap each other. All are inserted in one pass,
    since in a large fleet each VM receives hundreds of them after a change of
    granter.
    """
    inserted = make_table(inserted_ranges)
    remaining = [
        remainder
        for key_range in range_table.ranges
        for remainder in _list_uncovered(key_range, inserted)
    ]
    updated = make_table((*remaining, *inserted.ranges))
    _replace_ranges(range_table, updated.ranges)


def _list_uncovered(
    key_range: KeyRange, inserted: RangeTable
) -> list[KeyRange]:
    """List the parts of a range that no inserted range covers."""
    first_position = max(
        bisect.bisect_right(inserted.starts, key_range.start) - 1, 0
    )
    end_position = bisect.bisect_right(inserted.starts, key_range.end)
    covers = [
        cover
        for cover in inserted.ranges[first_position:end_position]
        if cover.end >= key_range.start
    ]
    if not covers:
        return [key_range]
    starts = [key_range.start, *(cover.end + 1 for cover in covers)]
    ends = [*(cover.start - 1 for cover in covers), key_range.end]
    return [
        copy_range(key_range, start, end)
        for start, end in zip(starts, ends, strict=True)
        if start <= end
    ]


def list_ranges_of_holder(
    range_table: RangeTable, holder: str
) -> list[KeyRange]:
    """List the ranges assigned to one holder."""
    return [
        key_range
        for key_range in range_table.ranges
        if key_range.holder == holder
    ]
