"""Burn rates of the error budgets of each kind of request."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

_PERCENT = 100


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Objective:
    """Service level objective for a kind of request.

    `availability` is the share of requests that must be executed, `in_time`
    the share of these that must complete within `latency_ms`. `weight` is the
    kind's weight in the availability over all kinds.
    """

    kind: str
    availability: float
    latency_ms: float
    in_time: float
    weight: float = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """A request's arrival and outcome; `error` is what its caller received."""

    kind: str
    at_ms: float
    executed: bool
    latency_ms: float
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BurnMeasurement:
    """Burn rates of a kind of request in one window.

    At a rate of 1 the budget is spent exactly at the end of the objective's
    period. `count_by_error` counts the error kinds that callers received.
    """

    kind: str
    window_ms: float
    requests: int
    failed: int
    late: int
    availability_rate: float
    latency_rate: float
    count_by_error: Mapping[str, int]


def compute_burn_rate(bad: int, requests: int, objective_share: float) -> float:
    """Return the burn rate: the share of bad requests divided by the budget.

    Without a budget (`objective_share` is 1) it is the number of bad requests.
    """
    if not requests:
        return 0
    budget = 1 - objective_share
    return bad / requests / budget if budget else float(bad)


def measure_burn(
    objective: Objective,
    observations: Iterable[Observation],
    window_ms: float,
) -> BurnMeasurement:
    """Measure the burn rates of a kind over the observations of a window."""
    kind_observations = [
        request for request in observations if request.kind == objective.kind
    ]
    failed = sum(not request.executed for request in kind_observations)
    late = sum(
        request.executed and request.latency_ms > objective.latency_ms
        for request in kind_observations
    )
    count_by_error: dict[str, int] = {}
    for request in kind_observations:
        if request.error:
            count_by_error[request.error] = (
                count_by_error.get(request.error, 0) + 1
            )
    return BurnMeasurement(
        kind=objective.kind,
        window_ms=window_ms,
        requests=len(kind_observations),
        failed=failed,
        late=late,
        availability_rate=compute_burn_rate(
            failed,
            len(kind_observations),
            objective.availability,
        ),
        latency_rate=compute_burn_rate(
            late, len(kind_observations) - failed, objective.in_time
        ),
        count_by_error=count_by_error,
    )


def measure_windows(
    objectives: Sequence[Objective],
    observations: Sequence[Observation],
    windows_ms: Sequence[float],
) -> list[BurnMeasurement]:
    """Measure each kind over each window that ends at the last request."""
    end_ms = max((request.at_ms for request in observations), default=0)
    return [
        measure_burn(
            objective,
            [
                request
                for request in observations
                if request.at_ms > end_ms - window_ms
            ],
            window_ms,
        )
        for objective in objectives
        for window_ms in windows_ms
    ]


def find_worst_window(
    objective: Objective,
    observations: Sequence[Observation],
    window_ms: float,
) -> BurnMeasurement:
    """Find the window in which the availability budget burned fastest.

    The run is divided into consecutive windows of equal length; an empty run
    has one empty window.
    """
    observations_by_window: dict[int, list[Observation]] = {}
    for request in observations:
        observations_by_window.setdefault(
            int(request.at_ms // window_ms), []
        ).append(request)
    burns = [
        measure_burn(objective, window_observations, window_ms)
        for window_observations in observations_by_window.values() or ((),)
    ]
    return max(
        burns, key=lambda burn_measurement: burn_measurement.availability_rate
    )


def compute_weighted_availability(
    objectives: Sequence[Objective],
    observations: Sequence[Observation],
) -> float:
    """Return the percentage of requests executed, weighted by kind."""
    weight_by_kind = {
        kind_objective.kind: kind_objective.weight
        for kind_objective in objectives
    }
    total_weight = sum(
        weight_by_kind.get(request.kind, 0) for request in observations
    )
    executed_weight = sum(
        weight_by_kind.get(request.kind, 0)
        for request in observations
        if request.executed
    )
    return (
        _PERCENT * executed_weight / total_weight if total_weight else _PERCENT
    )
