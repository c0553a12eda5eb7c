"""Keep the upstream's side of a lease: accept grants, refuse stale work."""

import dataclasses
from collections.abc import Mapping

from returns import result

from lentilgauge.contracts import lease

#: The epoch of a request to a pooled service, which has no slots.
NO_SLOT = -1


@dataclasses.dataclass(slots=True, kw_only=True)
class Holder:
    """Hold the lease of one upstream's incarnation.

    `deadline_ms` is in this incarnation's monotonic clock.
    """

    incarnation: str
    token: lease.Token = lease.NO_TOKEN
    deadline_ms: int = 0
    epoch_by_slot: Mapping[int, int] = dataclasses.field(default_factory=dict)


def accept_grant(
    holder: Holder,
    grant: lease.Grant,
    now_ms: int,
) -> result.Result[None, lease.GrantRefusal]:
    """Take a grant on, or say why not; a refused grant changes nothing."""
    refusal = _find_grant_refusal(holder, grant, now_ms)
    if refusal is not None:
        return result.Failure(refusal)
    if grant.token == holder.token:
        # An older renewal of this token that was overtaken shortens nothing.
        holder.deadline_ms = max(holder.deadline_ms, grant.deadline_ms)
        return result.Success(None)
    holder.token = grant.token
    holder.deadline_ms = grant.deadline_ms
    holder.epoch_by_slot = {
        granted.slot: granted.epoch for granted in grant.slots or ()
    }
    return result.Success(None)


def _find_grant_refusal(
    holder: Holder,
    grant: lease.Grant,
    now_ms: int,
) -> lease.GrantRefusal | None:
    if grant.incarnation != holder.incarnation:
        return lease.GrantRefusal.WRONG_INCARNATION
    if grant.token < holder.token:
        return lease.GrantRefusal.STALE_TOKEN
    if grant.deadline_ms <= now_ms:
        return lease.GrantRefusal.DEADLINE_PAST
    if grant.slots is None and grant.token != holder.token:
        return lease.GrantRefusal.SLOTS_MISSING
    return None


def find_run_refusal(
    holder: Holder,
    wanted: lease.SlotGrant,
    now_ms: int,
) -> lease.RunRefusal | None:
    """Tell why a request may not start now, or `None` if it may."""
    if now_ms >= holder.deadline_ms:
        return lease.RunRefusal.LEASE_LAPSED
    if wanted.slot == NO_SLOT:
        return None
    epoch = holder.epoch_by_slot.get(wanted.slot)
    if epoch is None:
        return lease.RunRefusal.NOT_OWNER
    if epoch != wanted.epoch:
        return lease.RunRefusal.STALE_EPOCH
    return None
