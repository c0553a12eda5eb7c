"""Find VMs that the store answers, when it doesn't answer the granter."""

import asyncio

from returns import result

from lentilgauge.contracts import orders
from lentilgauge.links import peer_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granting as granting_module

#: A VM says within this time whether the store answers it.
_ASK_TIMEOUT_MS = 600


async def find_able_peers(
    granting: granting_module.Granting,
) -> list[peer_link.Peer]:
    """Ask the other VMs whether the store answers them.

    If most say that it doesn't, there is an outage.
    """
    gateway = granting.gateway
    peers = gateway_module.list_live_peers(gateway)
    answers = await asyncio.gather(
        *(_ask_about_store(gateway, peer) for peer in peers),
    )
    told = zip(peers, answers, strict=True)
    without = {peer.vm for peer, reachable in told if reachable is False}
    without.add(gateway.me.vm)
    away = not granting.confirmed and all(
        orders.is_majority(len(without.intersection(vms)), len(vms))
        for vms in (granting.recorded_vms, granting.ownership.vms)
    )
    granting_module.note_outage(granting, away=away)
    return [
        peer
        for peer, reachable in zip(peers, answers, strict=True)
        if reachable
    ]


async def _ask_about_store(
    gateway: gateway_module.Gateway,
    peer: peer_link.Peer,
) -> bool | None:
    """Ask a VM whether the store answers it; `None` if it says nothing."""
    answered = await peer_link.ask_peer(
        gateway.client,
        peer_link.PeerCall(
            address=peer.address,
            path=peer_link.STORE_PATH,
            timeout_ms=_ASK_TIMEOUT_MS,
        ),
        peer_link.StoreMessage,
    )
    if not isinstance(answered, result.Success):
        return None
    message: peer_link.StoreMessage = answered.unwrap()
    return message.reachable
