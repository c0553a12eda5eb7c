"""Hand over from a granter that leaves or can't reach the store."""

import asyncio

from returns import result

from lentilgauge import clock, events
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.links import peer_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import (
    granter_selection,
    long_poll,
    quota_lending,
    store_access,
)
from lentilgauge.vms import granter_state as granter_state_module

#: Pause between two checks whether to hand over.
TICK_MS = 50
#: How often a granter that leaves or can't reach the store looks for a VM that
#: can take over.
_HANDOVER_RETRY_MS = 600
#: How long a granter that has handed over waits for its successor's term, which
#: takes a reading and a write of the record, before it asks another VM.
MAX_SUCCESSION_MS = 250
#: How many VMs are asked to take over. Others then search for a granter anyway.
_MAX_SUCCESSORS = 3
#: How long a small VM grants at least before it hands over to a large one, so
#: that the VMs of the record may hear of its term.
_MIN_SMALL_VM_TERM_MS = 400
#: How often a small VM looks for a large one that reaches the store.
_SMALL_VM_RETRY_MS = 1000


async def hand_over_when_needed(
    granter_state: granter_state_module.GranterState,
) -> None:
    """Hand over when this VM leaves or can't reach the store."""
    gateway = granter_state.gateway
    early_check_ms = 0
    while not granter_state.stopped:
        await asyncio.sleep(clock.to_seconds(TICK_MS))
        unanswered_check_ms = granter_state.unanswered_check_ms
        if not granter_state.term_confirmed:
            await _hand_over_to_store_access(granter_state)
            await asyncio.sleep(clock.to_seconds(_HANDOVER_RETRY_MS))
        elif gateway.draining:
            _hand_over(
                granter_state, await store_access.find_successor(granter_state)
            )
            await asyncio.sleep(clock.to_seconds(_HANDOVER_RETRY_MS))
        elif unanswered_check_ms != early_check_ms:
            early_check_ms = unanswered_check_ms
            await _hand_over_to_store_access(granter_state)


async def _hand_over_to_store_access(
    granter_state: granter_state_module.GranterState,
) -> None:
    """Hand over to a VM that reaches the store, if this VM still may not.

    While an answer of the store is only overdue, that VM got a later one
    sooner.
    """
    if granter_state_module.doubts_store(granter_state):
        successor = await store_access.find_successor(granter_state)
        if granter_state_module.doubts_store(granter_state):
            _hand_over(granter_state, successor)


async def hand_over_from_small_vm(
    granter_state: granter_state_module.GranterState,
) -> None:
    """Hand over from a small VM to a large one that reaches the store."""
    pause_ms = _MIN_SMALL_VM_TERM_MS
    while not granter_state.stopped:
        await asyncio.sleep(clock.to_seconds(pause_ms))
        pause_ms = _SMALL_VM_RETRY_MS
        if _may_move_to_larger(granter_state):
            await _hand_over_to_larger(granter_state)


def _may_move_to_larger(
    granter_state: granter_state_module.GranterState,
) -> bool:
    """Return whether this granter is on a small VM and may hand over.

    It may also while an earlier granter isn't known to have stopped: the
    successor asks for that itself. A store in doubt is another reason to hand
    over.
    """
    if granter_state_module.doubts_store(granter_state):
        return False
    return granter_selection.is_small_vm(granter_state.gateway)


async def _hand_over_to_larger(
    granter_state: granter_state_module.GranterState,
) -> None:
    successor = await store_access.find_successor(granter_state)
    if successor is not None and granter_selection.is_much_larger(
        granter_state.gateway, successor
    ):
        _hand_over(granter_state, successor)


def _hand_over(
    granter_state: granter_state_module.GranterState,
    successor: peer_link.Peer | None,
) -> None:
    """Stop in favour of a successor, if there is one."""
    if successor is None or granter_state.stopped:
        return
    granter_state.successor = successor
    granter_state_module.stop(granter_state, f'handing over to {successor.vm}')


async def pass_on_term(
    granter_state: granter_state_module.GranterState,
) -> bool:
    """Ask the successor, and then other VMs, until a later term has begun.

    Return whether this VM heard of a later term. A VM that was asked may still
    take over after another one was: the store accepts one of their records.
    """
    asked_vms: set[str] = set()
    successor = granter_state.successor
    while successor is not None:
        asked_vms.add(successor.vm)
        accepted = await _request_takeover(granter_state, successor)
        if accepted and await _hear_of_term(granter_state, successor):
            return True
        events.log_event(events.Event.SUCCESSOR_FAILED, vm=successor.vm)
        if len(asked_vms) == _MAX_SUCCESSORS:
            return False
        successor = await store_access.find_successor(granter_state, asked_vms)
    return False


async def _hear_of_term(
    granter_state: granter_state_module.GranterState,
    successor: peer_link.Peer,
) -> bool:
    """Follow the VM that was asked to take over until its term has begun.

    Return whether it has. The VMs that followed this one learn of the new
    granter through it. Any other VM that it asked would know no more than this
    one told it.
    """
    gateway = granter_state.gateway
    try:
        async with asyncio.timeout(clock.to_seconds(MAX_SUCCESSION_MS)):
            while not _knows_later_term(granter_state):
                failure = await long_poll.follow_once(
                    gateway, successor.address
                )
                if failure is not None:
                    return False
    except TimeoutError:
        return False
    return True


def _knows_later_term(granter_state: granter_state_module.GranterState) -> bool:
    """Return whether this VM knows of a later term than the granter's."""
    known_term = granter_state.gateway.state_cache.ownership.term
    return known_term > granter_state.ownership.term


async def _request_takeover(
    granter_state: granter_state_module.GranterState,
    peer: peer_link.Peer,
) -> bool:
    """Ask a VM to take over at once, after this granter has stopped.

    Return whether it has accepted.
    """
    reply = await peer_link.call_peer(
        granter_state.gateway.client,
        peer_link.PeerCall(
            address=peer.address,
            path=peer_link.TAKEOVER_PATH,
            timeout_ms=granter_selection.REQUEST_TIMEOUT_MS,
            message=peer_link.TakeoverMessage(
                term=granter_state.ownership.term,
                hold_ms=granter_state_module.bound_remaining_grants_ms(
                    granter_state
                ),
                sections_ms=quota_lending.bound_sections_ms(granter_state),
            ),
        ),
        peer_link.TakeoverReply,
    )
    if not isinstance(reply, result.Success):
        return False
    message: peer_link.TakeoverReply = reply.unwrap()
    return message.accepted


def was_handed_over(
    gateway: gateway_module.Gateway, record: ownership_module.Record
) -> bool:
    """Return whether the record's granter has stopped and said so.

    A request to take over may arrive late, after another granter's term.
    """
    return (
        bool(gateway.predecessor_hold_ms)
        and gateway.predecessor_term == record.term
    )
