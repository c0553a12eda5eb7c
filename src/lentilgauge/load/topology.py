"""Topology of a system for experiments, and its settings files."""

import configparser
import dataclasses
import io
from collections.abc import Mapping

PLATFORM = 'platform'
_LOOPBACK = '127.0.0.1'

#: Sections of an INI file with their options.
Sections = Mapping[str, Mapping[str, object]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """VM of a topology, which runs a controller and an entry."""

    id: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Service of a topology; a service without slots is pooled."""

    name: str
    slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """Request kind, as in the configuration."""

    name: str
    service: str
    method: str
    path: str
    idempotent: bool
    priority: int = 1
    weight: float = 1
    timeout_ms: int = 3000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """Upstream stand-in; its fields become its flags and configuration."""

    id: str
    service: str
    failure_domain: str
    service_ms: float = 2
    concurrency: int = 2
    connections: int = 120
    queue_limit: int = 8
    checks_tokens: bool = True
    cold_factor: float = 1
    warm_after: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Topology:
    """Topology of a whole system.

    `options` overrides settings of the VMs, by section. `proxied_names` names
    the processes that controllers reach through fault-injecting proxies.
    Entries are started only if `starts_entries` is set.
    """

    vms: tuple[Vm, ...]
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    upstreams: tuple[Upstream, ...]
    options: Sections = dataclasses.field(default_factory=dict)
    proxied_names: tuple[str, ...] = ()
    starts_entries: bool = True


def name_proxy(target: str) -> str:
    """Return the name of the proxy in front of a process."""
    return f'proxy-{target}'


def name_proxy_control(target: str) -> str:
    """Return the name of the port through which a proxy's faults are set."""
    return f'proxy-control-{target}'


def name_controller(vm: Vm) -> str:
    """Return the name of a VM's controller process."""
    return f'controller-{vm.id}'


def name_entry(vm: Vm) -> str:
    """Return the name of a VM's entry process."""
    return f'entry-{vm.id}'


def name_admin(vm: Vm) -> str:
    """Return the name of the admin port of a VM's entry."""
    return f'admin-{vm.id}'


def list_vm_port_names(vm: Vm) -> tuple[str, ...]:
    """List the names of all ports of a VM."""
    return (name_controller(vm), name_entry(vm), name_admin(vm))


def list_upstream_flags(upstream: Upstream) -> list[str]:
    """List the command-line flags of an upstream stand-in."""
    return [
        f'--concurrency={upstream.concurrency}',
        f'--queue_limit={upstream.queue_limit}',
        f'--service_ms={upstream.service_ms}',
        f'--checks_tokens={upstream.checks_tokens}',
        f'--cold_factor={upstream.cold_factor}',
        f'--warm_after={upstream.warm_after}',
    ]


def _render(sections: Sections) -> str:
    parser = configparser.ConfigParser(interpolation=None)
    for name, options in sections.items():
        parser[name] = {
            option: str(setting) for option, setting in options.items()
        }
    text = io.StringIO()
    parser.write(text)
    return text.getvalue()


def find_port(port_by_name: Mapping[str, int], name: str) -> int:
    """Return the port of a process's proxy if it has one, else its own port."""
    return port_by_name.get(name_proxy(name), port_by_name[name])


def _make_vm_section(vm: Vm) -> Mapping[str, object]:
    return {
        'id': vm.id,
        'failure_domain': vm.failure_domain,
        'address': _LOOPBACK,
    }


def render_controller(
    system_topology: Topology,
    vm: Vm,
    port_by_name: Mapping[str, int],
) -> str:
    """Render the settings file of a controller."""
    return _render(
        {
            'vm': _make_vm_section(vm),
            'platform': {
                'address': _LOOPBACK,
                'port': find_port(port_by_name, PLATFORM),
                **system_topology.options.get('platform', {}),
            },
            'controller': {
                'port': port_by_name[name_controller(vm)],
                **system_topology.options.get('controller', {}),
            },
        }
    )


def render_entry(
    system_topology: Topology,
    vm: Vm,
    port_by_name: Mapping[str, int],
) -> str:
    """Render the settings file of an entry."""
    return _render(
        {
            'vm': _make_vm_section(vm),
            'controller': {
                'address': _LOOPBACK,
                'port': port_by_name[name_controller(vm)],
            },
            'entry': {
                'port': port_by_name[name_entry(vm)],
                'admin_port': port_by_name[name_admin(vm)],
                **system_topology.options.get('entry', {}),
            },
        }
    )


def _make_kind_section(kind: Kind) -> Mapping[str, object]:
    fields = dataclasses.asdict(kind)
    fields.pop('name')
    return fields


def _make_upstream_section(
    upstream: Upstream,
    port_by_name: Mapping[str, int],
) -> Mapping[str, object]:
    return {
        'service': upstream.service,
        'failure_domain': upstream.failure_domain,
        'address': _LOOPBACK,
        'port': port_by_name[upstream.id],
        'control_port': find_port(port_by_name, upstream.id),
        'concurrency': upstream.concurrency,
        'connections': upstream.connections,
        'checks_tokens': upstream.checks_tokens,
    }


def render_configuration(
    system_topology: Topology,
    port_by_name: Mapping[str, int],
) -> str:
    """Render the configuration of services, kinds and upstreams."""
    domains = {
        upstream.failure_domain for upstream in system_topology.upstreams
    }
    return _render(
        {
            **{
                f'service {service.name}': {'slots': service.slots}
                for service in system_topology.services
            },
            **{f'failure_domain {name}': {} for name in sorted(domains)},
            **{
                f'kind {kind.name}': _make_kind_section(kind)
                for kind in system_topology.kinds
            },
            **{
                f'upstream {upstream.id}': _make_upstream_section(
                    upstream,
                    port_by_name,
                )
                for upstream in system_topology.upstreams
            },
        }
    )
