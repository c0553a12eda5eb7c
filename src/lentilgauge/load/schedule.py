"""Open-loop schedules of requests, drawn from a seed."""

import dataclasses
import random
from collections.abc import Mapping

from lentilgauge.load import topology

US_PER_SECOND = 1_000_000
MS_PER_SECOND = 1000
_PROBE_KEY_PREFIX = 'probe-'
#: Its fourth power is the exponent of the skew; at 1 keys would be uniform.
_KEY_SKEW_BASE = 1.1
_DEMAND_BODY_BYTES = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ScheduledRequest:
    """One request of a schedule.

    `at_us` counts from the start of the schedule; `min_body_bytes` is the least
    length of the body of a `POST`.
    """

    at_us: int
    kind: str
    key: str
    min_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Parameters of random demand.

    `share_by_kind` gives the relative frequency of each kind. Of the
    `key_count` keys the lowest are requested most often.
    """

    rate_per_second: float
    seconds: float
    share_by_kind: Mapping[str, float]
    key_count: int
    seed: int


def _draw_key(random_source: random.Random, key_count: int) -> str:
    """Draw a key from a skewed distribution, low numbers most often."""
    return str(int(key_count * random_source.random() ** _KEY_SKEW_BASE**4))


def draw_arrivals(demand: Demand) -> list[ScheduledRequest]:
    """Draw arrivals as a Poisson process."""
    random_source = random.Random(demand.seed)  # ruff: ignore[suspicious-non-cryptographic-random-usage]
    kind_names = list(demand.share_by_kind)
    shares = list(demand.share_by_kind.values())
    arrivals = []
    at_seconds = random_source.expovariate(demand.rate_per_second)
    while at_seconds < demand.seconds:
        arrivals.append(
            ScheduledRequest(
                at_us=int(at_seconds * US_PER_SECOND),
                kind=random_source.choices(kind_names, shares)[0],
                key=_draw_key(random_source, demand.key_count),
                min_body_bytes=_DEMAND_BODY_BYTES,
            ),
        )
        at_seconds += random_source.expovariate(demand.rate_per_second)
    return arrivals


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbePlan:
    """Periodic probes of each of `key_count` keys for `seconds` in all."""

    kind: str
    key_count: int
    interval_ms: int
    seconds: float


def is_probe_key(key: str) -> bool:
    """Return whether a key belongs to probes."""
    return key.startswith(_PROBE_KEY_PREFIX)


def draw_probes(probe_plan: ProbePlan) -> list[ScheduledRequest]:
    """Make the arrivals of probes; the keys are spread over each interval."""
    interval_us = probe_plan.interval_ms * US_PER_SECOND // MS_PER_SECOND
    rounds = int(probe_plan.seconds * MS_PER_SECOND / probe_plan.interval_ms)
    return [
        ScheduledRequest(
            at_us=round_number * interval_us
            + number * interval_us // probe_plan.key_count,
            kind=probe_plan.kind,
            key=f'{_PROBE_KEY_PREFIX}{number}',
            min_body_bytes=0,
        )
        for round_number in range(rounds)
        for number in range(probe_plan.key_count)
    ]


def merge_arrivals(
    *arrival_lists: list[ScheduledRequest],
) -> list[ScheduledRequest]:
    """Merge schedules, ordered by arrival time."""
    return sorted(
        (
            scheduled_request
            for arrival_list in arrival_lists
            for scheduled_request in arrival_list
        ),
        key=lambda scheduled_request: scheduled_request.at_us,
    )


def index_kinds(system_topology: topology.Topology) -> dict[str, topology.Kind]:
    """Map the kinds of a system by their names."""
    return {kind.name: kind for kind in system_topology.kinds}
