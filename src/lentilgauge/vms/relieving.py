"""Find VMs that can reach the store when the granter can't."""

import asyncio

from returns import result

from lentilgauge.contracts import orders
from lentilgauge.links import peer_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granting as granting_module

#: Time for a VM to answer whether it can reach the store.
_STORE_QUERY_TIMEOUT_MS = 600


async def find_able_peers(
    granting: granting_module.Granting,
) -> list[peer_link.Peer]:
    """Ask the other VMs for their access to the store; list those with it.

    If most VMs can't reach the store, this granter included, that is noted as
    an outage.
    """
    gateway = granting.gateway
    peers = gateway_module.list_live_peers(gateway)
    answers = await asyncio.gather(
        *(_query_store_access(gateway, peer) for peer in peers),
    )
    peer_answers = zip(peers, answers, strict=True)
    vms_without_store = {
        peer.vm for peer, reachable in peer_answers if reachable is False
    }
    vms_without_store.add(gateway.me.vm)
    in_outage = not granting.confirmed and all(
        orders.is_majority(len(vms_without_store.intersection(vms)), len(vms))
        for vms in (granting.recorded_vms, granting.ownership.vms)
    )
    granting_module.note_outage(granting, away=in_outage)
    return [
        peer
        for peer, reachable in zip(peers, answers, strict=True)
        if reachable
    ]


async def _query_store_access(
    gateway: gateway_module.Gateway,
    peer: peer_link.Peer,
) -> bool | None:
    """Ask a VM whether it can reach the store; `None` without an answer."""
    reply = await peer_link.ask_peer(
        gateway.client,
        peer_link.PeerCall(
            address=peer.address,
            path=peer_link.STORE_PATH,
            timeout_ms=_STORE_QUERY_TIMEOUT_MS,
        ),
        peer_link.StoreMessage,
    )
    if not isinstance(reply, result.Success):
        return None
    message: peer_link.StoreMessage = reply.unwrap()
    return message.reachable
