"""Find upstreams that hold the same keys.

A grant that was read late, as the soak itself stood still, gives a hold that
lasts longer than its granter knows. Of two holds only the one with the lower
token may be exempt for that: the granter sent the other after it.
"""

import dataclasses
from collections.abc import Iterable

from lentilgauge.standins import gateway_upstream, key_holds

#: Process, token and expiry of a hold; they stay if a part of it is released.
HoldIdentity = tuple[str, int, float]
LateGrants = set[HoldIdentity]


@dataclasses.dataclass(slots=True, kw_only=True)
class Conflicts:
    """Names of upstreams that hold the keys of another.

    `exempt` has those where the hold with the lower token was granted late.
    """

    counted: list[str] = dataclasses.field(default_factory=list)
    exempt: list[str] = dataclasses.field(default_factory=list)


def identify_hold(
    upstream: gateway_upstream.Upstream, hold: key_holds.Hold
) -> HoldIdentity:
    """Return what tells a hold from all others."""
    process = f'{upstream.name}/{upstream.incarnation_ms}'
    return process, hold.fence, hold.expires_at


def find_own_hold(
    upstream: gateway_upstream.Upstream, key: int, now: float
) -> key_holds.Hold:
    """Find the hold under which an upstream serves a key.

    An upstream without one gets a hold with the lowest token.
    """
    unheld = key_holds.Hold(start=key, end=key, fence=-1, expires_at=now)
    own_holds = [
        dataclasses.replace(hold, start=key, end=key)
        for hold in upstream.hold_table.holds
        if hold.start <= key <= hold.end and hold.expires_at > now
    ]
    return max(own_holds, key=lambda hold: hold.fence, default=unheld)


def find_conflicts(
    upstreams: Iterable[gateway_upstream.Upstream],
    own: gateway_upstream.Upstream,
    own_hold: key_holds.Hold,
    late_grants: LateGrants,
    now: float,
) -> Conflicts:
    """Find the upstreams that hold keys of `own_hold`, which `own` has."""
    conflicts = Conflicts()
    own_identity = identify_hold(own, own_hold)
    for other in upstreams:
        rivals = [
            identify_hold(other, hold)
            for hold in other.hold_table.holds
            if hold.expires_at > now and key_holds.overlaps(hold, own_hold)
        ]
        if other.name == own.name or not rivals:
            continue
        exempt = all(
            _is_exempt(own_identity, rival, late_grants) for rival in rivals
        )
        (conflicts.exempt if exempt else conflicts.counted).append(other.name)
    return conflicts


def _is_exempt(
    first: HoldIdentity, second: HoldIdentity, late_grants: LateGrants
) -> bool:
    """Return whether of two holds that with the lower token was granted late.

    Two holds with equal tokens are never exempt.
    """
    _, first_fence, _ = first
    _, second_fence, _ = second
    if first_fence < second_fence:
        return first in late_grants
    return second_fence < first_fence and second in late_grants
