"""Decoding of the operator's and the upstreams' objects in the store."""

import ipaddress
import re
from typing import Annotated, Any

import msgspec

from lentilgauge import events
from lentilgauge.links import store_link
from lentilgauge.platform import durations, workspace_objects
from lentilgauge.services import routes
from lentilgauge.upstreams import upstream_state

#: Kinds of routes whose requests may be executed repeatedly. All other kinds,
#: also unknown ones, are executed at most once.
_IDEMPOTENT_KINDS = frozenset(('safe', 'download'))
_MAX_NAME_LENGTH = 200
_MAX_CONCURRENCY = 1_000_000
#: Year 10000, in Unix milliseconds.
_MAX_INCARNATION = 253_402_300_800_000
#: Ids are sent in headers.
_ID = re.compile(rf'[!-~]{{1,{_MAX_NAME_LENGTH}}}')
_ADDRESS = re.compile(
    rf'([0-9A-Za-z._-]{{1,{_MAX_NAME_LENGTH}}}|\[[0-9A-Fa-f:.]{{2,45}}\])'
    ':([0-9]{1,5})',
)
_MAX_PORT = 65_535

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)]


class SplitMessage(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Service of a route, with its weight."""

    service: str
    weight: float


class RouteMessage(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Route of the configuration."""

    name: str
    host: str
    path_prefix: str
    #: `safe`, `unsafe`, `upload` or `download`; see `is_idempotent`.
    kind: str
    timeout: durations.Duration
    #: Response time up to which a reply has its full value to the caller.
    target_latency: durations.Duration = durations.Duration('1s')
    #: 0 is the most urgent.
    priority: int = 0
    #: Maximum number of upstreams to which one request is sent.
    max_attempts: int = 1
    #: Whether requests need no API key in a deployment with workspaces.
    anonymous: bool = False
    service: str = ''
    traffic_split: list[SplitMessage] = []


class ServiceMessage(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Service of the configuration."""

    name: str
    health_path: str = ''
    #: Maximum connections to one upstream, from all callers together.
    max_conns: int = 0
    #: Requests per second that an upstream can serve during its cold start.
    cold_per_s: float = 0
    #: Duration of an upstream's cold start.
    cold: durations.Duration = durations.Duration('0ms')
    #: Whether each key is owned exclusively by one upstream.
    sharding: bool = False


class LimitsMessage(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Limits on callers' requests and connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout: durations.Duration = durations.Duration('3s')
    idle_timeout: durations.Duration = durations.Duration('15s')


class ConfigurationMessage(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    """Configuration of the routes and services."""

    version: int
    routes: list[RouteMessage]
    services: list[ServiceMessage]
    limits: LimitsMessage = LimitsMessage()
    #: Workspaces, which are decoded one by one.
    tenants: Any = None

    def __repr__(self) -> str:
        """Leave out the content, which may have API keys."""
        return f'ConfigurationMessage(version={self.version})'


class UpstreamMessage(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel'
):
    """Announcement by which an upstream registers itself."""

    service: Name
    address: str
    zone: Name
    #: How many requests the upstream can run at once.
    slots: int
    state: upstream_state.State
    #: Remaining time of the cold start.
    cold_left: str = '0ms'
    #: Start time in Unix milliseconds.
    born: int = 0


def read_configuration(body: object) -> routes.Configuration | None:
    """Decode a configuration; return `None` if it is invalid."""
    try:
        message = msgspec.convert(
            body, ConfigurationMessage, dec_hook=durations.decode_field
        )
        return _make_configuration(message)
    except (msgspec.ValidationError, ValueError) as error:
        events.log_event(events.Event.OBJECT_UNREADABLE, fault=str(error))
        return None


def _make_configuration(
    message: ConfigurationMessage,
) -> routes.Configuration:
    service_by_name = {
        service.name: routes.Service(
            name=service.name,
            keyed=service.sharding,
            health_path=service.health_path,
            max_connections=service.max_conns,
            cold_start_requests_per_second=service.cold_per_s,
            cold_start_ms=service.cold.ms,
        )
        for service in message.services
    }
    configured_routes = [
        _make_route(route_message) for route_message in message.routes
    ]
    for service_name in _list_services(configured_routes):
        if service_name not in service_by_name:
            raise ValueError(f'unknown service {service_name}')
    return routes.Configuration(
        version=message.version,
        route_by_host_and_prefix={
            (route.host, route.prefix): route for route in configured_routes
        },
        service_by_name=service_by_name,
        idle_timeout_ms=message.limits.idle_timeout.ms,
        header_timeout_ms=message.limits.header_timeout.ms,
        max_body_bytes=message.limits.max_body_bytes,
        max_header_bytes=message.limits.max_header_bytes,
        directory=workspace_objects.read_directory(message.tenants),
    )


def _list_services(configured_routes: list[routes.Route]) -> set[str]:
    """List the names of the services that routes refer to."""
    return {
        weighted_service.service
        for route in configured_routes
        for weighted_service in route.weighted_services
    }


def is_idempotent(kind: str) -> bool:
    """Return whether requests of a kind of route may run repeatedly."""
    return kind in _IDEMPOTENT_KINDS


def _make_route(message: RouteMessage) -> routes.Route:
    weighted_services = tuple(
        routes.WeightedService(service=split.service, weight=split.weight)
        for split in message.traffic_split
    )
    if not weighted_services:
        weighted_services = (routes.WeightedService(service=message.service),)
    return routes.Route(
        name=message.name,
        host=message.host,
        prefix=message.path_prefix,
        idempotent=is_idempotent(message.kind),
        timeout_ms=message.timeout.ms,
        target_ms=message.target_latency.ms,
        rank=message.priority,
        max_attempts=message.max_attempts,
        weighted_services=weighted_services,
        anonymous=message.anonymous,
    )


def read_upstream(
    document: store_link.Document,
    now_ms: int,
) -> upstream_state.Upstream | None:
    """Decode an upstream's announcement; return `None` if it is invalid.

    The remaining cold start counts from `now_ms`.
    """
    try:
        return _make_upstream(document, now_ms)
    except (msgspec.ValidationError, ValueError) as error:
        events.log_event(
            events.Event.OBJECT_UNREADABLE,
            upstream=document.name,
            revision=document.revision,
            fault=str(error),
        )
        return None


def _make_upstream(
    document: store_link.Document,
    now_ms: int,
) -> upstream_state.Upstream:
    message = msgspec.convert(document.body, UpstreamMessage)
    _check_upstream(document.name, message)
    cold_ms = durations.parse_remaining_ms(message.cold_left)
    return upstream_state.Upstream(
        id=document.name,
        service=message.service,
        address=message.address,
        failure_domain=message.zone,
        concurrency=message.slots,
        state=message.state,
        incarnation=message.born,
        cold_until_ms=now_ms + cold_ms if cold_ms > 0 else 0,
    )


def _check_upstream(upstream_id: str, message: UpstreamMessage) -> None:
    """Raise `ValueError` if an announcement has a value that can't be used."""
    if _ID.fullmatch(upstream_id) is None:
        raise ValueError('the id has characters that a header may not have')
    if not 1 <= message.slots <= _MAX_CONCURRENCY:
        raise ValueError(f'expected 1 to {_MAX_CONCURRENCY} slots')
    if not 0 <= message.born <= _MAX_INCARNATION:
        raise ValueError('expected `born` in Unix milliseconds')
    _check_address(message.address)


def _check_address(address: str) -> None:
    """Raise `ValueError` unless an address is a host and a port."""
    matched = _ADDRESS.fullmatch(address)
    if matched is None or not 1 <= int(matched[2]) <= _MAX_PORT:
        raise ValueError(f'expected an address and a port, got {address!r:.80}')
    host = matched[1]
    if host.startswith('['):
        ipaddress.IPv6Address(host.strip('[]'))
