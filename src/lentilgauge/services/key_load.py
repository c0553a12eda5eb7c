"""Request counts by key, with exponential decay."""

import dataclasses
import math

#: Time in which counts decay to about a third: long enough to average out
#: random variation, short enough that a hot key shows within seconds.
DECAY_MS = 3000
#: Number of requests per upstream that a new service is assumed to have had;
#: those not counted yet are taken to be spread evenly over the keys.
PRIOR_REQUESTS_PER_UPSTREAM = 20
#: Minimum total weight per upstream to judge which upstreams are busy.
_MIN_WEIGHT_PER_UPSTREAM = 4
#: Keys with a lower weight are dropped to bound memory use.
_MIN_WEIGHT = 0.02


@dataclasses.dataclass(slots=True, kw_only=True)
class KeyLoad:
    """Decayed request counts by key, called weights, as of `decayed_ms`.

    `counted` is the number of requests ever counted, without decay.
    `never_balanced` is set if the service's keys have not been placed by
    their load before.
    """

    weight_by_key: dict[int, float] = dataclasses.field(default_factory=dict)
    decayed_ms: int = 0
    counted: int = 0
    never_balanced: bool = True


def add_count(load: KeyLoad, key: int, count: int) -> None:
    """Add requests that were counted for a key."""
    load.counted += count
    load.weight_by_key[key] = load.weight_by_key.get(key, 0) + count


def decay_counts(load: KeyLoad, now_ms: int) -> None:
    """Apply the decay since the last call to all counts."""
    decay = math.exp(-max(now_ms - load.decayed_ms, 0) / DECAY_MS)
    load.decayed_ms = now_ms
    load.weight_by_key = {
        key: weight * decay
        for key, weight in load.weight_by_key.items()
        if weight * decay > _MIN_WEIGHT
    }


def list_weights(load: KeyLoad) -> list[tuple[int, float]]:
    """Return the keys with their weights, sorted by key."""
    return sorted(load.weight_by_key.items())


def compute_prior_weight(load: KeyLoad, upstream_count: int) -> float:
    """Return the weight to spread evenly in place of missing counts."""
    if not load.never_balanced:
        return 0
    return max(PRIOR_REQUESTS_PER_UPSTREAM * upstream_count - load.counted, 0)


def has_enough_counts(load: KeyLoad, upstream_count: int) -> bool:
    """Return whether there are enough counts to judge the upstreams' load.

    A granter that has just taken over has too few: the keys were placed by the
    counts of its predecessor.
    """
    if compute_prior_weight(load, upstream_count):
        return True
    return (
        sum(load.weight_by_key.values())
        >= _MIN_WEIGHT_PER_UPSTREAM * upstream_count
    )
