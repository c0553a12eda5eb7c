"""Compare when refused callers come back, over the same load, side by side.

A small model: upstreams with some places, callers who wait at a gateway for a
while, are refused, and come back once. Decisions are the product's own.
"""

import dataclasses
import heapq
import itertools
import random
import sys
from collections.abc import Callable

from lentilgauge import clock
from lentilgauge.callers import returning
from lentilgauge.operators import tables

_SEED = 11
_LENGTH_MS = 30_000
_BURST_MS = (10_000, 16_000)
_USUAL_PER_SECOND = 60
_BURST_FACTOR = 2.2
_PLACES = 10
_WORK_MS = 110
_TARGET_MS = 300
_DEADLINE_MS = 1200
_WAIT_MS = 180
_FLAT_MS = 150
_BAR_WIDTH = 40

#: Says after how many ms a refused caller is to come back, by the returns of
#: its service, the time, and how long the caller has left.
Decide = Callable[[returning.Returns, int, int], int]


@dataclasses.dataclass(slots=True, kw_only=True)
class Caller:
    """Hold one caller of the model, from its first arrival on."""

    number: int
    first_ms: int
    work_ms: int
    came_back: bool = False

    @property
    def deadline_ms(self) -> int:
        """When it gives up."""
        return self.first_ms + _DEADLINE_MS


@dataclasses.dataclass(slots=True, kw_only=True)
class Served:
    """Count what the callers of one run got."""

    in_time: int = 0
    late: int = 0
    refused_once: int = 0
    refused_again: int = 0
    lost_by_second: dict[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True)
class Model:
    """Hold a run: what comes next, who waits, and who is worked for."""

    decide: Decide
    returners_first: bool
    served: Served = dataclasses.field(default_factory=Served)
    returns: returning.Returns = dataclasses.field(
        default_factory=returning.Returns,
    )
    events: list[tuple[int, int, Callable[[int], None]]] = dataclasses.field(
        default_factory=list,
    )
    waiters: list[tuple[int, int, Caller]] = dataclasses.field(
        default_factory=list,
    )
    busy: int = 0
    numbers: 'itertools.count[int]' = dataclasses.field(
        default_factory=itertools.count,
    )


def _schedule(model: Model, at_ms: int, act: Callable[[int], None]) -> None:
    heapq.heappush(model.events, (at_ms, next(model.numbers), act))


def _expect(model: Model, caller: Caller, at_ms: int) -> None:
    """Let a caller arrive at a time."""
    _schedule(model, at_ms, lambda now_ms: _arrive(model, caller, now_ms))


def _arrive(model: Model, caller: Caller, now_ms: int) -> None:
    """Take a place, or wait for one."""
    if model.busy < _PLACES:
        _start(model, caller, now_ms)
        return
    until_ms = min(now_ms + _WAIT_MS, caller.deadline_ms)
    rank_ms = caller.deadline_ms if model.returners_first else until_ms
    entry = (rank_ms, caller.number, caller)
    heapq.heappush(model.waiters, entry)
    _schedule(model, until_ms, lambda at_ms: _refuse(model, entry, at_ms))


def _start(model: Model, caller: Caller, now_ms: int) -> None:
    model.busy += 1
    _schedule(
        model,
        now_ms + caller.work_ms,
        lambda at_ms: _finish(model, caller, at_ms),
    )


def _finish(model: Model, caller: Caller, now_ms: int) -> None:
    model.busy -= 1
    returning.note_answered(model.returns, now_ms)
    spent_ms = now_ms - caller.first_ms
    if spent_ms <= _TARGET_MS:
        model.served.in_time += 1
    elif spent_ms <= _DEADLINE_MS:
        model.served.late += 1
    else:
        _lose(model, now_ms)
    if model.waiters:
        _, _, following = heapq.heappop(model.waiters)
        _start(model, following, now_ms)


def _lose(model: Model, now_ms: int) -> None:
    lost = model.served.lost_by_second
    second = now_ms // clock.MS_PER_SECOND
    lost[second] = lost.get(second, 0) + 1


def _refuse(
    model: Model,
    entry: tuple[int, int, Caller],
    now_ms: int,
) -> None:
    """Refuse a caller that still waits; it comes back once."""
    if entry not in model.waiters:
        return
    model.waiters.remove(entry)
    heapq.heapify(model.waiters)
    _, _, caller = entry
    if caller.came_back:
        model.served.refused_again += 1
        _lose(model, now_ms)
        return
    model.served.refused_once += 1
    caller.came_back = True
    left_ms = caller.deadline_ms - now_ms
    pause_ms = model.decide(model.returns, now_ms, left_ms)
    pause_ms = min(pause_ms, int(left_ms * returning.LONGEST_SHARE))
    _expect(model, caller, now_ms + pause_ms)


def _draw_callers(generator: random.Random) -> list[Caller]:
    """Draw a steady load with a burst that is more than the places bear."""
    callers: list[Caller] = []
    now_ms: float = 0
    while now_ms < _LENGTH_MS:
        inside = _BURST_MS[0] <= now_ms < _BURST_MS[1]
        rate: float = _USUAL_PER_SECOND
        if inside:
            rate *= _BURST_FACTOR
        now_ms += generator.expovariate(rate) * clock.MS_PER_SECOND
        callers.append(
            Caller(
                number=len(callers),
                first_ms=int(now_ms),
                work_ms=max(int(generator.expovariate(1 / _WORK_MS)), 1),
            ),
        )
    return callers


def play_load(decide: Decide, *, returners_first: bool, seed: int) -> Served:
    """Play the load of a seed with one decision."""
    model = Model(decide=decide, returners_first=returners_first)
    generator = random.Random(seed)  # ruff: ignore[suspicious-non-cryptographic-random-usage]
    for caller in _draw_callers(generator):
        _expect(model, caller, caller.first_ms)
    while model.events:
        at_ms, _, act = heapq.heappop(model.events)
        act(at_ms)
    return model.served


def return_flat(*_: object) -> int:
    """Send everybody away for the same span, as earlier versions did."""
    return _FLAT_MS


def _render_plot(served: Served) -> list[str]:
    """Draw how many were lost in each second."""
    most = max(served.lost_by_second.values(), default=1)
    return [
        f'{second:3d} s {lost:4d} {"#" * max(lost * _BAR_WIDTH // most, 1)}'
        for second, lost in sorted(served.lost_by_second.items())
    ]


def run_return_bench(*, seed: int = _SEED) -> None:
    """Print what callers get, decision by decision, and when they are lost."""
    served_by_name = {
        'flat 150 ms': play_load(
            return_flat,
            returners_first=False,
            seed=seed,
        ),
        'by free places': play_load(
            returning.invite,
            returners_first=False,
            seed=seed,
        ),
        'and returners first': play_load(
            returning.invite,
            returners_first=True,
            seed=seed,
        ),
    }
    rows = [
        (
            name,
            served.in_time,
            served.late,
            served.refused_once,
            served.refused_again,
        )
        for name, served in served_by_name.items()
    ]
    titles = ('DECISION', 'IN TIME', 'LATE', 'REFUSED ONCE', 'REFUSED AGAIN')
    sys.stdout.write(f'{tables.render_table(titles, rows)}\n')
    for name, served in served_by_name.items():
        lines = (f'\nlost by second, {name}:', *_render_plot(served), '')
        sys.stdout.write('\n'.join(lines))
