"""Compare the fencing tokens under which processes were granted keys."""

from lentilgauge.standins import gateway_upstream, key_holds

#: Highest token of each key range that a process was granted, by process.
TokensByProcess = dict[str, key_holds.HoldTable]


def record_grant(
    tokens_by_process: TokensByProcess,
    upstream: gateway_upstream.Upstream,
    granted: key_holds.Hold,
    now: float,
) -> list[str]:
    """Record an accepted grant; return earlier ones whose token isn't lower.

    Only grants to other processes are returned, other lives of the same id
    included. A grant that was carried out after its expiry gave no right to
    the keys, so it isn't recorded.
    """
    if granted.expires_at <= now:
        return []
    process = f'{upstream.name}/{upstream.incarnation_ms}'
    earlier_grants = [
        f'{seen.start}-{seen.end} to {other} with {seen.fence}'
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
