"""Watch the store's topics on behalf of all VMs."""

import asyncio

from returns import result

from lentilgauge import clock, events
from lentilgauge.links import store_link
from lentilgauge.vms import beliefs as beliefs_module
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granting as granting_module

#: How long the store holds a watch open; each watch costs a call.
WATCH_TIMEOUT_MS = 20_000
#: Pause between watches, so that one call returns a batch of changes.
CHANGE_BATCH_MS = 120
#: A watch delivers a change within this time of its revision.
_WATCH_DELIVERY_MS = 200
_MIN_RETRY_DELAY_MS = 200
_MAX_RETRY_DELAY_MS = 1600
#: For this long after the store's recovery, entries that expired during the
#: outage may be written again.
STORE_RECOVERY_GRACE_MS = beliefs_module.MISSING_GRACE_MS


async def follow_store(granting: granting_module.Granting) -> None:
    """Watch every topic until the granter stops."""
    await asyncio.gather(
        *(_keep_topic_watched(granting, topic) for topic in store_link.Topic),
    )


def has_seen_all(granting: granting_module.Granting) -> bool:
    """Return whether every topic was read in this term."""
    return len(granting.seen_topics) == len(store_link.Topic)


async def catch_up(
    granting: granting_module.Granting,
    store_revision: int,
) -> None:
    """Read topics again whose watches may have missed changes.

    The store numbers all changes in one sequence, and the granter sees each
    revision in a watch or in the answer to a write of its own. A revision
    that stays unseen after the delivery time may belong to any topic whose
    watch has returned nothing newer.
    """
    if not _list_topics_behind(granting, store_revision):
        return
    await asyncio.sleep(clock.to_seconds(_WATCH_DELIVERY_MS))
    for topic in _list_topics_behind(granting, store_revision):
        events.record(
            events.Event.WATCH_BEHIND, topic=topic, mark=store_revision
        )
        await list_topic(granting.gateway, topic, returned=False)


def _list_topics_behind(
    granting: granting_module.Granting,
    store_revision: int,
) -> list[store_link.Topic]:
    """List topics that may have unseen changes up to a revision."""
    sections = granting.gateway.beliefs.section_by_topic
    seen = set(granting.seen_revisions)
    for known_section in sections.values():
        documents = known_section.document_by_name.values()
        seen.update(document.revision for document in documents)
    return [
        topic
        for topic, section in sections.items()
        if any(
            revision not in seen
            for revision in range(section.mark + 1, store_revision + 1)
        )
    ]


async def _keep_topic_watched(
    granting: granting_module.Granting,
    topic: store_link.Topic,
) -> None:
    retry_delay_ms = _MIN_RETRY_DELAY_MS
    after_outage = False
    while not granting.stopped:
        is_loaded = await list_topic(
            granting.gateway, topic, returned=after_outage
        )
        if not is_loaded:
            after_outage = True
            await asyncio.sleep(clock.to_seconds(retry_delay_ms))
            retry_delay_ms = min(retry_delay_ms * 2, _MAX_RETRY_DELAY_MS)
            continue
        granting.seen_topics.add(topic)
        beliefs_module.note_change(granting.gateway.beliefs)
        retry_delay_ms = _MIN_RETRY_DELAY_MS
        after_outage = await _watch_topic(granting, topic)


async def list_topic(
    gateway: gateway_module.Gateway,
    topic: store_link.Topic,
    *,
    returned: bool,
) -> bool:
    """Read a whole topic; return whether the store answered.

    With `returned`, after an outage of the store, upstreams' entries that are
    missing are kept until the time in which they may be written again is over.
    """
    read_outcome = await gateway.store.list_topic(topic)
    if not isinstance(read_outcome, result.Success):
        return False
    listing = read_outcome.unwrap()
    document_by_name = dict(listing.document_by_name)
    beliefs = gateway.beliefs
    if returned and topic is store_link.Topic.UPSTREAMS:
        known_documents = beliefs.section_by_topic[topic].document_by_name
        missing_documents = {
            name: document
            for name, document in known_documents.items()
            if name not in document_by_name
        }
        document_by_name.update(missing_documents)
        if missing_documents:
            _drop_if_still_missing(gateway, frozenset(missing_documents))
    beliefs_module.take_section(
        beliefs,
        topic,
        listing.mark,
        document_by_name,
    )
    return True


def _drop_if_still_missing(
    gateway: gateway_module.Gateway,
    names: frozenset[str],
) -> None:
    """Drop entries that aren't written again within the grace time."""
    topic = store_link.Topic.UPSTREAMS
    section = gateway.beliefs.section_by_topic[topic]
    kept_revisions = {
        name: section.document_by_name[name].revision for name in names
    }

    def drop_missing() -> None:
        current_section = gateway.beliefs.section_by_topic[topic]
        dropped_names = [
            name
            for name, revision in kept_revisions.items()
            if name in current_section.document_by_name
            and current_section.document_by_name[name].revision == revision
        ]
        if dropped_names:
            beliefs_module.drop_documents(gateway.beliefs, topic, dropped_names)
            events.record(
                events.Event.UPSTREAMS_MISSING, upstreams=dropped_names
            )

    asyncio.get_running_loop().call_later(
        clock.to_seconds(STORE_RECOVERY_GRACE_MS),
        drop_missing,
    )


async def _watch_topic(
    granting: granting_module.Granting,
    topic: store_link.Topic,
) -> bool:
    """Watch a topic until a watch ends.

    Return whether the store was unreachable meanwhile, so that the next read
    has to allow for expired entries.
    """
    beliefs = granting.gateway.beliefs
    while not granting.stopped:
        watch_outcome = await granting.gateway.store.watch_topic(
            topic,
            beliefs.section_by_topic[topic].mark,
            WATCH_TIMEOUT_MS,
        )
        if not isinstance(watch_outcome, result.Success):
            failure = watch_outcome.failure()
            events.record(
                events.Event.WATCH_ENDED, topic=topic, failure=failure
            )
            return not granting.confirmed
        if not granting.confirmed:
            # The watch may have waited through an outage in which entries
            # expired.
            return True
        changes = watch_outcome.unwrap()
        # The answer's revision is that of its last change.
        granting.seen_revisions.append(changes.mark)
        beliefs_module.take_changes(beliefs, topic, changes)
        await asyncio.sleep(clock.to_seconds(CHANGE_BATCH_MS))
    return False
