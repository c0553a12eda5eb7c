"""Comparison of slot placement strategies under changes of membership."""

import dataclasses
import sys
import types
from collections.abc import Callable, Mapping, Sequence

import xxhash

from lentilgauge.operators import tables
from lentilgauge.services import placement, slots

_SLOT_COUNT = 4096
_POINTS_PER_UPSTREAM = 100
_PERCENT = 100
_DOMAIN_COUNT = 4
_UPSTREAM_COUNT = 24

Owners = tuple[str, ...]
#: Returns the owners of all slots, given the live upstreams and the previous
#: owners.
Strategy = Callable[[Sequence[str], Owners], Owners]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChurnStep:
    """Effect of one change of the live upstreams.

    `moved` counts the slots that changed owner, `needless` those among them
    whose old and new owners were both live before and after the change.
    """

    title: str
    imbalance: float
    moved: int
    needless: int


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def place_by_modulo(live: Sequence[str], previous_owners: Owners) -> Owners:
    """Place a slot by its number modulo the number of upstreams."""
    return tuple(live[slot % len(live)] for slot in range(_SLOT_COUNT))


def place_by_rendezvous(live: Sequence[str], previous_owners: Owners) -> Owners:
    """Place a slot on the upstream with the highest hash (HRW hashing)."""
    return tuple(
        _find_rendezvous_owner(live, slot) for slot in range(_SLOT_COUNT)
    )


def _find_rendezvous_owner(live: Sequence[str], slot: int) -> str:
    return max(live, key=lambda upstream_id: _hash(f'{slot}/{upstream_id}'))


def place_by_ring(live: Sequence[str], previous_owners: Owners) -> Owners:
    """Place a slot by consistent hashing with virtual nodes on a ring."""
    points = sorted(
        (_hash(f'{upstream_id}#{number}'), upstream_id)
        for upstream_id in live
        for number in range(_POINTS_PER_UPSTREAM)
    )
    placed = []
    for slot in range(_SLOT_COUNT):
        slot_point = _hash(str(slot))
        ring_owner = next(
            (
                upstream_id
                for point, upstream_id in points
                if point >= slot_point
            ),
            None,
        )
        placed.append(ring_owner or points[0][1])
    return tuple(placed)


def place_least_loaded(live: Sequence[str], previous_owners: Owners) -> Owners:
    """Place as the controllers do: orphaned slots first, then rebalance."""
    weight_by_id: Mapping[str, float] = dict.fromkeys(live, 1.0)
    slot_map = dataclasses.replace(
        slots.make_slot_map(_SLOT_COUNT),
        owner_by_slot=previous_owners,
    )
    orphaned = [
        slot
        for slot, owner in enumerate(previous_owners)
        if owner not in weight_by_id
    ]
    placed = placement.place_slots(slot_map, weight_by_id, orphaned)
    slot_map = slots.change_owners(slot_map, placed)
    moves = placement.plan_rebalance(slot_map, weight_by_id, _SLOT_COUNT)
    return slots.change_owners(slot_map, moves).owner_by_slot


STRATEGIES: Mapping[str, Strategy] = types.MappingProxyType(
    {
        'modulo': place_by_modulo,
        'ring, 100 points': place_by_ring,
        'rendezvous': place_by_rendezvous,
        'least loaded': place_least_loaded,
    }
)


def compute_imbalance(live: Sequence[str], owners: Owners) -> float:
    """Return the largest number of slots of an upstream over the mean."""
    max_slots = max(owners.count(upstream_id) for upstream_id in live)
    return max_slots * len(live) / len(owners)


def trace_strategy(strategy: Strategy) -> list[ChurnStep]:
    """Apply a strategy as a domain leaves and returns and an upstream fails."""
    all_ids = [f'upstream-{number}' for number in range(_UPSTREAM_COUNT)]
    remaining_ids = [
        upstream_id
        for number, upstream_id in enumerate(all_ids)
        if number % _DOMAIN_COUNT
    ]
    owners = strategy(all_ids, (slots.VACANT,) * _SLOT_COUNT)
    owners_after_leave = strategy(remaining_ids, owners)
    owners_after_return = strategy(all_ids, owners_after_leave)
    owners_after_loss = strategy(all_ids[1:], owners_after_return)
    return [
        _measure_step(
            'domain out', all_ids, remaining_ids, (owners, owners_after_leave)
        ),
        _measure_step(
            'domain back',
            remaining_ids,
            all_ids,
            (owners_after_leave, owners_after_return),
        ),
        _measure_step(
            'upstream lost',
            all_ids,
            all_ids[1:],
            (owners_after_return, owners_after_loss),
        ),
    ]


def _measure_step(
    title: str,
    live_before: Sequence[str],
    live: Sequence[str],
    change: tuple[Owners, Owners],
) -> ChurnStep:
    """Measure the change of owners between two sets of live upstreams."""
    moves = [(old, new) for old, new in zip(*change, strict=True) if old != new]
    stayed = set(live_before) & set(live)
    return ChurnStep(
        title=title,
        imbalance=compute_imbalance(live, change[1]),
        moved=len(moves),
        needless=sum(old in stayed and new in stayed for old, new in moves),
    )


def run_placement_bench() -> None:
    """Print imbalance and churn of each strategy over the same changes."""
    rows = [
        [
            name,
            step.title,
            f'{step.imbalance:.2f}',
            f'{step.moved * _PERCENT / _SLOT_COUNT:.1f}',
            f'{step.needless * _PERCENT / _SLOT_COUNT:.1f}',
        ]
        for name, strategy in STRATEGIES.items()
        for step in trace_strategy(strategy)
    ]
    titles = ('WAY', 'STEP', 'IMBALANCE', 'MOVED %', 'NEEDLESS %')
    sys.stdout.write(f'{tables.render_table(titles, rows)}\n')
