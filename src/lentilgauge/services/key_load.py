"""Count how often each key is asked for, with old counts fading."""

import dataclasses
import math

#: Counts fade to a third within this span: long enough that chance counts for
#: little, short enough that a hot key shows within seconds.
FADE_MS = 3000
#: As long as fewer requests than this were ever counted for each upstream of
#: a new service, the rest is taken to be spread evenly over the keys.
PRIOR_EACH = 20
#: Less than this for each upstream says nothing about who is busy.
_LEAST_EACH = 4
#: Counts under this are dropped, to bound the memory.
_LEAST_WEIGHT = 0.02


@dataclasses.dataclass(slots=True, kw_only=True)
class KeyLoad:
    """Hold faded counts by key, as of a moment.

    `first` says that the service's keys were never placed by their load.
    """

    weight_by_key: dict[int, float] = dataclasses.field(default_factory=dict)
    faded_ms: int = 0
    counted: int = 0
    first: bool = True


def add_count(load: KeyLoad, key: int, count: int) -> None:
    """Add what has been counted of a key."""
    load.counted += count
    load.weight_by_key[key] = load.weight_by_key.get(key, 0) + count


def fade(load: KeyLoad, now_ms: int) -> None:
    """Fade all counts for the time that has passed."""
    share = math.exp(-max(now_ms - load.faded_ms, 0) / FADE_MS)
    load.faded_ms = now_ms
    load.weight_by_key = {
        key: weight * share
        for key, weight in load.weight_by_key.items()
        if weight * share > _LEAST_WEIGHT
    }


def list_weights(load: KeyLoad) -> list[tuple[int, float]]:
    """List keys with their weights in order of the keys."""
    return sorted(load.weight_by_key.items())


def count_prior(load: KeyLoad, upstreams: int) -> float:
    """Return the weight to be spread evenly for want of counts."""
    if not load.first:
        return 0
    return max(PRIOR_EACH * upstreams - load.counted, 0)


def knows_enough(load: KeyLoad, upstreams: int) -> bool:
    """Tell whether the counts say who is busy.

    A granter that takes over finds keys placed by a load that it hasn't seen.
    """
    if count_prior(load, upstreams):
        return True
    return sum(load.weight_by_key.values()) >= _LEAST_EACH * upstreams
