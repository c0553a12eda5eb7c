"""Queries to other VMs for their views.

A VM's view names the granter that it knows, and says how long ago it last heard
of that granter.
"""

import asyncio

from returns import result

from lentilgauge.links import peer_link
from lentilgauge.vms import gateway as gateway_module

#: A VM answers this query without waiting for anything.
_VIEW_TIMEOUT_MS = 150


def list_peer_addresses(gateway: gateway_module.Gateway) -> list[str]:
    """List the addresses of known peers, the seeds and the granter."""
    addresses = {peer.address for peer in gateway.peer_by_vm.values()}
    addresses.update(gateway.seeds)
    addresses.add(gateway.state_cache.ownership.granter.address)
    return [
        address
        for address in sorted(addresses)
        if address and address != gateway.local_peer.address
    ]


async def query_views(
    gateway: gateway_module.Gateway,
) -> list[peer_link.ViewMessage]:
    """Query all known addresses at once; return the views that arrived."""
    views = await asyncio.gather(
        *(
            query_view(gateway, address)
            for address in list_peer_addresses(gateway)
        ),
    )
    return [view for view in views if view is not None]


async def query_view(
    gateway: gateway_module.Gateway,
    address: str,
) -> peer_link.ViewMessage | None:
    """Query one VM; return `None` if it doesn't answer in time."""
    reply = await peer_link.call_peer(
        gateway.client,
        peer_link.PeerCall(
            address=address,
            path=peer_link.VIEW_PATH,
            timeout_ms=_VIEW_TIMEOUT_MS,
        ),
        peer_link.ViewMessage,
    )
    if not isinstance(reply, result.Success):
        return None
    view: peer_link.ViewMessage = reply.unwrap()
    return view
