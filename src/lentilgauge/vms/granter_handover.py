"""Hand over from a granter that leaves or can't reach the store."""

import asyncio

from lentilgauge import clock
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import peer_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import store_access

#: Pause between two checks whether to hand over.
_TICK_MS = 50
#: How often a granter that can't reach the store looks for a VM that can.
_HANDOVER_RETRY_MS = 600
_TAKEOVER_REQUEST_TIMEOUT_MS = 600


async def hand_over_when_needed(
    granter_state: granter_state_module.GranterState,
) -> None:
    """Hand over when this VM leaves or can't reach the store."""
    gateway = granter_state.gateway
    while not granter_state.stopped:
        await asyncio.sleep(clock.to_seconds(_TICK_MS))
        if gateway.draining and granter_state.term_confirmed:
            _hand_over(granter_state, gateway_module.list_live_peers(gateway))
        elif not granter_state.term_confirmed:
            _hand_over(
                granter_state,
                await store_access.find_peers_reaching_store(granter_state),
            )
            await asyncio.sleep(clock.to_seconds(_HANDOVER_RETRY_MS))


def _hand_over(
    granter_state: granter_state_module.GranterState,
    peers: list[peer_link.Peer],
) -> None:
    """Stop and choose a successor at random among the largest peers.

    The largest are those with the most cores, as granting takes much of a
    core in a large fleet.
    """
    if not peers or granter_state.stopped:
        return
    max_cores = max(peer.cores for peer in peers)
    largest_peers = [peer for peer in peers if peer.cores == max_cores]
    peer = granter_state.gateway.random.choice(largest_peers)
    granter_state.successor = peer
    granter_state_module.stop(granter_state, f'handing over to {peer.vm}')


async def request_takeover(
    granter_state: granter_state_module.GranterState,
    peer: peer_link.Peer,
) -> None:
    """Ask a VM to take over at once, after this granter has stopped."""
    await peer_link.call_peer(
        granter_state.gateway.client,
        peer_link.PeerCall(
            address=peer.address,
            path=peer_link.TAKEOVER_PATH,
            timeout_ms=_TAKEOVER_REQUEST_TIMEOUT_MS,
            message=peer_link.TakeoverMessage(
                term=granter_state.ownership.term,
                hold_ms=granter_state_module.bound_remaining_grants_ms(
                    granter_state
                ),
            ),
        ),
        peer_link.StoreAccessMessage,
    )


def was_handed_over(
    gateway: gateway_module.Gateway, record: ownership_module.Record
) -> bool:
    """Return whether the record's granter has stopped and said so.

    A request to take over may arrive late, after another granter's term.
    """
    return (
        bool(gateway.predecessor_hold_ms)
        and gateway.predecessor_term == record.term
    )
