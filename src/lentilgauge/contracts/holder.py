"""Upstream's side of a lease: accept grants and refuse stale requests."""

import dataclasses
from collections.abc import Mapping

from returns import result

from lentilgauge.contracts import lease

#: Slot number in a request to a pooled service, which has no slots.
NO_SLOT = -1


@dataclasses.dataclass(slots=True, kw_only=True)
class Holder:
    """Lease held by one incarnation, a run of the upstream's process.

    The lease expires at `deadline_ms` on the monotonic clock of this
    incarnation. `token` is the highest fencing token accepted so far.
    `epoch_by_slot` has the slots that were granted with it.
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
    """Apply a grant, or return why it is refused and change nothing."""
    refusal = _find_grant_refusal(holder, grant, now_ms)
    if refusal is not None:
        return result.Failure(refusal)
    if grant.token == holder.token:
        # A renewal that arrives out of order must not shorten the lease.
        holder.deadline_ms = max(holder.deadline_ms, grant.deadline_ms)
        return result.Success(None)
    holder.token = grant.token
    holder.deadline_ms = grant.deadline_ms
    holder.epoch_by_slot = {
        slot_grant.slot: slot_grant.epoch for slot_grant in grant.slots or ()
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
    slot_grant: lease.SlotGrant,
    now_ms: int,
) -> lease.RunRefusal | None:
    """Return why a request may not start now, or `None` if it may."""
    if now_ms >= holder.deadline_ms:
        return lease.RunRefusal.LEASE_LAPSED
    if slot_grant.slot == NO_SLOT:
        return None
    epoch = holder.epoch_by_slot.get(slot_grant.slot)
    if epoch is None:
        return lease.RunRefusal.NOT_OWNER
    if epoch != slot_grant.epoch:
        return lease.RunRefusal.STALE_EPOCH
    return None
