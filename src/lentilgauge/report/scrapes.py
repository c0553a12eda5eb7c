"""Read what gateways serve as metrics, and sum it over VMs."""

import dataclasses
import pathlib
import re
from collections.abc import Iterable

from lentilgauge import metrics
from lentilgauge.report import burn

_REQUESTS = 'lentilgauge_requests_total'
_BUCKET = 'lentilgauge_request_duration_seconds_bucket'
_EXECUTED = 'executed'
_LINE = re.compile(
    r'(?P<name>\w+)\{(?P<pairs>[^}]*)\} (?P<number>[\d.]+)$',
)
_PAIR = re.compile(r'(\w+)="([^"]*)"')


@dataclasses.dataclass(slots=True, kw_only=True)
class RouteCounts:
    """Hold a route's requests by outcome, and by duration up to a bound."""

    count_by_outcome: dict[str, int] = dataclasses.field(default_factory=dict)
    count_by_bound_ms: dict[float, int] = dataclasses.field(
        default_factory=dict,
    )


CountsByRoute = dict[str, RouteCounts]


def read_scrapes(paths: Iterable[pathlib.Path]) -> CountsByRoute:
    """Sum the scrapes of several VMs by route; other lines are passed over."""
    counts: CountsByRoute = {}
    for path in paths:
        for line in path.read_text(encoding='utf-8').splitlines():
            _take_line(counts, line)
    return counts


def _take_line(counts: CountsByRoute, line: str) -> None:
    found = _LINE.match(line)
    if found is None:
        return
    pairs = dict(_PAIR.findall(found['pairs']))
    route = pairs.get('route', '')
    number = int(float(found['number']))
    if found['name'] == _REQUESTS:
        counted = counts.setdefault(route, RouteCounts()).count_by_outcome
        outcome = pairs.get('outcome', '')
        counted[outcome] = counted.get(outcome, 0) + number
    elif found['name'] == _BUCKET:
        bounds = counts.setdefault(route, RouteCounts()).count_by_bound_ms
        bound_ms = float(pairs['le']) * metrics.US_PER_MS
        bounds[bound_ms] = bounds.get(bound_ms, 0) + number


def measure_route(objective: burn.Objective, counts: RouteCounts) -> burn.Burn:
    """Measure a route's burn since its gateways started.

    A request is late if it took longer than the least bound of a bucket that
    isn't under the objective.
    """
    requests = sum(counts.count_by_outcome.values())
    executed = counts.count_by_outcome.get(_EXECUTED, 0)
    bounds = [
        bound
        for bound in counts.count_by_bound_ms
        if bound >= objective.latency_ms
    ]
    in_time = counts.count_by_bound_ms[min(bounds)] if bounds else requests
    failed = requests - executed
    late = min(max(requests - in_time, 0), executed)
    return burn.Burn(
        kind=objective.kind,
        window_ms=0,
        requests=requests,
        failed=failed,
        late=late,
        availability_rate=burn.find_rate(
            failed,
            requests,
            objective.availability,
        ),
        latency_rate=burn.find_rate(late, requests, objective.in_time),
        errors={
            outcome: number
            for outcome, number in counts.count_by_outcome.items()
            if outcome != _EXECUTED
        },
    )
