"""Count how often each key is asked for, with old counts fading."""

import dataclasses
import math

#: Counts fade to a third within this span: long enough that chance counts for
#: little, short enough that a hot key shows within seconds.
FADE_MS = 4000
#: Counts under this are dropped, to bound the memory.
_LEAST_WEIGHT = 0.02


@dataclasses.dataclass(slots=True, kw_only=True)
class KeyLoad:
    """Hold faded counts by key, as of a moment."""

    weight_by_key: dict[int, float] = dataclasses.field(default_factory=dict)
    faded_ms: int = 0


def add_count(load: KeyLoad, key: int, count: int) -> None:
    """Add what has been counted of a key."""
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
