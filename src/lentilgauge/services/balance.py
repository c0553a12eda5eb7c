"""Plan which key ranges move so that no upstream is far busier than others.

This answers skewed and moving key load: busy keys lie close together, and
which are busy changes. A move costs its keys a short gap, so only few and
small ranges move, from the busiest upstream to the least busy, and only when
the difference is more than chance would make it.
"""

import bisect
import dataclasses
import itertools
import math
from collections.abc import Mapping, Sequence

from lentilgauge.services import key_ranges

#: An upstream may be this much busier than the mean before keys move.
TOLERATED_EXCESS = 0.15
#: Counts are random: this many standard deviations above the mean are chance.
CHANCE_DEVIATIONS = 1.8
#: A move that joins a range of its target counts as this much closer to what
#: is wanted, as no further range arises.
_JOINING_SHARE = 0.8
#: Moves planned at once; their keys are unserved for a moment.
MOST_MOVES = 10
#: Ranges for each upstream beyond which only whole ranges move, as each is
#: renewed by a call of its own.
MOST_RANGES_EACH = 6
#: Share of all load that is taken to be spread evenly over the keys, so that
#: keys not seen yet have some weight.
_EVEN_SHARE = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Move:
    """Say that a span of keys goes from one upstream to another."""

    start: int
    end: int
    source: str
    target: str


@dataclasses.dataclass(slots=True, kw_only=True)
class Weights:
    """Answer how much load a span of keys has."""

    keys: list[int]
    sums: list[float]
    even: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Span:
    """Hold a part of a holder's range with its load."""

    start: int
    end: int
    weight: float


def make_weights(
    weighted: Sequence[tuple[int, float]],
    prior: float,
) -> Weights:
    """Prepare sums over keys in order, with a weight that is spread evenly."""
    sums = list(itertools.accumulate(weight for _, weight in weighted))
    total = sums[-1] if sums else 0
    return Weights(
        keys=[key for key, _ in weighted],
        sums=[0, *sums],
        even=max(total * _EVEN_SHARE, prior) / key_ranges.KEY_COUNT,
    )


def weigh_span(weights: Weights, start: int, end: int) -> float:
    """Sum the load of a span, ends included."""
    low = bisect.bisect_left(weights.keys, start)
    high = bisect.bisect_right(weights.keys, end)
    counted = weights.sums[high] - weights.sums[low]
    return counted + (end - start + 1) * weights.even


@dataclasses.dataclass(slots=True, kw_only=True)
class Plan:
    """Hold the load of each holder while moves are planned."""

    weights: Weights
    capacity_by_id: Mapping[str, float]
    spans_by_id: dict[str, list[Span]]
    load_by_id: dict[str, float]
    may_split: bool
    moves: list[Move] = dataclasses.field(default_factory=list)


def plan_moves(
    table: key_ranges.Table,
    weighted: Sequence[tuple[int, float]],
    capacity_by_id: Mapping[str, float],
    prior: float = 0,
) -> list[Move]:
    """Plan moves between the upstreams that have a capacity."""
    weights = make_weights(weighted, prior)
    if not capacity_by_id:
        return []
    plan = _make_plan(table, weights, capacity_by_id)
    for _ in range(MOST_MOVES):
        if not _plan_move(plan):
            break
    return plan.moves


def _make_plan(
    table: key_ranges.Table,
    weights: Weights,
    capacity_by_id: Mapping[str, float],
) -> Plan:
    plan = Plan(
        weights=weights,
        capacity_by_id=capacity_by_id,
        spans_by_id={holder: [] for holder in capacity_by_id},
        load_by_id=dict.fromkeys(capacity_by_id, 0),
        may_split=len(table.ranges) < MOST_RANGES_EACH * len(capacity_by_id),
    )
    for one in table.ranges:
        if one.holder not in plan.load_by_id:
            continue
        weight = weigh_span(weights, one.start, one.end)
        plan.load_by_id[one.holder] += weight
        if one.served:
            plan.spans_by_id[one.holder].append(
                Span(start=one.start, end=one.end, weight=weight),
            )
    return plan


def _plan_move(plan: Plan) -> bool:
    """Plan one more move; tell whether there was one worth it."""
    source = max(plan.load_by_id, key=lambda one: _relate(plan, one))
    target = min(plan.load_by_id, key=lambda one: _relate(plan, one))
    span = _choose_span(
        plan, source, target, _measure_wanted(plan, source, target)
    )
    if span is None:
        return False
    _apply(plan, span, source, target)
    return True


def _measure_wanted(plan: Plan, source: str, target: str) -> float:
    """Find how much load should move; nothing if chance explains it.

    Either the source is far above the mean, or the target far below it, as
    an upstream is that has just joined.
    """
    mean = sum(plan.load_by_id.values()) / sum(plan.capacity_by_id.values())
    usual = mean * plan.capacity_by_id[source]
    excess = plan.load_by_id[source] - usual
    room = mean * plan.capacity_by_id[target] - plan.load_by_id[target]
    if is_significant(excess, usual):
        return min(excess, max(room, 0))
    if is_significant(room, mean * plan.capacity_by_id[target]):
        difference = _relate(plan, source) - _relate(plan, target)
        return min(room, difference * plan.capacity_by_id[target] / 2)
    return 0


def _relate(plan: Plan, holder: str) -> float:
    return plan.load_by_id[holder] / plan.capacity_by_id[holder]


def is_significant(excess: float, expected: float) -> bool:
    """Tell whether an excess is more than chance and worth a move."""
    chance = CHANCE_DEVIATIONS * math.sqrt(max(expected, 1))
    return excess > max(TOLERATED_EXCESS * expected, chance)


def _choose_span(
    plan: Plan,
    source: str,
    target: str,
    wanted: float,
) -> Span | None:
    """Choose the span of the source that comes closest to what is wanted."""
    if wanted <= 0:
        return None
    edges = _list_edges(plan, target)
    options = [
        span
        for held in plan.spans_by_id[source]
        for span in _list_options(plan, held, wanted)
    ]

    def get_cost(span: Span) -> float:
        cost = abs(span.weight - wanted)
        joins = span.start in edges or span.end + 1 in edges
        return cost * _JOINING_SHARE if joins else cost

    best = min(options, key=get_cost, default=None)
    if best is None or get_cost(best) >= wanted:
        return None
    return best


def _list_edges(plan: Plan, target: str) -> set[int]:
    """List the keys at which the target's ranges could grow."""
    edges: set[int] = set()
    for span in plan.spans_by_id[target]:
        edges.update((span.start, span.end + 1))
    return edges


def _list_options(plan: Plan, held: Span, wanted: float) -> list[Span]:
    """List the whole range, and its ends with the wanted load."""
    options = [held]
    if plan.may_split and held.weight > wanted and held.end > held.start:
        weights = plan.weights
        cut = _find_cut(weights, held, wanted)
        options.extend(_make_halves(weights, held, cut))
        cut = _find_cut(weights, held, held.weight - wanted)
        options.extend(_make_halves(weights, held, cut))
    return options


def _make_halves(weights: Weights, held: Span, cut: int) -> list[Span]:
    return [
        Span(
            start=start,
            end=end,
            weight=weigh_span(weights, start, end),
        )
        for start, end in ((held.start, cut), (cut + 1, held.end))
    ]


def _find_cut(weights: Weights, held: Span, wanted: float) -> int:
    """Find the key up to which a range has about the wanted load."""
    low = held.start
    high = held.end - 1
    while low < high:
        middle = (low + high) // 2
        if weigh_span(weights, held.start, middle) < wanted:
            low = middle + 1
        else:
            high = middle
    return low


def _apply(plan: Plan, span: Span, source: str, target: str) -> None:
    """Count a move as done, so that the next is planned after it."""
    plan.moves.append(
        Move(start=span.start, end=span.end, source=source, target=target),
    )
    plan.load_by_id[source] -= span.weight
    plan.load_by_id[target] += span.weight
    left: list[Span] = []
    for held in plan.spans_by_id[source]:
        if span.start < held.start or span.end > held.end:
            left.append(held)
            continue
        for start, end in (
            (held.start, span.start - 1),
            (span.end + 1, held.end),
        ):
            if start <= end:
                left.append(
                    Span(
                        start=start,
                        end=end,
                        weight=weigh_span(plan.weights, start, end),
                    )
                )
    plan.spans_by_id[source] = left
