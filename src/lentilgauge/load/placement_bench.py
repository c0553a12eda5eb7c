"""Compare ways of placing slots as a failure domain leaves and returns."""

import dataclasses
import sys
import types
from collections.abc import Callable, Mapping, Sequence

import xxhash

from lentilgauge.operators import tables
from lentilgauge.services import placement, slots

_SLOTS = 4096
_RING_POINTS = 100
_PERCENT = 100
_DOMAINS = 4
_UPSTREAMS = 24

Owners = tuple[str, ...]
#: Place all slots on the live upstreams, knowing who owned them before.
Way = Callable[[Sequence[str], Owners], Owners]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """Hold what one change of the live upstreams did."""

    title: str
    imbalance: float
    moved: int
    needless: int


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def place_by_modulo(live: Sequence[str], before: Owners) -> Owners:
    """Place a slot by its number, modulo the count of upstreams."""
    return tuple(live[slot % len(live)] for slot in range(_SLOTS))


def place_by_rendezvous(live: Sequence[str], before: Owners) -> Owners:
    """Place a slot on the upstream with the highest hash."""
    return tuple(_find_highest(live, slot) for slot in range(_SLOTS))


def _find_highest(live: Sequence[str], slot: int) -> str:
    return max(live, key=lambda one: _hash(f'{slot}/{one}'))


def place_by_ring(live: Sequence[str], before: Owners) -> Owners:
    """Place a slot on the next of each upstream's points on a ring."""
    points = sorted(
        (_hash(f'{one}#{number}'), one)
        for one in live
        for number in range(_RING_POINTS)
    )
    placed = []
    for slot in range(_SLOTS):
        mark = _hash(str(slot))
        found = next((one for point, one in points if point >= mark), None)
        placed.append(found or points[0][1])
    return tuple(placed)


def place_least_loaded(live: Sequence[str], before: Owners) -> Owners:
    """Place as the controllers do: move what must move, then even out."""
    weight_by_id: Mapping[str, float] = dict.fromkeys(live, 1.0)
    made = dataclasses.replace(
        slots.make_slot_map(_SLOTS),
        owner_by_slot=before,
    )
    gone = [
        slot for slot, owner in enumerate(before) if owner not in weight_by_id
    ]
    placed = placement.place_slots(made, weight_by_id, gone)
    made = slots.change_owners(made, placed)
    moves = placement.plan_rebalance(made, weight_by_id, _SLOTS)
    return slots.change_owners(made, moves).owner_by_slot


WAYS: Mapping[str, Way] = types.MappingProxyType(
    {
        'modulo': place_by_modulo,
        'ring, 100 points': place_by_ring,
        'rendezvous': place_by_rendezvous,
        'least loaded': place_least_loaded,
    }
)


def find_imbalance(live: Sequence[str], owners: Owners) -> float:
    """Return the largest share of an upstream over the mean share."""
    most = max(owners.count(one) for one in live)
    return most * len(live) / len(owners)


def trace_way(way: Way) -> list[Step]:
    """Follow a domain leaving and returning, then one upstream lost."""
    every = [f'upstream-{number}' for number in range(_UPSTREAMS)]
    stay = [one for number, one in enumerate(every) if number % _DOMAINS]
    owners = way(every, (slots.VACANT,) * _SLOTS)
    out = way(stay, owners)
    back = way(every, out)
    lost = way(every[1:], back)
    return [
        _measure_step('domain out', every, stay, (owners, out)),
        _measure_step('domain back', stay, every, (out, back)),
        _measure_step('one lost', every, every[1:], (back, lost)),
    ]


def _measure_step(
    title: str,
    was: Sequence[str],
    live: Sequence[str],
    change: tuple[Owners, Owners],
) -> Step:
    """Count moves; a move between two that stayed up is needless."""
    moves = [(old, new) for old, new in zip(*change, strict=True) if old != new]
    stayed = set(was) & set(live)
    return Step(
        title=title,
        imbalance=find_imbalance(live, change[1]),
        moved=len(moves),
        needless=sum(old in stayed and new in stayed for old, new in moves),
    )


def run_placement_bench() -> None:
    """Print imbalance and churn of each way on the same trace."""
    rows = [
        [
            name,
            step.title,
            f'{step.imbalance:.2f}',
            f'{step.moved * _PERCENT / _SLOTS:.1f}',
            f'{step.needless * _PERCENT / _SLOTS:.1f}',
        ]
        for name, way in WAYS.items()
        for step in trace_way(way)
    ]
    titles = ('WAY', 'STEP', 'IMBALANCE', 'MOVED %', 'NEEDLESS %')
    sys.stdout.write(f'{tables.render_table(titles, rows)}\n')
