"""Witness state: which controller may keep granting an upstream's lease.

While the platform is unreachable, a controller keeps granting as long as a
majority of the witnesses named in its term's record vouch for it. A
controller that opens a later term asks the witnesses to release all earlier
terms. A witness never vouches for a term that it has released, and any two
majorities share a witness, so a term that a majority has released can't get a
majority of new vouches. Witnesses keep no log and elect no leader. Their state
is in memory only. A term's record names each witness with its incarnation, so
a restarted one no longer counts.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True, kw_only=True)
class Vouch:
    """Latest term vouched for, and the latest deadline of any vouch so far.

    `deadline_ms` is on the witness's clock.
    """

    term: int
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WitnessId:
    """VM that a term's record names as a witness, and its incarnation."""

    vm: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WitnessSet:
    """Witnesses that a version of a term's record names, if it is written.

    Without members there is no quorum.
    """

    version: int
    members: frozenset[WitnessId]


@dataclasses.dataclass(slots=True, kw_only=True)
class Witness:
    """Vouches and releases by one VM's controller in its role as a witness.

    Terms below `lowest_term_by_upstream` have been released.
    """

    lowest_term_by_upstream: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    vouch_by_upstream: dict[str, Vouch] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TermClaim:
    """Upstream and term in a request to vouch or to release earlier terms."""

    upstream_id: str
    term: int


def vouch(
    witness: Witness,
    term_claim: TermClaim,
    deadline_ms: int,
) -> bool:
    """Vouch for a term until a deadline; return `False` if it was released."""
    lowest_term = witness.lowest_term_by_upstream.get(term_claim.upstream_id, 0)
    if term_claim.term < lowest_term:
        return False
    # Vouching for a term releases all earlier ones.
    witness.lowest_term_by_upstream[term_claim.upstream_id] = term_claim.term
    latest_vouch = witness.vouch_by_upstream.get(term_claim.upstream_id)
    # A vouch given before may be relied on until its own deadline, so a shorter
    # new vouch doesn't replace that deadline.
    latest_deadline_ms = (
        deadline_ms if latest_vouch is None else latest_vouch.deadline_ms
    )
    witness.vouch_by_upstream[term_claim.upstream_id] = Vouch(
        term=term_claim.term,
        deadline_ms=max(deadline_ms, latest_deadline_ms),
    )
    return True


def release_earlier_terms(
    witness: Witness,
    term_claim: TermClaim,
    now_ms: int,
) -> int:
    """Release all terms below the claim's.

    Return for how many milliseconds the latest vouch still holds, 0 if none
    does.
    """
    lowest_term = witness.lowest_term_by_upstream.get(term_claim.upstream_id, 0)
    witness.lowest_term_by_upstream[term_claim.upstream_id] = max(
        lowest_term, term_claim.term
    )
    latest_vouch = witness.vouch_by_upstream.get(term_claim.upstream_id)
    if latest_vouch is None:
        return 0
    return max(0, latest_vouch.deadline_ms - now_ms)


def get_quorum_size(witness_count: int) -> int:
    """Return the size of a quorum: more than half of the named witnesses."""
    return witness_count // 2 + 1


def get_blocking_release_count(witness_count: int) -> int:
    """Return how many releases make a quorum of vouches impossible."""
    return max(0, witness_count - get_quorum_size(witness_count) + 1)


def find_quorum_deadline(deadlines_ms: list[int], witness_count: int) -> int:
    """Return until when a quorum vouches, or 0 without a quorum.

    `deadlines_ms` has one entry for each witness that has vouched. These and
    the returned time are on the clock of the controller that got the vouches.
    """
    quorum = get_quorum_size(witness_count)
    if len(deadlines_ms) < quorum:
        return 0
    return sorted(deadlines_ms, reverse=True)[quorum - 1]
