"""Upstreams as they announce themselves."""

import dataclasses
import enum
from collections.abc import Mapping

#: An entry that expires and is written again meanwhile doesn't start its
#: upstream's draining time anew.
_DRAINING_MEMORY_MS = 60_000


class State(enum.StrEnum):
    """Whether an upstream takes new work."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """One upstream as announced.

    `concurrency` is how many requests it runs at once. `incarnation` differs
    each time it starts. Its cold start ends at `cold_until_ms` on this
    process's clock.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    concurrency: int
    state: State
    incarnation: int
    cold_until_ms: int

    @property
    def base_url(self) -> str:
        """Prefix of the URLs of all requests to this upstream."""
        return f'http://{self.address}'


UpstreamById = Mapping[str, Upstream]


def accepts_work(
    upstream: Upstream,
    evacuated_domains: frozenset[str],
) -> bool:
    """Return whether an upstream may be given new requests or keys."""
    if upstream.state is not State.READY:
        return False
    return upstream.failure_domain not in evacuated_domains


def apply_departure(
    upstream: Upstream, leaving_incarnation: int | None
) -> Upstream:
    """Return an upstream as draining if its process said that it is leaving."""
    if upstream.incarnation != leaving_incarnation:
        return upstream
    return dataclasses.replace(upstream, state=State.DRAINING)


def update_draining_times(
    since_ms_by_id: Mapping[str, int],
    upstream_by_id: UpstreamById,
    *,
    now_ms: int,
    changed_ms: int,
) -> dict[str, int]:
    """Update since when each upstream that isn't ready has been draining.

    An upstream that has just stopped being ready did so at `changed_ms` or
    later. Times of upstreams that are gone are kept for a while.
    """
    updated = {
        upstream_id: since_ms
        for upstream_id, since_ms in since_ms_by_id.items()
        if upstream_id not in upstream_by_id
        and now_ms < since_ms + _DRAINING_MEMORY_MS
    }
    for upstream in upstream_by_id.values():
        if upstream.state is not State.READY:
            updated[upstream.id] = since_ms_by_id.get(upstream.id, changed_ms)
    return updated
