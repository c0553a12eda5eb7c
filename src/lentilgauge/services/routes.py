"""Hold the operators' routes and services, and find a request's route."""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Part:
    """Name a service and its weight among a route's services."""

    service: str
    weight: float = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Say where requests of a host and a path prefix go, and in what time.

    `rank` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: int
    target_ms: int
    rank: int
    most_attempts: int
    parts: tuple[Part, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Describe one service and what its upstreams bear.

    `cold_per_second` is how many requests an upstream in cold start bears,
    and `cold_ms` how long that lasts.
    """

    name: str
    keyed: bool
    health_path: str
    most_connections: int
    cold_per_second: float
    cold_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Hold one version of the operators' configuration."""

    version: int
    route_by_place: Mapping[tuple[str, str], Route]
    service_by_name: Mapping[str, Service]
    idle_timeout_ms: int
    header_timeout_ms: int
    most_body_bytes: int
    most_header_bytes: int


#: Progress of a route's weighted round robin, by service.
Credits = dict[str, float]


def find_route(
    configuration: Configuration,
    host: str,
    path: str,
) -> Route | None:
    """Find the route with the longest prefix that begins the path."""
    end = path.rfind('/') + 1
    while end > 0:
        route = configuration.route_by_place.get((host, path[:end]))
        if route is not None:
            return route
        end = path.rfind('/', 0, end - 1) + 1
    return None


def choose_service(route: Route, credit_by_service: Credits) -> str:
    """Choose the next of a route's services, evenly by weight.

    A smooth weighted round robin: the shares hold over short spans too.
    """
    if len(route.parts) == 1:
        return route.parts[0].service
    total = sum(part.weight for part in route.parts)
    for each in route.parts:
        held = credit_by_service.get(each.service, 0)
        credit_by_service[each.service] = held + each.weight
    names = [part.service for part in route.parts]
    chosen = max(names, key=lambda name: credit_by_service[name])
    credit_by_service[chosen] -= total
    return chosen
