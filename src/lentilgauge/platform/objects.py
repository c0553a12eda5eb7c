"""Read the objects that the operator and the upstreams keep in the store."""

import msgspec

from lentilgauge import events
from lentilgauge.links import store_link
from lentilgauge.platform import spans
from lentilgauge.services import routes
from lentilgauge.upstreams import roster

_SAFE = 'safe'


class SplitMessage(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Carry one service of a route and its weight."""

    service: str
    weight: float


class RouteMessage(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Carry one route."""

    name: str
    host: str
    path_prefix: str
    #: `safe` may run more than once, any other kind at most once.
    kind: str
    timeout: str
    #: The time within which a caller gets the most out of an answer.
    target_latency: str = '1s'
    #: 0 is the most urgent.
    priority: int = 0
    #: How many upstreams one request may be sent to.
    max_attempts: int = 1
    service: str = ''
    traffic_split: list[SplitMessage] = []


class ServiceMessage(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Carry one service."""

    name: str
    health_path: str = ''
    #: Connections that one upstream takes from all callers together.
    max_conns: int = 0
    #: Requests a second that an upstream bears in cold start.
    cold_per_s: float = 0
    #: How long an upstream is in cold start.
    cold: str = '0ms'
    #: Whether each key is held by one upstream.
    sharding: bool = False


class LimitsMessage(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Carry what bounds a caller."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout: str = '3s'
    idle_timeout: str = '15s'


class ConfigurationMessage(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    """Carry the newest configuration."""

    version: int
    routes: list[RouteMessage]
    services: list[ServiceMessage]
    limits: LimitsMessage = LimitsMessage()


class UpstreamMessage(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    """Carry what an upstream says of itself."""

    service: str
    address: str
    zone: str
    slots: int
    state: roster.State
    #: How much longer it stays in cold start.
    cold_left: str = '0ms'
    #: The Unix millisecond of its start.
    born: int = 0


def read_configuration(body: object) -> routes.Configuration | None:
    """Read a configuration; `None` if it can't be read or used."""
    try:
        return _make_configuration(msgspec.convert(body, ConfigurationMessage))
    except (msgspec.ValidationError, ValueError) as fault:
        events.record(events.Event.OBJECT_UNREADABLE, fault=str(fault))
        return None


def _make_configuration(
    message: ConfigurationMessage,
) -> routes.Configuration:
    service_by_name = {
        service.name: routes.Service(
            name=service.name,
            keyed=service.sharding,
            health_path=service.health_path,
            most_connections=service.max_conns,
            cold_per_second=service.cold_per_s,
            cold_ms=spans.read_span_ms(service.cold),
        )
        for service in message.services
    }
    made = [_make_route(given) for given in message.routes]
    for named in _list_services(made):
        if named not in service_by_name:
            raise ValueError(f'no service is called {named}')
    return routes.Configuration(
        version=message.version,
        route_by_place={(route.host, route.prefix): route for route in made},
        service_by_name=service_by_name,
        idle_timeout_ms=spans.read_span_ms(message.limits.idle_timeout),
        header_timeout_ms=spans.read_span_ms(message.limits.header_timeout),
        most_body_bytes=message.limits.max_body_bytes,
        most_header_bytes=message.limits.max_header_bytes,
    )


def _list_services(made: list[routes.Route]) -> set[str]:
    """List the services that routes name."""
    return {part.service for route in made for part in route.parts}


def _make_route(message: RouteMessage) -> routes.Route:
    parts = tuple(
        routes.Part(service=split.service, weight=split.weight)
        for split in message.traffic_split
    )
    if not parts:
        parts = (routes.Part(service=message.service),)
    return routes.Route(
        name=message.name,
        host=message.host,
        prefix=message.path_prefix,
        idempotent=message.kind == _SAFE,
        timeout_ms=spans.read_span_ms(message.timeout),
        target_ms=spans.read_span_ms(message.target_latency),
        rank=message.priority,
        most_attempts=message.max_attempts,
        parts=parts,
    )


def read_upstream(
    document: store_link.Document,
    now_ms: int,
) -> roster.Upstream | None:
    """Read an upstream's entry; `None` if it names none to use."""
    try:
        return _make_upstream(document, now_ms)
    except (msgspec.ValidationError, ValueError) as fault:
        events.record(
            events.Event.OBJECT_UNREADABLE,
            upstream=document.name,
            fault=str(fault),
        )
        return None


def _make_upstream(
    document: store_link.Document,
    now_ms: int,
) -> roster.Upstream:
    message = msgspec.convert(document.body, UpstreamMessage)
    cold_ms = spans.read_span_ms(message.cold_left)
    return roster.Upstream(
        id=document.name,
        service=message.service,
        address=message.address,
        failure_domain=message.zone,
        concurrency=max(message.slots, 1),
        state=message.state,
        life=message.born,
        warm_ms=now_ms + cold_ms if cold_ms > 0 else 0,
    )
