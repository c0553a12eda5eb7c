"""Answer the questions of other VMs."""

import asyncio

import msgspec
from returns import result

from lentilgauge import clock, metrics
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import http_server, peer_link, store_link
from lentilgauge.vms import beliefs as beliefs_module
from lentilgauge.vms import gateway as gateway_module

#: Changes that come within this span go out in one answer.
GATHER_MS = 3
#: Beyond so many VMs, each is answered less often, by this much for each one
#: more: a granter on a small VM can give some 500 answers a second.
_UNPACED_VMS = 20
_PACE_EACH_MS = 2
#: A longer wait than any VM asks for is cut to this.
_MOST_WAIT_MS = 1000
#: A VM that asks about the store waits hardly longer than this.
_STORE_TIMEOUT_MS = 400

METRICS_PATH = '/metrics'


def _respond(message: msgspec.Struct) -> http_server.Response:
    return http_server.Response(body=msgspec.json.encode(message))


def make_peer_routes(
    gateway: gateway_module.Gateway,
) -> dict[http_server.Route, http_server.Responder]:
    """Make the routes by which other VMs reach this one."""

    async def follow(request: http_server.Request) -> http_server.Response:
        message = msgspec.json.decode(
            request.body,
            type=peer_link.FollowMessage,
        )
        return _respond(await answer_follower(gateway, message))

    async def view(_: http_server.Request) -> http_server.Response:
        return _respond(gateway_module.make_view(gateway))

    async def check_store(_: http_server.Request) -> http_server.Response:
        reachable = await _reaches_store(gateway)
        if not reachable:
            gateway.outage_told_ms = gateway.now_ms()
        return _respond(peer_link.StoreMessage(reachable=reachable))

    async def lead(request: http_server.Request) -> http_server.Response:
        message = msgspec.json.decode(
            request.body,
            type=peer_link.LeadMessage,
        )
        gateway.lead_hold_ms = message.hold_ms
        gateway.asked_to_lead.set()
        beliefs_module.note_change(gateway.beliefs)
        return _respond(peer_link.StoreMessage(reachable=True))

    return {
        http_server.Route('POST', peer_link.FOLLOW_PATH): follow,
        http_server.Route('GET', peer_link.VIEW_PATH): view,
        http_server.Route('GET', peer_link.STORE_PATH): check_store,
        http_server.Route('POST', peer_link.LEAD_PATH): lead,
    }


def make_metrics_routes(
    gateway: gateway_module.Gateway,
) -> dict[http_server.Route, http_server.Responder]:
    """Make the route by which scrapers read counters and histograms."""

    async def show(_: http_server.Request) -> http_server.Response:
        return http_server.respond_text(metrics.render_text(gateway.metrics))

    return {http_server.Route('GET', METRICS_PATH): show}


async def _reaches_store(gateway: gateway_module.Gateway) -> bool:
    """Tell whether the store answers this VM, soon enough to be of use."""
    try:
        read = await asyncio.wait_for(
            gateway.store.read_record(),
            clock.to_seconds(_STORE_TIMEOUT_MS),
        )
    except TimeoutError:
        return False
    return isinstance(read, result.Success)


async def answer_follower(
    gateway: gateway_module.Gateway,
    message: peer_link.FollowMessage,
) -> peer_link.FollowReply:
    """Answer with whatever is newer, once there is something."""
    gateway_module.note_peer(gateway, message.peer)
    gateway_module.note_following(gateway, message.peer, message.term)
    if message.outage_age_ms is not None:
        told_ms = gateway.now_ms() - message.outage_age_ms
        gateway.outage_ms_by_vm[message.peer.vm] = told_ms
    if gateway.grants:
        gateway.reports.append(message.report)
    deadline_ms = gateway.now_ms() + min(message.wait_ms, _MOST_WAIT_MS)
    while not _has_news(gateway, message):
        left_ms = deadline_ms - gateway.now_ms()
        if left_ms <= 0:
            break
        await beliefs_module.wait_for_change(gateway.beliefs, left_ms)
        await asyncio.sleep(clock.to_seconds(GATHER_MS))
    early_ms = _measure_early_ms(gateway, message.peer.vm)
    if early_ms > 0:
        await asyncio.sleep(clock.to_seconds(early_ms))
    gateway.replied_ms_by_vm[message.peer.vm] = gateway.now_ms()
    return _make_reply(gateway, message)


def _measure_early_ms(gateway: gateway_module.Gateway, vm: str) -> int:
    """Measure how long a VM's next answer is to wait, to hold more news.

    Without it, a large fleet that follows each change of many overloads its
    granter, which then seems silent and is replaced by one as overloaded.
    """
    beyond = gateway_module.count_vms(gateway) - _UNPACED_VMS
    last_ms = gateway.replied_ms_by_vm.get(vm, 0)
    return last_ms + max(beyond, 0) * _PACE_EACH_MS - gateway.now_ms()


def _has_news(
    gateway: gateway_module.Gateway,
    message: peer_link.FollowMessage,
) -> bool:
    beliefs = gateway.beliefs
    known = beliefs.ownership
    if (known.term, known.serial) > (message.term, message.serial):
        return True
    return any(
        _is_newer(section, message, topic)
        for topic, section in beliefs.section_by_topic.items()
    )


def _is_newer(
    section: beliefs_module.Section,
    message: peer_link.FollowMessage,
    topic: store_link.Topic,
) -> bool:
    mark = message.mark_by_topic.get(topic, (0, 0))
    return (section.mark, section.edits) > tuple(mark)


def _make_reply(
    gateway: gateway_module.Gateway,
    message: peer_link.FollowMessage,
) -> peer_link.FollowReply:
    known = gateway.beliefs.ownership
    news = None
    if (known.term, known.serial) > (message.term, message.serial):
        news = ownership_module.pack_news(known, message.term, message.serial)
    peers = gateway_module.list_live_peers(gateway)
    digest = peer_link.digest_peers(
        peer for peer in peers if peer.vm != message.peer.vm
    )
    return peer_link.FollowReply(
        view=gateway_module.make_view(gateway),
        news=news,
        peers=None if digest == message.peers_digest else peers,
        section_by_topic=pack_sections(gateway.beliefs, message),
    )


def pack_sections(
    beliefs: beliefs_module.Beliefs,
    message: peer_link.FollowMessage,
) -> dict[store_link.Topic, peer_link.SectionMessage]:
    """Pack the topics that are newer, without what the asker has."""
    packed = {}
    for topic, section in beliefs.section_by_topic.items():
        if _is_newer(section, message, topic):
            known_mark, known_edits = message.mark_by_topic.get(topic, (0, 0))
            documents = section.document_by_name
            misses_none = known_edits == section.edits
            misses_none &= known_mark >= section.dropped_mark
            packed[topic] = peer_link.SectionMessage(
                mark=section.mark,
                edits=section.edits,
                names=None if misses_none else list(documents),
                documents=[
                    peer_link.pack_document(document)
                    for document in documents.values()
                    if document.revision > known_mark
                ],
            )
    return packed
