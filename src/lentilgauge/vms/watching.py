"""Follow the store's topics for all VMs."""

import asyncio

from returns import result

from lentilgauge import clock, events
from lentilgauge.links import store_link
from lentilgauge.vms import beliefs as beliefs_module
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granting as granting_module

#: How long a watch waits in the store; each costs a call.
WATCH_MS = 20_000
#: Changes that come within this span are taken with one call.
GATHER_MS = 120
#: A watch delivers within this time what the store has numbered.
_DELIVERY_MS = 200
_FIRST_RETRY_MS = 200
_MOST_RETRY_MS = 1600
#: For this long after the store's return, entries that lapsed meanwhile may
#: come back.
RETURN_GRACE_MS = beliefs_module.MISSING_GRACE_MS


async def follow_store(granting: granting_module.Granting) -> None:
    """Follow every topic for as long as the granter leads."""
    await asyncio.gather(
        *(_follow_topic(granting, topic) for topic in store_link.Topic),
    )


def has_seen_all(granting: granting_module.Granting) -> bool:
    """Tell whether every topic was read in this term."""
    return len(granting.seen_topics) == len(store_link.Topic)


async def catch_up(granting: granting_module.Granting, mark: int) -> None:
    """Read again what a watch has kept back.

    The store numbers all changes in one row, and the granter sees each number
    in a watch or in the answer to a write of its own. One that it doesn't see
    within a moment may belong to any topic whose watch has brought nothing
    since.
    """
    if not _list_unseen(granting, mark):
        return
    await asyncio.sleep(clock.to_seconds(_DELIVERY_MS))
    for topic in _list_unseen(granting, mark):
        events.record(events.Event.WATCH_BEHIND, topic=topic, mark=mark)
        await list_topic(granting.gateway, topic, returned=False)


def _list_unseen(
    granting: granting_module.Granting,
    mark: int,
) -> list[store_link.Topic]:
    """List the topics that may have changed unseen up to a mark."""
    sections = granting.gateway.beliefs.section_by_topic
    seen = set(granting.seen_revisions)
    for known in sections.values():
        documents = known.document_by_name.values()
        seen.update(document.revision for document in documents)
    return [
        topic
        for topic, section in sections.items()
        if any(
            revision not in seen
            for revision in range(section.mark + 1, mark + 1)
        )
    ]


async def _follow_topic(
    granting: granting_module.Granting,
    topic: store_link.Topic,
) -> None:
    retry_ms = _FIRST_RETRY_MS
    away = False
    while not granting.stopped:
        listed = await list_topic(granting.gateway, topic, returned=away)
        if not listed:
            away = True
            await asyncio.sleep(clock.to_seconds(retry_ms))
            retry_ms = min(retry_ms * 2, _MOST_RETRY_MS)
            continue
        granting.seen_topics.add(topic)
        beliefs_module.note_change(granting.gateway.beliefs)
        retry_ms = _FIRST_RETRY_MS
        away = await _watch_topic(granting, topic)


async def list_topic(
    gateway: gateway_module.Gateway,
    topic: store_link.Topic,
    *,
    returned: bool,
) -> bool:
    """Read a whole topic; tell whether the store answered.

    After the store's return, entries that are missing are kept for the time
    in which they may come back.
    """
    read = await gateway.store.list_topic(topic)
    if not isinstance(read, result.Success):
        return False
    listing = read.unwrap()
    document_by_name = dict(listing.document_by_name)
    beliefs = gateway.beliefs
    if returned and topic is store_link.Topic.UPSTREAMS:
        known = beliefs.section_by_topic[topic].document_by_name
        missing = {
            name: document
            for name, document in known.items()
            if name not in document_by_name
        }
        document_by_name.update(missing)
        if missing:
            _forget_later(gateway, frozenset(missing))
    beliefs_module.take_section(
        beliefs,
        topic,
        listing.mark,
        document_by_name,
    )
    return True


def _forget_later(
    gateway: gateway_module.Gateway,
    names: frozenset[str],
) -> None:
    """Drop entries that haven't come back in time."""
    topic = store_link.Topic.UPSTREAMS
    section = gateway.beliefs.section_by_topic[topic]
    kept = {name: section.document_by_name[name].revision for name in names}

    def forget() -> None:
        current = gateway.beliefs.section_by_topic[topic]
        gone = [
            name
            for name, revision in kept.items()
            if name in current.document_by_name
            and current.document_by_name[name].revision == revision
        ]
        if gone:
            beliefs_module.drop_documents(gateway.beliefs, topic, gone)
            events.record(events.Event.UPSTREAMS_MISSING, upstreams=gone)

    asyncio.get_running_loop().call_later(
        clock.to_seconds(RETURN_GRACE_MS),
        forget,
    )


async def _watch_topic(
    granting: granting_module.Granting,
    topic: store_link.Topic,
) -> bool:
    """Watch a topic until that fails; tell whether the store is away."""
    beliefs = granting.gateway.beliefs
    while not granting.stopped:
        watched = await granting.gateway.store.watch_topic(
            topic,
            beliefs.section_by_topic[topic].mark,
            WATCH_MS,
        )
        if not isinstance(watched, result.Success):
            failure = watched.failure()
            events.record(
                events.Event.WATCH_ENDED, topic=topic, failure=failure
            )
            return not granting.confirmed
        if not granting.confirmed:
            # It may have waited through an outage in which entries lapsed.
            return True
        changes = watched.unwrap()
        # The last change has the revision that the answer is of.
        granting.seen_revisions.append(changes.mark)
        beliefs_module.take_changes(beliefs, topic, changes)
        await asyncio.sleep(clock.to_seconds(GATHER_MS))
    return False
