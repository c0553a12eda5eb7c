"""Open-loop schedules of requests, drawn from a seed."""

import dataclasses
import random
from collections.abc import Mapping

from lentilgauge.load import topology

US_PER_SECOND = 1_000_000
MS_PER_SECOND = 1000
_PROBE_KEY_PREFIX = 'probe-'
_KEY_SKEW_BASE = 1.1
_DEMAND_BODY_BYTES = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """One request of a schedule.

    `at_us` counts from the start of the schedule; `size` is the least
    length of the body of a `POST`.
    """

    at_us: int
    kind: str
    key: str
    size: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Parameters of random demand.

    `share_by_kind` gives the relative frequency of each kind. Of the
    `keys` keys the lowest are requested most often.
    """

    rate_per_second: float
    seconds: float
    share_by_kind: Mapping[str, float]
    keys: int
    seed: int


def _draw_key(random_source: random.Random, keys: int) -> str:
    """Draw a key from a skewed distribution, low numbers most often."""
    return str(int(keys * random_source.random() ** _KEY_SKEW_BASE**4))


def draw_arrivals(demand: Demand) -> list[Arrival]:
    """Draw arrivals as a Poisson process."""
    random_source = random.Random(demand.seed)  # ruff: ignore[suspicious-non-cryptographic-random-usage]
    kind_names = list(demand.share_by_kind)
    shares = list(demand.share_by_kind.values())
    arrivals = []
    at_seconds = random_source.expovariate(demand.rate_per_second)
    while at_seconds < demand.seconds:
        arrivals.append(
            Arrival(
                at_us=int(at_seconds * US_PER_SECOND),
                kind=random_source.choices(kind_names, shares)[0],
                key=_draw_key(random_source, demand.keys),
                size=_DEMAND_BODY_BYTES,
            ),
        )
        at_seconds += random_source.expovariate(demand.rate_per_second)
    return arrivals


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probing:
    """Periodic probes of each of `keys` keys for `seconds` in all."""

    kind: str
    keys: int
    interval_ms: int
    seconds: float


def is_probe(key: str) -> bool:
    """Return whether a key belongs to probes."""
    return key.startswith(_PROBE_KEY_PREFIX)


def draw_probes(probing: Probing) -> list[Arrival]:
    """Make the arrivals of probes; the keys are spread over each interval."""
    interval_us = probing.interval_ms * US_PER_SECOND // MS_PER_SECOND
    rounds = int(probing.seconds * MS_PER_SECOND / probing.interval_ms)
    return [
        Arrival(
            at_us=round_number * interval_us
            + number * interval_us // probing.keys,
            kind=probing.kind,
            key=f'{_PROBE_KEY_PREFIX}{number}',
            size=0,
        )
        for round_number in range(rounds)
        for number in range(probing.keys)
    ]


def merge_arrivals(*arrival_lists: list[Arrival]) -> list[Arrival]:
    """Merge schedules, ordered by arrival time."""
    return sorted(
        (arrival for arrival_list in arrival_lists for arrival in arrival_list),
        key=lambda arrival: arrival.at_us,
    )


def index_kinds(shape: topology.Topology) -> dict[str, topology.Kind]:
    """Map the kinds of a system by their names."""
    return {kind.name: kind for kind in shape.kinds}
