"""Define the lease by which a controller lets an upstream own slots."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Token:
    """Order grants: a higher token fences off every lower one.

    The term grows when another controller takes over; within a term the
    sequence grows with each change of the granted slots.
    """

    term: int
    sequence: int


NO_TOKEN = Token(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGrant:
    """Let an upstream serve one slot from one epoch on."""

    slot: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Grant or renew a lease.

    `deadline_ms` is in the monotonic clock of the upstream's `incarnation`:
    a grant that was held up on its way arrives with its deadline already
    past. `slots` is `None` in a renewal, which keeps what the token granted.
    """

    upstream_id: str
    incarnation: str
    token: Token
    deadline_ms: int
    slots: tuple[SlotGrant, ...] | None = None


class GrantRefusal(enum.StrEnum):
    """Name every reason for which an upstream refuses a grant."""

    WRONG_INCARNATION = 'wrong_incarnation'
    STALE_TOKEN = 'stale_token'  # ruff: ignore[hardcoded-password-string]
    DEADLINE_PAST = 'deadline_past'
    SLOTS_MISSING = 'slots_missing'
    LEAVING = 'leaving'


class RunRefusal(enum.StrEnum):
    """Name every reason for which an upstream refuses to run a request."""

    NOT_OWNER = 'not_owner'
    STALE_EPOCH = 'stale_epoch'
    LEASE_LAPSED = 'lease_lapsed'
    DEADLINE_PAST = 'deadline_past'
    BUSY = 'busy'
    LEAVING = 'leaving'
