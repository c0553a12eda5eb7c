"""In-memory form of the accepted configuration of services."""

import dataclasses
import enum
from collections.abc import Mapping


class Priority(enum.IntEnum):
    """Priority of a kind under overload; the lowest number is served first."""

    FIRST = 0
    NORMAL = 1
    LAST = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """One kind of request of a service.

    `template` is a path in which the `{key}` segment stands for the key. If
    it has no such segment, the key is in the header `key_header`. Kinds of a
    pooled service need neither.
    """

    name: str
    service: str
    method: str
    template: str
    idempotent: bool
    key_header: str = ''
    priority: Priority = Priority.NORMAL
    weight: float = 1
    timeout_ms: int = 2000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Service that is keyed, with slots, or pooled, with none."""

    name: str
    slot_count: int = 0

    @property
    def keyed(self) -> bool:
        """Whether only the owner of a key may serve its requests."""
        return self.slot_count > 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """Configuration of one upstream.

    Controllers connect to `control_port`, or to `port` if it is 0.
    """

    id: str
    service: str
    failure_domain: str
    address: str
    port: int
    control_port: int = 0
    concurrency: int = 2
    connections: int = 120
    checks_tokens: bool = True
    weight: float = 1
    draining: bool = False

    @property
    def base_url(self) -> str:
        """Base URL of requests to this upstream."""
        return f'http://{self.address}:{self.port}'

    @property
    def control_url(self) -> str:
        """Base URL of the controllers' calls to this upstream."""
        return f'http://{self.address}:{self.control_port or self.port}'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailureDomain:
    """Failure domain; operators set `out` to take it out of service."""

    name: str
    out: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Catalog:
    """One complete version of the configuration."""

    version: int = 0
    service_by_name: Mapping[str, Service] = dataclasses.field(
        default_factory=dict,
    )
    kinds: tuple[Kind, ...] = ()
    upstream_by_id: Mapping[str, Upstream] = dataclasses.field(
        default_factory=dict,
    )
    failure_domain_by_name: Mapping[str, FailureDomain] = dataclasses.field(
        default_factory=dict,
    )


def list_upstreams(catalog: Catalog, service: str) -> list[Upstream]:
    """List the configured upstreams of a service."""
    return [
        upstream
        for upstream in catalog.upstream_by_id.values()
        if upstream.service == service
    ]


def accepts_new_work(catalog: Catalog, upstream_id: str) -> bool:
    """Return whether an upstream may receive new work.

    It may not while it drains or its failure domain is out of service.
    """
    upstream = catalog.upstream_by_id.get(upstream_id)
    if upstream is None or upstream.draining:
        return False
    domain = catalog.failure_domain_by_name.get(upstream.failure_domain)
    return domain is None or not domain.out
