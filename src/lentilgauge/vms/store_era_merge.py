"""Keep what this VM knows through the store's return to an older copy.

Operators and upstreams write again what the copy lacks. Until then, the objects
that this VM knows are kept beside those of the copy. The revision of a kept
object is that of the first reading in the new era, so that whatever is written
later replaces it.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterator, Mapping

from lentilgauge import clock, events
from lentilgauge.links import peer_link, store_link
from lentilgauge.upstreams import upstream_state
from lentilgauge.vms import cached_topics
from lentilgauge.vms import state_cache as state_cache_module

#: An entry of a process that has ended expires within 2.6 s, and an older copy
#: may bring it back.
_DOUBT_MS = 3200
#: End of the time for which an object is kept that no grace time bounds.
_UNLIMITED_MS = 9_000_000_000_000_000

_Documents = Mapping[str, store_link.Document]


def replace_topic_from_store(
    state_cache: state_cache_module.StateCache,
    topic: store_link.Topic,
    listing: store_link.Listing,
) -> bool:
    """Replace a topic with a listing; return False if it is of an earlier era.

    Such an answer was made before the store's return to an older copy.
    """
    cached_topic = state_cache.cached_by_topic[topic]
    known_era = store_link.get_era(cached_topic.revision)
    if store_link.get_era(listing.revision) < known_era:
        return False
    document_by_name = _merge_kept(
        state_cache,
        topic,
        listing.revision,
        listing.document_by_name,
        advance_version=True,
    )
    state_cache_module.replace_topic(
        state_cache, topic, listing.revision, document_by_name
    )
    return True


def replace_topic_from_peer(
    state_cache: state_cache_module.StateCache,
    topic: store_link.Topic,
    message: peer_link.TopicMessage,
) -> None:
    """Apply another VM's changes of a topic, if they are newer.

    A VM of an earlier version names no era; it is taken for the known one.
    """
    cached_topic = state_cache.cached_by_topic[topic]
    era = message.era
    if era is None:
        era = store_link.get_era(cached_topic.revision)
    revision = store_link.join_revision(era, message.mark)
    if revision < cached_topic.revision:
        return
    document_by_name = _merge_kept(
        state_cache,
        topic,
        revision,
        peer_link.merge_topic_changes(
            message, cached_topic.document_by_name, era
        ),
        advance_version=False,
    )
    state_cache_module.replace_topic(
        state_cache, topic, revision, document_by_name, message.edits
    )


def _merge_kept(
    state_cache: state_cache_module.StateCache,
    topic: store_link.Topic,
    revision: int,
    listed: _Documents,
    *,
    advance_version: bool,
) -> dict[str, store_link.Document]:
    """Return the listed objects, and the kept ones in place of older ones."""
    cached_topic = state_cache.cached_by_topic[topic]
    known_era = store_link.get_era(cached_topic.revision)
    if cached_topic.revision and known_era < store_link.get_era(revision):
        _carry_decoded(state_cache, topic, listed)
        cached_topic.kept_by_name = dict(
            _find_kept(state_cache, topic, revision, listed)
        )
        if topic is store_link.Topic.UPSTREAMS:
            # Kept entries aren't decoded again.
            state_cache.revision_by_upstream.update(
                dict.fromkeys(cached_topic.kept_by_name, revision)
            )
            _doubt_returned_entries(state_cache, listed)
        events.log_event(
            events.Event.STORE_ERA_CHANGED,
            topic=topic,
            old=known_era,
            new=store_link.get_era(revision),
            kept=len(cached_topic.kept_by_name),
        )
        _schedule_end_of_grace(
            state_cache, topic, advance_version=advance_version
        )
    kept_by_name = {
        name: kept
        for name, kept in cached_topic.kept_by_name.items()
        if _is_still_kept(state_cache, topic, kept, listed.get(name))
    }
    cached_topic.kept_by_name = kept_by_name
    return {
        **listed,
        **{name: kept.document for name, kept in kept_by_name.items()},
    }


def _doubt_returned_entries(
    state_cache: state_cache_module.StateCache, listed: _Documents
) -> None:
    """Doubt entries that were removed since the copy, or are unknown so far.

    Their upstreams get no work and no keys until they are written again or
    `_DOUBT_MS` has passed.
    Most are of processes that have ended, and expire soon. Another process may
    listen at the address.
    """
    topic = store_link.Topic.UPSTREAMS
    known_by_name = state_cache.cached_by_topic[topic].document_by_name
    if known_by_name:
        state_cache.doubted_revision_by_id = {
            name: document.revision
            for name, document in listed.items()
            if name not in known_by_name
        }
        asyncio.get_running_loop().call_later(
            clock.to_seconds(_DOUBT_MS), _end_doubts, state_cache
        )


def _end_doubts(state_cache: state_cache_module.StateCache) -> None:
    """Take entries that are still there for those of live processes."""
    for doubted_id in state_cache.doubted_revision_by_id:
        state_cache.revision_by_upstream.pop(doubted_id, None)
    state_cache.doubted_revision_by_id = {}
    state_cache_module.remove_documents(
        state_cache, store_link.Topic.UPSTREAMS, (), advance_version=False
    )


def _is_still_kept(
    state_cache: state_cache_module.StateCache,
    topic: store_link.Topic,
    kept: cached_topics.KeptDocument,
    listed: store_link.Document | None,
) -> bool:
    """Return whether nothing has been written in place of a kept object.

    Nor may an entry that the copy had have been removed since.
    """
    if listed is None and topic is store_link.Topic.UPSTREAMS:
        return kept.until_ms != _UNLIMITED_MS and (
            state_cache.now_ms() < kept.until_ms
        )
    if listed is not None and listed.revision > kept.document.revision:
        return False
    return state_cache.now_ms() < kept.until_ms


def _carry_decoded(
    state_cache: state_cache_module.StateCache,
    topic: store_link.Topic,
    listed: _Documents,
) -> None:
    """Take unchanged entries for decoded, so that their deadlines stay."""
    if topic is not store_link.Topic.UPSTREAMS:
        return
    revision_by_upstream = state_cache.revision_by_upstream
    known_by_name = state_cache.cached_by_topic[topic].document_by_name
    for name, document in listed.items():
        known = known_by_name.get(name)
        if known is not None and known.body == document.body:
            revision_by_upstream[name] = document.revision


def _find_kept(
    state_cache: state_cache_module.StateCache,
    topic: store_link.Topic,
    revision: int,
    listed: _Documents,
) -> Iterator[tuple[str, cached_topics.KeptDocument]]:
    """Yield the names and known objects to keep beside the listed ones.

    A configuration, and an entry of which the copy has an older state, are kept
    until they are written again; what the copy lacks, for the grace time.
    """
    cached_topic = state_cache.cached_by_topic[topic]
    grace_end_ms = (
        state_cache.now_ms() + state_cache_module.REREGISTRATION_GRACE_MS
    )
    is_reverted = _get_reversion_test(state_cache, topic)
    for name, known in cached_topic.document_by_name.items():
        until_ms = grace_end_ms
        if name in listed or topic is store_link.Topic.CONFIGURATION:
            until_ms = _UNLIMITED_MS
        if name in listed and not is_reverted(known, listed[name]):
            continue
        yield (
            name,
            cached_topics.KeptDocument(
                document=dataclasses.replace(known, revision=revision),
                until_ms=until_ms,
            ),
        )


def _get_reversion_test(
    state_cache: state_cache_module.StateCache, topic: store_link.Topic
) -> Callable[[store_link.Document, store_link.Document], bool]:
    """Return the test whether a listed object is older than the known one."""

    def is_configuration_reverted(
        known: store_link.Document, listed: store_link.Document
    ) -> bool:
        read = state_cache.decoders.read_configuration
        known_configuration = read(known.body)
        listed_configuration = read(listed.body)
        if known_configuration is None or listed_configuration is None:
            return known_configuration is not None
        return listed_configuration.version < known_configuration.version

    def is_entry_reverted(
        known: store_link.Document, listed: store_link.Document
    ) -> bool:
        known_upstream = state_cache.upstream_by_id.get(known.name)
        if known_upstream is None or known.body == listed.body:
            return False
        listed_upstream = state_cache.decoders.read_upstream(
            listed, state_cache.now_ms()
        )
        return listed_upstream is None or is_earlier_state(
            listed_upstream, known_upstream
        )

    if topic is store_link.Topic.CONFIGURATION:
        return is_configuration_reverted
    if topic is store_link.Topic.UPSTREAMS:
        return is_entry_reverted
    return lambda *_: False


def is_earlier_state(
    listed: upstream_state.Upstream, known: upstream_state.Upstream
) -> bool:
    """Return whether an entry of an older copy precedes the known one.

    It does if it is of an earlier process, or of the same one before it began
    to drain.
    """
    if listed.incarnation != known.incarnation:
        return listed.incarnation < known.incarnation
    return (
        known.state is upstream_state.State.DRAINING
        and listed.state is not upstream_state.State.DRAINING
    )


def _schedule_end_of_grace(
    state_cache: state_cache_module.StateCache,
    topic: store_link.Topic,
    *,
    advance_version: bool,
) -> None:
    """Drop kept objects that aren't written again within the grace time."""
    cached_topic = state_cache.cached_by_topic[topic]
    revision_by_name = {
        name: kept.document.revision
        for name, kept in cached_topic.kept_by_name.items()
        if kept.until_ms != _UNLIMITED_MS
    }

    def end_grace() -> None:
        document_by_name = cached_topic.document_by_name
        names = [
            name
            for name, revision in revision_by_name.items()
            if name in document_by_name
            and document_by_name[name].revision == revision
        ]
        if names:
            state_cache_module.remove_documents(
                state_cache, topic, names, advance_version=advance_version
            )
            events.log_event(
                events.Event.KEPT_OBJECTS_DROPPED, topic=topic, count=len(names)
            )

    asyncio.get_running_loop().call_later(
        clock.to_seconds(state_cache_module.REREGISTRATION_GRACE_MS),
        end_grace,
    )
