"""Find a VM that can reach the store when the granter can't."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Mapping

from returns import result

from lentilgauge.contracts import grant_timing
from lentilgauge.links import peer_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granter_state as granter_state_module

#: Time for a VM to answer whether it can reach the store.
_STORE_QUERY_TIMEOUT_MS = 600
#: While the store's answer is only overdue, no more VMs than these are asked,
#: as each of them calls the store. A third of the VMs may be without it.
_MAX_EARLY_QUERIES = 8

#: A VM and whether it reaches the store; `None` without an answer.
StoreAccess = tuple[peer_link.Peer, bool | None]


async def find_successor(
    granter_state: granter_state_module.GranterState,
) -> peer_link.Peer | None:
    """Ask peers whether they reach the store; return one that does.

    It is one of the largest, with the most cores, if any of these does, as
    granting takes much of a core in a large fleet; the first of these to answer
    is taken. If this granter and most VMs can't reach the store, that is noted
    as an outage.
    """
    gateway = granter_state.gateway
    peers = gateway_module.list_live_peers(gateway)
    if granter_state.term_confirmed:
        peers = _pick_largest(gateway, peers)
    max_cores = max((peer.cores for peer in peers), default=0)
    reachable_by_vm: dict[str, bool | None] = {}
    async with contextlib.aclosing(_query_peers(gateway, peers)) as answers:
        async for peer, reachable in answers:
            reachable_by_vm[peer.vm] = reachable
            if reachable and peer.cores == max_cores:
                return peer
    _note_outage(granter_state, reachable_by_vm)
    return max(
        (candidate for candidate in peers if reachable_by_vm[candidate.vm]),
        key=lambda candidate: candidate.cores,
        default=None,
    )


async def _query_peers(
    gateway: gateway_module.Gateway, peers: list[peer_link.Peer]
) -> AsyncGenerator[StoreAccess, None]:
    """Ask peers whether they reach the store; yield each answer as it comes."""
    queries = [
        asyncio.ensure_future(_query_store_access(gateway, peer))
        for peer in peers
    ]
    try:
        for answered in asyncio.as_completed(queries):
            yield await answered
    finally:
        for query in queries:
            query.cancel()


def _pick_largest(
    gateway: gateway_module.Gateway, peers: list[peer_link.Peer]
) -> list[peer_link.Peer]:
    """Pick the largest peers, at random among those of one size."""
    shuffled = gateway.random.sample(peers, len(peers))
    shuffled.sort(key=lambda peer: peer.cores, reverse=True)
    return shuffled[:_MAX_EARLY_QUERIES]


def _note_outage(
    granter_state: granter_state_module.GranterState,
    reachable_by_vm: Mapping[str, bool | None],
) -> None:
    """Note whether the store is unreachable for this granter and most VMs."""
    vms_without_store = {
        vm for vm, reachable in reachable_by_vm.items() if reachable is False
    }
    vms_without_store.add(granter_state.gateway.local_peer.vm)
    in_outage = not granter_state.term_confirmed and all(
        grant_timing.is_majority(
            len(vms_without_store.intersection(vms)), len(vms)
        )
        for vms in granter_state_module.list_vm_sets(granter_state)
    )
    granter_state_module.note_store_outage(granter_state, in_outage=in_outage)


async def _query_store_access(
    gateway: gateway_module.Gateway,
    peer: peer_link.Peer,
) -> StoreAccess:
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
        return peer, None
    message: peer_link.StoreAccessMessage = reply.unwrap()
    return peer, message.reachable
