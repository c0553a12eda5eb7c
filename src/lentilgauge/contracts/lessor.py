"""Keep the controller's side of a lease: what was granted, until when."""

import dataclasses

from lentilgauge.contracts import lease

_PER_MILLE = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Terms:
    """Hold the lengths that a lease is made of.

    The drift bounds how much faster our clock may run than an upstream's.
    """

    lease_ms: int
    drift_per_mille: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Echo:
    """Hold an upstream's clock as last heard, and when we heard it."""

    incarnation: str
    clock_ms: int
    heard_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Lessor:
    """Hold one upstream's lease as its controller knows it.

    `lapse_deadline_ms`, in our clock, is when every lease ever granted has
    surely lapsed; `None` means that an earlier controller's grants are
    still unaccounted for. `acked_slots` are what the upstream last accepted
    and `busy_slots` those it still runs requests of. The witnesses are those
    of the term's record, with until when each vouches, in our clock;
    `move_deadline_by_number` and `vacate_deadline_ms` are for an upstream
    that does not check tokens: until when entries may still send it what is
    to go to others.
    `granted_deadline_ms` is the lapse of what we granted ourselves and
    `settled_ms` that of all earlier terms' grants. It is `ready` to grant
    once it has read the slot map anew.
    """

    upstream_id: str
    term: int
    checks_tokens: bool = True
    lapse_deadline_ms: int | None
    sequence: int = 0
    echo: Echo | None = None
    granted_slots: tuple[lease.SlotGrant, ...] | None = None
    acked_slots: tuple[lease.SlotGrant, ...] | None = None
    busy_slots: frozenset[int] = frozenset()
    renewal_deadline_ms: int = 0
    move_deadline_by_number: dict[int, int] = dataclasses.field(
        default_factory=dict,
    )
    vacate_deadline_ms: int | None = None
    opened_ms: int = 0
    granted_deadline_ms: int = 0
    stepped_down: bool = False
    record_unsure: bool = False
    settled_ms: int | None = None
    ready: bool = False
    granted_map_epoch: int = 0
    incarnation_by_witness: dict[str, str] = dataclasses.field(
        default_factory=dict,
    )
    vouch_deadline_by_vm: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )

    @property
    def token(self) -> lease.Token:
        """The token of the latest grant."""
        return lease.Token(self.term, self.sequence)


def stretch(terms: Terms, span_ms: int) -> int:
    """Return how long a span of another clock may last in ours."""
    drift_ms = -(-span_ms * terms.drift_per_mille // _PER_MILLE)
    return span_ms + drift_ms


def make_poll(lessor: Lessor) -> lease.Grant:
    """Make a grant that any upstream refuses, to hear its clock and state."""
    return lease.Grant(
        upstream_id=lessor.upstream_id,
        incarnation='',
        token=lessor.token,
        deadline_ms=0,
    )


def make_grant(
    lessor: Lessor,
    terms: Terms,
    echo: Echo,
    wanted: tuple[lease.SlotGrant, ...],
) -> lease.Grant:
    """Make the next grant and account for it before it is sent."""
    if lessor.granted_slots != wanted:
        lessor.sequence += 1
        lessor.granted_slots = wanted
        lessor.acked_slots = None
    _extend_lapse(lessor, terms, echo)
    return lease.Grant(
        upstream_id=lessor.upstream_id,
        incarnation=echo.incarnation,
        token=lessor.token,
        deadline_ms=echo.clock_ms + terms.lease_ms,
        slots=None if lessor.acked_slots == wanted else wanted,
    )


def _extend_lapse(lessor: Lessor, terms: Terms, echo: Echo) -> None:
    """Move the lapse past the deadline that is about to be sent.

    The upstream's clock showed `clock_ms` no later than we heard it, so it
    shows the deadline no later than the lease's length after that.
    """
    lapse_ms = echo.heard_ms + stretch(terms, terms.lease_ms)
    lessor.granted_deadline_ms = max(lessor.granted_deadline_ms, lapse_ms)
    if lessor.lapse_deadline_ms is not None:
        lessor.lapse_deadline_ms = max(lessor.lapse_deadline_ms, lapse_ms)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantReply:
    """Hold an upstream's answer to a grant, with its clock and its work."""

    incarnation: str
    clock_ms: int
    refusal: lease.GrantRefusal | None
    token: lease.Token
    busy_slots: frozenset[int]


def absorb_reply(
    lessor: Lessor,
    terms: Terms,
    grant: lease.Grant,
    reply: GrantReply,
    heard_ms: int,
) -> None:
    """Learn from an upstream's answer to a grant."""
    if lessor.echo and lessor.echo.incarnation != reply.incarnation:
        # A new incarnation has lost what the old one was granted.
        lessor.acked_slots = None
    lessor.echo = Echo(
        incarnation=reply.incarnation,
        clock_ms=reply.clock_ms,
        heard_ms=heard_ms,
    )
    lessor.busy_slots = reply.busy_slots
    if reply.refusal is lease.GrantRefusal.SLOTS_MISSING:
        lessor.acked_slots = None
    if reply.refusal is None and grant.token == lessor.token:
        _note_acceptance(lessor, terms, heard_ms)


def _note_acceptance(lessor: Lessor, terms: Terms, heard_ms: int) -> None:
    """Account for an accepted grant.

    By an upstream that checks tokens, it has fenced off all earlier terms.
    """
    lessor.acked_slots = lessor.granted_slots
    if lessor.lapse_deadline_ms is None and lessor.checks_tokens:
        lessor.lapse_deadline_ms = heard_ms + stretch(terms, terms.lease_ms)
        lessor.settled_ms = heard_ms


def has_lapsed(lessor: Lessor, now_ms: int) -> bool:
    """Tell whether no lease granted to the upstream can still be held."""
    lapse_ms = lessor.lapse_deadline_ms
    return lapse_ms is not None and now_ms >= lapse_ms
