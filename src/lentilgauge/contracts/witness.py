"""Keep a witness's word on who may grant an upstream's lease.

While the platform is out of reach, a controller goes on granting as long as
most of the witnesses named in its term's record vouch for it. Whoever opens
a later term has the witnesses release the earlier ones: any two majorities
share a witness, and a witness never vouches for what it has released. The
witnesses keep no log and elect nobody; all they hold is gone with them, and
a restarted one no longer counts as the one that was named.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True, kw_only=True)
class Vouch:
    """Hold until when a term was last vouched for, in the witness's clock."""

    term: int
    deadline_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Witness:
    """Hold what one VM's controller has vouched for and released.

    No term below `least_term_by_upstream` is vouched for any more.
    """

    least_term_by_upstream: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    vouch_by_upstream: dict[str, Vouch] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Ask a witness to vouch for a term of an upstream."""

    upstream_id: str
    term: int


def vouch(
    witness: Witness,
    claim: Claim,
    deadline_ms: int,
) -> bool:
    """Vouch for a term until a deadline, unless it was released."""
    least = witness.least_term_by_upstream.get(claim.upstream_id, 0)
    if claim.term < least:
        return False
    # Vouching for a term releases all earlier ones.
    witness.least_term_by_upstream[claim.upstream_id] = claim.term
    known = witness.vouch_by_upstream.get(claim.upstream_id)
    latest_ms = deadline_ms if known is None else known.deadline_ms
    witness.vouch_by_upstream[claim.upstream_id] = Vouch(
        term=claim.term,
        deadline_ms=max(deadline_ms, latest_ms),
    )
    return True


def release_below(
    witness: Witness,
    claim: Claim,
    now_ms: int,
) -> int:
    """Release all terms below one; return how long a vouch is still good.

    The span is in milliseconds and 0 where nothing is outstanding.
    """
    least = witness.least_term_by_upstream.get(claim.upstream_id, 0)
    witness.least_term_by_upstream[claim.upstream_id] = max(least, claim.term)
    known = witness.vouch_by_upstream.get(claim.upstream_id)
    if known is None:
        return 0
    return max(0, known.deadline_ms - now_ms)


def count_quorum(named: int) -> int:
    """Return how many of the named witnesses must vouch: more than half."""
    return named // 2 + 1


def count_block(named: int) -> int:
    """Return how many releases keep any quorum from vouching."""
    return max(0, named - count_quorum(named) + 1)


def find_quorum_deadline(deadlines_ms: list[int], named: int) -> int:
    """Return until when a quorum vouches, 0 if it does not.

    `deadlines_ms` has one entry for each witness that has vouched.
    """
    quorum = count_quorum(named)
    if len(deadlines_ms) < quorum:
        return 0
    return sorted(deadlines_ms, reverse=True)[quorum - 1]
