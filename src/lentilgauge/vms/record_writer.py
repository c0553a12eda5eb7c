"""Write a granter's ownership record to the store, and check the stored one."""

import asyncio

from returns import result

from lentilgauge import clock, events
from lentilgauge.contracts import ownership as ownership_module
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
    if isinstance(write_outcome, result.Success):
        note_record_written(
            granter_state,
            record,
            write_outcome.unwrap().revision,
            request_sent_ms,
        )
        return True
    granter_state.write_due.set()
    if write_outcome.failure() is store_link.Failure.CONFLICT:
        await resolve_write_conflict(granter_state, request_sent_ms)
    return False


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
    check_stored_record(
        granter_state, read_outcome.unwrap().document, request_sent_ms
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
