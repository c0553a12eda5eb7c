"""Documents that the platform gives a gateway: configuration and settings."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteSpec:
    """One route of a configuration that a test publishes."""

    name: str
    kind: str
    service: str
    timeout: str = '1500ms'
    anonymous: bool = False


DEFAULT_ROUTES = (
    RouteSpec(name='read', kind='safe', service='keyed'),
    RouteSpec(name='write', kind='unsafe', service='keyed'),
    RouteSpec(name='pool', kind='unsafe', service='pooled'),
)
HOST = 'a.example'
#: Requests per second that an upstream can serve during its cold start.
COLD_START_REQUESTS_PER_SECOND = 5


def _make_route(route: RouteSpec) -> dict[str, object]:
    return {
        'name': route.name,
        'host': HOST,
        'pathPrefix': f'/{route.name}/',
        'kind': route.kind,
        'timeout': route.timeout,
        'targetLatency': '300ms',
        'priority': 1,
        'service': route.service,
        'maxAttempts': 2,
        **({'anonymous': True} if route.anonymous else {}),
    }


def make_configuration(
    version: int,
    routes: tuple[RouteSpec, ...] = DEFAULT_ROUTES,
    tenants: object = None,
) -> dict[str, object]:
    """Make a configuration with one sharded and one pooled service.

    It has no workspaces if `tenants` is `None`.
    """
    common_options = {
        'healthPath': '/health',
        'maxConns': 50,
        'cold': '3s',
        'coldPerS': COLD_START_REQUESTS_PER_SECOND,
    }
    return {
        'version': version,
        'routes': [_make_route(route) for route in routes],
        'services': [
            {
                'name': 'keyed',
                'sharding': True,
                'warm': '3s',
                **common_options,
            },
            {'name': 'pooled', **common_options},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1048576,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
        **({} if tenants is None else {'tenants': tenants}),
    }


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """Ports that a gateway listens on."""

    front: int
    ready: int
    control: int
    metrics: int


def make_settings(
    vm: str,
    failure_domain: str,
    ports: Ports,
    store_address: str,
    seeds: list[str],
) -> dict[str, object]:
    """Make a gateway's settings file.

    It has a field that no gateway knows, which has to be ignored.
    """
    return {
        'node': vm,
        'zone': failure_domain,
        'listen': {
            'front': f'127.0.0.1:{ports.front}',
            'ready': f'127.0.0.1:{ports.ready}',
            'control': f'127.0.0.1:{ports.control}',
        },
        'seeds': seeds,
        'bootstrap': True,
        'bounds': {'grace': '3s'},
        'provider': {'address': store_address},
        'unknown': 1,
    }
