"""Find VMs that can reach the store when the granter can't."""

import asyncio

from returns import result

from lentilgauge.contracts import grant_timing
from lentilgauge.links import peer_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granter_state as granter_state_module

#: Time for a VM to answer whether it can reach the store.
_STORE_QUERY_TIMEOUT_MS = 600


async def find_peers_reaching_store(
    granter_state: granter_state_module.GranterState,
) -> list[peer_link.Peer]:
    """Ask the live peers whether they reach the store; list those that do.

    If this granter and most VMs can't reach it, that is noted as an outage.
    """
    gateway = granter_state.gateway
    peers = gateway_module.list_live_peers(gateway)
    answers = await asyncio.gather(
        *(_query_store_access(gateway, peer) for peer in peers),
    )
    peer_answers = zip(peers, answers, strict=True)
    vms_without_store = {
        peer.vm for peer, reachable in peer_answers if reachable is False
    }
    vms_without_store.add(gateway.local_peer.vm)
    in_outage = not granter_state.term_confirmed and all(
        grant_timing.is_majority(
            len(vms_without_store.intersection(vms)), len(vms)
        )
        for vms in granter_state_module.list_vm_sets(granter_state)
    )
    granter_state_module.note_store_outage(granter_state, in_outage=in_outage)
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
    reply = await peer_link.call_peer(
        gateway.client,
        peer_link.PeerCall(
            address=peer.address,
            path=peer_link.STORE_ACCESS_PATH,
            timeout_ms=_STORE_QUERY_TIMEOUT_MS,
        ),
        peer_link.StoreAccessMessage,
    )
    if not isinstance(reply, result.Success):
        return None
    message: peer_link.StoreAccessMessage = reply.unwrap()
    return message.reachable
