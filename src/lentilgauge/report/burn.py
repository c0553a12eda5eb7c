"""Work out how fast each kind's error budget burns."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

_PERCENT = 100


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Objective:
    """Hold what a kind of request is owed.

    `availability` is the share that must be executed, and `latency_ms` the
    time within which `in_time` of those must be.
    """

    kind: str
    availability: float
    latency_ms: float
    in_time: float
    weight: float = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """Hold one request: when it arrived, in ms, and how it ended."""

    kind: str
    at_ms: float
    executed: bool
    latency_ms: float
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Burn:
    """Hold how one kind did in one window.

    A rate of 1 spends the budget exactly by the end of the objective's
    period; `errors` counts what callers were told.
    """

    kind: str
    window_ms: float
    requests: int
    failed: int
    late: int
    availability_rate: float
    latency_rate: float
    errors: Mapping[str, int]


def find_rate(bad: int, requests: int, owed: float) -> float:
    """Return the burn rate: the share of bad requests over the budget."""
    if not requests:
        return 0
    budget = 1 - owed
    return bad / requests / budget if budget else float(bad)


def measure_burn(
    objective: Objective,
    observations: Iterable[Observation],
    window_ms: float,
) -> Burn:
    """Measure one kind's burn over the observations of a window."""
    mine = [one for one in observations if one.kind == objective.kind]
    failed = sum(not one.executed for one in mine)
    late = sum(
        one.executed and one.latency_ms > objective.latency_ms for one in mine
    )
    errors: dict[str, int] = {}
    for one in mine:
        if one.error:
            errors[one.error] = errors.get(one.error, 0) + 1
    return Burn(
        kind=objective.kind,
        window_ms=window_ms,
        requests=len(mine),
        failed=failed,
        late=late,
        availability_rate=find_rate(
            failed,
            len(mine),
            objective.availability,
        ),
        latency_rate=find_rate(late, len(mine), objective.in_time),
        errors=errors,
    )


def measure_windows(
    objectives: Sequence[Objective],
    observations: Sequence[Observation],
    windows_ms: Sequence[float],
) -> list[Burn]:
    """Measure each kind over each window that ends with the last request."""
    end_ms = max((one.at_ms for one in observations), default=0)
    return [
        measure_burn(
            objective,
            [one for one in observations if one.at_ms > end_ms - window_ms],
            window_ms,
        )
        for objective in objectives
        for window_ms in windows_ms
    ]


def find_worst_window(
    objective: Objective,
    observations: Sequence[Observation],
    window_ms: float,
) -> Burn:
    """Find the window, of those laid end to end, that burned most."""
    by_window: dict[int, list[Observation]] = {}
    for one in observations:
        by_window.setdefault(int(one.at_ms // window_ms), []).append(one)
    burns = [
        measure_burn(objective, inside, window_ms)
        for inside in by_window.values()
    ]
    return max(burns, key=lambda burn: burn.availability_rate)


def find_weighted_availability(
    objectives: Sequence[Objective],
    observations: Sequence[Observation],
) -> float:
    """Return the share of requests executed, weighted by kind, in percent."""
    weight_by_kind = {one.kind: one.weight for one in objectives}
    total = sum(weight_by_kind.get(one.kind, 0) for one in observations)
    served = sum(
        weight_by_kind.get(one.kind, 0) for one in observations if one.executed
    )
    return _PERCENT * served / total if total else _PERCENT
