"""Local copy, on one VM, of the store's topics and of key ownership.

A topic is a collection of objects: the configuration, the entries of upstreams
or the evacuations. Each topic and the ownership have a version that only grows,
also through the store's eras, so updates may come from any VM or from the
store, in any order, and an older one never replaces a newer one.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Mapping

from lentilgauge import clock, events
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import store_link
from lentilgauge.services import routes
from lentilgauge.upstreams import upstream_state
from lentilgauge.vms import cached_topics

#: Upstreams whose entries expired while the store was unreachable write them
#: again within two seconds of the store's return.
REREGISTRATION_GRACE_MS = 2200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decoders:
    """Functions that decode the objects of operators and upstreams.

    Each returns `None` for an object that can't be decoded. `read_upstream`
    also takes the current time in milliseconds.
    """

    read_configuration: Callable[[object], routes.Configuration | None]
    read_upstream: Callable[
        [store_link.Document, int], upstream_state.Upstream | None
    ]


@dataclasses.dataclass(slots=True, kw_only=True)
class StateCache:
    """Cached topics, the state decoded from them, and key ownership.

    `revision_by_upstream` has the store's revision of each upstream's entry
    that was decoded, or found unreadable. `granter_heard_ms` is when the
    granter was last heard of, directly or through another VM, and
    `newer_term_read_ms` when a newer term than the one known was last read from
    the store; 0 if none was. The topics were current at `state_current_ms`, by
    the word of a granter that had read them; 0 if no such granter was heard of.
    The configuration was current at `configuration_current_ms` or later by the
    word of the store; 0 if that wasn't heard of (see `configuration_age`).
    `draining_since_ms_by_id` is a lower bound on when each upstream that isn't
    ready began to drain; it is forgotten some time after the upstream is gone.
    `leaving_incarnation_by_id` has the processes that said in an answer that
    they are leaving; their upstreams count as draining, whatever their entries
    say, until another process is announced. `evacuated_since_ms_by_domain` is
    one on when the evacuation of each failure domain began.
    `doubted_revision_by_id` has the entries that an older copy of the store
    brought back; their upstreams count as draining for a time. `notify_change`
    completes the `change_waiters` and calls the `change_listeners`.
    """

    decoders: Decoders
    now_ms: clock.Clock
    cached_by_topic: dict[store_link.Topic, cached_topics.CachedTopic]
    configuration: routes.Configuration | None = None
    upstream_by_id: dict[str, upstream_state.Upstream] = dataclasses.field(
        default_factory=dict,
    )
    revision_by_upstream: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    draining_since_ms_by_id: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    leaving_incarnation_by_id: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    doubted_revision_by_id: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    evacuated_domains: frozenset[str] = frozenset()
    evacuated_since_ms_by_domain: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    ownership: ownership_module.Ownership = dataclasses.field(
        default_factory=ownership_module.Ownership,
    )
    granter_heard_ms: int = 0
    state_current_ms: int = 0
    configuration_current_ms: int = 0
    newer_term_read_ms: int = 0
    change_waiters: dict[asyncio.Future[None], None] = dataclasses.field(
        default_factory=dict,
    )
    change_listeners: list[Callable[[], None]] = dataclasses.field(
        default_factory=list,
    )


def make_state_cache(decoders: Decoders, now_ms: clock.Clock) -> StateCache:
    """Create an empty cache."""
    return StateCache(
        decoders=decoders,
        now_ms=now_ms,
        cached_by_topic={
            topic: cached_topics.CachedTopic() for topic in store_link.Topic
        },
    )


def notify_change(state_cache: StateCache) -> None:
    """Call the change listeners and wake the tasks that wait for a change."""
    for listener in state_cache.change_listeners:
        listener()
    waiters = state_cache.change_waiters
    state_cache.change_waiters = {}
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(None)


async def wait_for_change(state_cache: StateCache, timeout_ms: float) -> None:
    """Wait for the next change, or until the timeout."""
    waiter = asyncio.get_running_loop().create_future()
    state_cache.change_waiters[waiter] = None
    timer = asyncio.get_running_loop().call_later(
        clock.to_seconds(max(timeout_ms, 1)),
        _wake_waiter,
        waiter,
    )
    try:
        await waiter
    finally:
        timer.cancel()
        state_cache.change_waiters.pop(waiter, None)


def _wake_waiter(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)


def replace_topic(
    state_cache: StateCache,
    topic: store_link.Topic,
    revision: int,
    document_by_name: Mapping[str, store_link.Document],
    local_removals: int = 0,
) -> bool:
    """Replace a topic with a newer snapshot; return whether it changed."""
    cached_topic = state_cache.cached_by_topic[topic]
    if (revision, local_removals) <= (
        cached_topic.revision,
        cached_topic.local_removals,
    ):
        return False
    changed = cached_topic.document_by_name != document_by_name
    known_era = store_link.get_era(cached_topic.revision)
    if known_era != store_link.get_era(revision) or (
        cached_topic.document_by_name.keys() - document_by_name.keys()
    ):
        # Local removals come after the revision: a follower that has only the
        # revision has not seen them.
        cached_topic.last_removal_revision = revision + bool(local_removals)
    cached_topic.revision = revision
    cached_topic.local_removals = local_removals
    if changed:
        cached_topic.document_by_name = dict(document_by_name)
        _adopt_topic(state_cache, topic)
    return changed


def apply_changes(
    state_cache: StateCache,
    topic: store_link.Topic,
    changes: store_link.Changes,
) -> bool:
    """Apply changes that a watch delivered; return whether there were any."""
    cached_topic = state_cache.cached_by_topic[topic]
    if changes.revision <= cached_topic.revision:
        return False
    cached_topic.revision = changes.revision
    cached_topic.local_removals = 0
    for change in changes.changes:
        if change.removed:
            cached_topic.last_removal_revision = changes.revision
            cached_topic.document_by_name.pop(change.document.name, None)
        else:
            cached_topic.document_by_name[change.document.name] = (
                change.document
            )
    if changes.changes:
        _adopt_topic(state_cache, topic)
    return bool(changes.changes)


def remove_documents(
    state_cache: StateCache,
    topic: store_link.Topic,
    names: Iterable[str],
    *,
    advance_version: bool = True,
) -> None:
    """Remove objects that are presumed deleted, without the store.

    `advance_version` raises the topic's version, so that followers of this VM
    remove them too.
    """
    cached_topic = state_cache.cached_by_topic[topic]
    for name in names:
        cached_topic.document_by_name.pop(name, None)
    cached_topic.local_removals += advance_version
    cached_topic.last_removal_revision = cached_topic.revision + 1
    _adopt_topic(state_cache, topic)


def replace_ownership(
    state_cache: StateCache,
    record: ownership_module.Record,
) -> bool:
    """Replace ownership with a newer record; return whether it was newer."""
    current = state_cache.ownership
    if not ownership_module.is_newer(current, record.term, record.serial):
        return False
    if 0 < current.term < record.term:
        state_cache.newer_term_read_ms = state_cache.now_ms()
    state_cache.ownership = ownership_module.make_ownership(record)
    notify_change(state_cache)
    return True


def apply_ownership_delta(
    state_cache: StateCache, ownership_delta: ownership_module.OwnershipDelta
) -> bool:
    """Apply a delta of ownership; return whether it fits the known state."""
    updated = ownership_module.apply_delta(
        state_cache.ownership, ownership_delta
    )
    if updated is None:
        return False
    state_cache.ownership = updated
    notify_change(state_cache)
    return True


def _adopt_topic(state_cache: StateCache, topic: store_link.Topic) -> None:
    """Decode a topic's objects into the state that requests use."""
    cached_topic = state_cache.cached_by_topic[topic]
    if topic is store_link.Topic.CONFIGURATION:
        _adopt_configuration(state_cache, cached_topic)
    elif topic is store_link.Topic.UPSTREAMS:
        _adopt_upstreams(state_cache, cached_topic)
    else:
        _adopt_evacuations(state_cache, cached_topic)
        events.log_event(
            events.Event.EVACUATIONS_CHANGED,
            domains=sorted(state_cache.evacuated_domains),
        )
    notify_change(state_cache)


def _adopt_evacuations(
    state_cache: StateCache, cached_topic: cached_topics.CachedTopic
) -> None:
    state_cache.evacuated_domains = frozenset(cached_topic.document_by_name)
    previous = state_cache.evacuated_since_ms_by_domain
    changed_ms = _bound_change_ms(state_cache)
    state_cache.evacuated_since_ms_by_domain = {
        domain: previous.get(domain, changed_ms)
        for domain in state_cache.evacuated_domains
    }


def _adopt_configuration(
    state_cache: StateCache, cached_topic: cached_topics.CachedTopic
) -> None:
    current = state_cache.configuration
    for document in cached_topic.document_by_name.values():
        decoded = state_cache.decoders.read_configuration(document.body)
        if decoded is None:
            events.log_event(
                events.Event.OBJECT_UNREADABLE,
                name=document.name,
                revision=document.revision,
            )
        elif current is None or decoded.version > current.version:
            state_cache.configuration = decoded
            events.log_event(
                events.Event.CONFIGURATION_TAKEN, version=decoded.version
            )


def _adopt_upstreams(
    state_cache: StateCache, cached_topic: cached_topics.CachedTopic
) -> None:
    upstream_by_id: dict[str, upstream_state.Upstream] = {}
    for name, document in cached_topic.document_by_name.items():
        decoded = _read_upstream(state_cache, document)
        if decoded is not None:
            leaving = state_cache.leaving_incarnation_by_id.get(name)
            doubted_revision = state_cache.doubted_revision_by_id.get(name)
            if doubted_revision == document.revision:
                leaving = decoded.incarnation
            upstream_by_id[name] = upstream_state.apply_departure(
                decoded, leaving
            )
    state_cache.upstream_by_id = upstream_by_id
    _update_draining_times(state_cache)
    for removed_id in (
        state_cache.revision_by_upstream.keys()
        - cached_topic.document_by_name.keys()
    ):
        state_cache.revision_by_upstream.pop(removed_id)
        events.log_event(events.Event.UPSTREAM_GONE, upstream=removed_id)


def note_leaving(
    state_cache: StateCache, upstream: upstream_state.Upstream
) -> None:
    """Take an upstream for draining from now on, as its process is leaving.

    Its entry may say so later, or never, or be missing for the moment.
    """
    known = state_cache.upstream_by_id.get(upstream.id)
    if known is not None and known.incarnation != upstream.incarnation:
        return
    leaving = state_cache.leaving_incarnation_by_id
    if leaving.get(upstream.id) == upstream.incarnation:
        return
    leaving[upstream.id] = upstream.incarnation
    events.log_event(
        events.Event.UPSTREAM_LEAVING,
        upstream=upstream.id,
        life=upstream.incarnation,
        state=upstream.state,
    )
    state_cache.draining_since_ms_by_id.setdefault(
        upstream.id, state_cache.now_ms()
    )
    if known is not None:
        state_cache.upstream_by_id = {
            **state_cache.upstream_by_id,
            known.id: upstream_state.apply_departure(known, known.incarnation),
        }
    notify_change(state_cache)


def _bound_change_ms(state_cache: StateCache) -> int:
    """Return a lower bound on when a change that was just heard of was made.

    Without a granter that has read the topics, changes are heard of late. A VM
    that has yet to hear of one knows no bound.
    """
    return state_cache.state_current_ms or state_cache.now_ms()


def _update_draining_times(state_cache: StateCache) -> None:
    state_cache.draining_since_ms_by_id = upstream_state.update_draining_times(
        state_cache.draining_since_ms_by_id,
        state_cache.upstream_by_id,
        now_ms=state_cache.now_ms(),
        changed_ms=_bound_change_ms(state_cache),
    )
    leaving_incarnation_by_id = state_cache.leaving_incarnation_by_id
    for upstream_id in tuple(leaving_incarnation_by_id):
        if upstream_id not in state_cache.draining_since_ms_by_id:
            leaving_incarnation_by_id.pop(upstream_id)


def _read_upstream(
    state_cache: StateCache,
    document: store_link.Document,
) -> upstream_state.Upstream | None:
    """Decode an upstream's entry.

    An unchanged entry isn't decoded again, so that deadlines counted from the
    first reading stay, and that an unreadable one is logged once.
    """
    previous = state_cache.upstream_by_id.get(document.name)
    if state_cache.revision_by_upstream.get(document.name) == document.revision:
        return previous
    state_cache.revision_by_upstream[document.name] = document.revision
    decoded = state_cache.decoders.read_upstream(document, state_cache.now_ms())
    if decoded is None:
        return None
    if previous is None or (
        (previous.state, previous.incarnation)
        != (decoded.state, decoded.incarnation)
    ):
        events.log_event(
            events.Event.UPSTREAM_CHANGED,
            upstream=decoded.id,
            state=decoded.state,
            life=decoded.incarnation,
            address=decoded.address,
            domain=decoded.failure_domain,
        )
    return decoded
