"""Upstreams as they announce themselves."""

import dataclasses
import enum
from collections.abc import Mapping


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
