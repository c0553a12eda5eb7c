"""Holds of an upstream stand-in, and the fencing tokens that it has seen."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """Right to an inclusive range of keys, under a fencing token.

    `expires_at` is the time at which it expires, in seconds of the monotonic
    clock.
    """

    start: int
    end: int
    fence: int
    expires_at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class HoldTable:
    """Granted holds, and the highest fencing token seen for each key range."""

    holds: list[Hold] = dataclasses.field(default_factory=list)
    fences: list[Hold] = dataclasses.field(default_factory=list)


def overlaps(first: Hold, second: Hold) -> bool:
    """Return whether two key ranges have a key in common."""
    return first.start <= second.end and second.start <= first.end


def holds_key(hold_table: HoldTable, key: int, now: float) -> bool:
    """Return whether an unexpired hold covers a key."""
    return any(
        hold.start <= key <= hold.end and hold.expires_at > now
        for hold in hold_table.holds
    )


def accept_grant(hold_table: HoldTable, granted: Hold) -> bool:
    """Accept a grant, unless one of its keys has seen a higher token."""
    for seen in hold_table.fences:
        if seen.fence > granted.fence and overlaps(seen, granted):
            return False
    release_keys(hold_table, granted)
    hold_table.holds.append(granted)
    return True


def release_keys(hold_table: HoldTable, released: Hold) -> None:
    """Release a key range; holds that reach beyond it keep the other keys."""
    record_token(hold_table, released)
    remaining: list[Hold] = []
    for hold in hold_table.holds:
        if not overlaps(hold, released):
            remaining.append(hold)
            continue
        if hold.start < released.start:
            remaining.append(dataclasses.replace(hold, end=released.start - 1))
        if hold.end > released.end:
            remaining.append(dataclasses.replace(hold, start=released.end + 1))
    hold_table.holds = remaining


def record_token(hold_table: HoldTable, order: Hold) -> None:
    """Record an order's token.

    It replaces those within its key range that aren't higher.
    """
    kept = [
        seen
        for seen in hold_table.fences
        if seen.fence > order.fence
        or seen.start < order.start
        or seen.end > order.end
    ]
    hold_table.fences = [*kept, order]
