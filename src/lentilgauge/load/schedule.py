"""Draw the arrivals of requests, open-loop and from a seed."""

import dataclasses
import random
from collections.abc import Mapping

from lentilgauge.load import topology

US_PER_SECOND = 1_000_000
MS_PER_SECOND = 1000
_PROBE = 'probe-'
_KEY_SKEW = 1.1
_BODY_BYTES = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """Describe one request of a trace; `at_us` counts from its start."""

    at_us: int
    kind: str
    key: str
    size: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Describe the requests that callers send.

    `share_by_kind` weighs the kinds; the first few of the `keys` keys are
    hot.
    """

    rate_per_second: float
    seconds: float
    share_by_kind: Mapping[str, float]
    keys: int
    seed: int


def _draw_key(source: random.Random, keys: int) -> str:
    """Draw a key; low numbers are more frequent."""
    return str(int(keys * source.random() ** _KEY_SKEW**4))


def draw_arrivals(demand: Demand) -> list[Arrival]:
    """Draw the arrivals of a Poisson process."""
    source = random.Random(demand.seed)  # ruff: ignore[suspicious-non-cryptographic-random-usage]
    names = list(demand.share_by_kind)
    shares = list(demand.share_by_kind.values())
    arrivals = []
    at_seconds = source.expovariate(demand.rate_per_second)
    while at_seconds < demand.seconds:
        arrivals.append(
            Arrival(
                at_us=int(at_seconds * US_PER_SECOND),
                kind=source.choices(names, shares)[0],
                key=_draw_key(source, demand.keys),
                size=_BODY_BYTES,
            ),
        )
        at_seconds += source.expovariate(demand.rate_per_second)
    return arrivals


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probing:
    """Describe probes: each of `keys` keys asked for at an even interval."""

    kind: str
    keys: int
    interval_ms: int
    seconds: float


def is_probe(key: str) -> bool:
    """Tell whether a key is one that probes ask for."""
    return key.startswith(_PROBE)


def draw_probes(probing: Probing) -> list[Arrival]:
    """Draw the arrivals of probes, their keys out of step."""
    interval_us = probing.interval_ms * US_PER_SECOND // MS_PER_SECOND
    rounds = int(probing.seconds * MS_PER_SECOND / probing.interval_ms)
    return [
        Arrival(
            at_us=turn * interval_us + number * interval_us // probing.keys,
            kind=probing.kind,
            key=f'{_PROBE}{number}',
            size=0,
        )
        for turn in range(rounds)
        for number in range(probing.keys)
    ]


def merge_arrivals(*parts: list[Arrival]) -> list[Arrival]:
    """Merge arrivals in the order of their time."""
    return sorted(
        (arrival for part in parts for arrival in part),
        key=lambda arrival: arrival.at_us,
    )


def index_kinds(shape: topology.Topology) -> dict[str, topology.Kind]:
    """Index the kinds of a system by name."""
    return {kind.name: kind for kind in shape.kinds}
