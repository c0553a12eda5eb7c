"""Hold which upstream owns which range of a service's keys.

A table covers the whole key space with ranges that don't overlap. Each range
has one holder; `earlier` names upstreams whose right to the range may not
have ended yet, and until it has, nobody serves the range.
"""

import bisect
import dataclasses
import itertools
from collections.abc import Callable, Iterable

FIRST_KEY = 0
LAST_KEY = 65_535
KEY_COUNT = LAST_KEY + 1


@dataclasses.dataclass(slots=True, kw_only=True)
class KeyRange:
    """Hold one range of keys, both ends included.

    `life` tells the holder's starts apart. `end_ms` is when the holder's
    right has surely ended if it isn't renewed, `earlier` the same of those
    who may still hold the keys, in the granter's clock; both are known to the
    granter alone. `release_fence` is under which they are told to release.
    `serial` is of the last change that callers' requests depend on.
    `missed_ms` is when this VM first had to refuse a request for its keys.
    """

    start: int
    end: int
    holder: str = ''
    life: int = 0
    fence: int = 0
    release_fence: int = 0
    served: bool = False
    end_ms: int = 0
    renew_ms: int = 0
    end_ms_by_earlier: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    handover: str = ''
    serial: int = 0
    missed_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Table:
    """Hold a service's ranges in order of their keys."""

    ranges: list[KeyRange] = dataclasses.field(default_factory=list)
    starts: list[int] = dataclasses.field(default_factory=list)


def make_table(ranges: Iterable[KeyRange]) -> Table:
    """Make a table from ranges in any order."""
    ordered = sorted(ranges, key=lambda one: one.start)
    return Table(ranges=ordered, starts=[one.start for one in ordered])


def covers_all_keys(table: Table) -> bool:
    """Tell whether the ranges cover the key space without overlap."""
    wanted = FIRST_KEY
    for one in table.ranges:
        if one.start != wanted or one.end < one.start:
            return False
        wanted = one.end + 1
    return wanted == KEY_COUNT


def find_range(table: Table, key: int) -> KeyRange | None:
    """Find the range that holds a key."""
    position = bisect.bisect_right(table.starts, key) - 1
    if position < 0:
        return None
    found = table.ranges[position]
    return found if key <= found.end else None


def cut_equally(parts: int) -> list[KeyRange]:
    """Cut the key space into ranges of equal size."""
    edges = [KEY_COUNT * number // parts for number in range(parts + 1)]
    return [
        KeyRange(start=edge, end=following - 1)
        for edge, following in itertools.pairwise(edges)
    ]


def copy_range(one: KeyRange, start: int, end: int) -> KeyRange:
    """Copy a part of a range with all that is known of its holders."""
    return dataclasses.replace(
        one,
        start=start,
        end=end,
        end_ms_by_earlier=dict(one.end_ms_by_earlier),
    )


def split_range(table: Table, start: int, end: int) -> list[KeyRange]:
    """Cut the table at both ends of a span; return the ranges inside."""
    cut: list[KeyRange] = []
    inside: list[KeyRange] = []
    for one in table.ranges:
        low = max(one.start, start)
        high = min(one.end, end)
        if low > high:
            cut.append(one)
            continue
        if one.start < low:
            cut.append(copy_range(one, one.start, low - 1))
        middle = copy_range(one, low, high)
        cut.append(middle)
        inside.append(middle)
        if high < one.end:
            cut.append(copy_range(one, high + 1, one.end))
    _replace_ranges(table, cut)
    return inside


def _replace_ranges(table: Table, ranges: list[KeyRange]) -> None:
    table.ranges = ranges
    table.starts = [one.start for one in ranges]


def _may_join(left: KeyRange, right: KeyRange) -> bool:
    if left.end_ms_by_earlier or right.end_ms_by_earlier:
        return False
    return (
        (left.holder, left.life) == (right.holder, right.life)
        and left.served
        and right.served
    )


def join_ranges(table: Table, allot_fence: Callable[[], int]) -> bool:
    """Join neighbours of one holder under a new fence; tell if any were."""
    joined: list[KeyRange] = []
    for one in table.ranges:
        if joined and _may_join(joined[-1], one):
            last = joined[-1]
            last.end = one.end
            last.end_ms = max(last.end_ms, one.end_ms)
            last.renew_ms = 0
            last.fence = allot_fence()
        else:
            joined.append(one)
    shorter = len(joined) < len(table.ranges)
    _replace_ranges(table, joined)
    return shorter


def hand_over(
    one: KeyRange,
    holder: str,
    life: int,
    allot_fence: Callable[[], int],
) -> None:
    """Give a range to another holder; nobody serves it until it is granted.

    The last holder, if it may still hold the keys, has to release them first
    or its right has to end.
    """
    if one.holder and one.end_ms:
        one.end_ms_by_earlier[one.holder] = max(
            one.end_ms,
            one.end_ms_by_earlier.get(one.holder, 0),
        )
    one.holder = holder
    one.life = life
    one.release_fence = allot_fence()
    one.fence = allot_fence()
    one.served = False
    one.end_ms = 0
    one.renew_ms = 0
    one.handover = ''
    one.missed_ms = 0


def replace_spans(table: Table, taken: Iterable[KeyRange]) -> None:
    """Put ranges, none over another, in the place of what covers their keys.

    All at once: in a large fleet each VM takes hundreds after a new granter.
    """
    placed = make_table(taken)
    kept = [
        piece for one in table.ranges for piece in _list_uncovered(one, placed)
    ]
    replaced = make_table((*kept, *placed.ranges))
    _replace_ranges(table, replaced.ranges)


def _list_uncovered(one: KeyRange, placed: Table) -> list[KeyRange]:
    """List the parts of a range that no placed range covers."""
    first = max(bisect.bisect_right(placed.starts, one.start) - 1, 0)
    last = bisect.bisect_right(placed.starts, one.end)
    covers = [
        cover for cover in placed.ranges[first:last] if cover.end >= one.start
    ]
    if not covers:
        return [one]
    starts = [one.start, *(cover.end + 1 for cover in covers)]
    ends = [*(cover.start - 1 for cover in covers), one.end]
    return [
        copy_range(one, start, end)
        for start, end in zip(starts, ends, strict=True)
        if start <= end
    ]


def list_held(table: Table, holder: str) -> list[KeyRange]:
    """List the ranges of one holder."""
    return [one for one in table.ranges if one.holder == holder]
