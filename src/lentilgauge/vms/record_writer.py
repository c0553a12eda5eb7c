"""Write a granter's ownership record to the store, and check the stored one."""

import asyncio
import dataclasses

import msgspec
from returns import result

from lentilgauge import clock, events
from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.contracts import store_eras
from lentilgauge.links import store_link
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import state_cache as state_cache_module

_WRITE_RETRY_DELAY_MS = 150


async def run_record_writer(
    granter_state: granter_state_module.GranterState,
) -> None:
    """Write the record whenever a write is due, until the granter stops."""
    while not granter_state.stopped:
        if not granter_state.write_due.is_set():
            await _wait_until_write_due(granter_state)
        if (
            granter_state.deferred_write_due_ms
            and granter_state_module.now_ms(granter_state)
            >= granter_state.deferred_write_due_ms
        ):
            granter_state.write_due.set()
        if granter_state.write_due.is_set() and not await _try_write(
            granter_state
        ):
            await asyncio.sleep(clock.to_seconds(_WRITE_RETRY_DELAY_MS))


async def _wait_until_write_due(
    granter_state: granter_state_module.GranterState,
) -> None:
    remaining_ms = granter_state_module.DEFERRED_WRITE_DELAY_MS
    if granter_state.deferred_write_due_ms:
        remaining_ms = max(
            granter_state.deferred_write_due_ms
            - granter_state_module.now_ms(granter_state),
            1,
        )
    try:
        await asyncio.wait_for(
            granter_state.write_due.wait(),
            clock.to_seconds(remaining_ms),
        )
    except TimeoutError:
        return


async def _try_write(granter_state: granter_state_module.GranterState) -> bool:
    """Write the current record; return whether the write succeeded."""
    granter_state.write_due.clear()
    granter_state.deferred_write_due_ms = 0
    request_sent_ms = granter_state_module.now_ms(granter_state)
    record = ownership_module.reserve_fences(
        ownership_module.make_record(granter_state.ownership)
    )
    granter_state.unanswered_vms.add(record.vms)
    write_outcome = await granter_state.gateway.store.write_record(
        record,
        granter_state.revision,
    )
    if is_written(write_outcome, record.era):
        note_record_written(
            granter_state,
            record,
            write_outcome.unwrap().revision,
            request_sent_ms,
        )
        return True
    granter_state.write_due.set()
    if (
        isinstance(write_outcome, result.Success)
        or write_outcome.failure() is store_link.Failure.CONFLICT
    ):
        await resolve_write_conflict(granter_state, request_sent_ms)
    return False


def is_written(write_outcome: store_link.WriteResult, era: int) -> bool:
    """Return whether a record of an era was written in that era.

    In a later era its write hit a revision that was assigned again.
    """
    return (
        isinstance(write_outcome, result.Success)
        and store_link.get_era(write_outcome.unwrap().revision) == era
    )


def note_record_written(
    granter_state: granter_state_module.GranterState,
    record: ownership_module.Record,
    revision: int,
    request_sent_ms: int,
) -> None:
    """Update the state after a record was written to the store."""
    if revision > granter_state.revision:
        # Unanswered writes are of an earlier revision, and can't take effect.
        granter_state.unanswered_vms.clear()
    granter_state.revision = revision
    granter_state.seen_revisions.append(revision)
    granter_state.recorded_fence_limit = (
        record.next_fence - ownership_module.RESERVED_FENCES
    )
    granter_state.reserved_fence_limit = record.next_fence
    granter_state.recorded_vms = record.vms
    granter_state_module.note_term_confirmed(granter_state, request_sent_ms)
    state_cache_module.notify_change(granter_state.gateway.state_cache)


async def resolve_write_conflict(
    granter_state: granter_state_module.GranterState, request_sent_ms: int
) -> None:
    """Find out from the stored record which write caused a conflict.

    If it was an earlier write of this granter, which took effect without an
    answer, the term is confirmed. If it was another granter's, this granter
    stops.
    """
    read_outcome = await granter_state.gateway.store.read_record()
    if not isinstance(read_outcome, result.Success):
        return
    await check_reading(granter_state, read_outcome.unwrap(), request_sent_ms)


async def check_reading(
    granter_state: granter_state_module.GranterState,
    reading: store_link.RecordSnapshot,
    request_sent_ms: int,
) -> None:
    """Check the stored record, or rebuild it if the store lost a later one."""
    document = reading.document
    record = None
    if document is not None:
        record = ownership_module.parse_record(document.body)
    course = _choose_course(granter_state, reading, record)
    if course is store_eras.Course.CHECK:
        check_stored_record(granter_state, document, request_sent_ms)
    elif course is store_eras.Course.REBUILD:
        await _rebuild_record(granter_state, reading, record, request_sent_ms)
    elif course is store_eras.Course.ADOPT:
        _adopt_rebuilt(granter_state, document, request_sent_ms)
    elif course is store_eras.Course.STOP:
        granter_state_module.stop(
            granter_state, 'the store returned to an older copy'
        )


def _choose_course(
    granter_state: granter_state_module.GranterState,
    reading: store_link.RecordSnapshot,
    record: ownership_module.Record | None,
) -> store_eras.Course:
    """Choose what to do on a reading; an unreadable record is checked."""
    if reading.document is not None and record is None:
        return store_eras.Course.CHECK
    return store_eras.choose_course(
        granter_state.ownership,
        record,
        store_link.get_era(reading.revision),
        is_followed=_is_followed_since_confirmed(granter_state),
        may_order=granter_state_module.may_send_orders(granter_state),
    )


def _is_followed_since_confirmed(
    granter_state: granter_state_module.GranterState,
) -> bool:
    """Return whether a majority followed the term since its confirmation.

    No VM may know of a later term: that of a granter whose record was lost.
    """
    latest_known_term = max(
        granter_state.gateway.known_term_by_vm.values(), default=0
    )
    if latest_known_term > granter_state.ownership.term:
        return False
    followed_ms = granter_state_module.find_majority_followed_ms(granter_state)
    return followed_ms is not None and followed_ms > granter_state.confirmed_ms


async def _rebuild_record(
    granter_state: granter_state_module.GranterState,
    reading: store_link.RecordSnapshot,
    stored: ownership_module.Record | None,
    request_sent_ms: int,
) -> None:
    """Write this granter's record over that of an older copy.

    The term becomes known to others only once it is written. The tokens of this
    granter stay those of its own reserve, so that upstreams refuse them where a
    granter whose record was lost has given higher ones.
    """
    owned = granter_state.ownership
    stored = stored or ownership_module.Record()
    era = store_link.get_era(reading.revision)
    known_fence = max(
        store_eras.bound_fences(owned),
        store_eras.bound_fences(stored),
    )
    record = msgspec.structs.replace(
        ownership_module.reserve_fences(ownership_module.make_record(owned)),
        term=store_eras.compute_term(
            max(owned.term, stored.term), stored.era, era
        ),
        era=era,
        fence_floor=store_eras.compute_fence(known_fence, stored.era, era),
    )
    granter_state.unanswered_vms.add(record.vms)
    revision = 0 if reading.document is None else reading.document.revision
    write_outcome = await granter_state.gateway.store.write_record(
        record, revision
    )
    if not granter_state.stopped and is_written(write_outcome, era):
        _adopt_rebuilt(
            granter_state,
            dataclasses.replace(write_outcome.unwrap(), body=record),
            request_sent_ms,
        )


def _adopt_rebuilt(
    granter_state: granter_state_module.GranterState,
    document: store_link.Document | None,
    request_sent_ms: int,
) -> None:
    """Go on under the term of a record that this granter wrote again."""
    if document is None:
        return
    record = ownership_module.parse_record(msgspec.to_builtins(document.body))
    if record is None:
        return
    owned = granter_state.ownership
    owned.term = record.term
    owned.era = record.era
    owned.fence_floor = record.fence_floor
    granter_state.carried_over = True
    events.log_event(
        events.Event.RECORD_REBUILT,
        term=record.term,
        era=record.era,
        fence=record.fence_floor,
    )
    note_record_written(
        granter_state, record, document.revision, request_sent_ms
    )


def check_stored_record(
    granter_state: granter_state_module.GranterState,
    document: store_link.Document | None,
    request_sent_ms: int,
) -> None:
    """Confirm the term by the stored record, or stop this granter.

    A record that was deleted is written again. A reading that a write has
    overtaken has an earlier revision, and still confirms the term.
    """
    if document is None:
        events.log_event(events.Event.RECORD_MISSING)
        granter_state.revision = 0
        granter_state.write_due.set()
        return
    record = ownership_module.parse_record(document.body)
    if record is None or not _is_current_term(granter_state, record):
        granter_state_module.stop(
            granter_state, 'the stored record is of another term or unreadable'
        )
        if record is not None:
            state_cache_module.replace_ownership(
                granter_state.gateway.state_cache, record
            )
        return
    if document.revision > granter_state.revision:
        # A write took effect although its answer was lost, or is under way.
        note_record_written(
            granter_state, record, document.revision, request_sent_ms
        )
        return
    granter_state_module.note_term_confirmed(granter_state, request_sent_ms)


def _is_current_term(
    granter_state: granter_state_module.GranterState,
    record: ownership_module.Record,
) -> bool:
    local_ownership = granter_state.ownership
    return (
        record.term == local_ownership.term
        and record.granter == local_ownership.granter
    )
