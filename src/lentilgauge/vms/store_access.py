"""Find a VM that can reach the store when the granter can't."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Collection, Mapping

from lentilgauge.contracts import grant_timing
from lentilgauge.links import peer_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granter_state as granter_state_module

#: Time for a VM to answer whether it can reach the store.
_STORE_QUERY_TIMEOUT_MS = 600
#: While the store's answer is only overdue, no more VMs than these are asked,
#: as each of them calls the store. A third of the VMs may be without it.
_MAX_EARLY_QUERIES = 8

#: A VM and its answer, `None` without one.
StoreAccess = tuple[peer_link.Peer, peer_link.StoreAccessMessage | None]


async def find_successor(
    granter_state: granter_state_module.GranterState,
    excluded_vms: Collection[str] = (),
) -> peer_link.Peer | None:
    """Ask peers whether they reach the store; return one that does.

    A peer that is stopping isn't returned. It is one of the largest, with the
    most cores, if any of these does, as granting takes much of a core in a
    large fleet; the first of these to answer is taken. If this granter and most
    VMs can't reach the store, that is noted as an outage.
    """
    gateway = granter_state.gateway
    peers = [
        peer
        for peer in gateway_module.list_live_peers(gateway)
        if peer.vm not in excluded_vms
    ]
    if granter_state.term_confirmed:
        peers = _pick_largest(gateway, peers)
    max_cores = max((peer.cores for peer in peers), default=0)
    access_by_vm: dict[str, peer_link.StoreAccessMessage | None] = {}
    async with contextlib.aclosing(_query_peers(gateway, peers)) as answers:
        async for peer, access in answers:
            access_by_vm[peer.vm] = access
            if _may_succeed(access) and peer.cores == max_cores:
                return peer
    _note_outage(granter_state, access_by_vm)
    return _pick_successor(granter_state, peers, access_by_vm)


def _pick_successor(
    granter_state: granter_state_module.GranterState,
    peers: list[peer_link.Peer],
    access_by_vm: Mapping[str, peer_link.StoreAccessMessage | None],
) -> peer_link.Peer | None:
    """Pick one of the largest peers that reach the store.

    If none does, a granter that stops, while the store confirms its term, hands
    over to one without: a slow store may have answered that too late.
    """
    candidates = [peer for peer in peers if _may_succeed(access_by_vm[peer.vm])]
    if not candidates and (
        granter_state.gateway.draining and granter_state.term_confirmed
    ):
        candidates = [peer for peer in peers if _goes_on(access_by_vm[peer.vm])]
    return max(candidates, key=lambda candidate: candidate.cores, default=None)


def _goes_on(access: peer_link.StoreAccessMessage | None) -> bool:
    """Return whether a VM with this answer isn't stopping."""
    return access is not None and not access.stopping


def _may_succeed(access: peer_link.StoreAccessMessage | None) -> bool:
    """Return whether a VM with this answer can take over."""
    return access is not None and access.reachable and _goes_on(access)


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
    access_by_vm: Mapping[str, peer_link.StoreAccessMessage | None],
) -> None:
    """Note whether the store is unreachable for this granter and most VMs."""
    vms_without_store = {
        vm
        for vm, access in access_by_vm.items()
        if access is not None and not access.reachable
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
    """Ask a VM whether it can reach the store and is stopping."""
    reply = await peer_link.call_peer(
        gateway.client,
        peer_link.PeerCall(
            address=peer.address,
            path=peer_link.STORE_ACCESS_PATH,
            timeout_ms=_STORE_QUERY_TIMEOUT_MS,
        ),
        peer_link.StoreAccessMessage,
    )
    return peer, reply.value_or(None)
