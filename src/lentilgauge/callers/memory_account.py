"""Account of the memory that callers make one process hold.

Callers that nobody controls may send many large bodies at once, leave them
unfinished, send heads that take far more memory once they are parsed, or not
read their answers. The account counts what is held for them, from the moment at
which a connection is accepted, and decides what is refused or dropped, so that
the process stays within the memory of its VM. The functions get all figures as
arguments.
"""

import dataclasses
import enum
import sys
import types
from collections.abc import Callable

from tornado import iostream

from lentilgauge import errors
from lentilgauge.callers import transfer_pace

#: Bodies and replies up to this size are ordinary: they may use the reserve.
#: The largest usual ones have about 1 MB.
ORDINARY_BYTES = 1_048_576
#: What is held for one request without a long head or body stays below this.
SMALL_BYTES = 65_536
#: Replies up to this size are always received: those to the granter's orders
#: and to renewals are smaller, and no process may lose its role for lack of a
#: few kilobytes.
_SMALL_REPLY_BYTES = 65_536
_BYTES_PER_MB = 1_000_000
#: Memory that the process needs for itself, with unusable gaps in the heap. A
#: gateway with three upstreams and 117 descriptors has 45 MB resident.
_PROCESS_BYTES = 72_000_000
#: An open connection: its objects, and what the HTTP library and the kernel may
#: have received for it while nothing is read.
CONNECTION_BYTES = 57_344
#: Stalled uploads are dropped after a second, so memory may be free by then.
_RETRY_MS = 1000
#: A request of which nothing has been sent to an upstream, so that it hasn't
#: run.
SHORTAGE = errors.Failure(
    kind=errors.ErrorKind.MEMORY_SHORT,
    detail='this process has no memory for the request at present',
    retry_after_ms=_RETRY_MS,
)
#: A transfer that moved fewer bytes than this within its kind's time has
#: stalled: a caller with the slowest link of the platform, 5 Mbit/s, sends
#: 600,000 bytes in a second.
_PROGRESS_BYTES = 16_384


class Kind(enum.StrEnum):
    """What bytes are held for.

    `HEADS` are requests without their bodies, until their answers are written,
    `UPLOADS` bodies being received, `REQUESTS` complete bodies whose requests
    aren't answered yet, and `REPLIES` replies being received from upstreams or
    written to callers.
    """

    HEADS = 'heads'
    UPLOADS = 'uploads'
    REQUESTS = 'requests'
    REPLIES = 'replies'


#: Callers may read slowly for longer, as their requests have run.
_STALL_MS_BY_KIND = types.MappingProxyType(
    {Kind.UPLOADS: 1000, Kind.REPLIES: 3000}
)


class Claim(enum.StrEnum):
    """What memory is wanted for.

    `LARGE` is over `ORDINARY_BYTES`, and `SMALL` a head or a body of up to
    `SMALL_BYTES`. `ATTEMPT` is what a request needs before it is sent to an
    upstream, and `KEPT_REPLY` an answer that is kept during another attempt.
    """

    SMALL = 'small'
    LARGE_UPLOAD = 'large_upload'
    UPLOAD = 'upload'
    ATTEMPT = 'attempt'
    KEPT_REPLY = 'kept_reply'
    LARGE_REPLY = 'large_reply'
    REPLY = 'reply'


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Holding:
    """Bytes that one transfer holds.

    `moved_ms` is when it last made progress, and `unmarked_bytes` what it moved
    since. `pace` is that of a transfer from or to a caller. `drop` ends the
    transfer, which frees its memory. `is_unsent` returns whether its request
    has been sent to no upstream yet, so that it can be refused as not run;
    `bool` says no.
    """

    kind: Kind
    held_bytes: int
    moved_ms: int
    drop: Callable[[], None]
    unmarked_bytes: int = 0
    pace: transfer_pace.Pace | None = None
    is_unsent: Callable[[], bool] = bool


@dataclasses.dataclass(slots=True, kw_only=True)
class Account:
    """Bytes that one process holds for callers.

    `memory_bytes` is the memory of the VM, and `limit_bytes` the budget for
    callers. With 0 the bytes are counted and never limited. `connection_bytes`
    is what open connections take, and `head_by_stream` counts the requests on
    them. `count_idle` returns how many connections serve no request, and
    `close_idle` closes one of them; `int` and `bool` stand for none.
    """

    memory_bytes: int = 0
    limit_bytes: int = 0
    bytes_by_kind: dict[Kind, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(Kind, 0)
    )
    holdings: set[Holding] = dataclasses.field(default_factory=set)
    connection_bytes: int = 0
    head_by_stream: dict[iostream.BaseIOStream, Holding] = dataclasses.field(
        default_factory=dict
    )
    count_idle: Callable[[], int] = int
    close_idle: Callable[[], bool] = bool


#: The part of the budget that connections can always have, as its divisor. So a
#: caller isn't kept from a refusal by requests and replies that fill the rest.
CONNECTIONS_DIVISOR = 10
#: The part of the budget that each claim leaves to the others, as its divisor.
#: Replies may fill the budget, so that requests in flight can be answered and
#: the store and peers be read.
_RESERVE_DIVISOR_BY_CLAIM = types.MappingProxyType(
    {
        Claim.LARGE_UPLOAD: 12,
        Claim.LARGE_REPLY: 12,
        Claim.UPLOAD: 16,
        Claim.SMALL: 24,
        Claim.ATTEMPT: 48,
        Claim.KEPT_REPLY: 2,
        Claim.REPLY: sys.maxsize,
    }
)
#: What each claim may displace, if it is larger than this number of bytes and
#: unfinished. A large upload displaces only what has stalled, or is slow.
_SMALLEST_DISPLACED_BY_CLAIM = types.MappingProxyType(
    {
        Claim.LARGE_UPLOAD: sys.maxsize,
        Claim.SMALL: 0,
        Claim.UPLOAD: ORDINARY_BYTES,
        Claim.ATTEMPT: ORDINARY_BYTES,
        Claim.KEPT_REPLY: sys.maxsize,
        Claim.REPLY: ORDINARY_BYTES,
        Claim.LARGE_REPLY: ORDINARY_BYTES,
    }
)
#: These displace slow transfers only if they are large as well.
_LARGE_CLAIMS = frozenset((Claim.LARGE_UPLOAD, Claim.LARGE_REPLY))


def make_account(memory_mb: int) -> Account:
    """Make the account of a process that may use `memory_mb` megabytes.

    With 0 there is no limit.
    """
    if not memory_mb:
        return Account()
    memory_bytes = memory_mb * _BYTES_PER_MB
    return Account(
        memory_bytes=memory_bytes,
        limit_bytes=max(memory_bytes - _PROCESS_BYTES, ORDINARY_BYTES),
    )


def classify_upload(request_bytes: int) -> Claim:
    """Return what a request of some size, with its body, claims."""
    if request_bytes > ORDINARY_BYTES:
        return Claim.LARGE_UPLOAD
    if request_bytes > SMALL_BYTES:
        return Claim.UPLOAD
    return Claim.SMALL


def is_stalled(holding: Holding, now_ms: int) -> bool:
    """Return whether a transfer has stopped making progress."""
    stall_ms = _STALL_MS_BY_KIND.get(holding.kind)
    return stall_ms is not None and now_ms - holding.moved_ms >= stall_ms


def is_unfinished(holding: Holding) -> bool:
    """Return whether a request is incomplete, or has been sent nowhere."""
    return holding.kind is Kind.UPLOADS or holding.is_unsent()


def compute_excess(account: Account, claim: Claim, wanted_bytes: int) -> int:
    """Return by how many bytes a claim exceeds what it may fill."""
    limit_bytes = account.limit_bytes
    if not limit_bytes:
        return 0
    guaranteed_bytes = limit_bytes // CONNECTIONS_DIVISOR
    held_bytes = (
        sum(account.bytes_by_kind.values())
        + max(account.connection_bytes, guaranteed_bytes)
        + limit_bytes // _RESERVE_DIVISOR_BY_CLAIM[claim]
    )
    return max(held_bytes + wanted_bytes - limit_bytes, 0)


def _list_candidates(
    account: Account, claim: Claim, now_ms: int
) -> list[Holding]:
    """List the transfers that a claim may displace, the first to go first."""
    smallest_bytes = _SMALLEST_DISPLACED_BY_CLAIM[claim]
    smallest_slow_bytes = ORDINARY_BYTES if claim in _LARGE_CLAIMS else 0
    return sorted(
        (
            holding
            for holding in account.holdings
            if is_stalled(holding, now_ms)
            or (holding.held_bytes > smallest_bytes and is_unfinished(holding))
            or (
                holding.held_bytes > smallest_slow_bytes
                and transfer_pace.is_slow(holding.pace, now_ms)
            )
        ),
        key=lambda holding: (
            not is_stalled(holding, now_ms),
            holding.kind is Kind.REPLIES,
            -holding.held_bytes,
            holding.moved_ms,
        ),
    )


def choose_drops(
    account: Account, claim: Claim, wanted_bytes: int, now_ms: int
) -> list[Holding] | None:
    """Choose the transfers to drop for a claim, `None` if it can't be met.

    The load addressed is many requests or unread answers at once: stalled
    uploads are dropped first, then stalled readers, then uploads and requests
    that wait for an upstream, then slow readers, the largest first. A claim
    displaces only what is larger than its own class, or slow, a large upload
    only stalled and slow transfers. Requests in flight are never dropped, as
    they may have run.
    """
    excess_bytes = compute_excess(account, claim, wanted_bytes)
    drops: list[Holding] = []
    if not excess_bytes:
        return drops
    for candidate in _list_candidates(account, claim, now_ms):
        drops.append(candidate)
        excess_bytes -= candidate.held_bytes
        if excess_bytes <= 0:
            return drops
    return None


def make_room(
    account: Account, claim: Claim, wanted_bytes: int, now_ms: int
) -> bool:
    """Drop what a claim displaces; return whether the claim can be met.

    Connections without a request are closed if nothing else suffices.
    """
    drops = choose_drops(account, claim, wanted_bytes, now_ms)
    if drops is None:
        if not _close_idle(account, claim, wanted_bytes, now_ms):
            return False
        drops = choose_drops(account, claim, wanted_bytes, now_ms) or []
    for holding in drops:
        drop(account, holding)
    return True


def _close_idle(
    account: Account, claim: Claim, wanted_bytes: int, now_ms: int
) -> bool:
    """Close the connections that a claim needs; return whether it can be met.

    None is closed for a claim that can't.
    """
    missing_bytes = compute_excess(account, claim, wanted_bytes) - sum(
        holding.held_bytes
        for holding in _list_candidates(account, claim, now_ms)
    )
    needed = -(-missing_bytes // CONNECTION_BYTES)
    if needed > account.count_idle():
        return False
    return all(account.close_idle() for _ in range(needed))


def drop(account: Account, holding: Holding) -> None:
    """End a transfer, and count it no longer."""
    release(account, holding)
    holding.drop()


def hold(account: Account, holding: Holding) -> None:
    """Count a holding."""
    account.holdings.add(holding)
    account.bytes_by_kind[holding.kind] += holding.held_bytes


def release(account: Account, holding: Holding) -> None:
    """Count a holding no longer; it may have been released before."""
    if holding in account.holdings:
        account.holdings.discard(holding)
        account.bytes_by_kind[holding.kind] -= holding.held_bytes


def grow(account: Account, holding: Holding, added_bytes: int) -> None:
    """Add bytes to a holding that is counted."""
    holding.held_bytes += added_bytes
    account.bytes_by_kind[holding.kind] += added_bytes


def change_kind(account: Account, holding: Holding, kind: Kind) -> None:
    """Count a holding as another kind from now on."""
    release(account, holding)
    holding.kind = kind
    hold(account, holding)


def mark_progress(holding: Holding, moved_bytes: int, now_ms: int) -> None:
    """Record that a transfer moved bytes; a trickle isn't progress."""
    if holding.pace is not None:
        transfer_pace.mark_moved(holding.pace, moved_bytes, now_ms)
    holding.unmarked_bytes += moved_bytes
    if holding.unmarked_bytes >= _PROGRESS_BYTES:
        holding.unmarked_bytes = 0
        holding.moved_ms = now_ms


def make_reply_counter(
    account: Account, now_ms: Callable[[], int]
) -> Callable[[int, int], bool]:
    """Make the function that counts replies while they are received.

    It gets the size of the reply so far, and the bytes that it adds, or frees
    if negative. It returns whether the reply may take them.
    """

    def count_reply(reply_bytes: int, change_bytes: int) -> bool:
        if change_bytes > 0 and reply_bytes > _SMALL_REPLY_BYTES:
            claim = (
                Claim.LARGE_REPLY
                if reply_bytes > ORDINARY_BYTES
                else Claim.REPLY
            )
            if not make_room(account, claim, change_bytes, now_ms()):
                return False
        account.bytes_by_kind[Kind.REPLIES] += change_bytes
        return True

    return count_reply
