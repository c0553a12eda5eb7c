"""Follow the VM that grants, and find another way when it goes silent."""

import asyncio

from returns import result

from lentilgauge import clock, events
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import http_client, peer_link, store_link
from lentilgauge.vms import beliefs as beliefs_module
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granting as granting_module
from lentilgauge.vms import leading, peer_views, watching

#: How long a question waits for news; a report goes with each question.
FOLLOW_WAIT_MS = 300
_FOLLOW_TIMEOUT_MS = 250
#: How often a followed VM may fail to answer in a row.
_MOST_FAILURES = 2
#: Knowledge older than this is no longer worth following.
STALE_MS = 1500
#: Pauses before a VM tries to take over; the seeds go first, so that not all
#: VMs ask the store at once.
_SEED_PAUSE_MS = 60
_OTHER_PAUSE_MS = 250
#: A VM with at most this share of the largest one's processor waits longer.
_SMALL_SHARE = 0.5
_SMALL_PAUSE_MS = 250
#: How often a VM that hears of no granter reads the store for itself.
_DIRECT_EVERY_MS = 1000
_RETRY_MS = 150
#: A VM that follows hears of its granter more often than this. What others
#: heard earlier than that only repeats what this VM has lost itself.
HEARD_MS = 650


async def run_membership(gateway: gateway_module.Gateway) -> None:
    """Lead or follow for as long as the process lives."""
    while True:
        granting = await seek_granter(gateway)
        if granting is None:
            await _follow_until_silent(gateway)
        else:
            await leading.lead(granting)


def find_granter_address(gateway: gateway_module.Gateway) -> str:
    """Find where the granter is, if it is another VM."""
    granter = gateway.beliefs.ownership.granter
    if granter.vm == gateway.me.vm:
        return ''
    return granter.address


async def _follow_until_silent(gateway: gateway_module.Gateway) -> None:
    failures = 0
    while failures < _MOST_FAILURES and not gateway.asked_to_lead.is_set():
        address = find_granter_address(gateway)
        if not address:
            return
        failure = await follow_once(gateway, address)
        if failure is None:
            failures = 0
            if not is_fresh(gateway):
                return
        else:
            failures += 1
        if failure is http_client.LinkFailure.NOT_CONNECTED:
            return
    if failures:
        events.record(events.Event.GRANTER_SILENT, address=address)


def is_fresh(gateway: gateway_module.Gateway) -> bool:
    """Tell whether what is known was confirmed lately."""
    age_ms = gateway.now_ms() - gateway.beliefs.fresh_ms
    return age_ms < STALE_MS


async def follow_once(
    gateway: gateway_module.Gateway,
    address: str,
) -> http_client.LinkFailure | None:
    """Ask a VM once for what is newer; return how that failed."""
    asked_ms = gateway.now_ms()
    known = gateway.beliefs
    message = peer_link.FollowMessage(
        peer=gateway.me,
        mark_by_topic={
            topic: (section.mark, section.edits)
            for topic, section in known.section_by_topic.items()
        },
        term=known.ownership.term,
        serial=known.ownership.serial,
        wait_ms=FOLLOW_WAIT_MS,
        peers_digest=_digest_others(gateway, address),
        outage_age_ms=gateway_module.measure_outage_age_ms(gateway),
        report=gateway_module.take_report(gateway),
    )
    answered = await peer_link.ask_peer(
        gateway.client,
        peer_link.PeerCall(
            address=address,
            path=peer_link.FOLLOW_PATH,
            timeout_ms=_FOLLOW_TIMEOUT_MS + FOLLOW_WAIT_MS,
            message=message,
        ),
        peer_link.FollowReply,
    )
    if not isinstance(answered, result.Success):
        gateway.metrics.count('follow_failures', answered.failure())
        failed: http_client.LinkFailure = answered.failure()
        return failed
    take_reply(gateway, answered.unwrap(), asked_ms)
    return None


def take_reply(
    gateway: gateway_module.Gateway,
    reply: peer_link.FollowReply,
    asked_ms: int,
) -> None:
    """Take what another VM knows better."""
    gateway_module.note_peer(gateway, reply.view.peer)
    _take_peers(gateway, reply)
    beliefs = gateway.beliefs
    for topic, section in reply.section_by_topic.items():
        known = beliefs.section_by_topic[topic].document_by_name
        beliefs_module.take_section(
            beliefs,
            topic,
            section.mark,
            peer_link.unpack_section(section, known),
            section.edits,
        )
    if reply.news is not None:
        beliefs_module.take_news(beliefs, reply.news)
    # Counted from the question, so that waiting can't hide any age.
    beliefs.fresh_ms = max(beliefs.fresh_ms, asked_ms - reply.view.age_ms)


def _digest_others(gateway: gateway_module.Gateway, address: str) -> int:
    """Digest the other VMs but the one that is asked."""
    return peer_link.digest_peers(
        peer
        for peer in gateway_module.list_live_peers(gateway)
        if peer.address != address
    )


def _take_peers(
    gateway: gateway_module.Gateway,
    reply: peer_link.FollowReply,
) -> None:
    """Take the VMs that another knows; none told means they are the same."""
    peers = reply.peers
    if peers is None:
        peers = gateway_module.list_live_peers(gateway)
    for peer in peers:
        gateway_module.note_peer(gateway, peer)


async def seek_granter(
    gateway: gateway_module.Gateway,
) -> granting_module.Granting | None:
    """Find the granter, or become it."""
    direct_ms = 0
    while True:
        granting = await _lead_if_asked(gateway)
        if granting is not None:
            return granting
        if await _follow_any(gateway):
            return None
        await _pause_before_leading(gateway)
        if await _follow_any(gateway):
            return None
        granting = await _try_to_lead(gateway)
        if granting is not None:
            return granting
        if gateway.now_ms() >= direct_ms:
            direct_ms = gateway.now_ms() + _DIRECT_EVERY_MS
            await read_store(gateway)
        await asyncio.sleep(clock.to_seconds(_RETRY_MS))


async def _lead_if_asked(
    gateway: gateway_module.Gateway,
) -> granting_module.Granting | None:
    """Take over from a granter that has stopped and asked for it."""
    if not gateway.asked_to_lead.is_set():
        return None
    gateway.asked_to_lead.clear()
    granting = await _try_to_lead(gateway)
    gateway.lead_hold_ms = 0
    return granting


async def _pause_before_leading(gateway: gateway_module.Gateway) -> None:
    span_ms = _OTHER_PAUSE_MS
    pause_ms = gateway.random.uniform(_SEED_PAUSE_MS, span_ms)
    if gateway.me.address in gateway.seeds:
        pause_ms = gateway.random.uniform(0, _SEED_PAUSE_MS)
    most = max(
        (peer.cores for peer in gateway_module.list_live_peers(gateway)),
        default=0,
    )
    if gateway.me.cores <= most * _SMALL_SHARE:
        pause_ms += _SMALL_PAUSE_MS
    await asyncio.sleep(clock.to_seconds(pause_ms))


async def _follow_any(gateway: gateway_module.Gateway) -> bool:
    """Find a VM that hears the granter, and take what it knows.

    Tells whether the granter itself can be followed. While only others hear
    it, they are asked instead of it.
    """
    views = await peer_views.ask_views(gateway)
    heard = [view for view in views if view.age_ms < HEARD_MS]
    heard.sort(key=lambda view: (view.term, view.grants), reverse=True)
    for view in heard:
        gateway_module.note_peer(gateway, view.peer)
        if await follow_once(gateway, view.peer.address) is None:
            return await _reach_granter(gateway, view.peer.address)
    return False


async def _reach_granter(
    gateway: gateway_module.Gateway,
    asked: str,
) -> bool:
    """Follow the granter itself, or a VM that was asked in its place."""
    address = find_granter_address(gateway)
    if address == asked:
        return True
    if address and await follow_once(gateway, address) is None:
        return True
    await _follow_through(gateway, asked)
    return False


async def _follow_through(
    gateway: gateway_module.Gateway,
    address: str,
) -> None:
    """Follow a VM that hears the granter, as long as it does."""
    events.record(events.Event.FOLLOWING_THROUGH, address=address)
    while await follow_once(gateway, address) is None:
        if gateway.asked_to_lead.is_set() or not is_fresh(gateway):
            break
        if await _is_direct(gateway, address):
            break


async def _is_direct(
    gateway: gateway_module.Gateway,
    address: str,
) -> bool:
    """Tell whether the granter can be asked without the VM at an address."""
    granter = find_granter_address(gateway)
    if granter in {'', address}:
        return True
    return await peer_views.ask_view(gateway, granter) is not None


async def _try_to_lead(
    gateway: gateway_module.Gateway,
) -> granting_module.Granting | None:
    """Read the record, and take over unless its granter is newer."""
    if gateway.leaving:
        return None
    read = await gateway.store.read_record()
    if not isinstance(read, result.Success):
        gateway.metrics.count('store_failures', read.failure())
        return None
    document = read.unwrap().document
    if document is not None and _names_newer_granter(gateway, document):
        return None
    return await leading.take_over(gateway, document)


def _names_newer_granter(
    gateway: gateway_module.Gateway,
    document: store_link.Document,
) -> bool:
    """Take the record; tell whether it names a granter not known before."""
    record = ownership_module.read_record(document.body)
    if record is None:
        return False
    known = gateway.beliefs.ownership.term
    beliefs_module.take_ownership(gateway.beliefs, record)
    if record.granter.vm == gateway.me.vm:
        return False
    return record.term > known


async def read_store(gateway: gateway_module.Gateway) -> None:
    """Read every topic from the store, as nobody passes them on."""
    await asyncio.gather(
        *(
            watching.list_topic(gateway, topic, returned=False)
            for topic in store_link.Topic
        ),
    )
