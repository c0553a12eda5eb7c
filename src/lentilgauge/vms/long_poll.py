"""Ask another VM for newer state by long polling, and apply its reply."""

import asyncio

from returns import result

from lentilgauge.links import http_client, peer_link, store_link
from lentilgauge.vms import (
    configuration_age,
    quota_borrowing,
    store_era_merge,
    suspicion_sharing,
)
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import state_cache as state_cache_module

#: How long a long poll waits for changes; each poll carries a
#: report for the granter.
LONG_POLL_WAIT_MS = 300
#: Additional time, beyond that wait, within which the reply must arrive.
_LONG_POLL_MARGIN_MS = 250


async def follow_unless_asked(
    gateway: gateway_module.Gateway,
    address: str,
) -> http_client.LinkFailure | None:
    """Follow a VM once, or until this VM is asked to take over."""
    following = asyncio.ensure_future(follow_once(gateway, address))
    asked = asyncio.ensure_future(gateway.takeover_requested.wait())
    try:
        await asyncio.wait(
            (following, asked), return_when=asyncio.FIRST_COMPLETED
        )
        return following.result() if following.done() else None
    finally:
        following.cancel()
        asked.cancel()


async def follow_once(
    gateway: gateway_module.Gateway,
    address: str,
    wait_ms: int = LONG_POLL_WAIT_MS,
) -> http_client.LinkFailure | None:
    """Ask a VM once for newer state, for which it waits up to `wait_ms`.

    Return `None` on success, otherwise the failure.
    """
    request_sent_ms = gateway.now_ms()
    state_cache = gateway.state_cache
    needs = quota_borrowing.pack_following_needs(gateway)
    message = peer_link.FollowMessage(
        peer=gateway.local_peer,
        mark_by_topic={
            topic: (
                store_link.get_history_revision(cached_topic.revision),
                cached_topic.local_removals,
            )
            for topic, cached_topic in state_cache.cached_by_topic.items()
        },
        term=state_cache.ownership.term,
        serial=state_cache.ownership.serial,
        wait_ms=wait_ms,
        peers_digest=_digest_other_peers(gateway, address),
        outage_age_ms=gateway_module.get_outage_report_age_ms(gateway),
        report=gateway_module.collect_report(gateway),
        suspicion_by_upstream=suspicion_sharing.pack_own(gateway),
        receipt=gateway.receipt,
        quota=needs,
        era_by_topic={
            topic: store_link.get_era(cached_topic.revision)
            for topic, cached_topic in state_cache.cached_by_topic.items()
        },
    )
    reply_outcome = await peer_link.call_peer(
        gateway.client,
        peer_link.PeerCall(
            address=address,
            path=peer_link.FOLLOW_PATH,
            timeout_ms=_LONG_POLL_MARGIN_MS + LONG_POLL_WAIT_MS,
            message=message,
        ),
        peer_link.FollowReply,
    )
    if not isinstance(reply_outcome, result.Success):
        gateway.metrics.count('follow_failures', reply_outcome.failure())
        link_failure: http_client.LinkFailure = reply_outcome.failure()
        return link_failure
    apply_reply(gateway, reply_outcome.unwrap(), request_sent_ms)
    quota_borrowing.apply_loans(gateway, needs, reply_outcome.unwrap().quota)
    return None


def apply_reply(
    gateway: gateway_module.Gateway,
    reply: peer_link.FollowReply,
    request_sent_ms: int,
) -> None:
    """Apply the newer state in another VM's reply."""
    gateway_module.record_peer(gateway, reply.view.peer)
    gateway.receipt = peer_link.ReplyReceipt(
        incarnation=reply.view.peer.incarnation, replied_ms=reply.replied_ms
    )
    _record_known_peers(gateway, reply)
    state_cache = gateway.state_cache
    for topic, section in reply.section_by_topic.items():
        store_era_merge.replace_topic_from_peer(state_cache, topic, section)
    if reply.news is not None:
        state_cache_module.apply_ownership_delta(state_cache, reply.news)
    suspicion_sharing.adopt_shared(gateway, reply.suspicion_by_upstream)
    # Counted from the request, so that the wait for changes can't make the
    # state look newer than it is.
    heard_ms = request_sent_ms - reply.view.age_ms
    state_cache.granter_heard_ms = max(state_cache.granter_heard_ms, heard_ms)
    state_cache.state_current_ms = max(
        state_cache.state_current_ms, heard_ms - reply.view.state_lag_ms
    )
    if reply.view.configuration_age_ms is not None:
        configuration_age.note_current(
            state_cache, request_sent_ms - reply.view.configuration_age_ms
        )


def _digest_other_peers(gateway: gateway_module.Gateway, address: str) -> int:
    """Return a digest of the live peers except the one at an address."""
    return peer_link.compute_peers_digest(
        peer
        for peer in gateway_module.list_live_peers(gateway)
        if peer.address != address
    )


def _record_known_peers(
    gateway: gateway_module.Gateway,
    reply: peer_link.FollowReply,
) -> None:
    """Record as live the peers that the replying VM knows.

    A reply without a list of peers means that both VMs know the same ones.
    """
    peers = reply.peers
    if peers is None:
        peers = gateway_module.list_live_peers(gateway)
    for peer in peers:
        gateway_module.record_peer(gateway, peer)
