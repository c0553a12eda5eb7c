"""Stand in for the platform's balancer: it lags behind the entries' state."""

import asyncio
import dataclasses
import http

from returns import result

from lentilgauge.links import http_client
from lentilgauge.load import cluster as cluster_module
from lentilgauge.load import topology

_CHECK_SECONDS = 0.2
_CHECK_TIMEOUT_MS = 500


@dataclasses.dataclass(slots=True, kw_only=True)
class Balancer:
    """Hold which entries passed their last health check."""

    cluster: cluster_module.Cluster
    client: http_client.Client
    ready_by_vm: dict[str, bool]
    last: int = 0


def make_balancer(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
) -> Balancer:
    """Make a balancer that takes every entry for ready."""
    return Balancer(
        cluster=cluster,
        client=client,
        ready_by_vm={vm.id: True for vm in cluster.shape.vms},
    )


def choose_entry(balancer: Balancer) -> str:
    """Take the ready entries in turn."""
    vms = balancer.cluster.shape.vms
    ready = [vm for vm in vms if balancer.ready_by_vm[vm.id]] or list(vms)
    balancer.last += 1
    chosen = ready[balancer.last % len(ready)]
    return balancer.cluster.get_url(topology.name_entry(chosen))


async def _check(balancer: Balancer, vm: topology.Vm) -> None:
    admin_url = balancer.cluster.get_url(topology.name_admin(vm))
    sent = await http_client.send_call(
        balancer.client,
        http_client.Call(
            method='GET',
            url=f'{admin_url}/readyz',
            timeout_ms=_CHECK_TIMEOUT_MS,
        ),
    )
    balancer.ready_by_vm[vm.id] = isinstance(sent, result.Success) and (
        sent.unwrap().status == http.HTTPStatus.OK
    )


async def check_entries(balancer: Balancer) -> None:
    """Check every entry again and again."""
    while True:
        await asyncio.gather(
            *(_check(balancer, vm) for vm in balancer.cluster.shape.vms),
        )
        await asyncio.sleep(_CHECK_SECONDS)
