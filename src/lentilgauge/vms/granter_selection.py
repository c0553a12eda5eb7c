"""Choose which VM grants keys where the VMs of a fleet differ in size.

A granter sends each change to all VMs and orders to all upstreams. In a large
fleet that fills the link and the core of a small VM, so that the granter seems
silent, is replaced by another small VM, and so on.
"""

import asyncio

from returns import result

from lentilgauge import clock
from lentilgauge.links import peer_link
from lentilgauge.vms import gateway as gateway_module

#: A VM with at most this share of the largest VM's cores is small.
_SMALL_VM_CORE_SHARE = 0.5
#: A VM answers a request to take over without waiting for anything.
REQUEST_TIMEOUT_MS = 150
#: A VM is followed only if it heard of the granter within this time. Followers
#: of a running granter hear of it more often, and an older contact may predate
#: the loss of the granter that this VM has noticed.
MAX_VIEW_AGE_MS = 650
#: Longest random pauses before a VM tries to take over. Seeds try first, so
#: that not all VMs call the store at once.
_SEED_MAX_PAUSE_MS = 60
_MAX_PAUSE_MS = 250
#: Additional pause of a small VM, so that larger ones try first.
_SMALL_VM_EXTRA_PAUSE_MS = 250
#: A granter that was replaced pauses for longer during this time after that,
#: so that it doesn't replace its successor before it has heard of it.
_REPLACED_RESPECT_MS = 3000
_REPLACED_EXTRA_PAUSE_MS = 500


def is_small_vm(gateway: gateway_module.Gateway) -> bool:
    """Return whether a live peer has at least twice the cores of this VM."""
    return any(
        is_much_larger(gateway, peer)
        for peer in gateway_module.list_live_peers(gateway)
    )


def is_much_larger(
    gateway: gateway_module.Gateway, peer: peer_link.Peer
) -> bool:
    """Return whether a peer has at least twice the cores of this VM."""
    return gateway.local_peer.cores <= peer.cores * _SMALL_VM_CORE_SHARE


def pick_largest_peer(
    gateway: gateway_module.Gateway,
) -> peer_link.Peer | None:
    """Pick one of the live peers with the most cores at random."""
    peers = gateway_module.list_live_peers(gateway)
    if not peers:
        return None
    max_cores = max(peer.cores for peer in peers)
    return gateway.random.choice(
        [peer for peer in peers if peer.cores == max_cores]
    )


async def ask_larger_vm(gateway: gateway_module.Gateway) -> bool:
    """Ask a large VM to take over from a granter that this VM has lost.

    Return whether it takes over, or is the granter itself. A VM that isn't
    small asks nobody.
    """
    if not is_small_vm(gateway):
        return False
    peer = pick_largest_peer(gateway)
    if peer is None:
        return False
    reply = await peer_link.call_peer(
        gateway.client,
        peer_link.PeerCall(
            address=peer.address,
            path=peer_link.TAKEOVER_PATH,
            timeout_ms=REQUEST_TIMEOUT_MS,
            message=peer_link.TakeoverMessage(
                term=gateway.state_cache.ownership.term,
                hold_ms=0,
                granter_lost=True,
            ),
        ),
        peer_link.TakeoverReply,
    )
    if not isinstance(reply, result.Success):
        return False
    message: peer_link.TakeoverReply = reply.unwrap()
    return message.accepted


async def pause_before_takeover(gateway: gateway_module.Gateway) -> None:
    """Pause for a random time, longer on VMs that should take over later."""
    max_pause_ms = _MAX_PAUSE_MS
    pause_ms = gateway.random.uniform(_SEED_MAX_PAUSE_MS, max_pause_ms)
    if gateway.local_peer.address in gateway.seeds:
        pause_ms = gateway.random.uniform(0, _SEED_MAX_PAUSE_MS)
    if is_small_vm(gateway):
        pause_ms += _SMALL_VM_EXTRA_PAUSE_MS
    if _was_replaced_recently(gateway):
        pause_ms += _REPLACED_EXTRA_PAUSE_MS
    await asyncio.sleep(clock.to_seconds(pause_ms))


def _was_replaced_recently(gateway: gateway_module.Gateway) -> bool:
    """Return whether another VM took over from this one a short time ago."""
    replaced_ms = gateway.replaced_ms
    return bool(replaced_ms and gateway_module.list_live_peers(gateway)) and (
        gateway.now_ms() - replaced_ms < _REPLACED_RESPECT_MS
    )
