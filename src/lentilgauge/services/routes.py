"""Configured routes and services, and the routing of requests to them."""

import dataclasses
from collections.abc import Mapping

from lentilgauge.services import workspaces


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """Service of a route with its weight among the route's services."""

    service: str
    weight: float = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Services, time limits and priority of requests to a host's path prefix.

    A request must end within `timeout_ms` and should end within `target_ms`.
    Rank 0 is the most urgent. Requests of an `anonymous` route need no API key.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: int
    target_ms: int
    rank: int
    max_attempts: int
    weighted_services: tuple[WeightedService, ...]
    anonymous: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """One service with the limits of its upstreams.

    Each key of a `keyed` service is owned by one upstream exclusively.
    `cold_start_requests_per_second` limits the requests per second to an
    upstream during its cold start, which lasts `cold_start_ms`.
    """

    name: str
    keyed: bool
    health_path: str
    max_connections: int
    cold_start_requests_per_second: float
    cold_start_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One version of the operators' configuration.

    Without a `directory` the deployment has no workspaces, and no request needs
    an API key. `longest_prefix` is the length of the longest of the routes'
    prefixes.
    """

    version: int
    route_by_host_and_prefix: Mapping[tuple[str, str], Route]
    service_by_name: Mapping[str, Service]
    idle_timeout_ms: int
    header_timeout_ms: int
    max_body_bytes: int
    max_header_bytes: int
    directory: workspaces.Directory | None = None
    longest_prefix: int = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Derive the length of the longest prefix."""
        longest = max(
            (len(prefix) for _, prefix in self.route_by_host_and_prefix),
            default=0,
        )
        object.__setattr__(self, 'longest_prefix', longest)


#: Accumulated weight of each service in a route's weighted round robin.
Credits = dict[str, float]


def get_workspaces(
    configuration: Configuration | None,
) -> Mapping[str, workspaces.Workspace]:
    """Get the workspaces by name; none without a configuration."""
    if configuration is None or configuration.directory is None:
        return {}
    return configuration.directory.workspace_by_name


def find_route(
    configuration: Configuration,
    host: str,
    path: str,
) -> Route | None:
    """Find the host's route with the longest matching path prefix.

    Only prefixes that end with a slash can match. The time depends on the
    longest prefix, not on the path: callers may send paths of many slashes.
    """
    end = path.rfind('/', 0, configuration.longest_prefix) + 1
    while end > 0:
        route = configuration.route_by_host_and_prefix.get((host, path[:end]))
        if route is not None:
            return route
        end = path.rfind('/', 0, end - 1) + 1
    return None


def choose_service(route: Route, credit_by_service: Credits) -> str:
    """Choose the next of a route's services in proportion to the weights.

    This is a smooth weighted round robin, so the proportions hold over short
    sequences of requests too.
    """
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    total_weight = sum(
        weighted_service.weight for weighted_service in route.weighted_services
    )
    for weighted in route.weighted_services:
        credit = credit_by_service.get(weighted.service, 0)
        credit_by_service[weighted.service] = credit + weighted.weight
    names = [
        weighted_service.service for weighted_service in route.weighted_services
    ]
    chosen = max(names, key=lambda name: credit_by_service[name])
    credit_by_service[chosen] -= total_weight
    return chosen
