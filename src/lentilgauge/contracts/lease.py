"""Messages and refusals of the lease that lets an upstream own slots."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Token:
    """Fencing token of a grant.

    An upstream refuses a grant whose token is lower than the last accepted.
    The term increases when another controller takes over the upstream.
    Within a term, the sequence increases each time the granted slots change.
    """

    term: int
    sequence: int


NO_TOKEN = Token(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGrant:
    """Right to serve one slot in the given ownership epoch of the slot."""

    slot: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Request from a controller that grants or renews a lease.

    `deadline_ms` is on the monotonic clock of the upstream's `incarnation`,
    so a grant that is delayed in transit arrives with its deadline already
    past. `slots` is `None` in a renewal, which keeps the slots granted under
    the same token.
    """

    upstream_id: str
    incarnation: str
    token: Token
    deadline_ms: int
    slots: tuple[SlotGrant, ...] | None = None


class GrantRefusal(enum.StrEnum):
    """Reasons why an upstream refuses a grant."""

    WRONG_INCARNATION = 'wrong_incarnation'
    STALE_TOKEN = 'stale_token'  # ruff: ignore[hardcoded-password-string]
    DEADLINE_PAST = 'deadline_past'
    SLOTS_MISSING = 'slots_missing'
    LEAVING = 'leaving'


class RunRefusal(enum.StrEnum):
    """Reasons why an upstream refuses to run a request."""

    NOT_OWNER = 'not_owner'
    STALE_EPOCH = 'stale_epoch'
    LEASE_LAPSED = 'lease_lapsed'
    DEADLINE_PAST = 'deadline_past'
    BUSY = 'busy'
    LEAVING = 'leaving'
