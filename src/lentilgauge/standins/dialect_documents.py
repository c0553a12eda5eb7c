"""Make the documents that the users' platform hands to a gateway."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteShape:
    """Describe one route of a stand-in's configuration."""

    name: str
    kind: str
    service: str
    timeout: str = '1500ms'


USUAL_ROUTES = (
    RouteShape(name='read', kind='safe', service='keyed'),
    RouteShape(name='write', kind='unsafe', service='keyed'),
    RouteShape(name='pool', kind='unsafe', service='pooled'),
)
HOST = 'a.example'
#: Requests a second that an upstream in cold start bears.
COLD_PER_SECOND = 5


def _make_route(shape: RouteShape) -> dict[str, object]:
    return {
        'name': shape.name,
        'host': HOST,
        'pathPrefix': f'/{shape.name}/',
        'kind': shape.kind,
        'timeout': shape.timeout,
        'targetLatency': '300ms',
        'priority': 1,
        'service': shape.service,
        'maxAttempts': 2,
    }


def make_configuration(
    version: int,
    routes: tuple[RouteShape, ...] = USUAL_ROUTES,
) -> dict[str, object]:
    """Make a configuration of a keyed and a pooled service."""
    usual = {
        'healthPath': '/health',
        'maxConns': 50,
        'cold': '3s',
        'coldPerS': COLD_PER_SECOND,
    }
    return {
        'version': version,
        'routes': [_make_route(shape) for shape in routes],
        'services': [
            {'name': 'keyed', 'sharding': True, 'warm': '3s', **usual},
            {'name': 'pooled', **usual},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1048576,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
    }


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """Hold the ports that a gateway listens on."""

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
    """Make a gateway's settings file, with a field that it doesn't know."""
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
