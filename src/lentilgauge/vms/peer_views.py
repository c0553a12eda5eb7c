"""Ask other VMs whom they hold for the granter."""

import asyncio

from returns import result

from lentilgauge.links import peer_link
from lentilgauge.vms import gateway as gateway_module

#: A VM answers such a question at once.
_VIEW_TIMEOUT_MS = 150


def list_addresses(gateway: gateway_module.Gateway) -> list[str]:
    """List where other VMs may be."""
    known = {peer.address for peer in gateway.peer_by_vm.values()}
    known.update(gateway.seeds)
    known.add(gateway.beliefs.ownership.granter.address)
    return [
        address
        for address in sorted(known)
        if address and address != gateway.me.address
    ]


async def ask_views(
    gateway: gateway_module.Gateway,
) -> list[peer_link.ViewMessage]:
    """Ask all VMs that may be there."""
    answers = await asyncio.gather(
        *(ask_view(gateway, address) for address in list_addresses(gateway)),
    )
    return [view for view in answers if view is not None]


async def ask_view(
    gateway: gateway_module.Gateway,
    address: str,
) -> peer_link.ViewMessage | None:
    """Ask one VM; `None` if it does not answer in time."""
    answered = await peer_link.ask_peer(
        gateway.client,
        peer_link.PeerCall(
            address=address,
            path=peer_link.VIEW_PATH,
            timeout_ms=_VIEW_TIMEOUT_MS,
        ),
        peer_link.ViewMessage,
    )
    if not isinstance(answered, result.Success):
        return None
    view: peer_link.ViewMessage = answered.unwrap()
    return view
