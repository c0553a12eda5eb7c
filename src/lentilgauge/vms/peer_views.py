"""Queries to other VMs for their views.

A VM's view names the granter that it knows, and says how long ago it last heard
of that granter.
"""

import asyncio
import dataclasses

from returns import result

from lentilgauge.links import http_client, peer_link
from lentilgauge.vms import gateway as gateway_module

#: A VM answers this query without waiting for anything.
_VIEW_TIMEOUT_MS = 150
#: Peers that are queried at once, beside seeds and granter: one that hears the
#: granter is enough, and the answers of a large fleet would fill the link of a
#: small VM for longer than the timeout.
_MAX_QUERIED_PEERS = 12


def list_peer_addresses(gateway: gateway_module.Gateway) -> list[str]:
    """List the addresses of known peers, the seeds and the granter.

    Of many peers, some are picked at random.
    """
    peer_addresses = [peer.address for peer in gateway.peer_by_vm.values()]
    if len(peer_addresses) > _MAX_QUERIED_PEERS:
        peer_addresses = gateway.random.sample(
            peer_addresses, _MAX_QUERIED_PEERS
        )
    addresses = set(peer_addresses)
    addresses.update(gateway.seeds)
    addresses.add(gateway.state_cache.ownership.granter.address)
    return [
        address
        for address in sorted(addresses)
        if address and address != gateway.local_peer.address
    ]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Survey:
    """Views that arrived, and the addresses that were silent.

    An address that refuses connections isn't silent: no process listens there.
    """

    views: list[peer_link.ViewMessage]
    silent_addresses: set[str]


async def survey_peers(gateway: gateway_module.Gateway) -> Survey:
    """Query all known addresses at once."""
    addresses = list_peer_addresses(gateway)
    replies = await asyncio.gather(
        *(_call_view(gateway, address) for address in addresses)
    )
    refusal = result.Failure(http_client.LinkFailure.NOT_CONNECTED)
    return Survey(
        views=[
            reply.unwrap()
            for reply in replies
            if isinstance(reply, result.Success)
        ],
        silent_addresses={
            address
            for address, reply in zip(addresses, replies, strict=True)
            if not isinstance(reply, result.Success) and reply != refusal
        },
    )


async def query_views(
    gateway: gateway_module.Gateway,
) -> list[peer_link.ViewMessage]:
    """Query all known addresses at once; return the views that arrived."""
    survey = await survey_peers(gateway)
    return survey.views


async def query_view(
    gateway: gateway_module.Gateway,
    address: str,
) -> peer_link.ViewMessage | None:
    """Query one VM; return `None` if it doesn't answer in time."""
    reply = await _call_view(gateway, address)
    if not isinstance(reply, result.Success):
        return None
    view: peer_link.ViewMessage = reply.unwrap()
    return view


async def _call_view(
    gateway: gateway_module.Gateway,
    address: str,
) -> peer_link.PeerResult[peer_link.ViewMessage]:
    return await peer_link.call_peer(
        gateway.client,
        peer_link.PeerCall(
            address=address,
            path=peer_link.VIEW_PATH,
            timeout_ms=_VIEW_TIMEOUT_MS,
        ),
        peer_link.ViewMessage,
    )
