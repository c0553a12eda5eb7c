"""Comparison of retry delays for refused callers under the same load.

A small discrete-event model: upstreams with a fixed concurrency, and callers
who wait in a gateway's admission queue, are refused after a while and retry
once. The delays come from the code that the gateways run.
"""

import dataclasses
import heapq
import itertools
import random
import sys
from collections.abc import Callable

from lentilgauge import clock
from lentilgauge.callers import retry_after
from lentilgauge.operators import tables

_SEED = 11
_LOAD_DURATION_MS = 30_000
_BURST_SPAN_MS = (10_000, 16_000)
_BASE_REQUESTS_PER_SECOND = 60
_BURST_FACTOR = 2.2
_TOTAL_CONCURRENCY = 10
_MEAN_WORK_MS = 110
_LATENCY_TARGET_MS = 300
_DEADLINE_MS = 1200
_MAX_QUEUE_WAIT_MS = 180
_FLAT_DELAY_MS = 150
#: Length of the longest bar, in characters.
_BAR_WIDTH = 40

#: Returns the delay before a refused caller's retry, in ms, given the retry
#: schedule of its service, the time, and the time left until its deadline.
ChooseDelay = Callable[[retry_after.RetrySchedule, int, int], int]


@dataclasses.dataclass(slots=True, kw_only=True)
class Caller:
    """Simulated caller; `work_ms` is the execution time of its request."""

    number: int
    first_arrival_ms: int
    work_ms: int
    retried: bool = False

    @property
    def deadline_ms(self) -> int:
        """Time at which the caller gives up."""
        return self.first_arrival_ms + _DEADLINE_MS


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerCounts:
    """Counts of how the callers of one run fared.

    A caller is lost when refused twice or answered after its deadline.
    """

    in_time: int = 0
    late: int = 0
    refused_once: int = 0
    refused_again: int = 0
    lost_by_second: dict[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, kw_only=True)
class Simulation:
    """State of a run: pending events, waiting callers and requests in flight.

    Events are ordered by time, then by number. Waiters are ordered by the time
    at which they are refused, or by deadline if `retries_first`, which puts
    retries ahead of newer callers.
    """

    choose_delay: ChooseDelay
    retries_first: bool
    caller_counts: CallerCounts = dataclasses.field(
        default_factory=CallerCounts
    )
    retry_schedule: retry_after.RetrySchedule = dataclasses.field(
        default_factory=retry_after.RetrySchedule,
    )
    events: list[tuple[int, int, Callable[[int], None]]] = dataclasses.field(
        default_factory=list,
    )
    waiters: list[tuple[int, int, Caller]] = dataclasses.field(
        default_factory=list,
    )
    in_flight: int = 0
    event_numbers: 'itertools.count[int]' = dataclasses.field(
        default_factory=itertools.count,
    )


def _schedule(
    simulation: Simulation, at_ms: int, run_event: Callable[[int], None]
) -> None:
    heapq.heappush(
        simulation.events, (at_ms, next(simulation.event_numbers), run_event)
    )


def _schedule_arrival(
    simulation: Simulation, caller: Caller, at_ms: int
) -> None:
    """Schedule the arrival of a caller."""
    _schedule(
        simulation, at_ms, lambda now_ms: _arrive(simulation, caller, now_ms)
    )


def _arrive(simulation: Simulation, caller: Caller, now_ms: int) -> None:
    """Start executing the request, or queue it while upstreams are busy."""
    if simulation.in_flight < _TOTAL_CONCURRENCY:
        _start(simulation, caller, now_ms)
        return
    wait_end_ms = min(now_ms + _MAX_QUEUE_WAIT_MS, caller.deadline_ms)
    rank_ms = caller.deadline_ms if simulation.retries_first else wait_end_ms
    waiter = (rank_ms, caller.number, caller)
    heapq.heappush(simulation.waiters, waiter)
    _schedule(
        simulation,
        wait_end_ms,
        lambda at_ms: _refuse(simulation, waiter, at_ms),
    )


def _start(simulation: Simulation, caller: Caller, now_ms: int) -> None:
    simulation.in_flight += 1
    _schedule(
        simulation,
        now_ms + caller.work_ms,
        lambda at_ms: _finish(simulation, caller, at_ms),
    )


def _finish(simulation: Simulation, caller: Caller, now_ms: int) -> None:
    simulation.in_flight -= 1
    retry_after.record_answer(simulation.retry_schedule, now_ms)
    latency_ms = now_ms - caller.first_arrival_ms
    if latency_ms <= _LATENCY_TARGET_MS:
        simulation.caller_counts.in_time += 1
    elif latency_ms <= _DEADLINE_MS:
        simulation.caller_counts.late += 1
    else:
        _count_lost(simulation, now_ms)
    if simulation.waiters:
        _, _, next_caller = heapq.heappop(simulation.waiters)
        _start(simulation, next_caller, now_ms)


def _count_lost(simulation: Simulation, now_ms: int) -> None:
    count_by_second = simulation.caller_counts.lost_by_second
    second = now_ms // clock.MS_PER_SECOND
    count_by_second[second] = count_by_second.get(second, 0) + 1


def _refuse(
    simulation: Simulation,
    waiter: tuple[int, int, Caller],
    now_ms: int,
) -> None:
    """Refuse a caller that still waits; it retries once."""
    if waiter not in simulation.waiters:
        return
    simulation.waiters.remove(waiter)
    heapq.heapify(simulation.waiters)
    _, _, caller = waiter
    if caller.retried:
        simulation.caller_counts.refused_again += 1
        _count_lost(simulation, now_ms)
        return
    simulation.caller_counts.refused_once += 1
    caller.retried = True
    remaining_ms = caller.deadline_ms - now_ms
    retry_delay_ms = simulation.choose_delay(
        simulation.retry_schedule, now_ms, remaining_ms
    )
    retry_delay_ms = min(
        retry_delay_ms, int(remaining_ms * retry_after.MAX_DELAY_SHARE)
    )
    _schedule_arrival(simulation, caller, now_ms + retry_delay_ms)


def _draw_callers(random_source: random.Random) -> list[Caller]:
    """Draw a constant load with a burst beyond the capacity."""
    callers: list[Caller] = []
    now_ms: float = 0
    while now_ms < _LOAD_DURATION_MS:
        in_burst = _BURST_SPAN_MS[0] <= now_ms < _BURST_SPAN_MS[1]
        rate: float = _BASE_REQUESTS_PER_SECOND
        if in_burst:
            rate *= _BURST_FACTOR
        now_ms += random_source.expovariate(rate) * clock.MS_PER_SECOND
        callers.append(
            Caller(
                number=len(callers),
                first_arrival_ms=int(now_ms),
                work_ms=max(
                    int(random_source.expovariate(1 / _MEAN_WORK_MS)), 1
                ),
            ),
        )
    return callers


def simulate_load(
    choose_delay: ChooseDelay, *, retries_first: bool, seed: int
) -> CallerCounts:
    """Simulate the load of a seed with one rule for retry delays."""
    simulation = Simulation(
        choose_delay=choose_delay, retries_first=retries_first
    )
    random_source = random.Random(seed)  # ruff: ignore[suspicious-non-cryptographic-random-usage]
    for caller in _draw_callers(random_source):
        _schedule_arrival(simulation, caller, caller.first_arrival_ms)
    while simulation.events:
        at_ms, _, run_event = heapq.heappop(simulation.events)
        run_event(at_ms)
    return simulation.caller_counts


def get_flat_delay_ms(*_: object) -> int:
    """Return the same delay for every caller, as earlier versions did."""
    return _FLAT_DELAY_MS


def _render_bars(caller_counts: CallerCounts) -> list[str]:
    """Render a bar chart of the callers lost in each second."""
    peak = max(caller_counts.lost_by_second.values(), default=1)
    return [
        f'{second:3d} s {lost:4d} {"#" * max(lost * _BAR_WIDTH // peak, 1)}'
        for second, lost in sorted(caller_counts.lost_by_second.items())
    ]


def run_retry_schedule_bench(*, seed: int = _SEED) -> None:
    """Print how callers fared under each rule, and when they were lost."""
    counts_by_rule = {
        'flat 150 ms': simulate_load(
            get_flat_delay_ms,
            retries_first=False,
            seed=seed,
        ),
        'by freed capacity': simulate_load(
            retry_after.schedule_retry,
            retries_first=False,
            seed=seed,
        ),
        'and retries first': simulate_load(
            retry_after.schedule_retry,
            retries_first=True,
            seed=seed,
        ),
    }
    rows = [
        (
            name,
            caller_counts.in_time,
            caller_counts.late,
            caller_counts.refused_once,
            caller_counts.refused_again,
        )
        for name, caller_counts in counts_by_rule.items()
    ]
    titles = ('DECISION', 'IN TIME', 'LATE', 'REFUSED ONCE', 'REFUSED AGAIN')
    sys.stdout.write(f'{tables.render_table(titles, rows)}\n')
    for name, caller_counts in counts_by_rule.items():
        lines = (f'\nlost by second, {name}:', *_render_bars(caller_counts), '')
        sys.stdout.write('\n'.join(lines))
