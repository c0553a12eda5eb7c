"""Scraped metrics of gateways, summed over VMs."""

import dataclasses
import pathlib
import re
from collections.abc import Iterable

from lentilgauge import metrics
from lentilgauge.report import burn_rates

_REQUESTS_METRIC = 'lentilgauge_requests_total'
_DURATION_BUCKET_METRIC = 'lentilgauge_request_duration_seconds_bucket'
_EXECUTED_OUTCOME = 'executed'
_SAMPLE_PATTERN = re.compile(
    r'(?P<name>\w+)\{(?P<pairs>(?:\w+="(?:[^"\\]|\\.)*",?)*)\} '
    r'(?P<number>[\d.]+)$',
)
_LABEL_PATTERN = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')
_ESCAPE_PATTERN = re.compile(r'\\(.)')
_NEWLINE_ESCAPE = 'n'


@dataclasses.dataclass(slots=True, kw_only=True)
class RouteCounts:
    """Requests of a route by outcome and, cumulatively, by duration."""

    count_by_outcome: dict[str, int] = dataclasses.field(default_factory=dict)
    count_by_bound_ms: dict[float, int] = dataclasses.field(
        default_factory=dict,
    )


CountsByRoute = dict[str, RouteCounts]


def read_scrapes(paths: Iterable[pathlib.Path]) -> CountsByRoute:
    """Sum the scrapes of several VMs by route, skipping other metrics."""
    counts_by_route: CountsByRoute = {}
    for path in paths:
        for line in path.read_bytes().decode().split('\n'):
            _add_sample(counts_by_route, line)
    return counts_by_route


def _unescape(escape: re.Match[str]) -> str:
    """Return the character that an escape in a label's value stands for."""
    return '\n' if escape[1] == _NEWLINE_ESCAPE else escape[1]


def _read_label_pairs(pairs: str) -> dict[str, str]:
    return {
        match[1]: _ESCAPE_PATTERN.sub(_unescape, match[2])
        for match in _LABEL_PATTERN.finditer(pairs)
    }


def _add_sample(counts_by_route: CountsByRoute, line: str) -> None:
    sample = _SAMPLE_PATTERN.match(line)
    if sample is None:
        return
    label_pairs = _read_label_pairs(sample['pairs'])
    route = label_pairs.get('route', '')
    sample_count = int(float(sample['number']))
    if sample['name'] == _REQUESTS_METRIC:
        outcome_counts = counts_by_route.setdefault(
            route, RouteCounts()
        ).count_by_outcome
        outcome = label_pairs.get('outcome', '')
        outcome_counts[outcome] = outcome_counts.get(outcome, 0) + sample_count
    elif sample['name'] == _DURATION_BUCKET_METRIC:
        bucket_counts = counts_by_route.setdefault(
            route, RouteCounts()
        ).count_by_bound_ms
        bound_ms = float(label_pairs['le']) * metrics.US_PER_MS
        bucket_counts[bound_ms] = bucket_counts.get(bound_ms, 0) + sample_count


def measure_route(
    objective: burn_rates.Objective, counts: RouteCounts
) -> burn_rates.BurnMeasurement:
    """Measure the burn rates of a route since its gateways started.

    A request is late if it took longer than the smallest bucket bound that
    isn't below the objective's latency.
    """
    requests = sum(counts.count_by_outcome.values())
    executed = counts.count_by_outcome.get(_EXECUTED_OUTCOME, 0)
    bounds_ms = [
        upper_bound_ms
        for upper_bound_ms in counts.count_by_bound_ms
        if upper_bound_ms >= objective.latency_ms
    ]
    in_time = (
        counts.count_by_bound_ms[min(bounds_ms)] if bounds_ms else requests
    )
    failed = requests - executed
    late = min(max(requests - in_time, 0), executed)
    return burn_rates.BurnMeasurement(
        kind=objective.kind,
        window_ms=0,
        requests=requests,
        failed=failed,
        late=late,
        availability_rate=burn_rates.compute_burn_rate(
            failed,
            requests,
            objective.availability,
        ),
        latency_rate=burn_rates.compute_burn_rate(
            late, executed, objective.in_time
        ),
        count_by_error={
            outcome: request_count
            for outcome, request_count in counts.count_by_outcome.items()
            if outcome != _EXECUTED_OUTCOME
        },
    )
