"""Controller's side of a lease: what was granted and when it lapses."""

import dataclasses

from lentilgauge.contracts import lease, witness

_PER_MILLE = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTiming:
    """Lease duration and the clock drift to allow for.

    The drift bounds how much faster the controller's clock may run than that
    of an upstream or of another controller.
    """

    lease_ms: int
    drift_per_mille: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClockReading:
    """Latest reading of an upstream's clock.

    `heard_ms` is when the reply arrived, on the controller's clock.
    """

    incarnation: str
    clock_ms: int
    heard_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Lessor:
    """State of one upstream's lease at the controller that grants it.

    All times are on the controller's clock. Every lease granted in this or
    any earlier term has lapsed by `lapse_deadline_ms`. That is `None` while
    an earlier controller's grants may still run for an unknown time.
    `own_grants_lapse_ms` is the same bound for this controller's own grants,
    and `earlier_terms_lapse_ms` for the grants of all earlier terms. The term
    was opened at `term_opened_ms`.

    `sequence` and `granted_slots` are those of the latest grant. `acked_slots`
    are the slots that the upstream last accepted, `busy_slots` those with
    requests in flight. `witness_sets` are the sets of witnesses that the
    term's record may name, more than one while the outcome of a write is
    unknown, and `vouch_deadline_by_witness` is until when each vouches for the
    term.

    An upstream that doesn't check tokens can't refuse stale requests:
    entries may keep sending it requests for slots that move away until the
    move's deadline in `deadline_by_move_number`, and for the slots of a
    released lease until `vacate_deadline_ms`.

    The controller may grant once it is `ready`, after a fresh read of the slot
    map, and until it has `stepped_down` for a later term. The next grant is due
    at `renewal_due_ms`; `granted_map_epoch` is the epoch of the slot map that
    the latest grant or poll was made from. `confirmed_moves` has the numbers of
    the moves claimed by this term that the upstream is asked to give up until
    `claims_expire_ms`; the claims are checked again at `claims_due_ms`.
    `sent_version_by_move` has the version of the slot map on which the latest
    write that completes a move is conditional, by the move's number. While
    `record_uncertain` is set, it is unknown whether a write of the term's
    record took effect. `stop_reason` is why the lease was not being renewed
    when that was last looked at, empty if it was.
    """

    upstream_id: str
    term: int
    checks_tokens: bool = True
    lapse_deadline_ms: int | None
    sequence: int = 0
    clock_reading: ClockReading | None = None
    granted_slots: tuple[lease.SlotGrant, ...] | None = None
    acked_slots: tuple[lease.SlotGrant, ...] | None = None
    busy_slots: frozenset[int] = frozenset()
    renewal_due_ms: int = 0
    deadline_by_move_number: dict[int, int] = dataclasses.field(
        default_factory=dict,
    )
    vacate_deadline_ms: int | None = None
    term_opened_ms: int = 0
    own_grants_lapse_ms: int = 0
    stepped_down: bool = False
    record_uncertain: bool = False
    stop_reason: str = ''
    earlier_terms_lapse_ms: int | None = None
    ready: bool = False
    granted_map_epoch: int = 0
    confirmed_moves: frozenset[int] = frozenset()
    sent_version_by_move: dict[int, int] = dataclasses.field(
        default_factory=dict
    )
    claims_due_ms: int = 0
    claims_expire_ms: int = 0
    witness_sets: set[witness.WitnessSet] = dataclasses.field(
        default_factory=set,
    )
    vouch_deadline_by_witness: dict[witness.WitnessId, int] = dataclasses.field(
        default_factory=dict,
    )

    @property
    def token(self) -> lease.Token:
        """Fencing token of the latest grant."""
        return lease.Token(self.term, self.sequence)


def bound_local_duration_ms(timing: LeaseTiming, span_ms: int) -> int:
    """Return how long a span on another clock may last on this one."""
    drift_ms = -(-span_ms * timing.drift_per_mille // _PER_MILLE)
    return span_ms + drift_ms


def make_poll(lessor: Lessor) -> lease.Grant:
    """Make a grant that every upstream refuses, to read its clock and state."""
    return lease.Grant(
        upstream_id=lessor.upstream_id,
        incarnation='',
        token=lessor.token,
        deadline_ms=0,
    )


def make_grant(
    lessor: Lessor,
    timing: LeaseTiming,
    clock_reading: ClockReading,
    slot_grants: tuple[lease.SlotGrant, ...],
) -> lease.Grant:
    """Make the next grant, extending the lapse bound before it is sent."""
    if lessor.granted_slots != slot_grants:
        lessor.sequence += 1
        lessor.granted_slots = slot_grants
        lessor.acked_slots = None
    _extend_lapse(lessor, timing, clock_reading)
    return lease.Grant(
        upstream_id=lessor.upstream_id,
        incarnation=clock_reading.incarnation,
        token=lessor.token,
        deadline_ms=clock_reading.clock_ms + timing.lease_ms,
        slots=None if lessor.acked_slots == slot_grants else slot_grants,
    )


def _extend_lapse(
    lessor: Lessor, timing: LeaseTiming, clock_reading: ClockReading
) -> None:
    """Move the lapse bound past the deadline that is about to be sent.

    The upstream's clock had reached `clock_ms` by the time that its reply
    arrived, so it reaches the deadline at most one lease duration later.
    """
    lapse_ms = clock_reading.heard_ms + bound_local_duration_ms(
        timing, timing.lease_ms
    )
    lessor.own_grants_lapse_ms = max(lessor.own_grants_lapse_ms, lapse_ms)
    if lessor.lapse_deadline_ms is not None:
        lessor.lapse_deadline_ms = max(lessor.lapse_deadline_ms, lapse_ms)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GrantReply:
    """Reply of an upstream to a grant, with its clock and busy slots.

    `refusal` is `None` if the grant was accepted.
    """

    incarnation: str
    clock_ms: int
    refusal: lease.GrantRefusal | None
    token: lease.Token
    busy_slots: frozenset[int]


def apply_reply(
    lessor: Lessor,
    timing: LeaseTiming,
    grant: lease.Grant,
    reply: GrantReply,
    heard_ms: int,
) -> None:
    """Update the lease state from an upstream's reply to a grant."""
    if (
        lessor.clock_reading
        and lessor.clock_reading.incarnation != reply.incarnation
    ):
        # A restarted upstream has lost the slots granted to its predecessor.
        lessor.acked_slots = None
    lessor.clock_reading = ClockReading(
        incarnation=reply.incarnation,
        clock_ms=reply.clock_ms,
        heard_ms=heard_ms,
    )
    lessor.busy_slots = reply.busy_slots
    if reply.refusal is lease.GrantRefusal.SLOTS_MISSING:
        lessor.acked_slots = None
    if reply.refusal is None and grant.token == lessor.token:
        _record_acceptance(lessor, timing, heard_ms)


def _record_acceptance(
    lessor: Lessor, timing: LeaseTiming, heard_ms: int
) -> None:
    """Record an accepted grant.

    An upstream that checks tokens has thereby fenced off all earlier terms.
    """
    lessor.acked_slots = lessor.granted_slots
    if lessor.lapse_deadline_ms is None and lessor.checks_tokens:
        lessor.lapse_deadline_ms = heard_ms + bound_local_duration_ms(
            timing, timing.lease_ms
        )
        lessor.earlier_terms_lapse_ms = heard_ms


def has_lapsed(lessor: Lessor, now_ms: int) -> bool:
    """Return whether every lease granted to the upstream has lapsed."""
    lapse_ms = lessor.lapse_deadline_ms
    return lapse_ms is not None and now_ms >= lapse_ms
