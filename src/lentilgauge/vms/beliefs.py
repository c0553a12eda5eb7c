"""Local copy of the operators' objects and of key ownership on one VM.

Every part carries a version that only grows, so updates may come from any VM
or from the store, in any order, and an older one never replaces a newer one.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Mapping

from lentilgauge import clock, events
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import store_link
from lentilgauge.services import routes
from lentilgauge.upstreams import roster

#: Upstreams whose entries lapsed while the store was unreachable write them
#: again within two seconds of its return.
MISSING_GRACE_MS = 2200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decoders:
    """Functions that decode the objects of operators and upstreams.

    Each returns `None` for an object that can't be decoded. `read_upstream`
    also takes the current time in milliseconds.
    """

    read_configuration: Callable[[object], routes.Configuration | None]
    read_upstream: Callable[[store_link.Document, int], roster.Upstream | None]


@dataclasses.dataclass(slots=True, kw_only=True)
class Section:
    """Cached objects of one topic as of `mark`, a revision of the store.

    `edits` counts the removals since that revision that this VM or the one it
    follows made on its own, without the store. A follower that has the topic
    as of `dropped_mark` or later has seen every removal.
    """

    mark: int = 0
    edits: int = 0
    dropped_mark: int = 0
    document_by_name: dict[str, store_link.Document] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Beliefs:
    """Cached topics, the state decoded from them, and key ownership.

    `fresh_ms` is when the granter was last heard of, directly or through
    another VM. `leaving_ms_by_id` is when each upstream that isn't ready was
    first seen so, and `evacuated_ms_by_domain` when the evacuation of each
    failure domain was first seen.
    """

    decoders: Decoders
    now_ms: clock.Clock
    section_by_topic: dict[store_link.Topic, Section]
    configuration: routes.Configuration | None = None
    upstream_by_id: dict[str, roster.Upstream] = dataclasses.field(
        default_factory=dict,
    )
    revision_by_upstream: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    leaving_ms_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    evacuated_ms_by_domain: dict[str, int] = dataclasses.field(
        default_factory=dict,
    )
    ownership: ownership_module.Ownership = dataclasses.field(
        default_factory=ownership_module.Ownership,
    )
    fresh_ms: int = 0
    change_waiters: list[asyncio.Future[None]] = dataclasses.field(
        default_factory=list,
    )
    listeners: list[Callable[[], None]] = dataclasses.field(
        default_factory=list,
    )


def make_beliefs(decoders: Decoders, now_ms: clock.Clock) -> Beliefs:
    """Create an empty cache."""
    return Beliefs(
        decoders=decoders,
        now_ms=now_ms,
        section_by_topic={topic: Section() for topic in store_link.Topic},
    )


def note_change(beliefs: Beliefs) -> None:
    """Call the change listeners and wake the tasks that wait for a change."""
    for listener in beliefs.listeners:
        listener()
    waiters = beliefs.change_waiters
    beliefs.change_waiters = []
    for waiter in waiters:
        if not waiter.done():
            waiter.set_result(None)


async def wait_for_change(beliefs: Beliefs, timeout_ms: float) -> None:
    """Wait for the next change, or until the timeout."""
    waiter = asyncio.get_running_loop().create_future()
    beliefs.change_waiters.append(waiter)
    timer = asyncio.get_running_loop().call_later(
        clock.to_seconds(max(timeout_ms, 1)),
        _wake_waiter,
        waiter,
    )
    try:
        await waiter
    finally:
        timer.cancel()


def _wake_waiter(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)


def take_section(
    beliefs: Beliefs,
    topic: store_link.Topic,
    revision: int,
    document_by_name: Mapping[str, store_link.Document],
    local_removals: int = 0,
) -> bool:
    """Replace a topic with a newer snapshot; return whether it changed."""
    section = beliefs.section_by_topic[topic]
    if (revision, local_removals) <= (section.mark, section.edits):
        return False
    changed = section.document_by_name != document_by_name
    if section.document_by_name.keys() - document_by_name.keys():
        # Local removals come after the revision: a follower that has only the
        # revision has not seen them.
        section.dropped_mark = revision + bool(local_removals)
    section.mark = revision
    section.edits = local_removals
    if changed:
        section.document_by_name = dict(document_by_name)
        _adopt_topic(beliefs, topic)
    return changed


def take_changes(
    beliefs: Beliefs,
    topic: store_link.Topic,
    changes: store_link.Changes,
) -> bool:
    """Apply changes that a watch delivered; return whether there were any."""
    section = beliefs.section_by_topic[topic]
    if changes.mark <= section.mark:
        return False
    section.mark = changes.mark
    section.edits = 0
    for change in changes.changes:
        if change.removed:
            section.dropped_mark = changes.mark
            section.document_by_name.pop(change.document.name, None)
        else:
            section.document_by_name[change.document.name] = change.document
    if changes.changes:
        _adopt_topic(beliefs, topic)
    return bool(changes.changes)


def drop_documents(
    beliefs: Beliefs,
    topic: store_link.Topic,
    names: Iterable[str],
) -> None:
    """Remove objects that are presumed deleted, without the store.

    This raises the topic's version, so that followers of this VM remove them
    too.
    """
    section = beliefs.section_by_topic[topic]
    for name in names:
        section.document_by_name.pop(name, None)
    section.edits += 1
    section.dropped_mark = section.mark + 1
    _adopt_topic(beliefs, topic)


def take_ownership(
    beliefs: Beliefs,
    record: ownership_module.Record,
) -> bool:
    """Replace ownership with a newer record; return whether it was newer."""
    current = beliefs.ownership
    if not ownership_module.is_newer(current, record.term, record.serial):
        return False
    beliefs.ownership = ownership_module.unpack_record(record)
    note_change(beliefs)
    return True


def take_news(beliefs: Beliefs, news: ownership_module.News) -> bool:
    """Apply a delta of ownership; return whether it follows on this state."""
    updated = ownership_module.take_news(beliefs.ownership, news)
    if updated is None:
        return False
    beliefs.ownership = updated
    note_change(beliefs)
    return True


def _adopt_topic(beliefs: Beliefs, topic: store_link.Topic) -> None:
    """Decode a topic's objects into the state that requests use."""
    section = beliefs.section_by_topic[topic]
    if topic is store_link.Topic.CONFIGURATION:
        _adopt_configuration(beliefs, section)
    elif topic is store_link.Topic.UPSTREAMS:
        _adopt_upstreams(beliefs, section)
    else:
        _adopt_evacuations(beliefs, section)
        events.record(
            events.Event.EVACUATIONS_CHANGED, domains=sorted(beliefs.evacuated)
        )
    note_change(beliefs)


def _adopt_evacuations(beliefs: Beliefs, section: Section) -> None:
    beliefs.evacuated = frozenset(section.document_by_name)
    previous = beliefs.evacuated_ms_by_domain
    now_ms = beliefs.now_ms()
    beliefs.evacuated_ms_by_domain = {
        domain: previous.get(domain, now_ms) for domain in beliefs.evacuated
    }


def _adopt_configuration(beliefs: Beliefs, section: Section) -> None:
    current = beliefs.configuration
    for document in section.document_by_name.values():
        decoded = beliefs.decoders.read_configuration(document.body)
        if decoded is None:
            events.record(
                events.Event.OBJECT_UNREADABLE,
                name=document.name,
                revision=document.revision,
            )
        elif current is None or decoded.version > current.version:
            beliefs.configuration = decoded
            events.record(
                events.Event.CONFIGURATION_TAKEN, version=decoded.version
            )


def _adopt_upstreams(beliefs: Beliefs, section: Section) -> None:
    upstream_by_id: dict[str, roster.Upstream] = {}
    for name, document in section.document_by_name.items():
        decoded = _read_upstream(beliefs, document)
        if decoded is not None:
            upstream_by_id[name] = decoded
    beliefs.upstream_by_id = upstream_by_id
    now_ms = beliefs.now_ms()
    for upstream in upstream_by_id.values():
        if upstream.state is roster.State.READY:
            beliefs.leaving_ms_by_id.pop(upstream.id, None)
        else:
            beliefs.leaving_ms_by_id.setdefault(upstream.id, now_ms)
    for removed_id in (
        beliefs.revision_by_upstream.keys() - upstream_by_id.keys()
    ):
        beliefs.revision_by_upstream.pop(removed_id)
        events.record(events.Event.UPSTREAM_GONE, upstream=removed_id)


def _read_upstream(
    beliefs: Beliefs,
    document: store_link.Document,
) -> roster.Upstream | None:
    """Decode an upstream's entry.

    An unchanged entry isn't decoded again, so that deadlines counted from the
    first reading stay.
    """
    previous = beliefs.upstream_by_id.get(document.name)
    if beliefs.revision_by_upstream.get(document.name) == document.revision:
        return previous
    decoded = beliefs.decoders.read_upstream(document, beliefs.now_ms())
    if decoded is None:
        events.record(
            events.Event.OBJECT_UNREADABLE,
            upstream=document.name,
            revision=document.revision,
        )
        return None
    beliefs.revision_by_upstream[document.name] = document.revision
    if previous is None or _is_state_changed(previous, decoded):
        events.record(
            events.Event.UPSTREAM_CHANGED,
            upstream=decoded.id,
            state=decoded.state,
            life=decoded.life,
            address=decoded.address,
            domain=decoded.failure_domain,
        )
    return decoded


def _is_state_changed(
    previous: roster.Upstream,
    current: roster.Upstream,
) -> bool:
    return (previous.state, previous.life) != (current.state, current.life)
