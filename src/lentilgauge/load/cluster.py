"""Run a small system of real processes on loopback, for experiments."""

import asyncio
import dataclasses
import functools
import os
import pathlib
import signal
import socket
import sys
from collections.abc import Callable, Coroutine, Sequence

from lentilgauge.load import ports, processes, topology

LOOPBACK = ports.LOOPBACK

#: Starts one process of a system.
Start = Callable[[], Coroutine[object, object, None]]


@dataclasses.dataclass(slots=True, kw_only=True)
class Cluster:
    """Running system: its topology, settings folder, ports and processes.

    `reservation_by_name` has the sockets that keep its ports from others.
    """

    system_topology: topology.Topology
    folder: pathlib.Path
    port_by_name: dict[str, int]
    reservation_by_name: dict[str, socket.socket]
    process_by_name: dict[str, processes.Process] = dataclasses.field(
        default_factory=dict,
    )

    def get_url(self, name: str) -> str:
        """Return the base URL of a process."""
        return f'http://{LOOPBACK}:{self.port_by_name[name]}'


def _list_port_names(system_topology: topology.Topology) -> list[str]:
    return [
        topology.PLATFORM,
        *(upstream.id for upstream in system_topology.upstreams),
        *(
            name
            for vm in system_topology.vms
            for name in topology.list_vm_port_names(vm)
        ),
        *(topology.name_proxy(name) for name in system_topology.proxied_names),
        *(
            topology.name_proxy_control(name)
            for name in system_topology.proxied_names
        ),
    ]


def make_cluster(
    system_topology: topology.Topology,
    folder: pathlib.Path,
    extra_port_names: Sequence[str] = (),
) -> Cluster:
    """Reserve the ports of a system and write its settings files.

    `extra_port_names` are the names of further ports to reserve. They stay
    reserved until `kill_all`.
    """
    reservation_by_name = ports.reserve_ports(
        (*_list_port_names(system_topology), *extra_port_names),
    )
    cluster = Cluster(
        system_topology=system_topology,
        folder=folder,
        port_by_name=ports.map_ports(reservation_by_name),
        reservation_by_name=reservation_by_name,
    )
    for vm in system_topology.vms:
        write_vm_settings(cluster, vm)
    text = topology.render_configuration(system_topology, cluster.port_by_name)
    (folder / 'configuration.ini').write_text(text, encoding='utf-8')
    return cluster


def write_vm_settings(cluster: Cluster, vm: topology.Vm) -> None:
    """Write the settings files of a VM's controller and entry."""
    for kind, render in (
        ('controller', topology.render_controller),
        ('entry', topology.render_entry),
    ):
        path = cluster.folder / f'{kind}-{vm.id}.ini'
        text = render(cluster.system_topology, vm, cluster.port_by_name)
        path.write_text(text, encoding='utf-8')


def find_program(name: str) -> str:
    """Return the path of an installed program of the project."""
    return str(pathlib.Path(sys.executable).parent / name)


async def start_program(cluster: Cluster, name: str, *arguments: str) -> None:
    """Start a process and wait until it reports that it is ready.

    The first argument is the name of a program of the project.
    """
    program, *rest = arguments
    cluster.process_by_name[name] = await processes.start_process(
        name,
        (find_program(program), *rest),
        cluster.folder / f'{name}.log',
    )


async def start_platform(cluster: Cluster) -> None:
    """Start the platform stand-in."""
    await start_program(
        cluster,
        topology.PLATFORM,
        'lentilgauge-standin',
        'platform',
        f'--port={cluster.port_by_name[topology.PLATFORM]}',
    )


def get_journal_path(
    cluster: Cluster,
    upstream_id: str,
) -> pathlib.Path:
    """Return the path of the journal of all incarnations of an upstream."""
    return cluster.folder / f'{upstream_id}.journal'


async def start_upstream(cluster: Cluster, upstream: topology.Upstream) -> None:
    """Start one upstream stand-in."""
    await start_program(
        cluster,
        upstream.id,
        'lentilgauge-standin',
        'upstream',
        f'--id={upstream.id}',
        f'--port={cluster.port_by_name[upstream.id]}',
        f'--journal={get_journal_path(cluster, upstream.id)}',
        *topology.list_upstream_flags(upstream),
    )


async def start_controller(cluster: Cluster, vm: topology.Vm) -> None:
    """Start the controller process of a VM."""
    await start_program(
        cluster,
        topology.name_controller(vm),
        'lentilgauge-controller',
        str(cluster.folder / f'controller-{vm.id}.ini'),
    )


async def start_entry(cluster: Cluster, vm: topology.Vm) -> None:
    """Start the entry process of a VM."""
    await start_program(
        cluster,
        topology.name_entry(vm),
        'lentilgauge-entry',
        str(cluster.folder / f'entry-{vm.id}.ini'),
    )


async def start_proxy(cluster: Cluster, target: str) -> None:
    """Start the fault-injecting proxy in front of a process."""
    name = topology.name_proxy(target)
    control = topology.name_proxy_control(target)
    await start_program(
        cluster,
        name,
        'lentilgauge-standin',
        'proxy',
        f'--target_port={cluster.port_by_name[target]}',
        f'--port={cluster.port_by_name[name]}',
        f'--control_port={cluster.port_by_name[control]}',
    )


async def start_all(cluster: Cluster) -> None:
    """Start all processes; the entries only if `starts_entries` is set.

    No more start at once than there are CPUs for them, as the time limit of a
    start would else cover the others' starts too. If one fails, the other
    starts are over too when the failure is raised.
    """
    await start_platform(cluster)
    free_places = asyncio.Semaphore(len(os.sched_getaffinity(0)))
    starts = [
        asyncio.ensure_future(_start_in_turn(free_places, start))
        for start in _list_later_starts(cluster)
    ]
    try:
        await asyncio.gather(*starts)
    finally:
        for start in starts:
            start.cancel()
        await asyncio.gather(*starts, return_exceptions=True)


async def _start_in_turn(free_places: asyncio.Semaphore, start: Start) -> None:
    async with free_places:
        await start()


def _list_later_starts(cluster: Cluster) -> list[Start]:
    """List the starts of all processes but the platform."""
    system_topology = cluster.system_topology
    entry_vms = system_topology.vms if system_topology.starts_entries else ()
    return [
        *(
            functools.partial(start_proxy, cluster, name)
            for name in system_topology.proxied_names
        ),
        *(
            functools.partial(start_upstream, cluster, upstream)
            for upstream in system_topology.upstreams
        ),
        *(
            functools.partial(start_controller, cluster, vm)
            for vm in system_topology.vms
        ),
        *(functools.partial(start_entry, cluster, vm) for vm in entry_vms),
    ]


def has_unread_request(cluster: Cluster, upstream_id: str) -> bool:
    """Return whether bytes from an entry wait unread at an upstream."""
    return any(
        processes.count_unread_bytes(
            cluster.process_by_name[topology.name_entry(vm)].pid,
            cluster.port_by_name[upstream_id],
        )
        for vm in cluster.system_topology.vms
    )


def send_signal(
    cluster: Cluster,
    name: str,
    signal_number: signal.Signals,
) -> None:
    """Send a signal to one process of the system."""
    os.kill(cluster.process_by_name[name].pid, signal_number)


async def kill_process(cluster: Cluster, name: str) -> None:
    """Kill a process and wait until it has ended."""
    await processes.stop_process(cluster.process_by_name[name], signal.SIGKILL)


async def terminate_process(cluster: Cluster, name: str) -> None:
    """Send SIGTERM to a process and wait until it has ended."""
    await processes.stop_process(cluster.process_by_name[name], signal.SIGTERM)


async def kill_all(cluster: Cluster) -> None:
    """Kill all processes, wait until they have ended and free their ports."""
    await asyncio.gather(
        *(
            processes.stop_process(process, signal.SIGKILL)
            for process in cluster.process_by_name.values()
        ),
    )
    ports.free_ports(cluster.reservation_by_name)
