"""Stand-in for the platform's load balancer.

It polls the readiness of the entries, so it learns of a change with a delay.
"""

import asyncio
import dataclasses
import http

from returns import result

from lentilgauge.links import http_client
from lentilgauge.load import cluster as cluster_module
from lentilgauge.load import topology

_CHECK_INTERVAL_SECONDS = 0.2
_CHECK_TIMEOUT_MS = 500


@dataclasses.dataclass(slots=True, kw_only=True)
class Balancer:
    """Round-robin balancer over the entries that passed their last check."""

    cluster: cluster_module.Cluster
    client: http_client.Client
    ready_by_vm: dict[str, bool]
    last_index: int = 0


def make_balancer(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
) -> Balancer:
    """Make a balancer that considers every entry ready until it is checked."""
    return Balancer(
        cluster=cluster,
        client=client,
        ready_by_vm={vm.id: True for vm in cluster.system_topology.vms},
    )


def choose_entry(balancer: Balancer) -> str:
    """Return the base URL of the next ready entry, in round-robin order.

    Without any ready entry all entries take turns.
    """
    vms = balancer.cluster.system_topology.vms
    ready_vms = [vm for vm in vms if balancer.ready_by_vm[vm.id]] or list(vms)
    balancer.last_index += 1
    chosen_vm = ready_vms[balancer.last_index % len(ready_vms)]
    return balancer.cluster.get_url(topology.name_entry(chosen_vm))


async def _check_entry(balancer: Balancer, vm: topology.Vm) -> None:
    admin_url = balancer.cluster.get_url(topology.name_admin(vm))
    call_result = await http_client.send_call(
        balancer.client,
        http_client.Call(
            method='GET',
            url=f'{admin_url}/readyz',
            timeout_ms=_CHECK_TIMEOUT_MS,
        ),
    )
    balancer.ready_by_vm[vm.id] = isinstance(call_result, result.Success) and (
        call_result.unwrap().status == http.HTTPStatus.OK
    )


async def keep_checking_entries(balancer: Balancer) -> None:
    """Poll the readiness of every entry until cancelled."""
    while True:
        await asyncio.gather(
            *(
                _check_entry(balancer, vm)
                for vm in balancer.cluster.system_topology.vms
            ),
        )
        await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
