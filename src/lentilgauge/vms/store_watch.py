"""Watch the store's topics on behalf of all VMs."""

import asyncio
import dataclasses

from returns import result

from lentilgauge import clock, events
from lentilgauge.links import store_link
from lentilgauge.vms import configuration_age, store_era_merge
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import state_cache as state_cache_module

#: How long the store holds a watch open; each watch costs a call.
WATCH_TIMEOUT_MS = 20_000
#: Pause between watches, so that one call returns a batch of changes.
CHANGE_BATCH_MS = 120
#: A watch delivers a change within this time after it was made.
_WATCH_DELIVERY_MS = 200
_MIN_RETRY_DELAY_MS = 200
_MAX_RETRY_DELAY_MS = 1600
#: For this long after the store's recovery, entries that expired during the
#: outage may be written again.
STORE_RECOVERY_GRACE_MS = state_cache_module.REREGISTRATION_GRACE_MS


async def watch_all_topics(
    granter_state: granter_state_module.GranterState,
) -> None:
    """Watch every topic until the granter stops."""
    await asyncio.gather(
        *(
            _keep_topic_watched(granter_state, topic)
            for topic in store_link.Topic
        ),
    )


def has_loaded_all_topics(
    granter_state: granter_state_module.GranterState,
) -> bool:
    """Return whether every topic was read in this term."""
    return len(granter_state.loaded_topics) == len(store_link.Topic)


async def complete_topics(
    granter_state: granter_state_module.GranterState,
) -> None:
    """Read topics again that are behind, until the granter stops.

    This happens beside the checks of the term, which it would delay.
    """
    while not granter_state.stopped:
        await granter_state.revision_read.wait()
        granter_state.revision_read.clear()
        await _reload_missed_topics(
            granter_state,
            granter_state.read_revision,
            granter_state.revision_asked_ms,
        )


async def _reload_missed_topics(
    granter_state: granter_state_module.GranterState,
    store_revision: int,
    asked_ms: int,
) -> None:
    """Read topics again whose watches may have missed changes.

    The store had the revision at `asked_ms` or later. So a configuration that
    includes all changes up to the revision was current then.

    The store numbers all changes in one sequence, and the granter sees each
    revision in a watch or in the answer to a write of its own. A revision
    that stays unseen after the delivery time may belong to any topic whose
    watch has returned nothing newer.
    """
    state_cache = granter_state.gateway.state_cache
    topics_behind = _list_topics_behind(granter_state, store_revision)
    if topics_behind:
        await asyncio.sleep(clock.to_seconds(_WATCH_DELIVERY_MS))
        topics_behind = _list_topics_behind(granter_state, store_revision)
    if store_link.Topic.CONFIGURATION not in topics_behind:
        configuration_age.note_current(state_cache, asked_ms)
    for topic in topics_behind:
        events.log_event(
            events.Event.WATCH_BEHIND, topic=topic, mark=store_revision
        )
        await load_topic(granter_state.gateway, topic, after_outage=False)


def _list_topics_behind(
    granter_state: granter_state_module.GranterState,
    store_revision: int,
) -> list[store_link.Topic]:
    """List topics that may have unseen changes up to a revision."""
    cached_by_topic = granter_state.gateway.state_cache.cached_by_topic
    seen = set(granter_state.seen_revisions)
    for known_topic in cached_by_topic.values():
        documents = known_topic.document_by_name.values()
        seen.update(document.revision for document in documents)
    return [
        topic
        for topic, cached_topic in cached_by_topic.items()
        if any(
            revision not in seen
            for revision in range(cached_topic.revision + 1, store_revision + 1)
        )
    ]


async def _keep_topic_watched(
    granter_state: granter_state_module.GranterState,
    topic: store_link.Topic,
) -> None:
    retry_delay_ms = _MIN_RETRY_DELAY_MS
    after_outage = False
    while not granter_state.stopped:
        is_loaded = await load_topic(
            granter_state.gateway, topic, after_outage=after_outage
        )
        if not is_loaded:
            after_outage = True
            await asyncio.sleep(clock.to_seconds(retry_delay_ms))
            retry_delay_ms = min(retry_delay_ms * 2, _MAX_RETRY_DELAY_MS)
            continue
        granter_state.loaded_topics.add(topic)
        state_cache_module.notify_change(granter_state.gateway.state_cache)
        retry_delay_ms = _MIN_RETRY_DELAY_MS
        after_outage = await _watch_topic(granter_state, topic)


async def load_topic(
    gateway: gateway_module.Gateway,
    topic: store_link.Topic,
    *,
    after_outage: bool,
) -> bool:
    """Read a whole topic; return whether the store answered.

    With `after_outage`, the entries of upstreams that are missing from the
    store are kept for the grace time, in which they may be written again.
    """
    asked_ms = gateway.now_ms()
    read_outcome = await gateway.store.list_topic(topic)
    if not isinstance(read_outcome, result.Success):
        return False
    listing = read_outcome.unwrap()
    if after_outage and topic is store_link.Topic.UPSTREAMS:
        listing = _keep_missing_entries(gateway, listing)
    if not store_era_merge.replace_topic_from_store(
        gateway.state_cache, topic, listing
    ):
        return False
    if topic is store_link.Topic.CONFIGURATION:
        configuration_age.note_current(gateway.state_cache, asked_ms)
    return True


def _keep_missing_entries(
    gateway: gateway_module.Gateway, listing: store_link.Listing
) -> store_link.Listing:
    """Add the known entries that are missing, which are dropped later.

    A listing of another era is left to the merge of eras.
    """
    cached_topic = gateway.state_cache.cached_by_topic[
        store_link.Topic.UPSTREAMS
    ]
    known_era = store_link.get_era(cached_topic.revision)
    if known_era != store_link.get_era(listing.revision):
        return listing
    missing_documents = {
        name: document
        for name, document in cached_topic.document_by_name.items()
        if name not in listing.document_by_name
    }
    if missing_documents:
        _drop_if_still_missing(gateway, frozenset(missing_documents))
    return dataclasses.replace(
        listing,
        document_by_name={**listing.document_by_name, **missing_documents},
    )


def _drop_if_still_missing(
    gateway: gateway_module.Gateway,
    names: frozenset[str],
) -> None:
    """Drop entries that aren't written again within the grace time."""
    topic = store_link.Topic.UPSTREAMS
    cached_topic = gateway.state_cache.cached_by_topic[topic]
    kept_revisions = {
        name: cached_topic.document_by_name[name].revision for name in names
    }

    def drop_missing() -> None:
        current_topic = gateway.state_cache.cached_by_topic[topic]
        dropped_names = [
            name
            for name, revision in kept_revisions.items()
            if name in current_topic.document_by_name
            and current_topic.document_by_name[name].revision == revision
        ]
        if dropped_names:
            state_cache_module.remove_documents(
                gateway.state_cache, topic, dropped_names
            )
            events.log_event(
                events.Event.UPSTREAMS_MISSING, upstreams=dropped_names
            )

    asyncio.get_running_loop().call_later(
        clock.to_seconds(STORE_RECOVERY_GRACE_MS),
        drop_missing,
    )


def _list_revisions(changes: store_link.Changes) -> list[int]:
    """List the revisions at which the changes in a watch's answer were made.

    The answer's revision is that of its last change. It is only needed for a
    removal: if the store gave a later one, it would be that of another topic's
    change, which would seem to have been seen.
    """
    revisions = [change.document.revision for change in changes.changes]
    if changes.changes and changes.changes[-1].removed:
        revisions.append(changes.revision)
    return revisions


async def _watch_topic(
    granter_state: granter_state_module.GranterState,
    topic: store_link.Topic,
) -> bool:
    """Watch a topic until a watch ends.

    Return whether the store was unreachable meanwhile, so that the next read
    has to allow for expired entries.
    """
    state_cache = granter_state.gateway.state_cache
    while not granter_state.stopped:
        watch_outcome = await granter_state.gateway.store.watch_topic(
            topic,
            state_cache.cached_by_topic[topic].revision,
            WATCH_TIMEOUT_MS,
        )
        if not isinstance(watch_outcome, result.Success):
            failure = watch_outcome.failure()
            events.log_event(
                events.Event.WATCH_ENDED, topic=topic, failure=failure
            )
            return not granter_state.term_confirmed
        if not granter_state.term_confirmed:
            # The watch may have waited through an outage in which entries
            # expired.
            return True
        changes = watch_outcome.unwrap()
        granter_state.seen_revisions.extend(_list_revisions(changes))
        state_cache_module.apply_changes(state_cache, topic, changes)
        await asyncio.sleep(clock.to_seconds(CHANGE_BATCH_MS))
    return False
