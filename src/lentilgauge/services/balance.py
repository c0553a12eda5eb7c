"""Plan moves of key ranges so that no upstream is far busier than others.

Key load is skewed and shifts over time: hot keys lie close together, and
which keys are hot changes. A move leaves its keys unserved for a moment, so
only a few small ranges move, from the most to the least loaded upstream, and
only if the difference is greater than random variation explains.
"""

import bisect
import dataclasses
import itertools
import math
from collections.abc import Mapping, Sequence

from lentilgauge.services import key_ranges

#: Share by which an upstream's load may exceed the mean before keys move.
TOLERATED_EXCESS_SHARE = 0.15
#: Request counts are random: an excess of up to this many standard deviations
#: is attributed to chance.
CHANCE_DEVIATIONS = 1.8
#: Factor on the cost of a move that joins a range of its target, as it adds no
#: further range.
_JOINING_COST_FACTOR = 0.8
#: Maximum number of moves in one plan, as moved keys are briefly unserved.
MAX_MOVES = 10
#: Average number of ranges per upstream from which on only whole ranges move,
#: as every range is renewed by its own call.
MAX_RANGES_PER_UPSTREAM = 6
#: Share of the total load that is added evenly over all keys, so that keys
#: without any request yet have some weight.
_EVEN_SHARE = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyMove:
    """Planned move of a span of keys, ends included, between upstreams."""

    start: int
    end: int
    source: str
    target: str


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadIndex:
    """Prefix sums to look up the load of any span of keys.

    `keys` are sorted; `sums` has the load of all keys before each of them, and
    the total at its end. `even_load` is the load added to every key.
    """

    keys: list[int]
    sums: list[float]
    even_load: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeySpan:
    """Part of a holder's range, ends included, with its load."""

    start: int
    end: int
    load: float


def make_load_index(
    key_weights: Sequence[tuple[int, float]],
    prior: float,
) -> LoadIndex:
    """Build prefix sums over sorted keys; at least `prior` is spread evenly."""
    sums = list(itertools.accumulate(weight for _, weight in key_weights))
    total = sums[-1] if sums else 0
    return LoadIndex(
        keys=[key for key, _ in key_weights],
        sums=[0, *sums],
        even_load=max(total * _EVEN_SHARE, prior) / key_ranges.KEY_COUNT,
    )


def sum_span_load(load_index: LoadIndex, start: int, end: int) -> float:
    """Return the load of a span, ends included."""
    low = bisect.bisect_left(load_index.keys, start)
    high = bisect.bisect_right(load_index.keys, end)
    counted = load_index.sums[high] - load_index.sums[low]
    return counted + (end - start + 1) * load_index.even_load


@dataclasses.dataclass(slots=True, kw_only=True)
class Plan:
    """Load and ranges of each holder after the moves planned so far.

    `spans_by_id` has only ranges that are served, as others can't move.
    `may_split` is whether a part of a range may move.
    """

    load_index: LoadIndex
    capacity_by_id: Mapping[str, float]
    spans_by_id: dict[str, list[KeySpan]]
    load_by_id: dict[str, float]
    may_split: bool
    moves: list[KeyMove] = dataclasses.field(default_factory=list)


def plan_moves(
    range_table: key_ranges.RangeTable,
    key_weights: Sequence[tuple[int, float]],
    capacity_by_id: Mapping[str, float],
    prior: float = 0,
) -> list[KeyMove]:
    """Plan moves between the upstreams in `capacity_by_id`.

    `key_weights` has the requested keys in order, each with its load. At
    least `prior` is added as load spread evenly over all keys.
    """
    load_index = make_load_index(key_weights, prior)
    if not capacity_by_id:
        return []
    plan = _make_plan(range_table, load_index, capacity_by_id)
    for _ in range(MAX_MOVES):
        if not _plan_move(plan):
            break
    return plan.moves


def _make_plan(
    range_table: key_ranges.RangeTable,
    load_index: LoadIndex,
    capacity_by_id: Mapping[str, float],
) -> Plan:
    plan = Plan(
        load_index=load_index,
        capacity_by_id=capacity_by_id,
        spans_by_id={holder: [] for holder in capacity_by_id},
        load_by_id=dict.fromkeys(capacity_by_id, 0),
        may_split=len(range_table.ranges)
        < MAX_RANGES_PER_UPSTREAM * len(capacity_by_id),
    )
    for key_range in range_table.ranges:
        if key_range.holder not in plan.load_by_id:
            continue
        load = sum_span_load(load_index, key_range.start, key_range.end)
        plan.load_by_id[key_range.holder] += load
        if key_range.served:
            plan.spans_by_id[key_range.holder].append(
                KeySpan(start=key_range.start, end=key_range.end, load=load),
            )
    return plan


def _plan_move(plan: Plan) -> bool:
    """Plan one more move; return whether one was worth its cost."""
    source = max(
        plan.load_by_id, key=lambda holder: _get_relative_load(plan, holder)
    )
    target = min(
        plan.load_by_id, key=lambda holder: _get_relative_load(plan, holder)
    )
    span = _choose_span(
        plan, source, target, _measure_wanted_load(plan, source, target)
    )
    if span is None:
        return False
    _add_move(plan, span, source, target)
    return True


def _measure_wanted_load(plan: Plan, source: str, target: str) -> float:
    """Return how much load should move, 0 if chance explains the imbalance.

    Load moves if the source is far above the mean, or the target far below
    it, such as an upstream that has just joined.
    """
    mean = sum(plan.load_by_id.values()) / sum(plan.capacity_by_id.values())
    expected_load = mean * plan.capacity_by_id[source]
    excess = plan.load_by_id[source] - expected_load
    room = mean * plan.capacity_by_id[target] - plan.load_by_id[target]
    if is_significant(excess, expected_load):
        return min(excess, max(room, 0))
    if is_significant(room, mean * plan.capacity_by_id[target]):
        difference = _get_relative_load(plan, source) - _get_relative_load(
            plan, target
        )
        return min(room, difference * plan.capacity_by_id[target] / 2)
    return 0


def _get_relative_load(plan: Plan, holder: str) -> float:
    return plan.load_by_id[holder] / plan.capacity_by_id[holder]


def is_significant(excess: float, expected: float) -> bool:
    """Return whether an excess is above random variation and worth a move."""
    chance = CHANCE_DEVIATIONS * math.sqrt(max(expected, 1))
    return excess > max(TOLERATED_EXCESS_SHARE * expected, chance)


def _choose_span(
    plan: Plan,
    source: str,
    target: str,
    wanted_load: float,
) -> KeySpan | None:
    """Choose the source's span whose load is closest to the wanted load."""
    if wanted_load <= 0:
        return None
    joining_keys = _list_joining_keys(plan, target)
    candidates = [
        span
        for owned_span in plan.spans_by_id[source]
        for span in _list_candidates(plan, owned_span, wanted_load)
    ]

    def get_cost(span: KeySpan) -> float:
        cost = abs(span.load - wanted_load)
        joins = span.start in joining_keys or span.end + 1 in joining_keys
        return cost * _JOINING_COST_FACTOR if joins else cost

    cheapest = min(candidates, key=get_cost, default=None)
    if cheapest is None or get_cost(cheapest) >= wanted_load:
        return None
    return cheapest


def _list_joining_keys(plan: Plan, target: str) -> set[int]:
    """Return the keys at which a moved span would join the target's ranges."""
    joining_keys: set[int] = set()
    for span in plan.spans_by_id[target]:
        joining_keys.update((span.start, span.end + 1))
    return joining_keys


def _list_candidates(
    plan: Plan, owned_span: KeySpan, wanted_load: float
) -> list[KeySpan]:
    """List a span and the parts of it that could move instead.

    The span is cut once so that its first part has about the wanted load, and
    once so that its last part has.
    """
    candidates = [owned_span]
    if (
        plan.may_split
        and owned_span.load > wanted_load
        and owned_span.end > owned_span.start
    ):
        load_index = plan.load_index
        cut = _find_cut(load_index, owned_span, wanted_load)
        candidates.extend(_split_span(load_index, owned_span, cut))
        cut = _find_cut(load_index, owned_span, owned_span.load - wanted_load)
        candidates.extend(_split_span(load_index, owned_span, cut))
    return candidates


def _split_span(
    load_index: LoadIndex, owned_span: KeySpan, cut: int
) -> list[KeySpan]:
    return [
        KeySpan(
            start=start,
            end=end,
            load=sum_span_load(load_index, start, end),
        )
        for start, end in ((owned_span.start, cut), (cut + 1, owned_span.end))
    ]


def _find_cut(
    load_index: LoadIndex, owned_span: KeySpan, wanted_load: float
) -> int:
    """Find the key up to which a span has about the wanted load."""
    low = owned_span.start
    high = owned_span.end - 1
    while low < high:
        middle = (low + high) // 2
        if sum_span_load(load_index, owned_span.start, middle) < wanted_load:
            low = middle + 1
        else:
            high = middle
    return low


def _add_move(plan: Plan, span: KeySpan, source: str, target: str) -> None:
    """Add a move to the plan and update the loads and spans for the next."""
    plan.moves.append(
        KeyMove(start=span.start, end=span.end, source=source, target=target),
    )
    plan.load_by_id[source] -= span.load
    plan.load_by_id[target] += span.load
    remaining_spans: list[KeySpan] = []
    for owned_span in plan.spans_by_id[source]:
        if span.start < owned_span.start or span.end > owned_span.end:
            remaining_spans.append(owned_span)
            continue
        for start, end in (
            (owned_span.start, span.start - 1),
            (span.end + 1, owned_span.end),
        ):
            if start <= end:
                remaining_spans.append(
                    KeySpan(
                        start=start,
                        end=end,
                        load=sum_span_load(plan.load_index, start, end),
                    )
                )
    plan.spans_by_id[source] = remaining_spans
