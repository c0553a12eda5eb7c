"""Hold what is known of the upstreams that announce themselves."""

import dataclasses
import enum
from collections.abc import Mapping


class State(enum.StrEnum):
    """Say whether an upstream takes new work."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """Describe one upstream as announced.

    `life` tells its starts apart. `warm_ms` is until when it is in cold
    start, in this process's clock.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    concurrency: int
    state: State
    life: int
    warm_ms: int

    @property
    def base_url(self) -> str:
        """The URL under which it is reached."""
        return f'http://{self.address}'


UpstreamById = Mapping[str, Upstream]


def accepts_work(upstream: Upstream, evacuated: frozenset[str]) -> bool:
    """Tell whether an upstream may be given new requests or keys."""
    if upstream.state is not State.READY:
        return False
    return upstream.failure_domain not in evacuated
