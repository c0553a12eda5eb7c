"""Topologies of the two users' systems, at any size."""

import dataclasses

from lentilgauge.load import topology

#: Connections that one upstream of each user's system accepts.
VENTURE_CONNECTIONS = 120
ASSOCIATION_CONNECTIONS = 45

#: The venture's request kinds; priority and weight follow the cost of a loss.
VENTURE_KINDS = (
    topology.Kind(
        name='case-lookup',
        service='cases',
        method='GET',
        path='/cases/{key}',
        idempotent=True,
        priority=2,
    ),
    topology.Kind(
        name='demand-letter',
        service='cases',
        method='POST',
        path='/cases/{key}/letters',
        idempotent=False,
        priority=0,
        weight=10,
    ),
    topology.Kind(
        name='settlement',
        service='settlements',
        method='POST',
        path='/settlements',
        idempotent=False,
        priority=0,
        weight=10,
    ),
    topology.Kind(
        name='hold-release',
        service='settlements',
        method='POST',
        path='/holds/release',
        idempotent=False,
        priority=0,
        weight=10,
    ),
    topology.Kind(
        name='settlement-lookup',
        service='settlements',
        method='GET',
        path='/settlements',
        idempotent=True,
        priority=2,
    ),
)

#: The association's request kinds.
ASSOCIATION_KINDS = (
    topology.Kind(
        name='recipe-lookup',
        service='recipes',
        method='GET',
        path='/recipes/{key}',
        idempotent=True,
        priority=2,
    ),
    topology.Kind(
        name='book-order',
        service='recipes',
        method='POST',
        path='/recipes/{key}/orders',
        idempotent=False,
        priority=0,
        weight=5,
    ),
    topology.Kind(
        name='variant-registration',
        service='registry',
        method='POST',
        path='/variants',
        idempotent=False,
        priority=0,
        weight=5,
    ),
    topology.Kind(
        name='license-lookup',
        service='registry',
        method='GET',
        path='/licenses',
        idempotent=True,
        priority=2,
    ),
)


def make_vms(count: int, domains: tuple[str, ...]) -> tuple[topology.Vm, ...]:
    """Make VMs, assigned to the failure domains in turn."""
    return tuple(
        topology.Vm(
            id=f'vm-{number + 1}',
            failure_domain=domains[number % len(domains)],
        )
        for number in range(count)
    )


def make_upstreams(
    service: str,
    count: int,
    domains: tuple[str, ...],
    connections: int,
) -> tuple[topology.Upstream, ...]:
    """Make the upstreams of a service, assigned to the domains in turn."""
    return tuple(
        topology.Upstream(
            id=f'{service}-{number + 1}',
            service=service,
            failure_domain=domains[number % len(domains)],
            connections=connections,
        )
        for number in range(count)
    )


def make_venture_topology(
    *,
    vms: int = 11,
    keyed: int = 25,
    pooled: int = 8,
    slots: int = 256,
    options: topology.Sections | None = None,
) -> topology.Topology:
    """Make the collection venture's system, with four failure domains.

    `keyed` and `pooled` are the numbers of upstreams of its two services.
    """
    domains = ('domain-a', 'domain-b', 'domain-c', 'domain-d')
    return topology.Topology(
        vms=make_vms(vms, domains),
        services=(
            topology.Service(name='cases', slots=slots),
            topology.Service(name='settlements'),
        ),
        kinds=VENTURE_KINDS,
        upstreams=(
            *make_upstreams('cases', keyed, domains, VENTURE_CONNECTIONS),
            *make_upstreams(
                'settlements', pooled, domains, VENTURE_CONNECTIONS
            ),
        ),
        options=options or {},
    )


def make_association_topology(
    *,
    vms: int = 10,
    keyed: int = 30,
    pooled: int = 6,
    slots: int = 256,
    options: topology.Sections | None = None,
) -> topology.Topology:
    """Make the recipe association's system, with three failure domains.

    `keyed` and `pooled` are the numbers of upstreams of its two services.
    """
    domains = ('domain-a', 'domain-b', 'domain-c')
    return topology.Topology(
        vms=make_vms(vms, domains),
        services=(
            topology.Service(name='recipes', slots=slots),
            topology.Service(name='registry'),
        ),
        kinds=ASSOCIATION_KINDS,
        upstreams=(
            *make_upstreams('recipes', keyed, domains, ASSOCIATION_CONNECTIONS),
            *make_upstreams(
                'registry', pooled, domains, ASSOCIATION_CONNECTIONS
            ),
        ),
        options=options or {},
    )


def with_proxies(
    system_topology: topology.Topology,
    proxied: tuple[str, ...],
) -> topology.Topology:
    """Return a topology with fault-injecting proxies for some processes."""
    return dataclasses.replace(system_topology, proxied_names=proxied)


def without_token_checks(
    system_topology: topology.Topology,
) -> topology.Topology:
    """Return a topology whose upstreams don't check fencing tokens."""
    return dataclasses.replace(
        system_topology,
        upstreams=tuple(
            dataclasses.replace(upstream, checks_tokens=False)
            for upstream in system_topology.upstreams
        ),
    )
