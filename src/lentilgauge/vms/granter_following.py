"""Follow the granter, or take over when it can't be reached.

The granter is the VM that grants keys to upstreams. A VM that can't reach the
granter itself follows a VM that can, as a relay.
"""

import asyncio
import dataclasses

from returns import result

from lentilgauge import clock, events
from lentilgauge.contracts import grant_timing
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import http_client, store_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import (
    granter_handover,
    granter_selection,
    granter_term,
    long_poll,
    peer_views,
    store_watch,
)
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import state_cache as state_cache_module

#: Consecutive failures after which the granter is no longer followed.
_MAX_FAILURES = 2
#: State that the granter last confirmed longer ago than this is stale, and the
#: VM that it came from is no longer followed.
MAX_STATE_AGE_MS = 1500
#: How long a VM to which nearly all others are silent leaves granting to them.
#: It has probably lost them by its own fault, such as a link that is full.
_MAX_ISOLATED_MS = 3000
#: Share of the VMs asked, the granter aside, that answer a VM that isn't
#: isolated. Most of a fleet may lose power at once.
_MIN_ANSWERED_SHARE = 0.25
#: How often a VM that finds no granter reads the store itself.
_STORE_READ_INTERVAL_MS = 1000
_SEARCH_RETRY_MS = 150
#: How long a VM that can't reach most VMs leaves granting to a granter of which
#: it has only read in the store.
_UNHEARD_GRANTER_MS = 10_000


@dataclasses.dataclass(slots=True, kw_only=True)
class _Search:
    """Search for a granter, which ends as this VM follows one or takes over.

    `lost_term` is the term of the granter that it has lost.
    Until `isolated_until_ms`, this VM doesn't take over while it `is_isolated`:
    nearly all other VMs are silent. A large VM is asked to take over once only,
    as it may not reach the store. The store is next read at
    `next_store_read_ms`.
    """

    lost_term: int
    isolated_until_ms: int
    is_isolated: bool = False
    may_ask_larger: bool = True
    next_store_read_ms: int = 0


async def lead_or_follow(gateway: gateway_module.Gateway) -> None:
    """Lead or follow until the process ends."""
    while True:
        granter_state = await follow_or_take_over(gateway)
        if granter_state is None:
            await _follow_until_unreachable(gateway)
        else:
            await granter_term.run_term(granter_state)
            if granter_state.successor is None:
                gateway.replaced_ms = gateway.now_ms()
            if await granter_handover.pass_on_term(granter_state):
                await _follow_until_unreachable(gateway)


def find_granter_address(gateway: gateway_module.Gateway) -> str:
    """Return the granter's address; empty if it is this VM or unknown."""
    granter = gateway.state_cache.ownership.granter
    if granter.vm == gateway.local_peer.vm:
        return ''
    return granter.address


async def _follow_until_unreachable(gateway: gateway_module.Gateway) -> None:
    failures = 0
    while failures < _MAX_FAILURES and not gateway.takeover_requested.is_set():
        address = find_granter_address(gateway)
        if not address:
            return
        failure = await long_poll.follow_unless_asked(gateway, address)
        if failure is None:
            failures = 0
            if not heard_granter_recently(gateway):
                return
        else:
            failures += 1
        if failure is http_client.LinkFailure.NOT_CONNECTED:
            return
    if failures:
        events.log_event(events.Event.GRANTER_SILENT, address=address)


def heard_granter_recently(gateway: gateway_module.Gateway) -> bool:
    """Return whether this VM recently heard of the granter."""
    age_ms = gateway.now_ms() - gateway.state_cache.granter_heard_ms
    return age_ms < MAX_STATE_AGE_MS


async def follow_or_take_over(
    gateway: gateway_module.Gateway,
) -> granter_state_module.GranterState | None:
    """Follow the granter and return `None`, or become granter."""
    search = _Search(
        lost_term=gateway.state_cache.ownership.term,
        isolated_until_ms=gateway.now_ms() + _MAX_ISOLATED_MS,
    )
    while True:
        granter_state = await _take_over_if_asked(gateway)
        if granter_state is not None:
            return granter_state
        if await _try_to_follow(gateway, search):
            return None
        await granter_selection.pause_before_takeover(gateway)
        if await _try_to_follow(gateway, search):
            return None
        granter_state = await _lead_or_ask_larger(gateway, search)
        if granter_state is not None:
            return granter_state
        if gateway.now_ms() >= search.next_store_read_ms:
            search.next_store_read_ms = (
                gateway.now_ms() + _STORE_READ_INTERVAL_MS
            )
            await load_all_topics(gateway)
        await asyncio.sleep(clock.to_seconds(_SEARCH_RETRY_MS))


async def _lead_or_ask_larger(
    gateway: gateway_module.Gateway, search: _Search
) -> granter_state_module.GranterState | None:
    """Take over, unless others are likely to hear the granter or to lead."""
    now_ms = gateway.now_ms()
    if search.is_isolated and now_ms < search.isolated_until_ms:
        return None
    if _has_heard_successor(gateway, search):
        return None
    if search.may_ask_larger:
        search.may_ask_larger = False
        if await granter_selection.ask_larger_vm(gateway):
            return None
    return await _try_to_take_over(gateway, asked=False)


def _has_heard_successor(
    gateway: gateway_module.Gateway, search: _Search
) -> bool:
    """Return whether another VM took over while this one searched."""
    state_cache = gateway.state_cache
    heard_age_ms = gateway.now_ms() - state_cache.granter_heard_ms
    return (
        state_cache.ownership.term > search.lost_term
        and heard_age_ms < granter_selection.MAX_VIEW_AGE_MS
    )


async def _take_over_if_asked(
    gateway: gateway_module.Gateway,
) -> granter_state_module.GranterState | None:
    """Take over if the last granter has stopped and asked this VM to."""
    if not gateway.takeover_requested.is_set():
        return None
    gateway.takeover_requested.clear()
    granter_state = await _try_to_take_over(gateway, asked=True)
    gateway.predecessor_hold_ms = 0
    return granter_state


async def _try_to_follow(
    gateway: gateway_module.Gateway, search: _Search
) -> bool:
    """Find a VM that reaches the granter, and apply its state.

    Return whether the granter itself can be followed. While only other VMs
    reach it, one of them is followed as a relay.
    """
    survey = await peer_views.survey_peers(gateway)
    # A granter that is silent to all VMs isolates none of them.
    silent_addresses = survey.silent_addresses - {find_granter_address(gateway)}
    heard_count = len(survey.views)
    asked_count = heard_count + len(silent_addresses)
    search.is_isolated = heard_count < asked_count * _MIN_ANSWERED_SHARE
    recent_views = [
        view
        for view in survey.views
        if view.age_ms < granter_selection.MAX_VIEW_AGE_MS
    ]
    recent_views.sort(key=lambda view: (view.term, view.grants), reverse=True)
    for view in recent_views:
        gateway_module.record_peer(gateway, view.peer)
        if await long_poll.follow_once(gateway, view.peer.address) is None:
            return await _follow_granter_or_relay(gateway, view.peer.address)
    return False


async def _follow_granter_or_relay(
    gateway: gateway_module.Gateway,
    relay_address: str,
) -> bool:
    """Return whether the granter can be followed; if not, follow the relay."""
    address = find_granter_address(gateway)
    if address == relay_address:
        return True
    if address and await long_poll.follow_once(gateway, address) is None:
        return True
    await _follow_relay(gateway, relay_address)
    return False


async def _follow_relay(
    gateway: gateway_module.Gateway,
    address: str,
) -> None:
    """Follow a relay for as long as its state is fresh and it is needed."""
    events.log_event(events.Event.FOLLOWING_THROUGH, address=address)
    while await long_poll.follow_unless_asked(gateway, address) is None:
        if gateway.takeover_requested.is_set() or not heard_granter_recently(
            gateway
        ):
            break
        if await _is_relay_unneeded(gateway, address):
            break


async def _is_relay_unneeded(
    gateway: gateway_module.Gateway,
    address: str,
) -> bool:
    """Return whether the relay at an address is no longer needed.

    That is so if the granter is the relay, this VM or unknown, or if this VM
    can reach the granter itself.
    """
    granter_address = find_granter_address(gateway)
    if granter_address in {'', address}:
        return True
    return await peer_views.query_view(gateway, granter_address) is not None


async def _try_to_take_over(
    gateway: gateway_module.Gateway, *, asked: bool
) -> granter_state_module.GranterState | None:
    """Read the record and take over, unless it names a newer granter.

    A VM that was `asked` to takes over even if it can't reach most VMs, but
    only from the term that has asked or an earlier one. It does so also if it
    began to stop after it had accepted, and hands over then.
    """
    if gateway.draining and not asked:
        return None
    read_outcome = await gateway.store.read_record()
    if not isinstance(read_outcome, result.Success):
        gateway.metrics.count('store_failures', read_outcome.failure())
        return None
    reading = read_outcome.unwrap()
    document = reading.document
    if _is_late_reading(gateway, reading):
        return None
    known_term = gateway.state_cache.ownership.term
    if asked:
        known_term = gateway.predecessor_term
    if document is not None and _apply_record(gateway, document, known_term):
        return None
    if not asked and await _leaves_granting(gateway):
        return None
    gateway.takeover_pending = True
    try:
        return await granter_term.start_term(
            gateway, document, reading.revision
        )
    finally:
        gateway.takeover_pending = False


def _is_late_reading(
    gateway: gateway_module.Gateway, reading: store_link.RecordSnapshot
) -> bool:
    """Return whether a reading is of an earlier era than this VM has seen.

    Its record may have been lost since.
    """
    known_revisions = [
        cached_topic.revision
        for cached_topic in gateway.state_cache.cached_by_topic.values()
    ]
    known_era = max(
        store_link.get_era(max(known_revisions)),
        gateway.state_cache.ownership.era,
    )
    return store_link.get_era(reading.revision) < known_era


async def _leaves_granting(gateway: gateway_module.Gateway) -> bool:
    """Return whether this VM leaves granting to a granter it hasn't heard of.

    That granter took over a short time ago. A VM that is cut off from most
    others, but not from the store, would only replace it to be replaced again.
    """
    state_cache = gateway.state_cache
    term_read_ms = state_cache.newer_term_read_ms
    if not term_read_ms or state_cache.granter_heard_ms > term_read_ms:
        return False
    if gateway.now_ms() - term_read_ms >= _UNHEARD_GRANTER_MS:
        return False
    reached_vms = {
        view.peer.vm for view in await peer_views.query_views(gateway)
    }
    reached_vms.add(gateway.local_peer.vm)
    vms = state_cache.ownership.vms
    reached_count = len(reached_vms.intersection(vms))
    return not grant_timing.is_majority(reached_count, len(vms))


def _apply_record(
    gateway: gateway_module.Gateway,
    document: store_link.Document,
    known_term: int,
) -> bool:
    """Apply a record; return whether it names another VM for a newer term."""
    record = ownership_module.parse_record(document.body)
    if record is None:
        return False
    state_cache_module.replace_ownership(gateway.state_cache, record)
    if record.granter.vm == gateway.local_peer.vm:
        return False
    return record.term > known_term


async def load_all_topics(gateway: gateway_module.Gateway) -> None:
    """Read every topic from the store, while no granter passes on changes."""
    await asyncio.gather(
        *(
            store_watch.load_topic(gateway, topic, after_outage=False)
            for topic in store_link.Topic
        ),
    )
