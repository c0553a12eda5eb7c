"""HTTP routes that other VMs and metrics scrapers call on this VM."""

import asyncio

import msgspec
from returns import result

from lentilgauge import clock, metrics
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import (
    http_server,
    peer_encoding,
    peer_link,
    quota_link,
    store_link,
)
from lentilgauge.vms import (
    cached_topics,
    granter_selection,
    quota_lending,
    suspicion_sharing,
)
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import state_cache as state_cache_module

#: Changes within this time are sent in one reply.
BATCH_WINDOW_MS = 3
#: Up to this many VMs, replies aren't paced. Each further VM adds to the
#: minimum interval between two replies to the same VM: a granter on a small VM
#: can send about 500 replies a second.
_UNPACED_VMS = 20
_PACING_PER_VM_MS = 2
#: Maximum wait of a long poll; VMs ask for less.
_MAX_WAIT_MS = 1000
#: Timeout for a check of the store on behalf of another VM, which waits only a
#: little longer.
_STORE_TIMEOUT_MS = 400

METRICS_PATH = '/metrics'


def _respond(message: msgspec.Struct) -> http_server.Response:
    return http_server.Response(body=msgspec.json.encode(message))


def make_peer_routes(
    gateway: gateway_module.Gateway,
) -> dict[http_server.Route, http_server.Responder]:
    """Make the routes that other VMs call."""

    async def serve_follow(
        request: http_server.Request,
    ) -> http_server.Response:
        message = msgspec.json.decode(
            request.body,
            type=peer_link.FollowMessage,
        )
        reply = await answer_follower(gateway, message)
        return peer_encoding.make_response(msgspec.json.encode(reply), request)

    async def serve_view(_: http_server.Request) -> http_server.Response:
        return _respond(gateway_module.make_view(gateway))

    async def check_store(_: http_server.Request) -> http_server.Response:
        reachable = await _can_reach_store(gateway)
        if not reachable:
            gateway.outage_reported_ms = gateway.now_ms()
        return _respond(
            peer_link.StoreAccessMessage(
                reachable=reachable, stopping=gateway.draining
            )
        )

    async def request_takeover(
        request: http_server.Request,
    ) -> http_server.Response:
        message = msgspec.json.decode(
            request.body,
            type=peer_link.TakeoverMessage,
        )
        accepted = _may_take_over(gateway, message)
        if accepted:
            gateway.predecessor_term = message.term
            gateway.predecessor_hold_ms = message.hold_ms
            quota_lending.note_sections(gateway, message)
            gateway.takeover_requested.set()
            state_cache_module.notify_change(gateway.state_cache)
        return _respond(
            peer_link.TakeoverReply(accepted=accepted or gateway.is_granter)
        )

    async def lend_permits(
        request: http_server.Request,
    ) -> http_server.Response:
        ask = msgspec.json.decode(request.body, type=quota_link.QuotaAsk)
        loans = quota_lending.answer_ask(gateway, ask)
        # Headers would be the larger part of these frequent messages.
        return http_server.Response(
            body=msgspec.json.encode(loans), content_type=''
        )

    return {
        http_server.Route('POST', quota_link.QUOTA_PATH): lend_permits,
        http_server.Route('POST', peer_link.FOLLOW_PATH): serve_follow,
        http_server.Route('GET', peer_link.VIEW_PATH): serve_view,
        http_server.Route('GET', peer_link.STORE_ACCESS_PATH): check_store,
        http_server.Route('POST', peer_link.TAKEOVER_PATH): request_takeover,
    }


def _may_take_over(
    gateway: gateway_module.Gateway, message: peer_link.TakeoverMessage
) -> bool:
    """Return whether this VM may take over from a term as it was asked to.

    A granter may, if it was superseded by that term and doesn't know it yet. A
    VM that hears the granter knows better than one that has lost it.
    """
    if gateway.draining:
        return False
    known_term = gateway.state_cache.ownership.term
    if message.granter_lost and (
        gateway.is_granter
        or gateway.now_ms() - gateway.state_cache.granter_heard_ms
        < granter_selection.MAX_VIEW_AGE_MS
    ):
        return False
    if gateway.is_granter:
        return message.term > known_term
    return message.term >= known_term


def make_metrics_routes(
    gateway: gateway_module.Gateway,
) -> dict[http_server.Route, http_server.Responder]:
    """Make the route on which scrapers read counters and histograms."""

    async def serve_metrics(_: http_server.Request) -> http_server.Response:
        return http_server.respond_text(metrics.render_text(gateway.metrics))

    return {http_server.Route('GET', METRICS_PATH): serve_metrics}


async def _can_reach_store(gateway: gateway_module.Gateway) -> bool:
    """Return whether the store answers this VM within the timeout."""
    try:
        read_outcome = await asyncio.wait_for(
            gateway.store.read_record(),
            clock.to_seconds(_STORE_TIMEOUT_MS),
        )
    except TimeoutError:
        return False
    return isinstance(read_outcome, result.Success)


async def answer_follower(
    gateway: gateway_module.Gateway,
    message: peer_link.FollowMessage,
) -> peer_link.FollowReply:
    """Reply with what is newer than the follower's state (long polling).

    The reply waits for a change, but no longer than the follower asks for.
    """
    gateway_module.record_peer(gateway, message.peer)
    gateway_module.record_followed_term(gateway, message)
    gateway_module.record_outage_report(gateway, message)
    if gateway.is_granter:
        gateway.pending_reports.append(message.report)
        suspicion_sharing.apply_report(gateway, message)
    arrived_ms = gateway.now_ms()
    if message.quota is not None:
        quota_lending.note_needs(gateway, _make_ask(message, message.quota))
    await _wait_for_updates(gateway, message)
    gateway.replied_ms_by_vm[message.peer.vm] = gateway.now_ms()
    reply = _make_reply(gateway, message, arrived_ms)
    if message.quota is None:
        return reply
    ask = _make_ask(message, message.quota)
    return msgspec.structs.replace(
        reply, quota=quota_lending.lend(gateway, ask, arrived_ms)
    )


async def _wait_for_updates(
    gateway: gateway_module.Gateway, message: peer_link.FollowMessage
) -> None:
    """Wait until there are updates for a follower and it may get a reply."""
    deadline_ms = gateway.now_ms() + min(message.wait_ms, _MAX_WAIT_MS)
    while not _has_updates(gateway, message):
        remaining_ms = deadline_ms - gateway.now_ms()
        if remaining_ms <= 0:
            break
        await state_cache_module.wait_for_change(
            gateway.state_cache, remaining_ms
        )
        await asyncio.sleep(clock.to_seconds(BATCH_WINDOW_MS))
    pacing_ms = _compute_pacing_ms(gateway, message.peer.vm)
    if pacing_ms > 0:
        await asyncio.sleep(clock.to_seconds(pacing_ms))


def _make_ask(
    message: peer_link.FollowMessage, needs: quota_link.QuotaNeeds
) -> quota_link.QuotaAsk:
    """Make the request for permits that a follower's message carries."""
    return quota_link.QuotaAsk(
        vm=message.peer.vm,
        incarnation=message.peer.incarnation,
        needs=needs,
    )


def _compute_pacing_ms(gateway: gateway_module.Gateway, vm: str) -> int:
    """Return how long to delay a VM's reply, so that it batches more changes.

    If the result isn't positive, the reply isn't delayed.

    Without pacing, a large fleet that follows many changes one by one
    overloads its granter, which then seems silent and is replaced by another
    that is overloaded as well.
    """
    interval_ms = compute_pacing_interval_ms(gateway_module.count_vms(gateway))
    last_ms = gateway.replied_ms_by_vm.get(vm, 0)
    return last_ms + interval_ms - gateway.now_ms()


def compute_pacing_interval_ms(vm_count: int) -> int:
    """Return the shortest interval between two replies to a VM of a fleet."""
    return max(vm_count - _UNPACED_VMS, 0) * _PACING_PER_VM_MS


def _has_updates(
    gateway: gateway_module.Gateway,
    message: peer_link.FollowMessage,
) -> bool:
    state_cache = gateway.state_cache
    current = state_cache.ownership
    if (current.term, current.serial) > (message.term, message.serial):
        return True
    if suspicion_sharing.has_news(gateway, message.peer.vm):
        return True
    return any(
        _is_newer(cached_topic, message, topic)
        for topic, cached_topic in state_cache.cached_by_topic.items()
    )


def _is_newer(
    cached_topic: cached_topics.CachedTopic,
    message: peer_link.FollowMessage,
    topic: store_link.Topic,
) -> bool:
    return (
        cached_topic.revision,
        cached_topic.local_removals,
    ) > _join_follower_version(cached_topic, message, topic)


def _join_follower_version(
    cached_topic: cached_topics.CachedTopic,
    message: peer_link.FollowMessage,
    topic: store_link.Topic,
) -> tuple[int, int]:
    """Return a follower's revision, joined with its era, and its removals.

    A follower of an earlier version names no era; it is taken for the known
    one.
    """
    revision, removals = message.mark_by_topic.get(topic, (0, 0))
    if message.era_by_topic is None:
        era = store_link.get_era(cached_topic.revision)
    else:
        era = message.era_by_topic.get(topic, 0)
    return store_link.join_revision(era, revision), removals


def _make_reply(
    gateway: gateway_module.Gateway,
    message: peer_link.FollowMessage,
    arrived_ms: int,
) -> peer_link.FollowReply:
    current = gateway.state_cache.ownership
    delta = None
    if (current.term, current.serial) > (message.term, message.serial):
        delta = ownership_module.make_delta(
            current, message.term, message.serial
        )
    peers = gateway_module.list_live_peers(gateway)
    digest = peer_link.compute_peers_digest(
        peer for peer in peers if peer.vm != message.peer.vm
    )
    return peer_link.FollowReply(
        view=gateway_module.make_view(gateway, gateway.now_ms() - arrived_ms),
        news=delta,
        peers=None if digest == message.peers_digest else peers,
        section_by_topic=pack_topics(gateway.state_cache, message),
        suspicion_by_upstream=suspicion_sharing.pack_shared(
            gateway, message.peer.vm
        ),
        replied_ms=gateway.replied_ms_by_vm[message.peer.vm],
    )


def pack_topics(
    state_cache: state_cache_module.StateCache,
    message: peer_link.FollowMessage,
) -> dict[store_link.Topic, peer_link.TopicMessage]:
    """Pack the newer topics, with only the objects the follower doesn't have.

    The names of all objects go along if the follower may have missed a
    removal.
    """
    packed = {}
    for topic, cached_topic in state_cache.cached_by_topic.items():
        if _is_newer(cached_topic, message, topic):
            follower_revision, follower_removals = _join_follower_version(
                cached_topic, message, topic
            )
            documents = cached_topic.document_by_name
            saw_removals = follower_removals == cached_topic.local_removals
            saw_removals &= (
                follower_revision >= cached_topic.last_removal_revision
            )
            packed[topic] = peer_link.TopicMessage(
                mark=store_link.get_history_revision(cached_topic.revision),
                edits=cached_topic.local_removals,
                names=None if saw_removals else list(documents),
                documents=[
                    peer_link.pack_document(document)
                    for document in documents.values()
                    if document.revision > follower_revision
                ],
                era=store_link.get_era(cached_topic.revision),
            )
    return packed
