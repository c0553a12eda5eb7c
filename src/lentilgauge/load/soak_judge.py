"""Check the promises while a soak runs, from what both ends see.

Whatever holds at all times is checked without exceptions. What has a bound in
time is checked for requests through gateways that were undisturbed from before
the change on, with a store that was.
"""

import collections
import contextlib
import dataclasses
import http
import time
from collections.abc import Generator, Mapping

from lentilgauge.standins import (
    dialect_documents,
    dialect_holds,
    dialect_upstream,
)

#: The users' bounds for a gateway: how soon a leaving upstream, an emptied
#: failure domain and a new configuration must show, in seconds.
DRAIN_SECONDS = 2.0
EVACUATE_SECONDS = 5.0
CONFIGURE_SECONDS = 2.0
#: Undisturbed for this long, a gateway is bound by times.
STABLE_SECONDS = 3.0
#: Orders within this time of a gateway's thaw don't count.
_THAW_SECONDS = 0.3
#: What a cold upstream may get in one second, over all gateways.
_COLD_BURST_FACTOR = 1.5
_COLD_SLACK = 5
_MOST_COLD = (
    dialect_documents.COLD_PER_SECOND * _COLD_BURST_FACTOR + _COLD_SLACK
)
_MOST_ATTEMPTS = 2
_STORE = 'store'
_NOT_RUN = frozenset((408, 421, 429, 503))
_MOST_FINDINGS = 50


@dataclasses.dataclass(slots=True, kw_only=True)
class Sent:
    """Hold one request of a caller, and what is seen of it."""

    vm: str
    unsafe: bool
    at: float
    refused: bool = False
    begun_at: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, kw_only=True)
class Change:
    """Hold a change that must show within a bound, by its end."""

    since: float
    bound: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Judge:
    """Hold what callers and upstreams have seen, and what was wrong.

    `calm_since` has, for each gateway and the store, the end of its last
    disturbance; infinity while there is one. Unless it is `timed`, bounds in
    time are left out: on a busy machine nobody can be held to them.
    """

    upstream_by_id: Mapping[str, dialect_upstream.Upstream]
    timed: bool = True
    findings: list[str] = dataclasses.field(default_factory=list)
    sent_by_id: dict[str, Sent] = dataclasses.field(default_factory=dict)
    calm_since: dict[str, float] = dataclasses.field(default_factory=dict)
    disturbances: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )
    thawed: float = 0
    leaving_by_upstream: dict[str, Change] = dataclasses.field(
        default_factory=dict,
    )
    emptied_by_domain: dict[str, Change] = dataclasses.field(
        default_factory=dict,
    )
    cold_by_upstream: dict[str, collections.deque[float]] = dataclasses.field(
        default_factory=dict,
    )
    published: dict[int, float] = dataclasses.field(default_factory=dict)
    proven_by_process: dict[str, int] = dataclasses.field(default_factory=dict)
    counted: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter,
    )


def find(judge: Judge, text: str) -> None:
    """Note that a promise was broken."""
    if len(judge.findings) < _MOST_FINDINGS:
        judge.findings.append(text)


def disturb(judge: Judge, subject: str) -> None:
    """Note that a gateway or the store is disturbed from now on."""
    judge.disturbances[subject] += 1
    judge.calm_since[subject] = float('inf')


def calm(judge: Judge, subject: str) -> None:
    """Note that one of a subject's disturbances has ended."""
    judge.disturbances[subject] -= 1
    if judge.disturbances[subject] <= 0:
        judge.calm_since[subject] = time.monotonic()


@contextlib.contextmanager
def disturbing(
    judge: Judge,
    subject: str,
    busy: set[str],
) -> Generator[None]:
    """Disturb a subject until the block ends; then it is free for others."""
    disturb(judge, subject)
    try:
        yield
    finally:
        calm(judge, subject)
        busy.discard(subject)


def note_thaw(judge: Judge) -> None:
    """Note that a gateway has just been thawed."""
    judge.thawed = time.monotonic()


def is_bound(judge: Judge, vm: str, since: float) -> bool:
    """Tell whether a gateway and the store were calm since a moment."""
    return judge.timed and all(
        judge.calm_since.get(subject, 0) + STABLE_SECONDS <= since
        for subject in (vm, _STORE)
    )


def note_sent(judge: Judge, request_id: str, sent: Sent) -> None:
    """Note that a caller sends a request."""
    judge.sent_by_id[request_id] = sent
    judge.counted['sent'] += 1


def note_answer(
    judge: Judge,
    request_id: str,
    status: int,
    body: Mapping[str, object],
    seal: str,
) -> None:
    """Check what a caller is told."""
    sent = judge.sent_by_id[request_id]
    judge.counted[str(status)] += 1
    if status == http.HTTPStatus.OK:
        if body.get('id') != request_id or seal != f'seal-{body.get("by")}':
            find(judge, f'mixed: {request_id} was answered {body}')
        return
    if status in _NOT_RUN:
        sent.refused = True
        if sent.begun_at:
            find(judge, f'refused but run: {request_id} at {sent.begun_at}')


def note_begun(judge: Judge, begun: dialect_upstream.Begun) -> None:
    """Check a request that an upstream begins to work on."""
    judge.counted['begun'] += 1
    sent = judge.sent_by_id.get(begun.request_id)
    if sent is None:
        find(judge, f'unasked: {begun.request_id} at {begun.upstream}')
        return
    if sent.unsafe and sent.begun_at:
        find(judge, f'twice: {begun.request_id} at {begun.upstream}')
    if sent.refused:
        find(judge, f'refused, then run: {begun.request_id}')
    sent.begun_at.append(begun.upstream)
    if len(set(sent.begun_at)) > _MOST_ATTEMPTS:
        find(judge, f'too many upstreams: {begun.request_id}')
    _check_owner(judge, begun)
    _check_cold(judge, begun)
    _check_leaving(judge, begun, sent)


def _check_owner(judge: Judge, begun: dialect_upstream.Begun) -> None:
    if begun.key is None:
        return
    others = [
        other.name
        for other in judge.upstream_by_id.values()
        if other.name != begun.upstream and other.holds_key(begun.key)
    ]
    if others:
        find(judge, f'two owners: {begun.key} of {begun.upstream}, {others}')


def note_granted(
    judge: Judge,
    upstream_id: str,
    hold: dialect_holds.Hold,
) -> None:
    """Check that nobody else still holds what is granted."""
    judge.counted['granted'] += 1
    now = time.monotonic()
    if now - judge.thawed < _THAW_SECONDS:
        return
    holders = [
        other.name
        for other in judge.upstream_by_id.values()
        if other.name != upstream_id and _holds_any(other, hold, now)
    ]
    if holders:
        find(
            judge,
            f'granted twice: {hold.start}-{hold.end} to {upstream_id}, held '
            f'by {holders}',
        )


def _holds_any(
    upstream: dialect_upstream.Upstream,
    span: dialect_holds.Hold,
    now: float,
) -> bool:
    return any(
        held.until > now and dialect_holds.overlaps(held, span)
        for held in upstream.holdings.holds
    )


def _check_cold(judge: Judge, begun: dialect_upstream.Begun) -> None:
    now = time.monotonic()
    if judge.upstream_by_id[begun.upstream].warm_seconds <= now:
        return
    moments = judge.cold_by_upstream.setdefault(
        begun.upstream,
        collections.deque(),
    )
    moments.append(now)
    while moments[0] <= now - 1:
        moments.popleft()
    if len(moments) > _MOST_COLD:
        find(judge, f'cold: {begun.upstream} got {len(moments)} in a second')


def _check_leaving(
    judge: Judge,
    begun: dialect_upstream.Begun,
    sent: Sent,
) -> None:
    domain = judge.upstream_by_id[begun.upstream].failure_domain
    for name, change in (
        ('leaving', judge.leaving_by_upstream.get(begun.upstream)),
        ('emptied', judge.emptied_by_domain.get(domain)),
    ):
        if change is None or time.monotonic() < change.since + change.bound:
            continue
        if is_bound(judge, sent.vm, change.since):
            find(
                judge,
                f'{name}: {begun.upstream} got {begun.request_id} through '
                f'{sent.vm}',
            )


def note_version_served(
    judge: Judge,
    vm: str,
    process: str,
    version: int,
    sent: float,
) -> None:
    """Check that a gateway that served a version's own route may do so."""
    proven = judge.proven_by_process.get(process, 0)
    if version < proven:
        find(judge, f'reverted: {process} from {proven} to {version}')
    judge.proven_by_process[process] = max(proven, version)
    newer = [
        at
        for number, at in judge.published.items()
        if number > version and sent > at + CONFIGURE_SECONDS
    ]
    if newer and is_bound(judge, vm, min(newer)):
        find(judge, f'old configuration: {vm} still serves {version}')


def note_version_missing(
    judge: Judge,
    vm: str,
    version: int,
    sent: float,
) -> None:
    """Check that a gateway that doesn't know the newest version may not."""
    if version != max(judge.published):
        return
    at = judge.published[version]
    if sent > at + CONFIGURE_SECONDS and is_bound(judge, vm, at):
        find(judge, f'old configuration: {vm} does not serve {version}')
