"""Compare the fencing tokens under which processes were granted keys."""

import dataclasses

from lentilgauge.standins import gateway_upstream, key_holds

#: Highest token of each key range that a process was granted, by process.
TokensByProcess = dict[str, key_holds.HoldTable]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EarlierGrant:
    """Grant that a process had accepted before another got its keys."""

    process: str
    hold: key_holds.Hold


def describe_grant(earlier: EarlierGrant) -> str:
    """Describe an earlier grant in a report."""
    hold = earlier.hold
    return f'{hold.start}-{hold.end} to {earlier.process} with {hold.fence}'


def record_grant(
    tokens_by_process: TokensByProcess,
    upstream: gateway_upstream.Upstream,
    granted: key_holds.Hold,
    now: float,
) -> list[EarlierGrant]:
    """Record an accepted grant; return earlier ones whose token isn't lower.

    Only grants to other processes are returned, other lives of the same id
    included. A grant that was carried out after its expiry gave no right to
    the keys, so it isn't recorded.
    """
    if granted.expires_at <= now:
        return []
    process = f'{upstream.name}/{upstream.incarnation_ms}'
    earlier_grants = [
        EarlierGrant(process=other, hold=seen)
        for other, hold_table in tokens_by_process.items()
        for seen in hold_table.fences
        if other != process
        and seen.fence >= granted.fence
        and key_holds.overlaps(seen, granted)
    ]
    key_holds.record_token(
        tokens_by_process.setdefault(process, key_holds.HoldTable()), granted
    )
    return earlier_grants
