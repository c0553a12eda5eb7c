"""Keep what a stand-in's upstream holds, and the tokens it has seen."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """Hold a span of keys that was granted, and until when, in seconds."""

    start: int
    end: int
    fence: int
    until: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Holdings:
    """Hold the spans that are held, and the highest token of each span."""

    holds: list[Hold] = dataclasses.field(default_factory=list)
    fences: list[Hold] = dataclasses.field(default_factory=list)


def overlaps(one: Hold, other: Hold) -> bool:
    """Tell whether two spans share keys."""
    return one.start <= other.end and other.start <= one.end


def holds_key(holdings: Holdings, key: int, now: float) -> bool:
    """Tell whether a key is held now."""
    return any(
        hold.start <= key <= hold.end and hold.until > now
        for hold in holdings.holds
    )


def take_keys(holdings: Holdings, taken: Hold) -> bool:
    """Take a grant, unless a higher token was seen on one of its keys."""
    for seen in holdings.fences:
        if seen.fence > taken.fence and overlaps(seen, taken):
            return False
    free_keys(holdings, taken)
    holdings.holds.append(taken)
    return True


def free_keys(holdings: Holdings, span: Hold) -> None:
    """Take a span out of what is held; the rest goes on."""
    _see(holdings, span)
    left: list[Hold] = []
    for hold in holdings.holds:
        if not overlaps(hold, span):
            left.append(hold)
            continue
        if hold.start < span.start:
            left.append(dataclasses.replace(hold, end=span.start - 1))
        if hold.end > span.end:
            left.append(dataclasses.replace(hold, start=span.end + 1))
    holdings.holds = left


def _see(holdings: Holdings, order: Hold) -> None:
    """Keep an order's token, in place of lower ones of the same keys."""
    kept = [
        seen
        for seen in holdings.fences
        if seen.fence > order.fence
        or seen.start < order.start
        or seen.end > order.end
    ]
    holdings.fences = [*kept, order]
